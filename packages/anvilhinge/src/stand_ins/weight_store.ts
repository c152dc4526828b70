/**
 * Core of the stand-in for the store of model weights: all downloads share one
 * token bucket.
 */
import type * as clock from "@anvilhinge/coordination/clock";

export interface WeightStoreOptions {
  readonly clock: clock.Clock;
  readonly bytesPerSecond: number;
  /**
   * Size of the bucket: bytes that arrive at once after an idle period.
   * @default 0
   */
  readonly burstBytes?: number;
}

export interface WeightStore {
  /** Returns the time in milliseconds at which all bytes have arrived. */
  scheduleDownload(bytes: number): number;
}

/** Creates a store with a full bucket; it serves downloads in request order. */
export function createWeightStore(options: WeightStoreOptions): WeightStore {
  const burstBytes = options.burstBytes ?? 0;
  const bytesPerMs = options.bytesPerSecond / 1_000;
  let availableBytes = burstBytes;
  let refilledAtMs = options.clock.now();
  return {
    scheduleDownload(bytes) {
      const nowMs = options.clock.now();
      const refilledBytes = availableBytes +
        (nowMs - refilledAtMs) * bytesPerMs;
      refilledAtMs = nowMs;
      availableBytes = Math.min(burstBytes, refilledBytes) - bytes;
      return nowMs + Math.max(0, -availableBytes) / bytesPerMs;
    },
  };
}
