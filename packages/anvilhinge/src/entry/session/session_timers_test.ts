import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as sessionTimers from "./session_timers.ts";

function createTimers() {
  const scheduler = manualScheduler.createManualScheduler();
  const expirations: string[] = [];
  const timers = sessionTimers.createSessionTimers({
    scheduler,
    onDue: (name) => expirations.push(`${name}@${scheduler.now()}`),
  });
  return { scheduler, expirations, timers };
}

test("a timer that is set again expires only after the last delay", () => {
  const { scheduler, expirations, timers } = createTimers();
  timers.set("stall", 100);
  scheduler.advance(60);
  timers.set("stall", 100);
  scheduler.advance(60);
  timers.set("stall", 100);
  scheduler.advance(99);
  expect(expirations).toEqual([]);
  scheduler.advance(1);
  expect(expirations).toEqual(["stall@220"]);
  scheduler.advance(1_000);
  expect(expirations).toHaveLength(1);
});

test("a timer that is set to an earlier time expires once, at that time", () => {
  const { scheduler, expirations, timers } = createTimers();
  timers.set("stall", 100);
  timers.set("stall", 40);
  scheduler.advance(1_000);
  expect(expirations).toEqual(["stall@40"]);
});

test("timers with different names are independent, and clear cancels them all", () => {
  const { scheduler, expirations, timers } = createTimers();
  timers.set("deadline", 50);
  timers.set("stall", 20);
  scheduler.advance(30);
  expect(expirations).toEqual(["stall@20"]);
  timers.clear();
  scheduler.advance(1_000);
  expect(expirations).toEqual(["stall@20"]);
  expect(scheduler.countTimers()).toBe(0);
});
