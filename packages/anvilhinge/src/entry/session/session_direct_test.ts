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
const repeatable = { work, delivery: "whole", isRepeatable: true } as const;
const nonRepeatable = { ...repeatable, isRepeatable: false };
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
  return driver.listEffects("answer").map(({ answer }) => answer.kind);
}

function listCancelled(driver: sessionDriver.Driver) {
  return driver.listEffects("cancel").map(({ attemptId }) => attemptId);
}

/** Chooses one upstream for the first attempt and none afterwards. */
function chooseOnce(): session.SessionOptions["chooseUpstream"] {
  return (attemptedIds) =>
    attemptedIds.size === 0
      ? { kind: "chosen", upstream: sessionDriver.createUpstream(0) }
      : { kind: "none", reason: "no upstream is left", retryAfterMs: 0 };
}

const lost = {
  kind: "lost",
  attemptId: "a1",
  sent: true,
  message: "reset",
} as const;

test("without an agent, an attempt is dispatched immediately and without a claim", () => {
  const driver = createDriver(nonRepeatable);
  expect(driver.listEffects("dispatch")).toHaveLength(1);
  expect(driver.listEffects("prepare")).toEqual([]);
  expect(driver.listEffects("claim")).toEqual([]);
});

test("a refusal of the last attempt is answered with not run and settles no claim", () => {
  const driver = createDriver(nonRepeatable, { maxAttempts: 1 });
  driver.feedFrame(1, 0, { body: sessionDriver.createRefusal("overloaded") });
  expect(listAnswers(driver)).toEqual(["not_run"]);
  expect(driver.listEffects("settle")).toEqual([]);
});

test("a non-repeatable request is not retried after it left the node", () => {
  const driver = createDriver(nonRepeatable);
  driver.feed(lost);
  expect(driver.listEffects("dispatch")).toHaveLength(1);
  expect(listAnswers(driver)).toEqual(["unknown"]);
  expect(driver.listEffects("seal")).toEqual([]);
});

test("an unsent attempt is retried at another upstream beyond maxAttempts", () => {
  const driver = createDriver(nonRepeatable, {
    maxAttempts: 1,
    takeRetry: () => false,
  });
  driver.feed({ ...lost, sent: false });
  expect(driver.listEffects("dispatch").map(({ upstream }) => upstream.id))
    .toEqual(["g/0", "g/1"]);
});

test("only a repeatable request is retried when its upstream stalls", () => {
  const nonRepeatableDriver = createDriver(nonRepeatable);
  nonRepeatableDriver.feed({ kind: "timer", name: "stall" });
  expect(nonRepeatableDriver.listEffects("dispatch")).toHaveLength(1);
  const repeatableDriver = createDriver(repeatable);
  repeatableDriver.feed({ kind: "timer", name: "stall" });
  expect(repeatableDriver.listEffects("dispatch")).toHaveLength(2);
  expect(listCancelled(repeatableDriver)).toEqual([]);
  repeatableDriver.feedFrame(2, 0, { body: createHead(200) });
  repeatableDriver.feedFrame(2, 1, { body: sessionDriver.createChunk("x") });
  expect(listCancelled(repeatableDriver)).toEqual([]);
  repeatableDriver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
  expect(listCancelled(repeatableDriver)).toEqual(["a1"]);
  expect(repeatableDriver.getText()).toBe("x");
});

test.each([
  ["no attempt remains", { maxAttempts: 1 }],
  ["the retry budget is exhausted", { takeRetry: () => false }],
  ["no other upstream remains", { chooseUpstream: chooseOnce() }],
])("a stalled upstream is waited for when %s", (_, options) => {
  const driver = createDriver(repeatable, options);
  driver.feed({ kind: "timer", name: "stall" });
  expect(driver.listEffects("dispatch")).toHaveLength(1);
  expect(driver.listEffects("cancel")).toEqual([]);
  driver.feedFrame(1, 0, { body: createHead(200) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk("late") });
  driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.getText()).toBe("late");
  expect(driver.listEffects("end")).toHaveLength(1);
});

test("a late refusal after a replacement that failed is not answered with not run", () => {
  const driver = createDriver(repeatable);
  driver.feed({ kind: "timer", name: "stall" });
  driver.feedFrame(2, 0, { body: createHead(500) });
  driver.feedFrame(1, 0, { body: sessionDriver.createRefusal("overloaded") });
  expect(driver.listEffects("answer")).toMatchObject([
    { answer: { kind: "failed", ran: "yes" } },
  ]);
});

test("the deadline ends and cancels a dispatched request, repeatable or not", () => {
  for (const request of [repeatable, nonRepeatable]) {
    const driver = createDriver(request);
    driver.feed({ kind: "timer", name: "deadline" });
    expect(listAnswers(driver)).toEqual(["deadline_exceeded"]);
    expect(driver.listEffects("cancel")).toHaveLength(1);
  }
});

test("a failure status is retried at another upstream, then delivered", () => {
  const driver = createDriver(repeatable);
  driver.feedFrame(1, 0, { body: createHead(500) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk("one") });
  driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.listEffects("dispatch")).toHaveLength(2);
  driver.feedFrame(2, 0, { body: createHead(500) });
  driver.feedFrame(2, 1, { body: sessionDriver.createChunk("two") });
  driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.listEffects("head").map(({ head }) => head.status)).toEqual([
    500,
  ]);
  expect(driver.getText()).toBe("two");
  expect(driver.listEffects("end")).toHaveLength(1);
});

test("a failure status of a non-repeatable request is delivered", () => {
  const driver = createDriver(nonRepeatable);
  driver.feedFrame(1, 0, { body: createHead(500) });
  driver.feedFrame(1, 1, { body: sessionDriver.createEnd(2) });
  expect(driver.listEffects("dispatch")).toHaveLength(1);
  expect(driver.listEffects("head").map(({ head }) => head.status)).toEqual([
    500,
  ]);
});

test("a broken stream continues at another upstream after the last complete event", () => {
  const driver = createDriver(stream);
  driver.feedFrame(1, 0, { body: createHead(200) });
  const text = createEvent(1) + createEvent(2) + "id: 3\nda";
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk(text) });
  driver.feed(lost);
  expect(driver.listEffects("dispatch")[1]?.attempt.resumeAfter).toBe("2");
  driver.feedFrame(2, 0, { body: createHead(200) });
  driver.feedFrame(2, 1, {
    body: sessionDriver.createChunk(createEvent(3)),
  });
  driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.getText()).toBe([1, 2, 3].map(createEvent).join(""));
  expect(driver.listEffects("head")).toHaveLength(1);
  expect(driver.listEffects("end")).toHaveLength(1);
});

test("a stream with a missing or repeated event is not delivered further", () => {
  for (const next of [1, 3]) {
    const driver = createDriver(stream, { maxAttempts: 1 });
    driver.feedFrame(1, 0, { body: createHead(200) });
    for (const id of [1, next]) {
      const sequence = id === next && driver.getText() !== "" ? 2 : 1;
      const body = sessionDriver.createChunk(createEvent(id));
      driver.feedFrame(1, sequence, { body });
    }
    expect(driver.getText()).toBe(createEvent(1));
    expect(listAnswers(driver)).toEqual(["failed"]);
  }
});

describe("a stream that broke after an event", () => {
  function replayContinuation(...texts: readonly string[]) {
    const driver = createDriver(stream, { maxAttempts: 2 });
    driver.feedFrame(1, 0, { body: createHead(200) });
    driver.feedFrame(1, 1, { body: sessionDriver.createChunk(createEvent(1)) });
    driver.feed(lost);
    driver.feedFrame(2, 0, { body: createHead(200) });
    for (const [index, text] of texts.entries()) {
      const body = sessionDriver.createChunk(text);
      driver.feedFrame(2, 1 + index, { body });
    }
    const body = sessionDriver.createEnd(texts.length + 2);
    driver.feedFrame(2, texts.length + 1, { body });
    return driver;
  }

  // Guards against an end that no upstream has shown, and against text that is
  // no event of the stream.
  it.each([
    ["no event", []],
    ["only a comment", [": ping\n\n"]],
    ["an event without an id", ["data: an error\n\n"]],
    ["a later event without an id", [createEvent(2), "data: b\n\n"]],
  ])("is not completed by %s", (_, texts) => {
    const driver = replayContinuation(...texts);
    expect(driver.listEffects("end")).toEqual([]);
    expect(listAnswers(driver)).toEqual(["failed"]);
    expect(driver.getText()).not.toContain("data: an error");
  });

  it("is completed by the next event", () => {
    const driver = replayContinuation(": ping\n\n", createEvent(2));
    expect(driver.listEffects("end")).toHaveLength(1);
    expect(driver.getText()).toContain(createEvent(2));
  });

  it("is not continued if its events have no ids", () => {
    const driver = createDriver(stream);
    driver.feedFrame(1, 0, { body: createHead(200) });
    const body = sessionDriver.createChunk("data: a\n\n");
    driver.feedFrame(1, 1, { body });
    driver.feed(lost);
    expect(driver.listEffects("dispatch")).toHaveLength(1);
    expect(listAnswers(driver)).toEqual(["failed"]);
  });
});

test.each([
  ["text/plain", 2],
  ["application/json; charset=utf-8", 2],
  ["text/event-stream", 1],
  ["Text/Event-Stream; charset=utf-8", 1],
])("a stream that is declared as %s takes %d attempts", (type, attempts) => {
  const driver = createDriver(stream);
  const head = { status: 200, headers: [["content-type", type]] } as const;
  driver.feedFrame(1, 0, {
    body: { kind: "accepted", incarnation: "", head },
  });
  expect(driver.listEffects("dispatch")).toHaveLength(attempts);
});

test("a stream that ends inside an event is answered as failed", () => {
  const driver = createDriver(stream, { maxAttempts: 1 });
  driver.feedFrame(1, 0, { body: createHead(200) });
  const body = sessionDriver.createChunk(createEvent(1) + "id: 2\n");
  driver.feedFrame(1, 1, { body });
  driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.listEffects("end")).toEqual([]);
  expect(listAnswers(driver)).toEqual(["failed"]);
});

test("the body of a failure does not follow a part of the stream", () => {
  const driver = createDriver(stream, { maxAttempts: 3 });
  driver.feedFrame(1, 0, { body: createHead(200) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk(createEvent(1)) });
  driver.feed(lost);
  driver.feedFrame(2, 0, { body: createHead(500) });
  driver.feedFrame(2, 1, { body: sessionDriver.createChunk("no answer") });
  driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
  driver.feedFrame(3, 0, { body: createHead(200) });
  driver.feedFrame(3, 1, { body: sessionDriver.createChunk(createEvent(2)) });
  driver.feedFrame(3, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
  expect(driver.listEffects("end")).toHaveLength(1);
});

describe("more bytes than the buffer's limit", () => {
  const bufferLimitBytes = 100;
  const text = "x".repeat(bufferLimitBytes);
  const limited = { bufferLimitBytes } as const;

  test.each([
    ["first", ""],
    ["second", createEvent(1)],
  ])("without the end of the %s event break a stream", (_, events) => {
    const driver = createDriver(stream, limited);
    driver.feedFrame(1, 0, { body: createHead(200) });
    const start = sessionDriver.createChunk(`${events}${text}`);
    driver.feedFrame(1, 1, { body: start });
    expect(listCancelled(driver)).toEqual([]);
    driver.feedFrame(1, 2, { body: sessionDriver.createChunk("x") });
    expect(listCancelled(driver)).toEqual(["a1"]);
    expect(driver.listEffects("observe")).toMatchObject([
      { outcome: "lost", cause: "oversized", upstream: { id: "g/0" } },
    ]);
    expect(driver.getText()).toBe(events);
    expect(driver.listEffects("dispatch")).toHaveLength(2);
    driver.feedFrame(2, 0, { body: createHead(200) });
    const id = events === "" ? 1 : 2;
    const body = sessionDriver.createChunk(createEvent(id));
    driver.feedFrame(2, 1, { body });
    driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
    expect(driver.getText()).toBe(events + createEvent(id));
  });

  test("without the end of an event break a stream that can't be resumed", () => {
    const driver = createDriver({ ...stream, isRepeatable: false }, limited);
    driver.feedFrame(1, 0, { body: createHead(200) });
    driver.feedFrame(1, 1, { body: sessionDriver.createChunk(`${text}x`) });
    expect(driver.getText()).toBe("");
    expect(driver.listEffects("dispatch")).toHaveLength(1);
    expect(listAnswers(driver)).toEqual(["unknown"]);
  });

  test("in complete events are delivered", () => {
    const driver = createDriver(stream, limited);
    const events = [1, 2, 3].map((id) => `id: ${id}\ndata: ${text}\n\n`);
    driver.feedFrame(1, 0, { body: createHead(200) });
    driver.feedFrame(1, 1, {
      body: sessionDriver.createChunk(events.join("")),
    });
    driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
    expect(driver.getText()).toBe(events.join(""));
    expect(driver.listEffects("end")).toHaveLength(1);
  });

  test.each([["safe request", repeatable], ["stream", stream]])(
    "in the body of a failure are replaced by another attempt: %s",
    (_, request) => {
      const driver = createDriver(request, limited);
      driver.feedFrame(1, 0, { body: createHead(500) });
      driver.feedFrame(1, 1, { body: sessionDriver.createChunk(`${text}x`) });
      expect(driver.getText()).toBe("");
      expect(listCancelled(driver)).toEqual(["a1"]);
      expect(driver.listEffects("observe")).toMatchObject([
        { outcome: "failed", upstream: { id: "g/0" } },
      ]);
      driver.feedFrame(2, 0, { body: createHead(200) });
      driver.feedFrame(2, 1, {
        body: sessionDriver.createChunk(createEvent(1)),
      });
      driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
      expect(driver.getText()).toBe(createEvent(1));
      expect(driver.listEffects("head").map(({ head }) => head.status))
        .toEqual([200]);
    },
  );

  test.each([
    ["safe request", repeatable],
    ["unsafe request", nonRepeatable],
    ["stream", stream],
  ])(
    "in the body of the last failure are delivered alone: %s",
    (_, request) => {
      const driver = createDriver(request, { ...limited, maxAttempts: 1 });
      driver.feedFrame(1, 0, { body: createHead(500) });
      driver.feedFrame(1, 1, { body: sessionDriver.createChunk(`${text}x`) });
      driver.feedFrame(1, 2, { body: sessionDriver.createChunk("y") });
      driver.feedFrame(1, 3, { body: sessionDriver.createEnd(4) });
      expect(driver.getText()).toBe(`${text}xy`);
      expect(driver.listEffects("end")).toHaveLength(1);
    },
  );

  test("in the body of a failure are not followed by a stream", () => {
    let retries = 0;
    const driver = createDriver(stream, {
      ...limited,
      // The budget has no retry at the limit and has one again at the end.
      takeRetry: () => (retries += 1) > 1,
    });
    driver.feedFrame(1, 0, { body: createHead(500) });
    driver.feedFrame(1, 1, { body: sessionDriver.createChunk(`${text}x`) });
    expect(driver.getText()).toBe(`${text}x`);
    driver.feed(lost);
    expect(driver.listEffects("dispatch")).toHaveLength(1);
    expect(listAnswers(driver)).toEqual(["failed"]);
  });

  test.each(
    [["breaks", lost], ["stalls", { kind: "timer", name: "stall" }]] as const,
  )(
    "in the body of a 404 that %s are not followed by a stream",
    (_, event) => {
      const driver = createDriver(stream, limited);
      driver.feedFrame(1, 0, { body: createHead(404) });
      driver.feedFrame(1, 1, { body: sessionDriver.createChunk(`${text}x`) });
      expect(driver.getText()).toBe(`${text}x`);
      driver.feed(event);
      expect(driver.listEffects("dispatch")).toHaveLength(1);
    },
  );
});

test("the first attempt resumes after the last event that the caller received", () => {
  const driver = createDriver({ ...stream, resumeAfter: "7" });
  expect(driver.listEffects("dispatch")[0]?.attempt.resumeAfter).toBe("7");
  driver.feedFrame(1, 0, { body: createHead(200) });
  driver.feedFrame(1, 1, {
    body: sessionDriver.createChunk(createEvent(8)),
  });
  expect(driver.getText()).toBe(createEvent(8));
});

test("a waiting request is dispatched once when it is granted a slot", () => {
  const driver = createDriver(nonRepeatable, {
    chooseUpstream: () => ({ kind: "wait" }),
  });
  expect(driver.listEffects("dispatch")).toEqual([]);
  const upstream = sessionDriver.createUpstream(4);
  driver.feed({ kind: "granted", upstream });
  expect(driver.listEffects("dispatch").map((effect) => effect.upstream.id))
    .toEqual(["g/4"]);
  driver.feed({ kind: "granted", upstream });
  expect(driver.listEffects("dispatch")).toHaveLength(1);
});

test("a waiting request that is denied or times out is answered with not run", () => {
  const denied = createDriver(nonRepeatable, {
    chooseUpstream: () => ({ kind: "wait" }),
  });
  denied.feed({ kind: "denied", reason: "full", retryAfterMs: 70 });
  expect(denied.listEffects("answer")[0]?.answer).toEqual({
    kind: "not_run",
    reason: "full",
    retryAfterMs: 70,
  });
  const expired = createDriver(nonRepeatable, {
    chooseUpstream: () => ({ kind: "wait" }),
  });
  expired.feed({ kind: "timer", name: "deadline" });
  expect(listAnswers(expired)).toEqual(["not_run"]);
});

test("the attempt of a disconnected caller is cancelled", () => {
  for (const request of [repeatable, nonRepeatable, stream]) {
    const driver = createDriver(request);
    driver.feed({ kind: "caller_gone" });
    expect(driver.session.isDone()).toBe(true);
    expect(driver.listEffects("cancel")).toHaveLength(1);
  }
});

test.each(
  [
    ["broken", lost],
    ["deadline", { kind: "timer", name: "deadline" }],
    ["caller_gone", { kind: "caller_gone" }],
  ] as const,
)("the end of an attempt is observed with the cause %s", (cause, event) => {
  const driver = createDriver(stream);
  driver.feed(event);
  expect(driver.listEffects("observe")[0]?.cause).toBe(cause);
});

/** Feeds the head and the first event of the first attempt, then a stall. */
function feedStall(driver: sessionDriver.Driver): void {
  driver.feedFrame(1, 0, { body: createHead(200) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk(createEvent(1)) });
  driver.feed({ kind: "timer", name: "stall" });
}

/** Chooses the first upstream at once; later attempts wait for a slot. */
function chooseThenWait(): session.SessionOptions["chooseUpstream"] {
  return (attemptedIds) =>
    attemptedIds.size === 0
      ? { kind: "chosen", upstream: sessionDriver.createUpstream(0) }
      : { kind: "wait" };
}

test("a stalled stream is not broken off when no slot for its replacement is granted", () => {
  const driver = createDriver(stream, { chooseUpstream: chooseThenWait() });
  feedStall(driver);
  driver.feed({ kind: "denied", reason: "full", retryAfterMs: 70 });
  expect(driver.listEffects("cancel")).toEqual([]);
  driver.feedFrame(1, 2, { body: sessionDriver.createChunk(createEvent(2)) });
  driver.feedFrame(1, 3, { body: sessionDriver.createEnd(4) });
  expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
  expect(driver.listEffects("end")).toHaveLength(1);
  expect(listAnswers(driver)).toEqual([]);
});

describe("a stalled stream with a replacement", () => {
  function createReplaced(
    options: Partial<session.SessionOptions> = {},
  ): sessionDriver.Driver {
    const driver = createDriver(stream, options);
    feedStall(driver);
    return driver;
  }

  function feedEvent(
    driver: sessionDriver.Driver,
    { attempt, sequence, id }: {
      readonly attempt: number;
      readonly sequence: number;
      readonly id: number;
    },
  ): void {
    const body = sessionDriver.createChunk(createEvent(id));
    driver.feedFrame(attempt, sequence, { body });
  }

  /** Ends the stalled attempt after event 2 and checks the whole answer. */
  function expectStalledToFinish(driver: sessionDriver.Driver): void {
    feedEvent(driver, { attempt: 1, sequence: 2, id: 2 });
    driver.feedFrame(1, 3, { body: sessionDriver.createEnd(4) });
    expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
    expect(driver.listEffects("end")).toHaveLength(1);
    expect(listAnswers(driver)).toEqual([]);
  }

  it("continues at the replacement once that delivers data", () => {
    const driver = createReplaced();
    expect(driver.listEffects("dispatch")[1]?.attempt.resumeAfter).toBe("1");
    driver.feedFrame(2, 0, { body: createHead(200) });
    expect(listCancelled(driver)).toEqual([]);
    feedEvent(driver, { attempt: 2, sequence: 1, id: 2 });
    expect(listCancelled(driver)).toEqual(["a1"]);
    expect(driver.listEffects("observe")).toMatchObject([
      { outcome: "lost", cause: "stalled", upstream: { id: "g/0" } },
    ]);
    feedEvent(driver, { attempt: 1, sequence: 2, id: 2 });
    driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
    expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
    expect(driver.listEffects("head")).toHaveLength(1);
    expect(driver.listEffects("end")).toHaveLength(1);
  });

  it("cancels the replacement when the stalled attempt goes on first", () => {
    const driver = createReplaced();
    driver.feedFrame(2, 0, { body: createHead(200) });
    feedEvent(driver, { attempt: 1, sequence: 2, id: 2 });
    expect(listCancelled(driver)).toEqual(["a2"]);
    feedEvent(driver, { attempt: 2, sequence: 1, id: 2 });
    driver.feedFrame(1, 3, { body: sessionDriver.createEnd(4) });
    expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
    expect(driver.listEffects("end")).toHaveLength(1);
  });

  it.each(
    [
      ["refuses", sessionDriver.createRefusal("overloaded"), "refused"],
      ["answers with a failure", createHead(503), "failed"],
    ] as const,
  )("goes on when the replacement %s", (_, body, outcome) => {
    const driver = createReplaced();
    driver.feedFrame(2, 0, { body });
    expect(driver.listEffects("observe")).toMatchObject([
      { outcome, upstream: { id: "g/1" } },
    ]);
    expectStalledToFinish(driver);
  });

  it("goes on when the connection to the replacement breaks", () => {
    const driver = createReplaced();
    driver.feed({ ...lost, attemptId: "a2" });
    expectStalledToFinish(driver);
  });

  it.each([["before", false], ["after", true]])(
    "continues at the replacement when the stalled attempt breaks %s its head",
    (_, hasHead) => {
      const driver = createReplaced();
      if (hasHead) driver.feedFrame(2, 0, { body: createHead(200) });
      driver.feed(lost);
      expect(driver.listEffects("dispatch")).toHaveLength(2);
      if (!hasHead) driver.feedFrame(2, 0, { body: createHead(200) });
      feedEvent(driver, { attempt: 2, sequence: 1, id: 2 });
      driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
      expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
      expect(listAnswers(driver)).toEqual([]);
    },
  );

  it.each(
    [
      ["deadline", { kind: "timer", name: "deadline" }],
      ["caller_gone", { kind: "caller_gone" }],
    ] as const,
  )("ends both attempts with the cause %s", (cause, event) => {
    const driver = createReplaced();
    driver.feed(event);
    expect(listCancelled(driver)).toEqual(["a1", "a2"]);
    expect(driver.listEffects("observe").map((effect) => effect.cause))
      .toEqual([cause, cause]);
    expect(driver.session.isDone()).toBe(true);
  });

  it.each([["lost", false], ["completed", true]])(
    "is observed as %s when its caller disconnects",
    (outcome, hasProgress) => {
      const driver = createReplaced({ chooseUpstream: chooseThenWait() });
      if (hasProgress) feedEvent(driver, { attempt: 1, sequence: 2, id: 2 });
      driver.feed({ kind: "caller_gone" });
      expect(driver.listEffects("observe")).toMatchObject([{ outcome }]);
    },
  );

  it("says nothing about the upstream of a replacement that is not needed", () => {
    const driver = createReplaced();
    feedEvent(driver, { attempt: 1, sequence: 2, id: 2 });
    expect(driver.listEffects("observe")).toMatchObject([
      { outcome: "abandoned", cause: "redundant", upstream: { id: "g/1" } },
    ]);
  });

  it("takes a retry only for a granted slot and releases it without one", () => {
    let taken = 0;
    let withdrawn = 0;
    const driver = createReplaced({
      chooseUpstream: chooseThenWait(),
      takeRetry() {
        taken += 1;
        return false;
      },
      withdrawSlotRequest: () => void (withdrawn += 1),
    });
    driver.feed({ kind: "denied", reason: "full", retryAfterMs: 70 });
    expect([taken, withdrawn]).toEqual([0, 0]);
    driver.feed({ kind: "timer", name: "stall" });
    const upstream = sessionDriver.createUpstream(1);
    driver.feed({ kind: "granted", upstream });
    expect([taken, withdrawn]).toEqual([1, 1]);
    expect(driver.listEffects("dispatch")).toHaveLength(1);
    expectStalledToFinish(driver);
  });

  it("withdraws the slot request when the stalled attempt goes on", () => {
    let withdrawn = 0;
    const driver = createReplaced({
      chooseUpstream: chooseThenWait(),
      withdrawSlotRequest: () => void (withdrawn += 1),
    });
    feedEvent(driver, { attempt: 1, sequence: 2, id: 2 });
    expect(withdrawn).toBe(1);
    const upstream = sessionDriver.createUpstream(1);
    driver.feed({ kind: "granted", upstream });
    expect(driver.listEffects("dispatch")).toHaveLength(1);
  });

  it("waits for another slot when the stalled attempt breaks meanwhile", () => {
    const driver = createReplaced({ chooseUpstream: chooseThenWait() });
    driver.feed(lost);
    expect(listAnswers(driver)).toEqual([]);
    const upstream = sessionDriver.createUpstream(1);
    driver.feed({ kind: "granted", upstream });
    driver.feedFrame(2, 0, { body: createHead(200) });
    feedEvent(driver, { attempt: 2, sequence: 1, id: 2 });
    driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
    expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
  });
});

describe("one of two open attempts", () => {
  const whole = repeatable;

  function feedChunk(
    driver: sessionDriver.Driver,
    { attempt, sequence, text }: {
      readonly attempt: number;
      readonly sequence: number;
      readonly text: string;
    },
  ): void {
    const body = sessionDriver.createChunk(text);
    driver.feedFrame(attempt, sequence, { body });
  }

  /** Creates a whole answer whose first attempt stalled before its head. */
  function createStalledWhole(): sessionDriver.Driver {
    const driver = createDriver(whole);
    driver.feed({ kind: "timer", name: "stall" });
    return driver;
  }

  function createStalledStream(
    options: Partial<session.SessionOptions> = {},
  ): sessionDriver.Driver {
    const driver = createDriver(stream, options);
    feedStall(driver);
    return driver;
  }

  /** Ends the first attempt of a stalled stream after event 2. */
  function expectStalledToFinish(driver: sessionDriver.Driver): void {
    feedChunk(driver, { attempt: 1, sequence: 2, text: createEvent(2) });
    driver.feedFrame(1, 3, { body: sessionDriver.createEnd(4) });
    expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
    expect(driver.listEffects("end")).toHaveLength(1);
    expect(listAnswers(driver)).toEqual([]);
  }

  it("answers a failure: a whole answer is taken from the other", () => {
    const driver = createStalledWhole();
    driver.feedFrame(2, 0, { body: createHead(200) });
    driver.feedFrame(1, 0, { body: createHead(500) });
    driver.feedFrame(1, 1, { body: sessionDriver.createEnd(2) });
    expect(driver.listEffects("head")).toEqual([]);
    feedChunk(driver, { attempt: 2, sequence: 1, text: "sound" });
    driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
    expect(driver.listEffects("head").map(({ head }) => head.status))
      .toEqual([200]);
    expect(driver.getText()).toBe("sound");
  });

  it("sends only a head: a whole answer is taken from the first that ends", () => {
    const driver = createStalledWhole();
    driver.feedFrame(2, 0, { body: createHead(200) });
    driver.feedFrame(1, 0, { body: createHead(200) });
    feedChunk(driver, { attempt: 1, sequence: 1, text: "begun" });
    expect(listCancelled(driver)).toEqual([]);
    feedChunk(driver, { attempt: 2, sequence: 1, text: "whole" });
    driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
    expect(driver.getText()).toBe("whole");
    expect(listCancelled(driver)).toEqual(["a1"]);
  });

  it("answers a failure: a stream goes on at the other", () => {
    const driver = createDriver(stream, { maxAttempts: 3 });
    driver.feedFrame(1, 0, { body: createHead(200) });
    feedChunk(driver, { attempt: 1, sequence: 1, text: createEvent(1) });
    driver.feed(lost);
    driver.feed({ kind: "timer", name: "stall" });
    driver.feedFrame(3, 0, { body: createHead(200) });
    driver.feedFrame(2, 0, { body: createHead(500) });
    driver.feedFrame(2, 1, { body: sessionDriver.createEnd(2) });
    expect(listAnswers(driver)).toEqual([]);
    feedChunk(driver, { attempt: 3, sequence: 1, text: createEvent(2) });
    expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
  });

  it.each([
    ["breaks inside an event", "id: 2\nda", true],
    ["sends a misplaced event", createEvent(5), false],
  ])("%s: the stream goes on at its replacement", (_, text, isLost) => {
    const driver = createStalledStream();
    driver.feedFrame(2, 0, { body: createHead(200) });
    feedChunk(driver, { attempt: 1, sequence: 2, text });
    if (isLost) driver.feed(lost);
    expect(listAnswers(driver)).toEqual([]);
    feedChunk(driver, { attempt: 2, sequence: 1, text: createEvent(2) });
    expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
  });

  it.each([
    ["repeats an event", 200, createEvent(1)],
    ["answers with another status than 200", 404, "not found\n"],
    ["ends without an event", 200, undefined],
    ["ends without an event and with another status", 404, undefined],
  ])("replaces and %s: the stalled stream goes on", (_, status, text) => {
    const driver = createStalledStream();
    driver.feedFrame(2, 0, { body: createHead(status) });
    if (text !== undefined) {
      feedChunk(driver, { attempt: 2, sequence: 1, text });
    } else driver.feedFrame(2, 1, { body: sessionDriver.createEnd(2) });
    expect(listCancelled(driver)).toEqual(["a2"]);
    expectStalledToFinish(driver);
  });

  it("replaces and breaks inside an event: the stalled stream goes on", () => {
    const driver = createStalledStream();
    driver.feedFrame(2, 0, { body: createHead(200) });
    feedChunk(driver, { attempt: 2, sequence: 1, text: "id: 2\nda" });
    driver.feed({ ...lost, attemptId: "a2" });
    expectStalledToFinish(driver);
  });

  it("was never sent: it does not count as an attempt", () => {
    const driver = createStalledStream();
    driver.feed({ ...lost, attemptId: "a2", sent: false });
    expect(driver.listEffects("dispatch").map(({ upstream }) => upstream.id))
      .toEqual(["g/0", "g/1", "g/2"]);
  });

  it("is lost while a slot is requested: the slot request is kept", () => {
    let requested = 0;
    let withdrawn = 0;
    const choose = chooseThenWait();
    const driver = createStalledStream({
      chooseUpstream(attemptedIds) {
        requested += 1;
        return choose(attemptedIds);
      },
      withdrawSlotRequest: () => void (withdrawn += 1),
    });
    driver.feed(lost);
    expect([requested, withdrawn]).toEqual([2, 0]);
  });
});

test("a stalled attempt requests a slot again after the delay that was advised", () => {
  const driver = createDriver(stream, { chooseUpstream: chooseThenWait() });
  feedStall(driver);
  driver.feed({ kind: "denied", reason: "full", retryAfterMs: 300 });
  expect(driver.listEffects("set_timer").at(-1)).toMatchObject({
    name: "slot",
    delayMs: 300,
  });
  driver.feed({ kind: "timer", name: "slot" });
  const upstream = sessionDriver.createUpstream(1);
  driver.feed({ kind: "granted", upstream });
  expect(driver.listEffects("dispatch")).toHaveLength(2);
});

test("a broken stream requests a slot until its deadline instead of being broken off", () => {
  const driver = createDriver(stream, { chooseUpstream: chooseThenWait() });
  driver.feedFrame(1, 0, { body: createHead(200) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk(createEvent(1)) });
  driver.feed(lost);
  for (let refusal = 0; refusal < 3; refusal += 1) {
    driver.feed({ kind: "denied", reason: "full", retryAfterMs: 300 });
    expect(listAnswers(driver)).toEqual([]);
    driver.feed({ kind: "timer", name: "slot" });
  }
  const upstream = sessionDriver.createUpstream(1);
  driver.feed({ kind: "granted", upstream });
  driver.feedFrame(2, 0, { body: createHead(200) });
  driver.feedFrame(2, 1, { body: sessionDriver.createChunk(createEvent(2)) });
  expect(driver.getText()).toBe(createEvent(1) + createEvent(2));
});

test("a broken stream without a slot ends at its deadline or with its caller", () => {
  for (
    const event of [
      { kind: "timer", name: "deadline" },
      { kind: "caller_gone" },
    ] as const
  ) {
    const driver = createDriver(stream, { chooseUpstream: chooseThenWait() });
    driver.feedFrame(1, 0, { body: createHead(200) });
    driver.feedFrame(1, 1, { body: sessionDriver.createChunk(createEvent(1)) });
    driver.feed(lost);
    driver.feed({ kind: "denied", reason: "full", retryAfterMs: 300 });
    driver.feed(event);
    expect(driver.session.isDone()).toBe(true);
    driver.feed({ kind: "timer", name: "slot" });
    expect(driver.listEffects("dispatch")).toHaveLength(1);
  }
});

describe("after the first event, a second attempt that answers", () => {
  function createResumed(): sessionDriver.Driver {
    const driver = createDriver(stream);
    driver.feedFrame(1, 0, { body: createHead(200) });
    driver.feedFrame(1, 1, { body: sessionDriver.createChunk(createEvent(1)) });
    driver.feed(lost);
    return driver;
  }

  it.each([500, 404])("%i with a body delivers nothing of it", (status) => {
    const driver = createResumed();
    driver.feedFrame(2, 0, { body: createHead(status) });
    const body = sessionDriver.createChunk("id: 2\ndata: no event\n\n");
    driver.feedFrame(2, 1, { body });
    driver.feedFrame(2, 2, { body: sessionDriver.createEnd(3) });
    expect(driver.getText()).toBe(createEvent(1));
    expect(listAnswers(driver)).toEqual(["failed"]);
  });

  it.each([500, 404])(
    "%i without a body does not complete the stream",
    (status) => {
      const driver = createResumed();
      driver.feedFrame(2, 0, { body: createHead(status) });
      driver.feedFrame(2, 1, { body: sessionDriver.createEnd(2) });
      expect(driver.listEffects("end")).toEqual([]);
      expect(listAnswers(driver)).toEqual(["failed"]);
    },
  );
});

test("a stream that is answered with another status is delivered whole", () => {
  const driver = createDriver(stream);
  driver.feedFrame(1, 0, { body: createHead(404) });
  driver.feedFrame(1, 1, { body: sessionDriver.createChunk("not found\n") });
  driver.feedFrame(1, 2, { body: sessionDriver.createEnd(3) });
  expect(driver.listEffects("head").map(({ head }) => head.status))
    .toEqual([404]);
  expect(driver.getText()).toBe("not found\n");
  expect(driver.listEffects("end")).toHaveLength(1);
});

describe("the search for a replacement", () => {
  function countDispatches(driver: sessionDriver.Driver): number {
    return driver.listEffects("dispatch").length;
  }

  it("goes on after the slot of a second replacement was refused", () => {
    const driver = createDriver(stream, {
      chooseUpstream: chooseThenWait(),
      maxAttempts: 3,
    });
    feedStall(driver);
    const upstream = sessionDriver.createUpstream(1);
    driver.feed({ kind: "granted", upstream });
    driver.feed({ kind: "timer", name: "stall" });
    driver.feed({ kind: "denied", reason: "full", retryAfterMs: 300 });
    driver.feed({ kind: "timer", name: "slot" });
    expect(driver.effects.at(-1)).toMatchObject({
      kind: "set_timer",
      name: "stall",
    });
  });

  it("goes on at once after a replacement was refused", () => {
    const driver = createDriver(stream, { maxAttempts: 3 });
    feedStall(driver);
    const body = sessionDriver.createRefusal("overloaded");
    driver.feedFrame(2, 0, { body });
    expect(countDispatches(driver)).toBe(3);
  });

  it("starts one attempt for a replacement that was never sent", () => {
    const driver = createDriver(stream, { maxAttempts: 3 });
    feedStall(driver);
    driver.feed({ ...lost, attemptId: "a2", sent: false });
    expect(countDispatches(driver)).toBe(3);
    expect(listCancelled(driver)).toEqual(["a2"]);
  });

  it("uses no slot that is granted after the attempt has gone on", () => {
    let taken = 0;
    let withdrawn = 0;
    const driver = createDriver(repeatable, {
      chooseUpstream: chooseThenWait(),
      takeRetry: () => (taken += 1) > 0,
      withdrawSlotRequest: () => void (withdrawn += 1),
    });
    driver.feed({ kind: "timer", name: "stall" });
    driver.feedFrame(1, 0, { body: createHead(200) });
    const upstream = sessionDriver.createUpstream(1);
    driver.feed({ kind: "granted", upstream });
    expect([countDispatches(driver), taken, withdrawn]).toEqual([1, 0, 1]);
  });

  it.each([["a stream", stream], ["a whole answer", repeatable]])(
    "gives up one that sends small parts without end: %s",
    (_, request) => {
      const driver = createDriver(request, { bufferLimitBytes: 20_000 });
      driver.feed({ kind: "timer", name: "stall" });
      driver.feedFrame(2, 0, { body: createHead(200) });
      for (let sequence = 1; sequence < 500; sequence += 1) {
        const body = sessionDriver.createChunk("x");
        driver.feedFrame(2, sequence, { body });
      }
      expect(driver.listEffects("observe")).toMatchObject([
        { outcome: "lost", cause: "oversized", upstream: { id: "g/1" } },
      ]);
    },
  );
});

test("the deadline is reported as such while a broken stream waits for a slot", () => {
  const driver = createDriver(stream, { chooseUpstream: chooseThenWait() });
  driver.feed(lost);
  driver.feed({ kind: "timer", name: "deadline" });
  expect(listAnswers(driver)).toEqual(["deadline_exceeded"]);
});
