import * as clock from "@anvilhinge/coordination/clock";
import * as weightStore from "./weight_store.ts";

test("serves downloads in order at the configured rate after the burst", () => {
  const manualClock = clock.createManualClock(500);
  const store = weightStore.createWeightStore({
    clock: manualClock,
    bytesPerSecond: 1_000,
    burstBytes: 200,
  });
  expect(store.scheduleDownload(200)).toBe(500);
  expect(store.scheduleDownload(1_000)).toBe(1_500);
  expect(store.scheduleDownload(500)).toBe(2_000);
  manualClock.advance(1_600);
  expect(store.scheduleDownload(1_100)).toBe(3_100);
  manualClock.advance(60_000);
  expect(store.scheduleDownload(300)).toBe(62_200);
});
