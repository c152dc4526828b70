/**
 * Decides which requests a stopping entry can still answer before its end. The
 * end of a request is estimated by the answers of its route; without enough of
 * them, by its latency target, or for a stream by its deadline. Requests without
 * enough time are refused, so that their callers go to another entry at once.
 */
import type * as clock from "@anvilhinge/coordination/clock";

/** What the time of an answer depends on. */
export interface AnswerSize {
  readonly route: string;
  /** Most tokens that the answer may have; undefined if the caller names none. */
  readonly maxTokens: number | undefined;
  /** Target for a whole answer; undefined for a stream, which lasts longer. */
  readonly targetMs: number | undefined;
}

export interface StopAdmissionOptions {
  readonly clock: clock.Clock;
  /** Returns when open connections are closed; undefined before a stop. */
  readonly getStopAtMs: () => number | undefined;
}

export interface StopAdmission {
  /** Records how long a complete answer took from the arrival of its request. */
  recordAnswer(size: AnswerSize, tookMs: number): void;
  /** Whether a request that is dispatched now can be answered before the end. */
  hasTimeFor(size: AnswerSize, deadlineAtMs: number): boolean;
}

interface AnswerSample {
  readonly tokens: number;
  readonly tookMs: number;
}

/** Number of latest answers of a route that are kept. */
const maxSamples = 50;
/** Number of answers of a route below which no time is estimated. */
const minSamples = 20;
/** Factor on the slowest comparable answer. */
const estimateMargin = 1.5;
/** Factor on the latency target, used without enough answers. */
const targetMargin = 3;
/** Number of routes whose answers are kept. */
const maxRoutes = 1_000;

/** Creates an admission that has recorded no answers. */
export function createStopAdmission(
  { clock, getStopAtMs }: StopAdmissionOptions,
): StopAdmission {
  // The least recently used route is first.
  const samplesByRoute = new Map<string, AnswerSample[]>();

  /** Estimates the longest time of an answer; `Infinity` if it is unknown. */
  function estimateAnswerMs(
    { route, maxTokens = 1, targetMs = Infinity }: AnswerSize,
  ): number {
    const samples = samplesByRoute.get(route) ?? [];
    if (samples.length < minSamples) return targetMargin * targetMs;
    // The time of a longer answer grows with its tokens at most.
    const times = samples.map(({ tokens, tookMs }) =>
      tookMs * Math.max(1, maxTokens / tokens)
    );
    return estimateMargin * Math.max(...times);
  }

  return {
    recordAnswer({ route, maxTokens = 1 }, tookMs) {
      const samples = samplesByRoute.get(route) ?? [];
      samplesByRoute.delete(route);
      samplesByRoute.set(route, samples);
      samples.push({ tokens: Math.max(1, maxTokens), tookMs });
      if (samples.length > maxSamples) samples.shift();
      if (samplesByRoute.size <= maxRoutes) return;
      for (const oldest of samplesByRoute.keys()) {
        samplesByRoute.delete(oldest);
        return;
      }
    },
    hasTimeFor(size, deadlineAtMs) {
      const stopAtMs = getStopAtMs();
      if (stopAtMs === undefined || deadlineAtMs <= stopAtMs) return true;
      return clock.now() + estimateAnswerMs(size) <= stopAtMs;
    },
  };
}
