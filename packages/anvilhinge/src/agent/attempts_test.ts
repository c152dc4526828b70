import * as clock from "@anvilhinge/coordination/clock";
import * as frames from "../ports/frames.ts";
import * as attempts from "./attempts.ts";

const incarnation = "i1";
const load = { running: 0, queued: 0, stepUs: 0 };

function createHarness(options: Partial<attempts.AttemptsOptions> = {}) {
  const manualClock = clock.createManualClock();
  const agentAttempts = attempts.createAttempts({
    clock: manualClock,
    group: "g",
    rank: 0,
    incarnation,
    readLoad: () => load,
    ...options,
  });
  agentAttempts.setAssignment({
    group: "g",
    half: "h",
    epoch: 1,
    state: "serving",
  });
  const received: frames.Frame[] = [];
  const sink = (frame: frames.Frame) => void received.push(frame);
  return { manualClock, agentAttempts, received, sink };
}

function buildAttempt(overrides: Partial<frames.Attempt> = {}): frames.Attempt {
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
    ...overrides,
  };
}

const sealRequest = {
  requestId: "r1",
  attemptId: "a1",
  incarnation,
  startByMs: 5_000,
};

test("a duplicate call never starts an attempt again, however late", () => {
  const { manualClock, agentAttempts, sink } = createHarness();
  expect(agentAttempts.offer(buildAttempt(), sink)).toEqual({ kind: "start" });
  agentAttempts.receiveEvent("a1", { kind: "end" });
  for (let elapsedMs = 0; elapsedMs < 300_000; elapsedMs += 1_000) {
    expect(agentAttempts.offer(buildAttempt(), sink).kind).not.toBe("start");
    manualClock.advance(1_000);
    agentAttempts.expire();
  }
});

test("a duplicate of a refused call does not start the attempt later", () => {
  const { manualClock, agentAttempts, received, sink } = createHarness({
    maxRunning: 1,
  });
  agentAttempts.offer(buildAttempt({ attemptId: "a0" }), sink);
  expect(agentAttempts.offer(buildAttempt(), sink)).toEqual({
    kind: "refused",
  });
  agentAttempts.receiveEvent("a0", { kind: "end" });
  manualClock.advance(100);
  expect(agentAttempts.offer(buildAttempt(), sink)).toEqual({
    kind: "refused",
  });
  expect(received.at(-1)?.body).toMatchObject({ reason: "sealed" });
});

test("a sealed attempt stays sealed until its start time has passed", () => {
  const { manualClock, agentAttempts, sink } = createHarness();
  expect(agentAttempts.seal(sealRequest)).toBe("sealed");
  for (let elapsedMs = 0; elapsedMs < 120_000; elapsedMs += 500) {
    expect(agentAttempts.offer(buildAttempt(), sink)).toEqual({
      kind: "refused",
    });
    manualClock.advance(500);
    agentAttempts.expire();
  }
});

test("sealing a finished attempt after its retention returns unknown", () => {
  const { manualClock, agentAttempts, sink } = createHarness();
  agentAttempts.offer(buildAttempt(), sink);
  agentAttempts.receiveEvent("a1", { kind: "end" });
  expect(agentAttempts.seal(sealRequest)).toBe("finished");
  manualClock.advance(60_000);
  agentAttempts.expire();
  expect(agentAttempts.seal(sealRequest)).toBe("unknown");
});

test("a restarted agent refuses calls for its previous incarnation", () => {
  const { agentAttempts, received, sink } = createHarness();
  for (const other of ["i0", ""]) {
    agentAttempts.offer(buildAttempt({ incarnation: other }), sink);
    expect(received.at(-1)?.body).toMatchObject({
      kind: "refused",
      reason: "wrong_incarnation",
    });
    expect(agentAttempts.seal({ ...sealRequest, incarnation: other })).toBe(
      "unknown",
    );
  }
});

test("a start time beyond the window is refused", () => {
  const { agentAttempts, received, sink } = createHarness();
  const startByMs = frames.startWindowMs + 1;
  agentAttempts.offer(buildAttempt({ startByMs }), sink);
  expect(received.at(-1)?.body).toMatchObject({ reason: "expired" });
});

test("a cancel that arrives before its call prevents the start", () => {
  const { agentAttempts, sink } = createHarness();
  agentAttempts.cancel("a1");
  expect(agentAttempts.offer(buildAttempt(), sink)).toEqual({
    kind: "refused",
  });
});

test("a non-repeatable attempt without a follower is neither cancelled nor an orphan", () => {
  const { manualClock, agentAttempts, sink } = createHarness();
  agentAttempts.offer(buildAttempt(), sink);
  agentAttempts.offer(
    buildAttempt({ attemptId: "a2", isRepeatable: true }),
    sink,
  );
  expect(agentAttempts.cancel("a1")).toBe(false);
  agentAttempts.detach("a1", sink);
  agentAttempts.detach("a2", sink);
  manualClock.advance(10_000);
  expect(agentAttempts.expire()).toEqual(["a2"]);
});

test("a followed attempt is an orphan once its deadline and grace period have passed", () => {
  const { manualClock, agentAttempts, sink } = createHarness();
  agentAttempts.offer(buildAttempt({ isRepeatable: true }), sink);
  manualClock.advance(14_999);
  expect(agentAttempts.expire()).toEqual([]);
  manualClock.advance(1);
  expect(agentAttempts.expire()).toEqual(["a1"]);
});

test("a different workspace or request cannot follow an attempt", () => {
  const { agentAttempts, received, sink } = createHarness();
  agentAttempts.offer(buildAttempt(), () => {});
  agentAttempts.receiveEvent("a1", {
    kind: "data",
    data: Buffer.from("secret"),
  });
  const resumeRequest = { requestId: "r1", workspace: "w", fromSequence: 0 };
  agentAttempts.resume({
    ...resumeRequest,
    attemptId: "a1",
    workspace: "other",
  }, sink);
  agentAttempts.resume(
    { ...resumeRequest, attemptId: "a1", requestId: "r2" },
    sink,
  );
  agentAttempts.offer(buildAttempt({ requestId: "r2" }), sink);
  expect(received.map((frame) => frame.body.kind)).toEqual([
    "not_held",
    "not_held",
    "not_held",
  ]);
});

test("retained frames stay within the limit, and those of finished attempts are evicted first", () => {
  const retainedLimitBytes = 100_000;
  const { agentAttempts, received, sink } = createHarness({
    retainedLimitBytes,
  });
  const data = new Uint8Array(10_000);
  for (const attemptId of ["a1", "a2", "a3"]) {
    agentAttempts.offer(
      buildAttempt({ attemptId, isRepeatable: true }),
      () => {},
    );
    for (let count = 0; count < 6; count += 1) {
      agentAttempts.receiveEvent(attemptId, { kind: "data", data });
      expect(agentAttempts.countRetainedBytes()).toBeLessThanOrEqual(
        retainedLimitBytes,
      );
    }
    if (attemptId === "a1") agentAttempts.receiveEvent("a1", { kind: "end" });
  }
  const resumeRequest = { requestId: "r1", workspace: "w", fromSequence: 0 };
  agentAttempts.resume({ ...resumeRequest, attemptId: "a1" }, sink);
  expect(received.at(-1)?.body.kind).toBe("not_held");
  agentAttempts.resume(
    { ...resumeRequest, attemptId: "a3", fromSequence: 5 },
    sink,
  );
  expect(received.at(-1)).toMatchObject({ attemptId: "a3", sequence: 5 });
});

test("a stopping agent counts the answers that are not delivered", () => {
  const { agentAttempts, sink } = createHarness();
  agentAttempts.offer(buildAttempt(), sink);
  agentAttempts.stop();
  agentAttempts.receiveEvent("a1", { kind: "end" });
  expect(agentAttempts.countUndelivered()).toBe(1);
  agentAttempts.markDelivered("a1");
  expect(agentAttempts.countUndelivered()).toBe(0);
});
