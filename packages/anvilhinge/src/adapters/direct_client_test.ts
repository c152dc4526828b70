import * as net from "node:net";
import type * as agentClient from "../entry/session/agent_client.ts";
import type * as frames from "../ports/frames.ts";
import type * as upstreamDialect from "../ports/upstream_dialect.ts";
import * as directClient from "./direct_client.ts";

/** Upstreams that say in `x-id` whose answer it is and in `x-no` what they refuse. */
const dialect: upstreamDialect.UpstreamDialect = {
  encodeHeaders: (attempt, upstreamId) => [
    ["X-Left", String(attempt.deadlineMs)],
    ["X-Upstream", upstreamId ?? ""],
  ],
  interpretHead({ headers }, attempt) {
    const find = (name: string) =>
      headers.find(([found]) => found.toLowerCase() === name)?.[1];
    if (find("x-no") !== undefined) {
      return { kind: "refused", reason: "overloaded", retryAfterMs: 5 };
    }
    const id = find("x-id");
    return id !== undefined && id !== attempt.requestId
      ? { kind: "foreign" }
      : { kind: "answered" };
  },
};

interface Outcome {
  readonly received: string;
  readonly frames: readonly frames.FrameBody[];
  readonly end: agentClient.StreamEnd | undefined;
}

/** Answers one connection by `answer`; resolves to what the client reported. */
async function runAttempt(
  answer: (socket: net.Socket, request: string) => void,
  options: {
    readonly body?: string;
    readonly abortAfterMs?: number;
    readonly isDown?: boolean;
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
  let end: agentClient.StreamEnd | undefined;
  const abort = new AbortController();
  await new Promise<void>((resolve) => {
    const client = directClient.createDirectClient({ dialect });
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
      onFrame({ body }) {
        bodies.push(body);
        if (body.kind === "refused") setTimeout(resolve, 20);
      },
      onEnd(ended) {
        end = ended;
        // Whatever comes after the end would be a fault.
        setTimeout(resolve, 20);
      },
    });
    if (options.abortAfterMs !== undefined) {
      setTimeout(() => {
        abort.abort();
        setTimeout(resolve, 20);
      }, options.abortAfterMs);
    }
  });
  if (!options.isDown) await new Promise((resolve) => server.close(resolve));
  return { received, frames: bodies, end };
}

function readText(outcome: Outcome): string {
  return outcome.frames.map((body) =>
    body.kind === "chunk" ? Buffer.from(body.data).toString() : ""
  ).join("");
}

const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";

test("an attempt carries the caller's and the dialect's headers", async () => {
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

test("a body gets its length", async () => {
  const outcome = await runAttempt(
    (socket) => socket.end(`${head}Content-Length: 0\r\n\r\n`),
    { body: "text" },
  );
  expect(outcome.received).toContain("\r\nContent-Length: 4\r\n");
  expect(outcome.received.endsWith("\r\n\r\ntext")).toBe(true);
});

test("an answer without a length ends with its connection", async () => {
  const outcome = await runAttempt((socket) => socket.end(`${head}\r\nwhole`));
  expect(readText(outcome)).toBe("whole");
  expect(outcome.frames[0]).toMatchObject({ head: { isUnframed: true } });
  expect(outcome.frames.at(-1)?.kind).toBe("end");
});

test.each([
  ["without a length", `${head}\r\npart`],
  ["with a length", `${head}Content-Length: 9\r\n\r\npart`],
  ["in chunks", `${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`],
])("an answer %s that is reset is not complete", async (_name, text) => {
  const outcome = await runAttempt((socket) => {
    socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 20));
  });
  expect(outcome.frames.some(({ kind }) => kind === "end")).toBe(false);
  expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
});

test.each([
  ["with a length", `${head}Content-Length: 9\r\n\r\npart`],
  ["in chunks", `${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`],
  ["of which only the head came", `${head}Content-Le`],
  ["that is no HTTP", "garbage\r\n\r\n"],
])("an answer %s that ends early is not complete", async (_name, text) => {
  const outcome = await runAttempt((socket) => socket.end(text));
  expect(outcome.frames.some(({ kind }) => kind === "end")).toBe(false);
  expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
});

test("a refusal is told with its reason", async () => {
  const outcome = await runAttempt((socket) =>
    socket.end("HTTP/1.1 503 No\r\nX-No: 1\r\nContent-Length: 0\r\n\r\n")
  );
  expect(outcome.frames).toMatchObject([
    { kind: "refused", reason: "overloaded", retryAfterMs: 5 },
  ]);
});

test("another request's answer is not passed on", async () => {
  const outcome = await runAttempt((socket) =>
    socket.end("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno")
  );
  expect(outcome.frames).toEqual([]);
  expect(outcome.end).toMatchObject({ kind: "broken", sent: true });
});

test("a second answer behind the first is not passed on", async () => {
  const answer = `${head}Content-Length: 2\r\n\r\nok`;
  const outcome = await runAttempt((socket) =>
    socket.end(answer + answer.replace("ok", "no"))
  );
  expect(readText(outcome)).toBe("ok");
});

test("an upstream that can't be reached got nothing", async () => {
  const outcome = await runAttempt(() => {}, { isDown: true });
  expect(outcome.end).toMatchObject({ kind: "broken", sent: false });
});

test("an attempt that is given up ends its connection", async () => {
  let closed = false;
  await runAttempt((socket) => {
    socket.write(`${head}\r\npart`);
    socket.on("close", () => (closed = true));
  }, { abortAfterMs: 50 });
  expect(closed).toBe(true);
});
