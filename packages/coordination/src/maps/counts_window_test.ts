import * as countsWindow from "./counts_window.ts";

const expertCount = 4;
const even = [200, 200, 200, 200];
const skewed = [800, 0, 0, 0];

/** Creates a window, and functions that add one sample every 100 ms. */
function createHarness() {
  const window = countsWindow.createCountsWindow({
    layerCount: 1,
    expertCount,
  });
  let counts = Array.from({ length: expertCount }, () => 0);
  let atMs = 0;
  window.observe({ atMs, counts });
  return {
    window,
    addCounts(row: readonly number[]) {
      counts = counts.map((count, index) => count + row[index]!);
      atMs += 100;
      window.observe({ atMs, counts });
      return window.estimate();
    },
    restart(row: readonly number[]) {
      counts = [...row];
      atMs += 100;
      window.observe({ atMs, counts });
      return window.estimate();
    },
  };
}

test("returns shares only after enough counts were observed", () => {
  const { addCounts } = createHarness();
  expect(addCounts([50, 50, 50, 50])).toBeUndefined();
  // The counts of the rejected sample are part of the next one.
  expect(addCounts([100, 100, 50, 50])).toEqual({
    shares: [[0.3, 0.3, 0.2, 0.2]],
    agreeingSamples: 1,
    newestCountPerLayer: 500,
  });
});

test("counts agreeing samples and gives recent samples more weight", () => {
  const { addCounts } = createHarness();
  addCounts([200, 200, 200, 200]);
  const found = addCounts([300, 200, 200, 100]);
  expect(found?.agreeingSamples).toBe(2);
  const [first] = found!.shares[0]!;
  // Between the mean of both samples and the newest one.
  expect(first).toBeGreaterThan((0.25 + 0.375) / 2);
  expect(first).toBeLessThan(0.375);
});

test("discards older counts when popularity shifts", () => {
  const { addCounts } = createHarness();
  addCounts(even);
  addCounts(even);
  expect(addCounts(skewed)).toMatchObject({
    shares: [[1, 0, 0, 0]],
    agreeingSamples: 1,
  });
});

test("starts over after the rank has restarted", () => {
  const { addCounts, restart } = createHarness();
  addCounts(even);
  expect(restart([10, 10, 10, 10])).toBeUndefined();
  expect(addCounts(skewed)).toMatchObject({
    shares: [[1, 0, 0, 0]],
    agreeingSamples: 1,
  });
});

test("returns no estimate after a reset", () => {
  const { window, addCounts } = createHarness();
  addCounts(even);
  window.reset();
  expect(window.estimate()).toBeUndefined();
});
