import * as stallDetector from "./stall_detector.ts";

function createSample(
  overrides: Partial<stallDetector.PassSample>,
): stallDetector.PassSample {
  return { atMs: 0, epoch: 1, step: 10, isBusy: true, ...overrides };
}

describe("pass watch", () => {
  it("counts the time in which a busy rank begins no pass", () => {
    const watch = stallDetector.createStallDetector();
    expect(watch.observe(createSample({ atMs: 100 }))).toBe(0);
    expect(watch.observe(createSample({ atMs: 350 }))).toBe(250);
    expect(watch.observe(createSample({ atMs: 700 }))).toBe(600);
  });

  it("starts anew with each pass and each epoch", () => {
    const watch = stallDetector.createStallDetector();
    watch.observe(createSample({ atMs: 0 }));
    expect(watch.observe(createSample({ atMs: 400, step: 11 }))).toBe(0);
    expect(watch.observe(createSample({ atMs: 900, step: 11 }))).toBe(500);
    const anew = createSample({ atMs: 950, step: 11, epoch: 2 });
    expect(watch.observe(anew)).toBe(0);
  });

  it("does not count the time without requests", () => {
    const watch = stallDetector.createStallDetector();
    watch.observe(createSample({ atMs: 0, isBusy: false }));
    expect(watch.observe(createSample({ atMs: 5_000, isBusy: false }))).toBe(0);
    expect(watch.observe(createSample({ atMs: 5_300 }))).toBe(300);
  });
});
