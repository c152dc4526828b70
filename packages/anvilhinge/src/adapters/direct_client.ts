/**
 * Client that calls upstreams directly over HTTP/1.1. Each attempt has its own
 * connection, so that neither leftover bytes of an earlier answer nor a
 * connection that died while idle can affect the attempt.
 */
import * as http from "node:http";
import * as net from "node:net";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as rateLimits from "@anvilhinge/coordination/dispatch/rate_limits";
import type * as agentClient from "../entry/session/agent_client.ts";
import type * as runner from "../entry/session/runner.ts";
import type * as engine from "../ports/engine.ts";
import type * as frames from "../ports/frames.ts";
import * as httpStatus from "../ports/http_status.ts";
import type * as upstreamDialect from "../ports/upstream_dialect.ts";
import * as address from "./address.ts";
import * as connectionEnds from "./connection_end.ts";
import * as httpHeaders from "./http_headers.ts";

export interface DirectClientOptions {
  readonly dialect: upstreamDialect.UpstreamDialect;
  readonly clock: clock.Clock;
  /** Called with what each answer says about the upstream's rate limit. */
  readonly onRateLimit: (observation: rateLimits.RateLimitObservation) => void;
  /**
   * Timeout for connecting, in milliseconds. The retransmission of a lost
   * packet takes a second or more, but another attempt takes one round trip.
   * @default 250
   */
  readonly connectTimeoutMs?: number;
}

const defaultConnectTimeoutMs = 250;
/** Limit of the names and values in one head, as of Node's parser by default. */
const headLimitBytes = 16 * 1024;
/**
 * Limit of consecutive bytes that contain neither the head nor data of the
 * answer. Room for a head of full size, the spaces and line ends in it that the
 * parser does not count, and interim answers before it.
 */
const emptyRunLimitBytes = 4 * headLimitBytes;
/** Lowest status of a final answer; lower ones are interim. */
const minFinalStatus = 200;
const unknownLoad: engine.EngineLoad = { running: 0, queued: 0, stepUs: 0 };

/** Creates a client for upstreams without agents. */
export function createDirectClient(
  options: DirectClientOptions,
): runner.SessionClient {
  return {
    run: (attempt, stream) => runAttempt(attempt, { ...options, stream }),
    // A session without agents neither resumes nor seals attempts.
    resume(_request, stream) {
      const message = "The upstream does not keep answers";
      stream.onEnd({ kind: "broken", sent: true, message });
    },
    seal: () => Promise.resolve("unreachable"),
    // Aborting the stream closes the connection, which ends the work.
    cancel: () => {},
  };
}

interface Call extends DirectClientOptions {
  readonly stream: agentClient.StreamOptions;
}

function openConnection(
  { stream, connectTimeoutMs = defaultConnectTimeoutMs }: Call,
): net.Socket {
  const socket = net.connect({
    ...address.parseAddress(stream.address),
    noDelay: true,
    // `checkEnd` writes after the upstream's end.
    allowHalfOpen: true,
  });
  socket.setTimeout(connectTimeoutMs, () => {
    // After a stall of this process, its timers run before its socket events.
    setImmediate(() => {
      if (!socket.connecting) return;
      socket.destroy(new Error("The connection took too long"));
    });
  });
  socket.once("connect", () => socket.setTimeout(0));
  return socket;
}

/** Whether only the end of the connection ends the body of the answer. */
function isCloseDelimited(
  { headers, statusCode = 0 }: http.IncomingMessage,
  method: string,
): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined &&
    method !== "HEAD" && !httpStatus.isBodyless(statusCode);
}

function runAttempt(attempt: frames.Attempt, call: Call): void {
  const { work } = attempt;
  if (work.kind !== "service") throw new Error("Expected service work");
  const { stream, dialect } = call;
  const { method } = work;
  const sentAtMs = call.clock.now();
  let sequence = 0;
  let isConnected = false;
  let isEnded = false;
  let answer: http.IncomingMessage | undefined;
  let connectionEnd: connectionEnds.ConnectionEnd | "unchecked" | undefined;
  let isAnswerClosed = false;
  /** Whether the head or data arrived since the last check of empty runs. */
  let hasProgressed = false;

  function emitFrame(body: frames.FrameBody): void {
    const { requestId, attemptId } = attempt;
    stream.onFrame({ requestId, attemptId, sequence, body });
    sequence += 1;
  }

  function end(streamEnd: agentClient.StreamEnd): void {
    if (isEnded) return;
    isEnded = true;
    stream.onEnd(streamEnd);
  }

  function failStream(message: string): void {
    end({ kind: "broken", sent: isConnected, message });
    request.destroy();
  }

  /** Breaks off an answer whose bytes never become a head or data. */
  function limitEmptyRuns(socket: net.Socket): void {
    let countedFromBytes = 0;
    // Runs after the parser, whose listener is added first.
    socket.on("data", () => {
      if (isEnded || answer?.complete) return;
      if (hasProgressed || (answer?.readableLength ?? 0) > 0) {
        hasProgressed = false;
        countedFromBytes = socket.bytesRead;
      } else if (socket.bytesRead - countedFromBytes > emptyRunLimitBytes) {
        failStream(
          `${emptyRunLimitBytes} bytes contained no part of an answer`,
        );
      }
    });
  }

  function handleResponse(response: http.IncomingMessage): void {
    answer = response;
    hasProgressed = true;
    // Without a listener for upgrades, Node reports 101 as the final answer.
    if ((response.statusCode ?? 0) < minFinalStatus) {
      return failStream("The upstream changed the protocol unasked");
    }
    const head: engine.AnswerHead = {
      status: response.statusCode ?? 0,
      headers: httpHeaders.listEndToEndHeaders(response.rawHeaders),
    };
    const interpretation = dialect.interpretHead(head, attempt);
    response.on("error", (error) => failStream(error.message));
    switch (interpretation.kind) {
      case "foreign":
        return failStream("The answer belongs to another request");
      case "invalid":
        return failStream(interpretation.message);
      case "refused": {
        // An upstream that is not the expected one names its own limit.
        if (interpretation.reason !== "wrong_group") observeRateLimit(head);
        const { reason, retryAfterMs } = interpretation;
        emitFrame({ kind: "refused", reason, retryAfterMs, load: unknownLoad });
        isEnded = true;
        request.destroy();
        return;
      }
      case "answered":
        observeRateLimit(head);
        return streamAnswer(response, head);
    }
  }

  function observeRateLimit(head: engine.AnswerHead): void {
    const { upstreamId } = stream;
    if (upstreamId === undefined) return;
    const notice = dialect.readRateLimit(head);
    call.onRateLimit({ upstreamId, notice, sentAtMs });
  }

  function streamAnswer(
    response: http.IncomingMessage,
    head: engine.AnswerHead,
  ): void {
    emitFrame({ kind: "accepted", incarnation: "", head });
    response.on("data", (data: Buffer) => {
      hasProgressed = true;
      emitFrame({ kind: "chunk", data });
      if (!stream.flow?.isBehind()) return;
      response.pause();
      stream.flow.onceCaughtUp(() => response.resume());
    });
    response.on("close", () => {
      isAnswerClosed = true;
      finishAnswer(response);
    });
  }

  /** Ends the attempt once it is certain whether the answer is whole. */
  function finishAnswer(response: http.IncomingMessage): void {
    if (isEnded || !isAnswerClosed) return;
    if (!response.complete) return failStream("The answer broke off");
    if (isCloseDelimited(response, method)) {
      if (connectionEnd === "unchecked") return;
      if (connectionEnd !== "orderly") {
        return failStream("The connection was reset before the answer's end");
      }
    }
    emitFrame({ kind: "end", frameCount: sequence + 1, load: unknownLoad });
    end({ kind: "closed" });
  }

  function handleConnectionEnd(socket: net.Socket): void {
    if (answer === undefined || !isCloseDelimited(answer, method)) return;
    const response = answer;
    connectionEnd = "unchecked";
    connectionEnds.checkEnd(socket, (checked) => {
      connectionEnd = checked;
      finishAnswer(response);
    });
  }

  const request = http.request({
    method,
    path: work.path,
    headers: [
      ...work.headers,
      ...dialect.encodeHeaders(attempt, stream.upstreamId),
      ["Connection", "close"] as const,
      ...httpHeaders.buildContentLengthHeaders(work),
    ].flat(),
    setHost: false,
    maxHeaderSize: headLimitBytes,
    createConnection() {
      const socket = openConnection(call);
      // Runs before the listener of the HTTP client, which ends the socket.
      socket.once("end", () => handleConnectionEnd(socket));
      return socket;
    },
  });
  request.on("socket", (socket) => {
    socket.once("connect", () => {
      isConnected = true;
    });
    limitEmptyRuns(socket);
  });
  request.on("response", handleResponse);
  request.on("error", (error) => {
    // The error concerns bytes after the end of the answer, which are part of
    // no answer (RFC 9112, section 6.3); its close is still reported.
    if (answer?.complete) return;
    failStream(error.message);
  });
  stream.signal.addEventListener("abort", () => {
    isEnded = true;
    request.destroy();
  }, { once: true });
  request.end(work.body.byteLength === 0 ? undefined : work.body);
}
