import * as manualScheduler from "./manual_scheduler.ts";

test("runs due callbacks in time order, including those added by callbacks", () => {
  const scheduler = manualScheduler.createManualScheduler(100);
  const calls: string[] = [];
  const record = (name: string) => () =>
    calls.push(`${name}@${scheduler.now()}`);
  const controller = new AbortController();
  scheduler.schedule(record("b"), { delayMs: 20 });
  scheduler.schedule(record("c"), { delayMs: 20 });
  scheduler.schedule(record("x"), { delayMs: 5, signal: controller.signal });
  scheduler.schedule(() => {
    record("a")();
    scheduler.schedule(record("d"), { delayMs: 25 });
  }, { delayMs: 10 });
  controller.abort();
  scheduler.advance(34);
  expect(calls).toEqual(["a@110", "b@120", "c@120"]);
  expect(scheduler.now()).toBe(134);
  scheduler.advance(1);
  expect(calls.at(-1)).toBe("d@135");
  expect(scheduler.countTimers()).toBe(0);
});
