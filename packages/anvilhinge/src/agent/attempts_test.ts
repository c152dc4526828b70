import * as clock from "@anvilhinge/coordination/clock";
import * as frames from "../ports/frames.ts";
import * as attempts from "./attempts.ts";

const incarnation = "i1";
const load = { running: 0, queued: 0, stepUs: 0 };

function createAgent(options: Partial<attempts.AttemptsOptions> = {}) {
  const manual = clock.createManualClock();
  const table = attempts.createAttempts({
    clock: manual,
    group: "g",
    rank: 0,
    incarnation,
    readLoad: () => load,
    ...options,
  });
  table.setAssignment({ group: "g", half: "h", epoch: 1, state: "serving" });
  const received: frames.Frame[] = [];
  const sink = (frame: frames.Frame) => void received.push(frame);
  return { manual, table, received, sink };
}

function buildAttempt(change: Partial<frames.Attempt> = {}): frames.Attempt {
  return {
    requestId: "r1",
    attemptId: "a1",
    workspace: "w",
    half: "h",
    epoch: 1,
    group: "g",
    rank: 0,
    priority: 1,
    deadlineMs: 5_000,
    incarnation,
    startByMs: 5_000,
    isRepeatable: false,
    work: { kind: "model", model: "m", body: new Uint8Array() },
    ...change,
  };
}

const sealRequest = {
  requestId: "r1",
  attemptId: "a1",
  incarnation,
  startByMs: 5_000,
};

test("a copy of a call never starts it again, however late it arrives", () => {
  const { manual, table, sink } = createAgent();
  expect(table.offer(buildAttempt(), sink)).toEqual({ kind: "start" });
  table.receiveEvent("a1", { kind: "end" });
  for (let elapsedMs = 0; elapsedMs < 300_000; elapsedMs += 1_000) {
    expect(table.offer(buildAttempt(), sink).kind).not.toBe("start");
    manual.advance(1_000);
    table.expire();
  }
});

test("a copy of a refused call does not start it later", () => {
  const { manual, table, received, sink } = createAgent({ maxRunning: 1 });
  table.offer(buildAttempt({ attemptId: "a0" }), sink);
  expect(table.offer(buildAttempt(), sink)).toEqual({ kind: "refused" });
  table.receiveEvent("a0", { kind: "end" });
  manual.advance(100);
  expect(table.offer(buildAttempt(), sink)).toEqual({ kind: "refused" });
  expect(received.at(-1)?.body).toMatchObject({ reason: "sealed" });
});

test("a sealed attempt stays sealed for as long as it could start", () => {
  const { manual, table, sink } = createAgent();
  expect(table.seal(sealRequest)).toBe("sealed");
  for (let elapsedMs = 0; elapsedMs < 120_000; elapsedMs += 500) {
    expect(table.offer(buildAttempt(), sink)).toEqual({ kind: "refused" });
    manual.advance(500);
    table.expire();
  }
});

test("a seal after retention does not claim that a finished call never ran", () => {
  const { manual, table, sink } = createAgent();
  table.offer(buildAttempt(), sink);
  table.receiveEvent("a1", { kind: "end" });
  expect(table.seal(sealRequest)).toBe("finished");
  manual.advance(60_000);
  table.expire();
  expect(table.seal(sealRequest)).toBe("unknown");
});

test("a restarted agent refuses what was meant for the one before", () => {
  const { table, received, sink } = createAgent();
  for (const other of ["i0", ""]) {
    table.offer(buildAttempt({ incarnation: other }), sink);
    expect(received.at(-1)?.body).toMatchObject({
      kind: "refused",
      reason: "wrong_incarnation",
    });
    expect(table.seal({ ...sealRequest, incarnation: other })).toBe("unknown");
  }
});

test("a start time beyond the window is refused", () => {
  const { table, received, sink } = createAgent();
  const startByMs = frames.startWindowMs + 1;
  table.offer(buildAttempt({ startByMs }), sink);
  expect(received.at(-1)?.body).toMatchObject({ reason: "expired" });
});

test("a cancel that overtakes its call keeps it from starting", () => {
  const { table, sink } = createAgent();
  table.cancel("a1");
  expect(table.offer(buildAttempt(), sink)).toEqual({ kind: "refused" });
});

test("work that must not run twice is neither cancelled nor an orphan", () => {
  const { manual, table, sink } = createAgent();
  table.offer(buildAttempt(), sink);
  table.offer(buildAttempt({ attemptId: "a2", isRepeatable: true }), sink);
  expect(table.cancel("a1")).toBe(false);
  table.detach("a1", sink);
  table.detach("a2", sink);
  manual.advance(10_000);
  expect(table.expire()).toEqual(["a2"]);
});

test("work past its deadline is an orphan though its connection seems open", () => {
  const { manual, table, sink } = createAgent();
  table.offer(buildAttempt({ isRepeatable: true }), sink);
  manual.advance(14_999);
  expect(table.expire()).toEqual([]);
  manual.advance(1);
  expect(table.expire()).toEqual(["a1"]);
});

test("another workspace or request cannot follow an attempt", () => {
  const { table, received, sink } = createAgent();
  table.offer(buildAttempt(), () => {});
  table.receiveEvent("a1", { kind: "data", data: Buffer.from("secret") });
  const own = { requestId: "r1", workspace: "w", fromSequence: 0 };
  table.resume({ ...own, attemptId: "a1", workspace: "other" }, sink);
  table.resume({ ...own, attemptId: "a1", requestId: "r2" }, sink);
  table.offer(buildAttempt({ requestId: "r2" }), sink);
  expect(received.map((frame) => frame.body.kind)).toEqual([
    "not_held",
    "not_held",
    "not_held",
  ]);
});

test("held frames stay within their bound, finished answers go first", () => {
  const heldLimitBytes = 100_000;
  const { table, received, sink } = createAgent({ heldLimitBytes });
  const data = new Uint8Array(10_000);
  for (const attemptId of ["a1", "a2", "a3"]) {
    table.offer(buildAttempt({ attemptId, isRepeatable: true }), () => {});
    for (let count = 0; count < 6; count += 1) {
      table.receiveEvent(attemptId, { kind: "data", data });
      expect(table.countHeldBytes()).toBeLessThanOrEqual(heldLimitBytes);
    }
    if (attemptId === "a1") table.receiveEvent("a1", { kind: "end" });
  }
  const own = { requestId: "r1", workspace: "w", fromSequence: 0 };
  table.resume({ ...own, attemptId: "a1" }, sink);
  expect(received.at(-1)?.body.kind).toBe("not_held");
  table.resume({ ...own, attemptId: "a3", fromSequence: 5 }, sink);
  expect(received.at(-1)).toMatchObject({ attemptId: "a3", sequence: 5 });
});

test("a stopping agent knows which answers nobody has taken", () => {
  const { table, sink } = createAgent();
  table.offer(buildAttempt(), sink);
  table.stop();
  table.receiveEvent("a1", { kind: "end" });
  expect(table.countUndelivered()).toBe(1);
  table.markDelivered("a1");
  expect(table.countUndelivered()).toBe(0);
});
