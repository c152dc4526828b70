/**
 * Admission control at one upstream: refuses requests at once that could not
 * finish before their deadline. The predicted wait of a request counts only
 * requests of equal or higher urgency, so the least urgent requests are shed
 * first.
 */
import type * as clock from "./clock.ts";
import type * as loadEstimate from "./load_estimate.ts";

/** A request for admission. */
export interface AdmissionRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the deadline, in milliseconds. */
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
   * Maximum share of the time left that the predicted wait and work may take.
   * @default 0.9
   */
  readonly safetyFactor?: number;
}

export interface Admission {
  /** Decides on one request without counting it. */
  decide(request: AdmissionRequest): AdmissionOutcome;
  /** Counts the start of an admitted request. */
  recordStart(priority: number): void;
  /** Counts the end of a started request, whatever its outcome. */
  recordEnd(priority: number): void;
}

const defaultSafetyFactor = 0.9;
const rateHalfLifeMs = 5_000;
/** Minimum number of ended requests for a rate estimate. */
const minEnds = 8;
const minRetryMs = 200;
const maxRetryMs = 30_000;

/** Creates an admission control; without a rate estimate, it admits all. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { clock } = options;
  const safetyFactor = options.safetyFactor ?? defaultSafetyFactor;
  const inFlightByPriority: number[] = [];
  const startedAtMs = clock.now();
  let endCount = 0;
  /** Ended requests and elapsed time, both with exponential decay. */
  let decayedEnds = 0;
  let decayedMs = 0;
  let decayedAtMs = startedAtMs;

  function updateRate(): void {
    const elapsedMs = clock.now() - decayedAtMs;
    const decay = 0.5 ** (elapsedMs / rateHalfLifeMs);
    decayedEnds *= decay;
    decayedMs = decayedMs * decay + elapsedMs;
    decayedAtMs = clock.now();
  }

  /** Returns the mean interval between ended requests; 0 if unknown. */
  function computeEndIntervalMs(): number {
    updateRate();
    if (endCount < minEnds || decayedEnds === 0) return 0;
    return decayedMs / decayedEnds;
  }

  function countAhead(priority: number): number {
    let count = 0;
    for (let level = 0; level <= priority; level += 1) {
      count += inFlightByPriority[level] ?? 0;
    }
    return count;
  }

  return {
    decide({ priority, deadlineMs }) {
      const load = options.readLoad();
      // Without a queue, the engine starts a further request at once.
      if (load.queued === 0) return { kind: "admitted" };
      const endIntervalMs = computeEndIntervalMs();
      const ahead = Math.max(0, countAhead(priority) - load.running);
      const waitMs = ahead * endIntervalMs;
      // Little's law: the mean duration of a running request.
      const workMs = load.running * endIntervalMs;
      const spareMs = deadlineMs * safetyFactor - waitMs - workMs;
      if (spareMs >= 0) return { kind: "admitted" };
      const retryAfterMs = Math.ceil(
        Math.min(maxRetryMs, Math.max(minRetryMs, -spareMs)),
      );
      return { kind: "overloaded", retryAfterMs };
    },
    recordStart(priority) {
      inFlightByPriority[priority] = (inFlightByPriority[priority] ?? 0) + 1;
    },
    recordEnd(priority) {
      updateRate();
      endCount += 1;
      decayedEnds += 1;
      const inFlight = inFlightByPriority[priority] ?? 0;
      inFlightByPriority[priority] = Math.max(0, inFlight - 1);
    },
  };
}
