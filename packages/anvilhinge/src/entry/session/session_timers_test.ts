import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as sessionTimers from "./session_timers.ts";

function createTimers() {
  const scheduler = manualScheduler.createManualScheduler();
  const due: string[] = [];
  const timers = sessionTimers.createSessionTimers({
    scheduler,
    onDue: (name) => due.push(`${name}@${scheduler.now()}`),
  });
  return { scheduler, due, timers };
}

test("a timer that is set anew is due after the last setting only", () => {
  const { scheduler, due, timers } = createTimers();
  timers.set("stall", 100);
  scheduler.advance(60);
  timers.set("stall", 100);
  scheduler.advance(60);
  timers.set("stall", 100);
  scheduler.advance(99);
  expect(due).toEqual([]);
  scheduler.advance(1);
  expect(due).toEqual(["stall@220"]);
  scheduler.advance(1_000);
  expect(due).toHaveLength(1);
});

test("a timer that is set to an earlier instant is due then, once", () => {
  const { scheduler, due, timers } = createTimers();
  timers.set("stall", 100);
  timers.set("stall", 40);
  scheduler.advance(1_000);
  expect(due).toEqual(["stall@40"]);
});

test("timers of several names don't disturb each other; clear cancels all", () => {
  const { scheduler, due, timers } = createTimers();
  timers.set("deadline", 50);
  timers.set("stall", 20);
  scheduler.advance(30);
  expect(due).toEqual(["stall@20"]);
  timers.clear();
  scheduler.advance(1_000);
  expect(due).toEqual(["stall@20"]);
  expect(scheduler.countTimers()).toBe(0);
});
