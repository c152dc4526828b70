/** Writes the answer of a session of routed services to an HTTP response. */
import type * as http from "node:http";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../../ports/engine.ts";
import * as httpStatus from "../../ports/http_status.ts";
import type * as runner from "../session/runner.ts";
import type * as session from "../session/session.ts";
import * as sessionCore from "../session/session_core.ts";

/** Answer with which the entry itself refuses or fails a request. */
export interface ErrorAnswer {
  readonly status: number;
  /** Describes the problem, where it is, and how to solve it. */
  readonly message: string;
  /** Suggested delay before a retry, in milliseconds; undefined = none. */
  readonly retryAfterMs?: number;
}

const millisecondsPerSecond = 1_000;
/** Decimal places of `Retry-After`, which is in seconds. */
const retryAfterDecimals = 3;

/** Converts the final answer of a session into an error answer. */
export function convertFinalAnswer(final: session.FinalAnswer): ErrorAnswer {
  switch (final.kind) {
    case "not_run":
      return {
        status: 503,
        message: `The request did not run: ${final.reason}`,
        retryAfterMs: final.retryAfterMs,
      };
    case "failed":
    case "unknown":
      return { status: 502, message: final.message };
    case "deadline_exceeded":
      return { status: 504, message: final.message };
    case "other_body":
    case "already_run":
      throw new Error(
        `Answer "${final.kind}" requires a claim, but routed requests have none`,
      );
  }
}

/** Writes an error answer as plain text. */
export function writeErrorAnswer(
  response: http.ServerResponse,
  { status, message, retryAfterMs }: ErrorAnswer,
): void {
  const body = `${message}\n`;
  const headers: http.OutgoingHttpHeaders = {
    "Content-Type": "text/plain",
    "Content-Length": Buffer.byteLength(body),
  };
  if (retryAfterMs !== undefined) {
    headers["Retry-After"] = (retryAfterMs / millisecondsPerSecond)
      .toFixed(retryAfterDecimals);
  }
  response.writeHead(status, headers);
  response.end(body);
}

export interface RoutedAnswerWriter extends runner.AnswerSink {
  /** Returns the status of the answer; 200 until it is set. */
  getStatus(): number;
  /** Returns the message of the error answer; undefined if there was none. */
  getReason(): string | undefined;
  /** Whether the answer was broken off after its first part. */
  isCut(): boolean;
  getTimes(): AnswerTimes;
}

/** Times at which the parts of an answer were sent. */
export interface AnswerTimes {
  /** Time of the first part; undefined for a whole answer or if none was sent. */
  readonly firstAtMs: number | undefined;
  /** Time of the last part; undefined under the same conditions. */
  readonly lastAtMs: number | undefined;
  /** Longest gap between two consecutive parts, in milliseconds. */
  readonly longestPauseMs: number;
}

export interface RoutedAnswerWriterOptions {
  /** True if the answer is buffered and sent in one piece. */
  readonly isWhole: boolean;
  /**
   * Maximum number of buffered bytes of a whole answer, as of the session; a
   * longer answer is sent as it arrives.
   * @default 8388608
   */
  readonly bufferLimitBytes?: number;
  readonly clock: clock.Clock;
  /** Called when the first part of an answer that is not whole is sent. */
  readonly onFirst: () => void;
  /** Called with each gap between two consecutive parts, in milliseconds. */
  readonly onGap: (pauseMs: number) => void;
}

function isContentLength(name: string): boolean {
  return name.toLowerCase() === "content-length";
}

/**
 * Creates the writer of one answer. Every answer has a length or chunks, so that
 * a connection that ends early, as when this process is killed, never completes
 * it. A whole answer gets a `Content-Length` if it has none. So does any answer
 * to a caller of HTTP/1.0, which has no chunks; it is buffered for that.
 */
export function createRoutedAnswerWriter(
  response: http.ServerResponse,
  { isWhole, bufferLimitBytes, clock, onFirst, onGap }:
    RoutedAnswerWriterOptions,
): RoutedAnswerWriter {
  let head: engine.AnswerHead | undefined;
  const limitBytes = bufferLimitBytes ?? sessionCore.defaultBufferLimitBytes;
  let bufferedParts: Uint8Array[] = [];
  let bufferedBytes = 0;
  let isOpen = false;
  let firstAtMs: number | undefined;
  let lastAtMs: number | undefined;
  let longestPauseMs = 0;
  let reason: string | undefined;
  const canSendChunks = response.useChunkedEncodingByDefault;

  function recordPart(): void {
    const nowMs = clock.now();
    if (lastAtMs === undefined) {
      firstAtMs = nowMs;
      onFirst();
    } else {
      const pauseMs = nowMs - lastAtMs;
      longestPauseMs = Math.max(longestPauseMs, pauseMs);
      onGap(pauseMs);
    }
    lastAtMs = nowMs;
  }

  function open(extraHeaders: readonly string[] = []): void {
    if (isOpen || head === undefined) return;
    isOpen = true;
    response.writeHead(head.status, [...head.headers.flat(), ...extraHeaders]);
  }

  function takeParts(): readonly Uint8Array[] {
    const taken = bufferedParts;
    bufferedParts = [];
    bufferedBytes = 0;
    return taken;
  }

  function hasContentLength(): boolean {
    return head?.headers.some(([name]) => isContentLength(name)) ?? false;
  }

  function isBodyless(status: number): boolean {
    return response.req.method === "HEAD" || httpStatus.isBodyless(status);
  }

  /** Ends an answer that can be sent neither whole nor in chunks. */
  function rejectLongAnswer(): void {
    reason = `The answer to an HTTP/1.0 request exceeds ${limitBytes} bytes`;
    takeParts();
    response.shouldKeepAlive = false;
    writeErrorAnswer(response, { status: 502, message: reason });
  }

  return {
    flow: {
      isBehind: () => response.writableNeedDrain,
      onceCaughtUp: (listener) => void response.once("drain", listener),
    },
    getStatus: () => response.statusCode,
    getReason: () => reason,
    isCut: () => isOpen && reason !== undefined,
    getTimes: () => ({ firstAtMs, lastAtMs, longestPauseMs }),
    head(received) {
      // Another upstream may continue a stream with other bytes than the first,
      // whose length then doesn't hold.
      const headers = isWhole || isBodyless(received.status)
        ? received.headers
        : received.headers.filter(([name]) => !isContentLength(name));
      head = { ...received, headers };
      response.statusCode = received.status;
    },
    data(data) {
      if (!isOpen && reason !== undefined) return;
      bufferedParts.push(data);
      bufferedBytes += data.byteLength;
      const isLong = bufferedBytes > limitBytes;
      const mustBuffer = !canSendChunks && !hasContentLength();
      if (!isOpen && !isLong && (isWhole || mustBuffer)) return;
      if (mustBuffer) return rejectLongAnswer();
      open();
      if (!isWhole) recordPart();
      for (const part of takeParts()) response.write(part);
    },
    end() {
      if (!isOpen && reason !== undefined) return;
      const body = Buffer.concat(takeParts());
      const extraHeaders =
        isOpen || hasContentLength() || isBodyless(response.statusCode)
          ? []
          : ["Content-Length", String(body.byteLength)];
      open(extraHeaders);
      response.end(body.byteLength === 0 ? undefined : body);
    },
    answer(final) {
      if (!isOpen && reason !== undefined) return;
      // Once the status line has been sent, only a broken connection can show
      // the caller that the answer is incomplete.
      const error = convertFinalAnswer(final);
      reason = error.message;
      if (isOpen) response.destroy();
      else writeErrorAnswer(response, error);
    },
  };
}
