/**
 * Admission at one upstream: refuses work at once that could not finish before
 * its deadline. A request waits for those of its own and of more urgent
 * priorities only, so the least urgent work is shed first.
 */
import type * as clock from "./clock.ts";
import type * as loadEstimate from "./load_estimate.ts";

/** Work that asks to be admitted. */
export interface AdmissionRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left, in milliseconds. */
  readonly deadlineMs: number;
}

export type AdmissionOutcome =
  | { readonly kind: "admitted" }
  | { readonly kind: "overloaded"; readonly retryAfterMs: number };

export interface AdmissionOptions {
  readonly clock: clock.Clock;
  readonly readLoad: () => Pick<
    loadEstimate.LoadReport,
    "running" | "queued"
  >;
  /**
   * Share of the time left that wait and work may be expected to take.
   * @default 0.9
   */
  readonly safetyFactor?: number;
}

export interface Admission {
  /** Decides about one request; does not count it. */
  decide(request: AdmissionRequest): AdmissionOutcome;
  /** Counts admitted work that was started. */
  recordStart(priority: number): void;
  /** Counts the end of started work, however it ended. */
  recordEnd(priority: number): void;
}

const defaultSafety = 0.9;
const rateHalfLifeMs = 5_000;
/** Ends that must be seen before a rate is believed. */
const minEnds = 8;
const shortestRetryMs = 200;
const longestRetryMs = 30_000;

/** Creates an admission that knows no rate yet and admits everything. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { clock } = options;
  const safety = options.safetyFactor ?? defaultSafety;
  const openByPriority: number[] = [];
  const startedAtMs = clock.now();
  let ends = 0;
  /** Ends and time, both fading with the half-life. */
  let fadedEnds = 0;
  let fadedMs = 0;
  let fadedAtMs = startedAtMs;

  function updateRate(): void {
    const elapsedMs = clock.now() - fadedAtMs;
    const kept = 0.5 ** (elapsedMs / rateHalfLifeMs);
    fadedEnds *= kept;
    fadedMs = fadedMs * kept + elapsedMs;
    fadedAtMs = clock.now();
  }

  function computeMsPerEnd(): number {
    updateRate();
    if (ends < minEnds || fadedEnds === 0) return 0;
    return fadedMs / fadedEnds;
  }

  function countAhead(priority: number): number {
    let count = 0;
    for (let urgent = 0; urgent <= priority; urgent += 1) {
      count += openByPriority[urgent] ?? 0;
    }
    return count;
  }

  return {
    decide({ priority, deadlineMs }) {
      const load = options.readLoad();
      // Without a queue the engine takes more in at once.
      if (load.queued === 0) return { kind: "admitted" };
      const msPerEnd = computeMsPerEnd();
      const ahead = Math.max(0, countAhead(priority) - load.running);
      const waitMs = ahead * msPerEnd;
      const workMs = load.running * msPerEnd;
      const spareMs = deadlineMs * safety - waitMs - workMs;
      if (spareMs >= 0) return { kind: "admitted" };
      const retryAfterMs = Math.ceil(
        Math.min(longestRetryMs, Math.max(shortestRetryMs, -spareMs)),
      );
      return { kind: "overloaded", retryAfterMs };
    },
    recordStart(priority) {
      openByPriority[priority] = (openByPriority[priority] ?? 0) + 1;
    },
    recordEnd(priority) {
      updateRate();
      ends += 1;
      fadedEnds += 1;
      const open = openByPriority[priority] ?? 0;
      openByPriority[priority] = Math.max(0, open - 1);
    },
  };
}
