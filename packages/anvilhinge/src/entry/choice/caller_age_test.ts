import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as callerAge from "./caller_age.ts";

function createAge() {
  const clock = manualScheduler.createManualScheduler();
  return { clock, age: callerAge.createCallerAge({ clock }) };
}

test("a caller that comes back is as old as the time that it lacks", () => {
  const { age } = createAge();
  expect(age.estimate("r", 8_000)).toBe(0);
  expect(age.estimate("r", 7_400)).toBe(600);
  expect(age.estimate("r", 8_000)).toBe(0);
  expect(age.estimate("other", 2_000)).toBe(0);
});

test("a caller that is in a hurry by itself has no age", () => {
  const { age } = createAge();
  age.estimate("r", 8_000);
  expect(age.estimate("r", 1_000)).toBe(0);
});

test("the usual time left follows the callers within two windows", () => {
  const { clock, age } = createAge();
  age.estimate("r", 8_000);
  clock.advance(6_000);
  expect(age.estimate("r", 6_000)).toBe(2_000);
  clock.advance(6_000);
  expect(age.estimate("r", 6_000)).toBe(0);
});

test("routes that are gone are forgotten", () => {
  const { age } = createAge();
  age.estimate("r", 8_000);
  age.retain(new Set());
  expect(age.estimate("r", 7_000)).toBe(0);
});
