import * as sessionDriver from "../../testing/session_driver.ts";
import type * as session from "./session.ts";

const work = {
  kind: "service",
  service: "s",
  method: "POST",
  path: "/a/b",
  headers: [],
  body: new Uint8Array(),
} as const;
const safe = { work, delivery: "whole", isRepeatable: true } as const;
const unsafe = { ...safe, isRepeatable: false };
const stream = { work, delivery: "events", isRepeatable: true } as const;

function createDriver(
  request: Partial<session.Request>,
  options: Partial<session.SessionOptions> = {},
): sessionDriver.Driver {
  return sessionDriver.createDriver({
    request,
    options: { gate: "none", maxAttempts: 2, ...options },
  });
}

function createHead(status: number) {
  const head = { status, headers: [] };
  return { kind: "accepted", incarnation: "", head } as const;
}

function createEvent(id: number): string {
  return `id: ${id}\ndata: ${"x".repeat(id)}\n\n`;
}

function listAnswers(driver: sessionDriver.Driver) {
  return driver.list("answer").map(({ answer }) => answer.kind);
}

/** Chooses one upstream, and none after it. */
function chooseOnce(): session.SessionOptions["chooseUpstream"] {
  return (tried) =>
    tried.size === 0
      ? { kind: "chosen", upstream: sessionDriver.createUpstream(0) }
      : { kind: "none", reason: "none is left", retryAfterMs: 0 };
}

const lost = {
  kind: "lost",
  attemptId: "a1",
  sent: true,
  message: "reset",
} as const;

test("an attempt is sent at once and nothing is claimed", () => {
  const driver = createDriver(unsafe);
  expect(driver.list("dispatch")).toHaveLength(1);
  expect(driver.list("prepare")).toEqual([]);
  expect(driver.list("claim")).toEqual([]);
});

test("a refusal by the last upstream is answered as not run", () => {
  const driver = createDriver(unsafe, { maxAttempts: 1 });
  driver.feedFrame(1, 0, { body: sessionDriver.createRefusal("overloaded") });
  expect(listAnswers(driver)).toEqual(["not_run"]);
  expect(driver.list("settle")).toEqual([]);
});

test("what must not run twice is never sent again once it left", () => {
  const driver = createDriver(unsafe);
  driver.feed(lost);
  expect(driver.list("dispatch")).toHaveLength(1);
  expect(listAnswers(driver)).toEqual(["unknown"]);
  expect(driver.list("seal")).toEqual([]);
});

test("what did not leave is sent elsewhere, beyond the attempts", () => {
  const driver = createDriver(unsafe, {
    maxAttempts: 1,
    takeRetry: () => false,
  });
  driver.feed({ ...lost, sent: false });
  expect(driver.list("dispatch").map(({ upstream }) => upstream.id))
    .toEqual(["g/0", "g/1"]);
});

test("a silent upstream is left only by what may be repeated", () => {
  const held = createDriver(unsafe);
  held.feed({ kind: "timer", name: "stall" });
  expect(held.list("dispatch")).toHaveLength(1);
  const repeated = createDriver(safe);
  repeated.feed({ kind: "timer", name: "stall" });
  expect(repeated.list("dispatch")).toHaveLength(2);
  expect(repeated.list("cancel")).toHaveLength(1);
});

test.each([
  ["no attempt is left", { maxAttempts: 1 }],
  ["the budget is used up", { takeRetry: () => false }],
  ["no other upstream is left", { chooseUpstream: chooseOnce() }],
])("a silent upstream is waited for while %s", (_, options) => {
  const driver = createDriver(safe, options);
  driver.feed({ kind: "timer", name: "stall" });
  expect(driver.list("dispatch")).toHaveLength(1);
  expect(driver.list("cancel")).toEqual([]);
  driver.feedFrame(1, 0, { body: createHead(200) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk("late") });
  driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.readText()).toBe("late");
  expect(driver.list("end")).toHaveLength(1);
});

test("the deadline ends what was sent as late, whatever it was", () => {
  for (const request of [safe, unsafe]) {
    const driver = createDriver(request);
    driver.feed({ kind: "timer", name: "deadline" });
    expect(listAnswers(driver)).toEqual(["deadline_exceeded"]);
    expect(driver.list("cancel")).toHaveLength(1);
  }
});

test("a failure of the upstream is tried elsewhere, then delivered", () => {
  const driver = createDriver(safe);
  driver.feedFrame(1, 0, { body: createHead(500) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk("one") });
  driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.list("dispatch")).toHaveLength(2);
  driver.feedFrame(2, 0, { body: createHead(500) });
  driver.feedFrame(2, 1, { body: sessionDriver.createChunk("two") });
  driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.list("head").map(({ head }) => head.status)).toEqual([500]);
  expect(driver.readText()).toBe("two");
  expect(driver.list("end")).toHaveLength(1);
});

test("a failure of what must not run twice is delivered as it is", () => {
  const driver = createDriver(unsafe);
  driver.feedFrame(1, 0, { body: createHead(500) });
  driver.feedFrame(1, 1, { body: sessionDriver.createEnd(2) });
  expect(driver.list("dispatch")).toHaveLength(1);
  expect(driver.list("head").map(({ head }) => head.status)).toEqual([500]);
});

test("a stream goes on elsewhere behind its last whole event", () => {
  const driver = createDriver(stream);
  driver.feedFrame(1, 0, { body: createHead(200) });
  const text = createEvent(1) + createEvent(2) + "id: 3\nda";
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk(text) });
  driver.feed(lost);
  expect(driver.list("dispatch")[1]?.attempt.resumeAfter).toBe("2");
  driver.feedFrame(2, 0, { body: createHead(200) });
  driver.feedFrame(2, 1, {
    body: sessionDriver.createChunk(createEvent(3)),
  });
  driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.readText()).toBe([1, 2, 3].map(createEvent).join(""));
  expect(driver.list("head")).toHaveLength(1);
  expect(driver.list("end")).toHaveLength(1);
});

test("events that are missing or come twice are not delivered", () => {
  for (const next of [1, 3]) {
    const driver = createDriver(stream, { maxAttempts: 1 });
    driver.feedFrame(1, 0, { body: createHead(200) });
    for (const id of [1, next]) {
      const sequence = id === next && driver.readText() !== "" ? 2 : 1;
      const body = sessionDriver.createChunk(createEvent(id));
      driver.feedFrame(1, sequence, { body });
    }
    expect(driver.readText()).toBe(createEvent(1));
    expect(listAnswers(driver)).toEqual(["failed"]);
  }
});

test("a stream that ends inside an event is not complete", () => {
  const driver = createDriver(stream, { maxAttempts: 1 });
  driver.feedFrame(1, 0, { body: createHead(200) });
  const body = sessionDriver.createChunk(createEvent(1) + "id: 2\n");
  driver.feedFrame(1, 1, { body });
  driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.list("end")).toEqual([]);
  expect(listAnswers(driver)).toEqual(["failed"]);
});

test("a caller's last event is where the first attempt goes on", () => {
  const driver = createDriver({ ...stream, resumeAfter: "7" });
  expect(driver.list("dispatch")[0]?.attempt.resumeAfter).toBe("7");
  driver.feedFrame(1, 0, { body: createHead(200) });
  driver.feedFrame(1, 1, {
    body: sessionDriver.createChunk(createEvent(8)),
  });
  expect(driver.readText()).toBe(createEvent(8));
});

test("a request that waits is sent when it is granted a place", () => {
  const driver = createDriver(unsafe, {
    chooseUpstream: () => ({ kind: "wait" }),
  });
  expect(driver.list("dispatch")).toEqual([]);
  const upstream = sessionDriver.createUpstream(4);
  driver.feed({ kind: "granted", upstream });
  expect(driver.list("dispatch").map((effect) => effect.upstream.id))
    .toEqual(["g/4"]);
  driver.feed({ kind: "granted", upstream });
  expect(driver.list("dispatch")).toHaveLength(1);
});

test("a request that waits in vain did not run", () => {
  const denied = createDriver(unsafe, {
    chooseUpstream: () => ({ kind: "wait" }),
  });
  denied.feed({ kind: "denied", reason: "full", retryAfterMs: 70 });
  expect(denied.list("answer")[0]?.answer).toEqual({
    kind: "not_run",
    reason: "full",
    retryAfterMs: 70,
  });
  const late = createDriver(unsafe, {
    chooseUpstream: () => ({ kind: "wait" }),
  });
  late.feed({ kind: "timer", name: "deadline" });
  expect(listAnswers(late)).toEqual(["not_run"]);
});

test("the work of a caller that left is cancelled", () => {
  for (const request of [safe, unsafe, stream]) {
    const driver = createDriver(request);
    driver.feed({ kind: "caller_gone" });
    expect(driver.session.isDone()).toBe(true);
    expect(driver.list("cancel")).toHaveLength(1);
  }
});
