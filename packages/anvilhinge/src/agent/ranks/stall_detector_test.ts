import * as stallDetector from "./stall_detector.ts";

function createSample(
  overrides: Partial<stallDetector.PassSample>,
): stallDetector.PassSample {
  return { atMs: 0, epoch: 1, step: 10, isBusy: true, ...overrides };
}

describe("stall detector", () => {
  it("measures the time in which a busy rank begins no forward pass", () => {
    const detector = stallDetector.createStallDetector();
    expect(detector.observe(createSample({ atMs: 100 }))).toBe(0);
    expect(detector.observe(createSample({ atMs: 350 }))).toBe(250);
    expect(detector.observe(createSample({ atMs: 700 }))).toBe(600);
  });

  it("restarts the measurement with each pass and each epoch", () => {
    const detector = stallDetector.createStallDetector();
    detector.observe(createSample({ atMs: 0 }));
    expect(detector.observe(createSample({ atMs: 400, step: 11 }))).toBe(0);
    expect(detector.observe(createSample({ atMs: 900, step: 11 }))).toBe(500);
    const nextEpoch = createSample({ atMs: 950, step: 11, epoch: 2 });
    expect(detector.observe(nextEpoch)).toBe(0);
  });

  it("ignores the time without requests", () => {
    const detector = stallDetector.createStallDetector();
    detector.observe(createSample({ atMs: 0, isBusy: false }));
    expect(detector.observe(createSample({ atMs: 5_000, isBusy: false }))).toBe(
      0,
    );
    expect(detector.observe(createSample({ atMs: 5_300 }))).toBe(300);
  });
});
