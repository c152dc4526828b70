import * as clock from "../clock.ts";
import * as rateLimits from "./rate_limits.ts";

function createSetup() {
  const manual = clock.createManualClock();
  const changes: (number | undefined)[] = [];
  const limits = rateLimits.createRateLimits({
    clock: manual,
    onChange: (_, requestsPerSecond) => void changes.push(requestsPerSecond),
  });
  const observe = (
    requestsPerSecond: number | undefined,
    sentAtMs = manual.now(),
  ) =>
    limits.observe({
      upstreamId: "u1",
      sentAtMs,
      notice: requestsPerSecond === undefined
        ? { kind: "unlimited" }
        : { kind: "limited", requestsPerSecond },
    });
  return { limits, manual, changes, observe };
}

test("the latest limit counts until an answer to a later request names none", () => {
  const { limits, manual, changes, observe } = createSetup();
  observe(undefined);
  observe(2);
  manual.advance(10);
  observe(2);
  observe(0);
  expect(limits.list()).toEqual([{ upstreamId: "u1", requestsPerSecond: 0 }]);
  manual.advance(10);
  observe(undefined);
  expect(limits.get("u1")).toBeUndefined();
  expect(changes).toEqual([2, 0, undefined]);
});

test("an answer to an earlier request does not end a limit", () => {
  const { limits, manual, observe } = createSetup();
  const sentAtMs = manual.now();
  manual.advance(10);
  observe(2);
  manual.advance(10);
  observe(undefined, sentAtMs);
  expect(limits.get("u1")).toBe(2);
});

test("a limit that can't be read leaves the last one in force", () => {
  const { limits, manual, observe } = createSetup();
  observe(2);
  manual.advance(10);
  limits.observe({
    upstreamId: "u1",
    notice: { kind: "unreadable" },
    sentAtMs: manual.now(),
  });
  expect(limits.get("u1")).toBe(2);
});
