import * as countsWindow from "./counts_window.ts";

const expertCount = 4;
const even = [200, 200, 200, 200];
const skewed = [800, 0, 0, 0];

/** Creates a window, and functions that add a sample 100 ms after the last. */
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
  // The counts of a sample that is too small carry over to the next sample.
  expect(addCounts([100, 100, 50, 50])).toEqual({
    shares: [[0.3, 0.3, 0.2, 0.2]],
    agreeingSamples: 1,
    newestCountPerLayer: 500,
  });
});

test("counts agreeing samples and gives recent samples more weight", () => {
  const { addCounts } = createHarness();
  addCounts([200, 200, 200, 200]);
  const estimate = addCounts([300, 200, 200, 100]);
  expect(estimate?.agreeingSamples).toBe(2);
  const [firstShare] = estimate!.shares[0]!;
  // The share lies between the mean of both samples and the newest sample.
  expect(firstShare).toBeGreaterThan((0.25 + 0.375) / 2);
  expect(firstShare).toBeLessThan(0.375);
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

test("discards earlier samples after the rank has restarted", () => {
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
