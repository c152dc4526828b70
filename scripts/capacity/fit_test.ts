import * as fit from "./fit.ts";

test("samples on a line yield its slope, no residual and exponent 1", () => {
  const samples = [10, 20, 40].map((size) => ({ size, value: 3 * size }));
  const fitted = fit.fitSamples(samples);
  expect(fitted.slope).toBeCloseTo(3);
  expect(fitted.intercept).toBeCloseTo(0);
  expect(fitted.residual).toBeCloseTo(0);
  expect(fitted.exponent).toBeCloseTo(1);
  expect(fit.estimateValue(fitted, 100)).toBeCloseTo(300);
});

test("quadratic growth yields exponent 2 and a residual", () => {
  const samples = [10, 20, 40].map((size) => ({ size, value: size ** 2 }));
  const fitted = fit.fitSamples(samples);
  expect(fitted.exponent).toBeCloseTo(2);
  expect(fitted.residual).toBeGreaterThan(0.05);
});
