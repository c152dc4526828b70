import * as net from "node:net";
import type * as rateLimits from "@anvilhinge/coordination/dispatch/rate_limits";
import type * as agentClient from "../entry/session/agent_client.ts";
import type * as frames from "../ports/frames.ts";
import type * as upstreamDialect from "../ports/upstream_dialect.ts";
import * as directClient from "./direct_client.ts";

/** Dialect with the request id in `x-id` and refusals marked by `x-no`. */
const dialect: upstreamDialect.UpstreamDialect = {
  encodeHeaders: (attempt, upstreamId) => [
    ["X-Left", String(attempt.deadlineMs)],
    ["X-Upstream", upstreamId ?? ""],
  ],
  readRateLimit: ({ headers }) => {
    const value = headers.find(([name]) => name.toLowerCase() === "x-limit");
    return value === undefined
      ? { kind: "unlimited" }
      : { kind: "limited", requestsPerSecond: Number(value[1]) };
  },
  interpretHead({ headers }, attempt) {
    const findValue = (name: string) =>
      headers.find(([key]) => key.toLowerCase() === name)?.[1];
    if (findValue("x-no") !== undefined) {
      return { kind: "refused", reason: "overloaded", retryAfterMs: 5 };
    }
    const id = findValue("x-id");
    return id !== undefined && id !== attempt.requestId
      ? { kind: "foreign" }
      : { kind: "answered" };
  },
};

interface Outcome {
  readonly received: string;
  readonly frames: readonly frames.FrameBody[];
  readonly end: agentClient.StreamEnd | undefined;
  readonly observations: readonly rateLimits.RateLimitObservation[];
}

const sentAtMs = 7;

/** Runs one attempt, whose connection `answer` serves; returns the outcome. */
async function runAttempt(
  answer: (socket: net.Socket, request: string) => void,
  options: {
    readonly body?: string;
    readonly abortAfterMs?: number;
    readonly isDown?: boolean;
    readonly flow?: agentClient.AnswerFlow;
    /** Time for which the event loop is blocked after the start. */
    readonly stallMs?: number;
  } = {},
): Promise<Outcome> {
  let received = "";
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (data) => {
      received += data.toString("latin1");
      if (received.includes("\r\n\r\n")) answer(socket, received);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  if (options.isDown) await new Promise((resolve) => server.close(resolve));
  const bodies: frames.FrameBody[] = [];
  const observations: rateLimits.RateLimitObservation[] = [];
  let end: agentClient.StreamEnd | undefined;
  const abort = new AbortController();
  await new Promise<void>((resolve) => {
    const client = directClient.createDirectClient({
      dialect,
      clock: { now: () => sentAtMs },
      onRateLimit: (observation) => void observations.push(observation),
    });
    client.run({
      requestId: "r1",
      attemptId: "a1",
      workspace: "w",
      half: "",
      epoch: 0,
      group: "g",
      rank: 0,
      priority: 5,
      deadlineMs: 900,
      incarnation: "",
      startByMs: 0,
      isRepeatable: true,
      work: {
        kind: "service",
        service: "s",
        method: options.body === undefined ? "GET" : "POST",
        path: "/a?b=c",
        headers: [["Host", "a.example"], ["X-Kept", "1"]],
        body: Buffer.from(options.body ?? ""),
      },
    }, {
      upstreamId: "u1",
      address: `127.0.0.1:${port}`,
      signal: abort.signal,
      flow: options.flow,
      onFrame({ body }) {
        bodies.push(body);
        if (body.kind === "refused") setTimeout(resolve, 20);
      },
      onEnd(streamEnd) {
        end = streamEnd;
        // Leaves time for frames after the end, which would be a fault.
        setTimeout(resolve, 20);
      },
    });
    const stalledUntilMs = performance.now() + (options.stallMs ?? 0);
    while (performance.now() < stalledUntilMs);
    if (options.abortAfterMs !== undefined) {
      setTimeout(() => {
        abort.abort();
        setTimeout(resolve, 20);
      }, options.abortAfterMs);
    }
  });
  if (!options.isDown) await new Promise((resolve) => server.close(resolve));
  return { received, frames: bodies, end, observations };
}

function readText(outcome: Outcome): string {
  return outcome.frames.map((body) =>
    body.kind === "chunk" ? Buffer.from(body.data).toString() : ""
  ).join("");
}

const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";

test("sends the headers of the caller and of the dialect", async () => {
  const outcome = await runAttempt((socket) =>
    socket.end(`${head}Content-Length: 2\r\n\r\nok`)
  );
  expect(outcome.received).toBe(
    "GET /a?b=c HTTP/1.1\r\nHost: a.example\r\nX-Kept: 1\r\nX-Left: 900\r\n" +
      "X-Upstream: u1\r\nConnection: close\r\n\r\n",
  );
  expect(outcome.frames.map(({ kind }) => kind))
    .toEqual(["accepted", "chunk", "end"]);
  expect(readText(outcome)).toBe("ok");
  expect(outcome.end).toEqual({ kind: "closed" });
});

test("sends the length of the request body", async () => {
  const outcome = await runAttempt(
    (socket) => socket.end(`${head}Content-Length: 0\r\n\r\n`),
    { body: "text" },
  );
  expect(outcome.received).toContain("\r\nContent-Length: 4\r\n");
  expect(outcome.received.endsWith("\r\n\r\ntext")).toBe(true);
});

test("an answer without a length ends when its connection closes", async () => {
  const outcome = await runAttempt((socket) => socket.end(`${head}\r\nwhole`));
  expect(readText(outcome)).toBe("whole");
  expect(outcome.frames.at(-1)?.kind).toBe("end");
});

test.each([
  ["without a length", `${head}\r\npart`],
  ["with a length", `${head}Content-Length: 9\r\n\r\npart`],
  ["in chunks", `${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`],
])("an answer %s is incomplete after a reset", async (_name, text) => {
  const outcome = await runAttempt((socket) => {
    socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 20));
  });
  expect(outcome.frames.some(({ kind }) => kind === "end")).toBe(false);
  expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
});

// Guards against a reset that the runtime reports as an orderly end.
test("an answer without a length is incomplete after a reset with its last bytes", async () => {
  for (let iteration = 0; iteration < 100; iteration += 1) {
    const outcome = await runAttempt((socket) => {
      socket.write(`${head}\r\npart`, () => socket.resetAndDestroy());
    });
    expect(outcome.frames.some(({ kind }) => kind === "end")).toBe(false);
    expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
  }
});

// Guards against orderly ends that the check for a reset takes for one.
test.each([
  ["half-closed", (socket: net.Socket) => void socket.end(`${head}\r\nwhole`)],
  [
    "closed at once",
    (socket: net.Socket) =>
      void socket.write(`${head}\r\nwhole`, () => socket.destroy()),
  ],
  [
    "closed after a pause",
    (socket: net.Socket) => {
      socket.write(`${head}\r\nwhole`);
      setTimeout(() => socket.end(), 5);
    },
  ],
])(
  "an answer without a length whose connection is %s is whole",
  async (_name, answer) => {
    for (let iteration = 0; iteration < 50; iteration += 1) {
      const outcome = await runAttempt(answer);
      expect(readText(outcome)).toBe("whole");
      expect(outcome.frames.at(-1)?.kind).toBe("end");
      expect(outcome.end).toEqual({ kind: "closed" });
    }
  },
);

test.each(["HTTP/1.1 204 No\r\n", "HTTP/1.1 304 No\r\n"])(
  "an answer without a body ends with its head: %j",
  async (statusLine) => {
    const outcome = await runAttempt((socket) => {
      socket.write(`${statusLine}X-Id: r1\r\n\r\n`);
    });
    expect(outcome.frames.map(({ kind }) => kind)).toEqual(["accepted", "end"]);
  },
);

test.each([
  ["with a length", `${head}Content-Length: 9\r\n\r\npart`],
  ["in chunks", `${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`],
  ["with a truncated head", `${head}Content-Le`],
  ["that is not HTTP", "garbage\r\n\r\n"],
])("an answer %s is incomplete after an early end", async (_name, text) => {
  const outcome = await runAttempt((socket) => socket.end(text));
  expect(outcome.frames.some(({ kind }) => kind === "end")).toBe(false);
  expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
});

test("reports a refusal with its reason", async () => {
  const outcome = await runAttempt((socket) =>
    socket.end("HTTP/1.1 503 No\r\nX-No: 1\r\nContent-Length: 0\r\n\r\n")
  );
  expect(outcome.frames).toMatchObject([
    { kind: "refused", reason: "overloaded", retryAfterMs: 5 },
  ]);
});

test("does not deliver the answer to another request", async () => {
  const outcome = await runAttempt((socket) =>
    socket.end("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno")
  );
  expect(outcome.frames).toEqual([]);
  expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
});

test("does not deliver a second answer after the first", async () => {
  const answer = `${head}Content-Length: 2\r\n\r\nok`;
  const outcome = await runAttempt((socket) =>
    socket.end(answer + answer.replace("ok", "no"))
  );
  expect(readText(outcome)).toBe("ok");
});

test("reports an attempt at an unreachable upstream as unsent", async () => {
  const outcome = await runAttempt(() => {}, { isDown: true });
  expect(outcome.end).toMatchObject({ kind: "broken", sent: false });
});

// Guards against timers that run before the events of a stalled event loop.
test("a connection that was made while this process was stalled is used", async () => {
  const outcome = await runAttempt(
    (socket) => socket.end(`${head}Content-Length: 2\r\n\r\nok`),
    { stallMs: 400 },
  );
  expect(outcome.end).toEqual({ kind: "closed" });
  expect(readText(outcome)).toBe("ok");
});

test("an aborted attempt closes its connection", async () => {
  let isClosed = false;
  await runAttempt((socket) => {
    socket.write(`${head}\r\npart`);
    socket.on("close", () => (isClosed = true));
  }, { abortAfterMs: 50 });
  expect(isClosed).toBe(true);
});

/** Far above what the client and the buffers of two sockets may hold. */
const floodLimitBytes = 64 * 1024 * 1024;
const floodBlockBytes = 64 * 1024;

/** Writes `unit` until the other side closes; returns whether it did. */
function createFlood(
  unit: string,
): { write(socket: net.Socket): void; isStopped(): boolean } {
  const block = Buffer.from(
    unit.repeat(Math.ceil(floodBlockBytes / unit.length)),
    "latin1",
  );
  let writtenBytes = 0;
  let isStopped = false;
  return {
    isStopped: () => isStopped,
    write(socket) {
      isStopped = socket.destroyed;
      socket.once("close", () => {
        isStopped = writtenBytes < floodLimitBytes;
      });
      function writeBlock(): void {
        if (socket.destroyed) return;
        if (writtenBytes >= floodLimitBytes) return void socket.destroy();
        socket.write(block, () => {
          writtenBytes += block.byteLength;
          setImmediate(writeBlock);
        });
      }
      writeBlock();
    },
  };
}

describe("bytes without end that are no answer", () => {
  const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;

  test.each([
    ["blank lines before the status line", "", "\r\n"],
    ["in the status line", "HTTP/1.1 200 ", "a"],
    ["spaces in the status line", "HTTP/1.1 200", " "],
    ["header fields", head, "X-A: 1\r\n"],
    ["the name of a header field", head, "a"],
    ["the value of a header field", `${head}X-A: `, "a"],
    ["spaces in a header field", `${head}X-A:`, " "],
    ["folded lines of a header field", `${head}X-A: 1`, "\r\n "],
    ["interim answers", "", "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"],
    ["interim answers to continue", "", "HTTP/1.1 100 Continue\r\n\r\n"],
    ["zeros in the size of a chunk", chunkedHead, "0"],
    ["an extension of a chunk", `${chunkedHead}4;a=`, "a"],
    ["fields after the last chunk", `${chunkedHead}0\r\n`, "X-A: 1\r\n"],
  ])("break the answer: %s", async (_name, first, unit) => {
    const flood = createFlood(unit);
    const outcome = await runAttempt((socket) => {
      socket.write(first);
      flood.write(socket);
    });
    expect(outcome.frames.some(({ kind }) => kind === "end")).toBe(false);
    expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
    expect(flood.isStopped()).toBe(true);
  });

  test("are not seen in interim answers and chunks of one byte", async () => {
    // The framing alone has more bytes than an empty run may have.
    const chunkCount = 20_000;
    const outcome = await runAttempt((socket) =>
      socket.end(
        "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n".repeat(9) +
          chunkedHead + "1\r\na\r\n".repeat(chunkCount) + "0\r\n\r\n",
      )
    );
    expect(readText(outcome)).toBe("a".repeat(chunkCount));
    expect(outcome.end).toEqual({ kind: "closed" });
  });

  test.each([["together with it", 0], ["later", 20]])(
    "after a complete answer end its connection: %s",
    async (_name, delayMs) => {
      const flood = createFlood("a");
      const outcome = await runAttempt((socket) => {
        const answer = `${head}Content-Length: 2\r\n\r\nok`;
        if (delayMs === 0) socket.write(`${answer}aaaa`);
        else socket.write(answer);
        setTimeout(() => flood.write(socket), delayMs);
      });
      expect(readText(outcome)).toBe("ok");
      expect(outcome.end).toEqual({ kind: "closed" });
      expect(flood.isStopped()).toBe(true);
    },
  );

  test("a change of protocol, which no attempt requests, breaks the answer", async () => {
    const outcome = await runAttempt((socket) =>
      socket.write("HTTP/1.1 101 Switching\r\nUpgrade: a\r\n\r\n")
    );
    expect(outcome.frames).toEqual([]);
    expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
  });
});

describe("a caller that is behind", () => {
  const answerBytes = 24 * 1024 * 1024;
  const answerText = `${head}Content-Length: ${answerBytes}\r\n\r\n`;

  test("pauses the upstream, and the rest follows once it caught up", async () => {
    let caughtUp = () => {};
    let isBehind = true;
    let writtenBytes = 0;
    const block = Buffer.alloc(floodBlockBytes, "a");
    const outcome = await runAttempt((socket) => {
      socket.write(answerText);
      function writeBlock(): void {
        if (writtenBytes === answerBytes) return void socket.end();
        const timer = setTimeout(() => {
          // The upstream can't write any more: the client doesn't read.
          isBehind = false;
          caughtUp();
        }, 200);
        socket.write(block, () => {
          clearTimeout(timer);
          writtenBytes += block.byteLength;
          setImmediate(writeBlock);
        });
      }
      writeBlock();
    }, {
      flow: {
        isBehind: () => isBehind,
        onceCaughtUp: (listener) => void (caughtUp = listener),
      },
    });
    expect(readText(outcome)).toHaveLength(answerBytes);
    expect(isBehind).toBe(false);
    expect(outcome.end).toEqual({ kind: "closed" });
  });

  test("ends a paused attempt when it leaves", async () => {
    const flood = createFlood("a");
    const outcome = await runAttempt((socket) => {
      socket.write(`${head}\r\n`);
      flood.write(socket);
    }, {
      abortAfterMs: 200,
      flow: { isBehind: () => true, onceCaughtUp() {} },
    });
    expect(outcome.end).toBeUndefined();
    expect(flood.isStopped()).toBe(true);
  });
});

describe("the rate limit of the upstream", () => {
  test.each([
    ["an answer", "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"],
    ["a failure", "HTTP/1.1 500 No\r\nX-Id: r1\r\n"],
    ["a refusal", "HTTP/1.1 503 No\r\nX-No: 1\r\n"],
  ])("is observed in %s, with the time of the request", async (_, start) => {
    const { observations } = await runAttempt((socket) =>
      socket.end(`${start}X-Limit: 2.5\r\nContent-Length: 0\r\n\r\n`)
    );
    expect(observations).toEqual([{
      upstreamId: "u1",
      notice: { kind: "limited", requestsPerSecond: 2.5 },
      sentAtMs,
    }]);
  });

  test("is not taken from an answer to another request", async () => {
    const { observations } = await runAttempt((socket) =>
      socket.end("HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-Limit: 2.5\r\n\r\n")
    );
    expect(observations).toEqual([]);
  });
});
