import * as loadWeight from "./load_weight.ts";

test("the weight falls in steps under load and rises with hysteresis", () => {
  expect(loadWeight.computeWeight(1, 0.9)).toBe(0.5);
  expect(loadWeight.computeWeight(0.5, 0.9)).toBe(0.25);
  expect(loadWeight.computeWeight(0.25, 1)).toBe(0.25);
  expect(loadWeight.computeWeight(0.5, 0.7)).toBe(0.5);
  expect(loadWeight.computeWeight(0.5, 0.2)).toBe(1);
  expect(loadWeight.computeWeight(1, 0)).toBe(1);
});
