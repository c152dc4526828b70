/**
 * Retry budget: a token bucket that requests fill and retries empty, so that
 * retries stay a bounded share of the requests. Over any span, retries are at
 * most `burst + share x requests + minPerSecond x seconds`.
 */
import type * as clock from "./clock.ts";

export interface RetryBudgetOptions {
  readonly clock: clock.Clock;
  /**
   * Retries for each request.
   * @default 0.1
   */
  readonly share?: number;
  /**
   * Most retries that can be saved up.
   * @default 20
   */
  readonly burst?: number;
  /**
   * Retries a second that are allowed however few the requests are.
   * @default 1
   */
  readonly minPerSecond?: number;
  /**
   * Returns the part of `burst` and `minPerSecond` that this node may use, where
   * several share them. Default: all.
   */
  readonly readFraction?: () => number;
}

export interface RetryBudget {
  recordRequest(): void;
  /** Takes one retry; false when the budget is used up. */
  take(): boolean;
  /** Retries that could be taken now. */
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
  const readPart = options.readFraction ?? (() => 1);
  let tokens = burst * readPart();
  let filledAtMs = options.clock.now();

  function fill(added: number): void {
    const nowMs = options.clock.now();
    const seconds = (nowMs - filledAtMs) / millisecondsPerSecond;
    filledAtMs = nowMs;
    const part = readPart();
    const filled = tokens + added + seconds * minPerSecond * part;
    tokens = Math.min(burst * part, filled);
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
