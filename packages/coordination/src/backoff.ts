/**
 * Waits between retries: exponential with a bound and randomized, so that
 * nodes which failed together don't come back together.
 */
import type * as random from "./random.ts";

export interface BackoffOptions {
  /** Failures in a row before this wait; 0 for the first. */
  readonly failures: number;
  /** Mean of the first wait in milliseconds. */
  readonly baseMs: number;
  readonly random: random.RandomSource;
  /**
   * Doublings after which the wait stops to grow.
   * @default 5
   */
  readonly maxDoublings?: number;
}

const defaultMaxDoublings = 5;

/** Computes a wait between 50% and 150% of `baseMs` doubled per failure. */
export function computeRetryDelayMs(options: BackoffOptions): number {
  const maxDoublings = options.maxDoublings ?? defaultMaxDoublings;
  const factor = 2 ** Math.min(options.failures, maxDoublings);
  return options.baseMs * factor * (0.5 + options.random());
}
