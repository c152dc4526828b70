import type * as claims from "@anvilhinge/coordination/claims";
import * as sessionDriver from "../../testing/session_driver.ts";
import * as session from "./session.ts";

const { accepted, createChunk, createEnd, createRefusal } = sessionDriver;
const nonRepeatable = {
  request: { isRepeatable: false, delivery: "whole" },
} as const;
const lost: session.SessionEvent = {
  kind: "lost",
  attemptId: "a1",
  sent: true,
  message: "broken",
};
const stall: session.SessionEvent = { kind: "timer", name: "stall" };
const failed = {
  kind: "failed",
  message: "out of memory",
  load: sessionDriver.noLoad,
} as const;

function findFinalAnswer(driver: sessionDriver.Driver) {
  return driver.listEffects("answer").at(-1)?.answer;
}

test("a refused retry is answered with failed when an earlier attempt may have run", () => {
  const driver = sessionDriver.createDriver({ options: { maxAttempts: 2 } });
  driver.feed(lost);
  driver.feedFrame(2, 0, { body: createRefusal("overloaded") });
  expect(findFinalAnswer(driver)).toMatchObject({
    kind: "failed",
    ran: "unknown",
  });
});

test("a request is answered with not run when every attempt was refused", () => {
  const driver = sessionDriver.createDriver({ options: { maxAttempts: 2 } });
  driver.feedFrame(1, 0, { body: createRefusal("leaving") });
  driver.feedFrame(2, 0, { body: createRefusal("overloaded") });
  expect(findFinalAnswer(driver)).toMatchObject({ kind: "not_run" });
});

test("an unsent resume does not count as an attempt that did not run", () => {
  const driver = sessionDriver.createDriver({
    options: {
      resumePoint: {
        upstream: sessionDriver.createUpstream(0),
        attemptId: "a9",
        fromSequence: 3,
      },
    },
  });
  for (let count = 0; count < 4; count += 1) {
    driver.feed({ ...lost, attemptId: "a9", sent: false } as typeof lost);
  }
  expect(driver.listEffects("resume")).toHaveLength(4);
  expect(findFinalAnswer(driver)).toMatchObject({ kind: "failed", ran: "yes" });
});

test("a failed non-repeatable request has an unknown outcome", () => {
  const driver = sessionDriver.createDriver(nonRepeatable);
  driver.feedFrame(1, 0, { body: accepted });
  driver.feedFrame(1, 1, { body: failed });
  expect(driver.listEffects("dispatch")).toHaveLength(1);
  expect(findFinalAnswer(driver)).toMatchObject({ kind: "unknown" });
});

test("a lost non-repeatable attempt is sealed before another attempt starts", () => {
  const driver = sessionDriver.createDriver(nonRepeatable);
  driver.feed(lost);
  expect(driver.listEffects("dispatch")).toHaveLength(1);
  expect(driver.listEffects("seal")[0]?.seal).toMatchObject({
    attemptId: "a1",
    incarnation: "i",
  });
  const attemptId = "a1";
  driver.feed({ kind: "seal_answered", attemptId, outcome: "sealed" });
  expect(driver.listEffects("claim").at(-1)).toMatchObject({ replaces: "a1" });
  expect(driver.listEffects("dispatch")).toHaveLength(2);
});

test.each(["unknown", "unreachable"] as const)(
  "a seal answered with %s leaves the outcome unknown",
  (outcome) => {
    const driver = sessionDriver.createDriver(nonRepeatable);
    driver.feed(lost);
    driver.feed({ kind: "seal_answered", attemptId: "a1", outcome });
    expect(driver.listEffects("dispatch")).toHaveLength(1);
    expect(findFinalAnswer(driver)).toMatchObject({ kind: "unknown" });
  },
);

test("a refusal by another incarnation leaves the outcome unknown", () => {
  const driver = sessionDriver.createDriver(nonRepeatable);
  driver.feedFrame(1, 0, { body: createRefusal("wrong_incarnation") });
  expect(findFinalAnswer(driver)).toMatchObject({ kind: "unknown" });
});

test("a non-repeatable request continues after its caller disconnects and is recorded", () => {
  const driver = sessionDriver.createDriver(nonRepeatable);
  driver.feed({ kind: "caller_gone" });
  expect(driver.session.isDone()).toBe(false);
  driver.feedFrame(1, 0, { body: accepted });
  driver.feedFrame(1, 1, { body: createChunk("filed") });
  driver.feedFrame(1, 2, { body: createEnd(3) });
  expect(driver.session.isDone()).toBe(true);
  expect(driver.listEffects("cancel")).toHaveLength(0);
  expect(driver.listEffects("settle")).toMatchObject([{
    attemptId: "a1",
    state: {
      kind: "finished",
      answer: { status: 200, body: Buffer.from("filed").toString("base64") },
    },
  }]);
});

test("a slow non-repeatable attempt continues while its agent reports it as running", () => {
  const driver = sessionDriver.createDriver(nonRepeatable);
  for (let count = 0; count < 10; count += 1) {
    driver.feed(stall);
    const attemptId = "a1";
    driver.feed({ kind: "seal_answered", attemptId, outcome: "running" });
  }
  expect(driver.session.isDone()).toBe(false);
});

describe("while the claim is being stored", () => {
  const outcome = { kind: "described", incarnation: "i", nowMs: 0 } as const;

  function createClaimingSession(
    request: Partial<session.Request> = {},
  ): session.Session {
    const machine = session.createSession({
      requestId: "r1",
      workspace: "w",
      work: { kind: "model", model: "m", body: new Uint8Array() },
      isNamed: false,
      digest: "d",
      priority: 1,
      deadlineAtMs: 30_000,
      ...nonRepeatable.request,
      ...request,
    }, {
      clock: { now: () => 10_000 },
      readWallMs: () => 10_000,
      createAttemptId: () => "a1",
      chooseUpstream: () => ({
        kind: "chosen",
        upstream: sessionDriver.createUpstream(0),
      }),
      takeRetry: () => true,
    });
    machine.handle({ kind: "arrived" });
    machine.handle({ kind: "prepared", attemptId: "a1", outcome });
    return machine;
  }

  const earlier: claims.Claim = {
    workspace: "w",
    requestId: "r1",
    attemptId: "a0",
    upstream: sessionDriver.createUpstream(5),
    incarnation: "i5",
    startByMs: 1,
    digest: "d",
    changedAtMs: 0,
    state: { kind: "claimed" },
  };

  function feedClaimAnswer(
    machine: session.Session,
    result: claims.ClaimResult,
  ) {
    return machine.handle({ kind: "claim_answered", attemptId: "a1", result });
  }

  test("an outage of the object store is answered with not run immediately", () => {
    const effects = feedClaimAnswer(createClaimingSession(), {
      kind: "unavailable",
      message: "down",
    });
    expect(effects).toMatchObject([
      { kind: "observe" },
      { kind: "settle", claim: { attemptId: "a1" } },
      { kind: "answer", answer: { kind: "not_run", retryAfterMs: 1_000 } },
    ]);
  });

  test("an outage of the object store leaves the outcome of a call with a caller-supplied id unknown", () => {
    const effects = feedClaimAnswer(createClaimingSession({ isNamed: true }), {
      kind: "unavailable",
      message: "down",
    });
    expect(effects.at(-1)).toMatchObject({ answer: { kind: "unknown" } });
  });

  test("a call with a caller-supplied id is answered with not run only after the lookup of its claim", () => {
    const machine = createClaimingSession({ isNamed: true });
    const effects = machine.handle({ kind: "timer", name: "deadline" });
    expect(effects.at(-1)).toEqual({ kind: "find" });
    const found = machine.handle({
      kind: "found",
      result: { kind: "missing" },
    });
    expect(found.at(-1)).toMatchObject({ answer: { kind: "not_run" } });
  });

  test("the deadline is answered with not run, and a late claim result is ignored", () => {
    const machine = createClaimingSession();
    const effects = machine.handle({ kind: "timer", name: "deadline" });
    expect(effects.at(-1)).toMatchObject({ answer: { kind: "not_run" } });
    expect(feedClaimAnswer(machine, { kind: "claimed" })).toEqual([]);
  });

  test("a different body with the request id of an earlier call is refused", () => {
    const effects = feedClaimAnswer(createClaimingSession(), {
      kind: "other_body",
    });
    expect(effects.at(-1)).toMatchObject({ answer: { kind: "other_body" } });
  });

  test("a recorded answer is delivered again", () => {
    const body = Buffer.from("filed").toString("base64");
    const answer = { status: 201, headers: [], body };
    const effects = feedClaimAnswer(createClaimingSession(), {
      kind: "exists",
      claim: { ...earlier, state: { kind: "finished", answer } },
    });
    expect(effects).toMatchObject([
      { kind: "observe" },
      { kind: "head", head: { status: 201 } },
      { kind: "data", data: Buffer.from("filed") },
      { kind: "end" },
    ]);
  });

  test("a claim that another entry is processing is not sealed", () => {
    const claim = { ...earlier, changedAtMs: 9_000 };
    const effects = feedClaimAnswer(createClaimingSession(), {
      kind: "exists",
      claim,
    });
    expect(effects.at(-1)).toMatchObject({
      answer: { kind: "unknown", retryAfterMs: 1_000 },
    });
  });

  test("an old claim is sealed before a new attempt replaces it", () => {
    const machine = createClaimingSession();
    const effects = feedClaimAnswer(machine, {
      kind: "exists",
      claim: earlier,
    });
    expect(effects.at(-1)).toMatchObject({
      kind: "seal",
      upstream: { id: "g/5" },
      seal: { attemptId: "a0", incarnation: "i5" },
    });
    const attemptId = "a0";
    machine.handle({ kind: "seal_answered", attemptId, outcome: "sealed" });
    const prepared = machine.handle({
      kind: "prepared",
      attemptId: "a1",
      outcome,
    });
    expect(prepared).toMatchObject([{ kind: "claim", replaces: "a0" }]);
  });
});

test.each([nonRepeatable, {}])("each attempt is reported once", (options) => {
  for (const final of ["deadline", "caller_gone"] as const) {
    const driver = sessionDriver.createDriver(options);
    driver.feed(lost);
    driver.feed({ kind: "seal_answered", attemptId: "a1", outcome: "running" });
    driver.feed({ kind: "caller_gone" });
    if (final === "deadline") driver.feed({ kind: "timer", name: "deadline" });
    else driver.feedFrame(1, 0, { body: accepted });
    driver.feedFrame(1, 1, { body: createEnd(2) });
    expect(driver.listEffects("observe")).toHaveLength(
      driver.listEffects("prepare").length,
    );
  }
});

test("a stream that the disconnected caller may resume is not cancelled", () => {
  const driver = sessionDriver.createDriver();
  driver.feedFrame(1, 0, { body: accepted });
  driver.feedFrame(1, 1, { body: createChunk("first") });
  driver.feed({ kind: "caller_gone" });
  expect(driver.session.isDone()).toBe(true);
  expect(driver.listEffects("cancel")).toHaveLength(0);
});

test("an attempt with no delivered data is cancelled when the caller disconnects", () => {
  const driver = sessionDriver.createDriver();
  driver.feedFrame(1, 0, { body: accepted });
  driver.feed({ kind: "caller_gone" });
  expect(driver.listEffects("cancel")).toMatchObject([{ attemptId: "a1" }]);
});

/** Times that an attempt may be resumed by default. */
const maxResumes = 3;

function feedStalls(driver: sessionDriver.Driver, count: number): void {
  for (let stalls = 0; stalls < count; stalls += 1) driver.feed(stall);
}

function listCancelled(driver: sessionDriver.Driver) {
  return driver.listEffects("cancel").map(({ attemptId }) => attemptId);
}

function feedWhole(driver: sessionDriver.Driver, attempt: number): void {
  driver.feedFrame(attempt, 0, { body: accepted });
  driver.feedFrame(attempt, 1, { body: createChunk("late") });
  driver.feedFrame(attempt, 2, { body: createEnd(3) });
}

test("an answer that has begun is followed through any number of stalls", () => {
  const driver = sessionDriver.createDriver();
  driver.feedFrame(1, 0, { body: accepted });
  driver.feedFrame(1, 1, { body: createChunk("first ") });
  feedStalls(driver, 10);
  expect(findFinalAnswer(driver)).toBeUndefined();
  expect(driver.listEffects("resume")).toHaveLength(10);
  expect(driver.listEffects("cancel")).toEqual([]);
  driver.feedFrame(1, 2, { body: createChunk("last") });
  driver.feedFrame(1, 3, { body: createEnd(4) });
  expect(driver.getText()).toBe("first last");
  expect(driver.listEffects("end")).toHaveLength(1);
});

describe.each(["streamed", "whole"] as const)(
  "a stalled attempt without data, delivery %s,",
  (delivery) => {
    const chooseOnce: session.SessionOptions["chooseUpstream"] = (ids) =>
      ids.size === 0
        ? { kind: "chosen", upstream: sessionDriver.createUpstream(0) }
        : { kind: "none", reason: "no upstream is left", retryAfterMs: 0 };

    test.each<[string, sessionDriver.DriverOptions]>([
      ["no attempt remains", { options: { maxAttempts: 1 } }],
      ["the retry budget is exhausted", {
        options: { takeRetry: () => false },
      }],
      ["no upstream remains", { options: { chooseUpstream: chooseOnce } }],
      ["no other agent can be reached", { isReachable: (id) => id === "a1" }],
    ])("is followed when %s", (_, options) => {
      for (const isStarted of [false, true]) {
        const driver = sessionDriver.createDriver({
          request: { delivery },
          ...options,
        });
        if (isStarted) driver.feedFrame(1, 0, { body: accepted });
        feedStalls(driver, 10);
        expect(findFinalAnswer(driver)).toBeUndefined();
        expect(driver.listEffects("cancel")).toEqual([]);
        feedWhole(driver, 1);
        expect(driver.getText()).toBe("late");
        expect(driver.listEffects("end")).toHaveLength(1);
      }
    });

    test("is followed when the other upstreams refuse", () => {
      const driver = sessionDriver.createDriver({ request: { delivery } });
      for (const attempt of [2, 3, 4]) {
        driver.feed(stall);
        driver.feedFrame(attempt, 0, { body: createRefusal("overloaded") });
      }
      feedStalls(driver, 3);
      expect(driver.listEffects("dispatch")).toHaveLength(4);
      expect(listCancelled(driver)).not.toContain("a1");
      feedWhole(driver, 1);
      expect(driver.getText()).toBe("late");
    });

    test("is cancelled once its replacement delivers data", () => {
      const driver = sessionDriver.createDriver({ request: { delivery } });
      driver.feed(stall);
      driver.feedFrame(2, 0, { body: accepted });
      expect(listCancelled(driver)).toEqual([]);
      driver.feedFrame(2, 1, { body: createChunk("late") });
      // A whole answer is delivered at its end.
      expect(listCancelled(driver)).toEqual(delivery === "whole" ? [] : ["a1"]);
      driver.feedFrame(2, 2, { body: createEnd(3) });
      expect(listCancelled(driver)).toEqual(["a1"]);
      expect(driver.getText()).toBe("late");
      expect(driver.listEffects("observe")).toMatchObject([
        { upstream: { id: "g/0" }, outcome: "lost", cause: "stalled" },
        { upstream: { id: "g/1" }, outcome: "completed" },
      ]);
    });

    test("ends its replacement when it goes on first", () => {
      const driver = sessionDriver.createDriver({ request: { delivery } });
      driver.feed(stall);
      feedWhole(driver, 1);
      expect(listCancelled(driver)).toEqual(["a2"]);
      expect(driver.getText()).toBe("late");
    });
  },
);

test("a started attempt is replaced only after its resumes brought nothing", () => {
  const driver = sessionDriver.createDriver();
  driver.feedFrame(1, 0, { body: accepted });
  feedStalls(driver, maxResumes);
  expect(driver.listEffects("dispatch")).toHaveLength(1);
  driver.feed(stall);
  expect(driver.listEffects("dispatch")).toHaveLength(2);
});

test("a lost connection keeps its limit after stalls", () => {
  const driver = sessionDriver.createDriver();
  driver.feedFrame(1, 0, { body: accepted });
  driver.feedFrame(1, 1, { body: createChunk("first") });
  feedStalls(driver, 10);
  for (let losses = 0; losses < maxResumes; losses += 1) driver.feed(lost);
  expect(findFinalAnswer(driver)).toBeUndefined();
  driver.feed(lost);
  expect(findFinalAnswer(driver)).toMatchObject({ kind: "failed", ran: "yes" });
});

test("a replacement continues when the stalled attempt is refused late", () => {
  const driver = sessionDriver.createDriver();
  driver.feed(stall);
  driver.feedFrame(1, 0, { body: createRefusal("expired") });
  expect(listCancelled(driver)).toEqual([]);
  feedWhole(driver, 2);
  expect(driver.getText()).toBe("late");
});

test.each(
  [
    ["failed", failed, "yes"],
    ["met another incarnation", createRefusal("wrong_incarnation"), "unknown"],
    ["stalled as well", accepted, "yes"],
  ] as const,
)(
  "after a replacement that %s, a late refusal is not answered with not run",
  (_, body, ran) => {
    const driver = sessionDriver.createDriver({ options: { maxAttempts: 3 } });
    driver.feed(stall);
    driver.feedFrame(2, 0, { body });
    driver.feed(stall);
    driver.feedFrame(3, 0, { body: createRefusal("overloaded") });
    driver.feedFrame(1, 0, { body: createRefusal("expired") });
    expect(driver.listEffects("dispatch")).toHaveLength(3);
    expect(findFinalAnswer(driver)).toMatchObject({ kind: "failed", ran });
  },
);
