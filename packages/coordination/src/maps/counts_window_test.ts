import * as countsWindow from "./counts_window.ts";

const expertCount = 4;
const even = [200, 200, 200, 200];
const skewed = [800, 0, 0, 0];

/** Window with counts that grow by a row for each sample of 100 ms. */
function createSetup() {
  const window = countsWindow.createCountsWindow({
    layerCount: 1,
    expertCount,
  });
  let counts = Array.from({ length: expertCount }, () => 0);
  let atMs = 0;
  window.observe({ atMs, counts });
  return {
    window,
    grow(row: readonly number[]) {
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

test("gives shares once there are enough counts", () => {
  const { grow } = createSetup();
  expect(grow([50, 50, 50, 50])).toBeUndefined();
  // The counts that were too few are part of the next sample.
  expect(grow([100, 100, 50, 50])).toEqual({
    shares: [[0.3, 0.3, 0.2, 0.2]],
    agreeing: 1,
    newestPerLayer: 500,
  });
});

test("counts samples that agree, and weighs recent ones most", () => {
  const { grow } = createSetup();
  grow([200, 200, 200, 200]);
  const found = grow([300, 200, 200, 100]);
  expect(found?.agreeingSamples).toBe(2);
  const [first] = found!.shares[0]!;
  // Between the mean of both samples and the newest one.
  expect(first).toBeGreaterThan((0.25 + 0.375) / 2);
  expect(first).toBeLessThan(0.375);
});

test("forgets what was before when another demand shows", () => {
  const { grow } = createSetup();
  grow(even);
  grow(even);
  expect(grow(skewed)).toMatchObject({ shares: [[1, 0, 0, 0]], agreeing: 1 });
});

test("begins anew after the rank has restarted", () => {
  const { grow, restart } = createSetup();
  grow(even);
  expect(restart([10, 10, 10, 10])).toBeUndefined();
  expect(grow(skewed)).toMatchObject({ shares: [[1, 0, 0, 0]], agreeing: 1 });
});

test("knows nothing after a reset", () => {
  const { window, grow } = createSetup();
  grow(even);
  window.reset();
  expect(window.estimate()).toBeUndefined();
});
