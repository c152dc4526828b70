/**
 * Delays between retries: exponential backoff with an upper bound and jitter,
 * so that nodes which failed simultaneously don't retry simultaneously.
 */
import type * as random from "./random.ts";

export interface BackoffOptions {
  /** Number of earlier consecutive failures; 0 for the first delay. */
  readonly failures: number;
  /** Mean of the first delay in milliseconds. */
  readonly baseMs: number;
  readonly random: random.RandomSource;
  /**
   * Maximum number of times that the delay is doubled.
   * @default 5
   */
  readonly maxDoublings?: number;
}

const defaultMaxDoublings = 5;

/** Computes a delay of 50% to 150% of `baseMs`, doubled per failure. */
export function computeRetryDelayMs(options: BackoffOptions): number {
  const maxDoublings = options.maxDoublings ?? defaultMaxDoublings;
  const factor = 2 ** Math.min(options.failures, maxDoublings);
  return options.baseMs * factor * (0.5 + options.random());
}
