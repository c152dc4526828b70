/** Core of the weight store stand-in: downloads share one token bucket. */
import type * as clock from "@anvilhinge/coordination/clock";

export interface WeightStoreOptions {
  readonly clock: clock.Clock;
  readonly bytesPerSecond: number;
  /**
   * Bytes that arrive at once after an idle time.
   * @default 0
   */
  readonly burstBytes?: number;
}

export interface WeightStore {
  /** Returns the instant in milliseconds when the bytes have arrived. */
  scheduleDownload(bytes: number): number;
}

/** Creates a store with a full bucket; downloads are served in turn. */
export function createWeightStore(options: WeightStoreOptions): WeightStore {
  const burstBytes = options.burstBytes ?? 0;
  const bytesPerMs = options.bytesPerSecond / 1_000;
  let availableBytes = burstBytes;
  let updatedMs = options.clock.now();
  return {
    scheduleDownload(bytes) {
      const nowMs = options.clock.now();
      const refilled = availableBytes + (nowMs - updatedMs) * bytesPerMs;
      updatedMs = nowMs;
      availableBytes = Math.min(burstBytes, refilled) - bytes;
      return nowMs + Math.max(0, -availableBytes) / bytesPerMs;
    },
  };
}
