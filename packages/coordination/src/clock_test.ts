import * as clock from "./clock.ts";

test("a manual clock advances only on request and rejects negative durations", () => {
  const manual = clock.createManualClock(5);
  expect(manual.now()).toBe(5);
  manual.advance(10);
  expect(manual.now()).toBe(15);
  expect(() => manual.advance(-1)).toThrow("Duration must not be negative: -1");
});
