import fc from "fast-check";
import * as clock from "./clock.ts";
import * as retryBudget from "./retry_budget.ts";

test("a new budget permits its burst, then a share of the requests", () => {
  const manual = clock.createManualClock();
  const budget = retryBudget.createRetryBudget({
    clock: manual,
    share: 0.2,
    burst: 3,
    minPerSecond: 0,
  });
  expect([1, 2, 3, 4].map(() => budget.take()))
    .toEqual([true, true, true, false]);
  for (let request = 0; request < 6; request += 1) budget.recordRequest();
  expect(budget.take()).toBe(true);
  expect(budget.take()).toBe(false);
});

test("retries never exceed the sum of burst, share and minimum rate", () => {
  const events = fc.array(
    fc.oneof(
      fc.constant("request" as const),
      fc.constant("retry" as const),
      fc.integer({ min: 1, max: 3_000 }),
    ),
    { maxLength: 300 },
  );
  fc.assert(
    fc.property(events, (list) => {
      const manual = clock.createManualClock();
      const budget = retryBudget.createRetryBudget({
        clock: manual,
        share: 0.1,
        burst: 5,
        minPerSecond: 0.5,
      });
      let requests = 0;
      let retries = 0;
      for (const event of list) {
        if (typeof event === "number") manual.advance(event);
        else if (event === "retry") retries += budget.take() ? 1 : 0;
        else {
          requests += 1;
          budget.recordRequest();
        }
        const floor = manual.now() / 1_000 * 0.5;
        expect(retries).toBeLessThanOrEqual(5 + requests * 0.1 + floor + 1e-9);
      }
    }),
    { seed: 11 },
  );
});
