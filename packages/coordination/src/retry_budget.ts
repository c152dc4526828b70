/**
 * Retry budget: a token bucket that requests fill and retries drain, so that
 * retries stay a bounded share of the requests. In any interval, retries are at
 * most `burst + share x requests + minPerSecond x seconds`.
 */
import type * as clock from "./clock.ts";

export interface RetryBudgetOptions {
  readonly clock: clock.Clock;
  /**
   * Retries permitted per request.
   * @default 0.1
   */
  readonly share?: number;
  /**
   * Maximum number of retries that can accumulate.
   * @default 20
   */
  readonly burst?: number;
  /**
   * Retries per second that are permitted at any request rate.
   * @default 1
   */
  readonly minPerSecond?: number;
  /**
   * Returns the fraction of `burst` and `minPerSecond` that this node may use
   * if several nodes share them. Default: 1.
   */
  readonly readFraction?: () => number;
}

export interface RetryBudget {
  recordRequest(): void;
  /** Takes one retry; returns false if the budget is exhausted. */
  take(): boolean;
  /** Number of retries currently available. */
  count(): number;
}

const defaultShare = 0.1;
const defaultBurst = 20;
const defaultMinPerSecond = 1;
const millisecondsPerSecond = 1_000;

/** Creates a full budget. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const share = options.share ?? defaultShare;
  const burst = options.burst ?? defaultBurst;
  const minPerSecond = options.minPerSecond ?? defaultMinPerSecond;
  const readFraction = options.readFraction ?? (() => 1);
  let tokens = burst * readFraction();
  let filledAtMs = options.clock.now();

  function fill(added: number): void {
    const nowMs = options.clock.now();
    const seconds = (nowMs - filledAtMs) / millisecondsPerSecond;
    filledAtMs = nowMs;
    const fraction = readFraction();
    const filled = tokens + added + seconds * minPerSecond * fraction;
    tokens = Math.min(burst * fraction, filled);
  }

  return {
    recordRequest: () => fill(share),
    take() {
      fill(0);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    count() {
      fill(0);
      return Math.floor(tokens);
    },
  };
}
