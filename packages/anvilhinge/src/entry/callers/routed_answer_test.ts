import * as http from "node:http";
import * as net from "node:net";
import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as routedAnswer from "./routed_answer.ts";

const source = {
  upstream: {
    id: "u1",
    group: "g",
    rank: 0,
    address: "",
    half: "",
    epoch: 0,
  },
  attemptId: "a1",
};

/** Answers one request with `write`; resolves to the bytes that were sent. */
async function writeAnswer(
  write: (answer: routedAnswer.RoutedAnswerWriter) => void,
  {
    isWhole = true,
    bufferLimitBytes,
    method = "GET",
    httpVersion = "1.1",
    onData = () => {},
  }: {
    readonly isWhole?: boolean;
    readonly bufferLimitBytes?: number;
    readonly method?: string;
    readonly httpVersion?: string;
    /** Called after each read with all bytes received so far. */
    readonly onData?: (received: string) => void;
  } = {},
): Promise<string> {
  const server = http.createServer((_request, response) =>
    write(routedAnswer.createRoutedAnswerWriter(response, {
      isWhole,
      bufferLimitBytes,
      clock: manualScheduler.createManualScheduler(),
      onFirst: () => {},
      onGap: () => {},
    }))
  );
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  const text = await new Promise<string>((resolve) => {
    let received = "";
    const socket = net.connect(port, "127.0.0.1");
    socket.on("data", (data) => {
      received += data.toString();
      onData(received);
    });
    socket.on("close", () => resolve(received));
    socket.write(`${method} / HTTP/${httpVersion}\r\nHost: a\r\n\r\n`);
    // Closes a kept-alive connection after the last part of the answer.
    setTimeout(() => socket.end(), 60);
  });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return text;
}

test("adds a Content-Length to a whole answer that has none", async () => {
  const text = await writeAnswer((answer) => {
    answer.head({ status: 200, headers: [["X-A", "1"]] }, source);
    answer.data(Buffer.from("body"), 1);
    answer.end();
  });
  expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n/);
  expect(text.endsWith("\r\n\r\nbody")).toBe(true);
});

// Guards against a stream that another upstream continues with more or fewer
// bytes than the first one declared.
test("a stream is sent in chunks whatever length its first upstream named", async () => {
  const text = await writeAnswer((answer) => {
    const headers = [["Content-Length", "9"], ["X-A", "1"]] as const;
    answer.head({ status: 200, headers }, source);
    answer.data(Buffer.from("id: 1\n\n"), 1);
    answer.data(Buffer.from("id: 2\n\n"), 2);
    answer.end();
  }, { isWhole: false });
  expect(text).not.toMatch(/content-length/i);
  expect(text).toMatch(/id: 1\n\n.*id: 2\n\n.*\r\n0\r\n\r\n$/s);
});

describe("a stream without a length", () => {
  const event = Buffer.from("id: 1\n\n");

  // Guards against answers that the end of this process would complete.
  test("is sent in chunks, and only its end completes it", async () => {
    let isOpen: string | undefined;
    const text = await writeAnswer((answer) => {
      answer.head({ status: 200, headers: [] }, source);
      answer.data(event, 1);
      setTimeout(() => answer.end(), 20);
    }, { isWhole: false, onData: (received) => (isOpen ??= received) });
    expect(isOpen).toMatch(/\r\nTransfer-Encoding: chunked\r\n/);
    expect(isOpen).not.toMatch(/\r\n0\r\n\r\n$/);
    expect(text).toMatch(/\r\nid: 1\n\n\r\n0\r\n\r\n$/);
  });

  // Guards against the same for callers that can't read chunks.
  test("is sent whole to a caller of HTTP/1.0", async () => {
    const text = await writeAnswer((answer) => {
      answer.head({ status: 200, headers: [] }, source);
      answer.data(event, 1);
      setTimeout(() => {
        answer.data(event, 2);
        answer.end();
      }, 20);
    }, { isWhole: false, httpVersion: "1.0" });
    expect(text).toMatch(/\r\nContent-Length: 14\r\n/);
    expect(text).not.toMatch(/transfer-encoding/i);
    expect(text.endsWith("\r\n\r\nid: 1\n\nid: 1\n\n")).toBe(true);
  });

  test("that fails is answered with the failure to a caller of HTTP/1.0", async () => {
    const text = await writeAnswer((answer) => {
      answer.head({ status: 200, headers: [] }, source);
      answer.data(event, 1);
      answer.answer({ kind: "failed", message: "broke", ran: "yes" });
    }, { isWhole: false, httpVersion: "1.0" });
    expect(text).toMatch(/^HTTP\/1\.1 502 /);
    expect(text).not.toContain("id: 1");
  });

  test("over the limit fails for a caller of HTTP/1.0", async () => {
    const text = await writeAnswer((answer) => {
      answer.head({ status: 200, headers: [] }, source);
      answer.data(event, 1);
      answer.data(event, 2);
      answer.end();
    }, { isWhole: false, httpVersion: "1.0", bufferLimitBytes: 10 });
    expect(text).toMatch(/^HTTP\/1\.1 502 /);
    expect(text).not.toContain("id: 1");
  });
});

test("a whole answer to HEAD gets no Content-Length", async () => {
  const text = await writeAnswer((answer) => {
    answer.head({ status: 200, headers: [] }, source);
    answer.end();
  }, { method: "HEAD" });
  expect(text).toMatch(/^HTTP\/1\.1 200 /);
  expect(text).not.toMatch(/content-length/i);
});

test("a stream that fails after its start does not look complete", async () => {
  const text = await writeAnswer((answer) => {
    answer.head({ status: 200, headers: [] }, source);
    answer.data(Buffer.from("id: 1\n\n"), 1);
    setTimeout(
      () => answer.answer({ kind: "failed", message: "broke", ran: "yes" }),
      10,
    );
  }, { isWhole: false });
  expect(text).toContain("id: 1");
  expect(text).not.toMatch(/\r\n0\r\n\r\n$/);
});

test("a whole answer over the limit is forwarded as it arrives", async () => {
  const text = await writeAnswer((answer) => {
    answer.head({ status: 200, headers: [] }, source);
    answer.data(Buffer.from("four"), 1);
    answer.data(Buffer.from("five5"), 2);
    setTimeout(
      () => answer.answer({ kind: "failed", message: "broke", ran: "yes" }),
      10,
    );
  }, { bufferLimitBytes: 4 });
  expect(text).toMatch(/\r\nTransfer-Encoding: chunked\r\n/);
  expect(text).toContain("four");
  expect(text).toContain("five5");
  expect(text).not.toMatch(/\r\n0\r\n\r\n$/);
});

test("a whole answer up to the limit has a Content-Length", async () => {
  const text = await writeAnswer((answer) => {
    answer.head({ status: 200, headers: [] }, source);
    answer.data(Buffer.from("fo"), 1);
    answer.data(Buffer.from("ur"), 2);
    answer.end();
  }, { bufferLimitBytes: 4 });
  expect(text).toMatch(/\r\nContent-Length: 4\r\n/);
  expect(text.endsWith("\r\n\r\nfour")).toBe(true);
});

test.each(
  [
    [{ kind: "not_run", reason: "full", retryAfterMs: 70 }, 503, "0.070"],
    [{ kind: "failed", message: "m", ran: "yes" }, 502, undefined],
    [{ kind: "unknown", message: "m", retryAfterMs: 0 }, 502, undefined],
    [{ kind: "deadline_exceeded", message: "m", ran: "yes" }, 504, undefined],
  ] as const,
)("the final answer %j has status %i", async (final, status, retryAfter) => {
  const text = await writeAnswer((answer) => answer.answer(final));
  expect(text.startsWith(`HTTP/1.1 ${status} `)).toBe(true);
  expect(/Retry-After: (.*)\r\n/.exec(text)?.[1]).toBe(retryAfter);
});

test.each([
  ["broken off after its first part", true, true],
  ["answered with an error instead", false, false],
])("tells whether the answer was cut: %s", async (_, hasData, isCut) => {
  const cuts: boolean[] = [];
  await writeAnswer((answer) => {
    answer.head({ status: 200, headers: [] }, source);
    if (hasData) answer.data(Buffer.from("part"), 1);
    answer.answer({ kind: "failed", message: "reset", ran: "yes" });
    cuts.push(answer.isCut());
  }, { isWhole: false });
  expect(cuts).toEqual([isCut]);
});
