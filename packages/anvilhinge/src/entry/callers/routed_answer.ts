/** Writes the answer of a session before routed services to an HTTP response. */
import type * as http from "node:http";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../../ports/engine.ts";
import type * as runner from "../session/runner.ts";
import type * as session from "../session/session.ts";

/** A refusal or failure of the entry's own. */
export interface ErrorAnswer {
  readonly status: number;
  /** What was wrong, where, and what to do. */
  readonly message: string;
  /** When to come back, in milliseconds; undefined without advice. */
  readonly retryAfterMs?: number;
}

const millisecondsPerSecond = 1_000;
const retryAfterDigits = 3;

/** Converts the final answer of a session into an answer of the entry. */
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
      throw new Error(`No claims here, yet the answer is ${final.kind}`);
  }
}

/** Writes an answer of the entry's own. */
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
      .toFixed(retryAfterDigits);
  }
  response.writeHead(status, headers);
  response.end(body);
}

export interface RoutedAnswerWriter extends runner.AnswerSink {
  /** Status that was written; 200 before. */
  getStatus(): number;
  /** Why the entry gave an answer of its own; undefined when it did not. */
  getReason(): string | undefined;
  getTimes(): AnswerTimes;
}

/** When the parts of an answer went out. */
export interface AnswerTimes {
  /** Instant of the first part; undefined when none went out. */
  readonly firstAtMs: number | undefined;
  /** Longest pause between two parts, in milliseconds. */
  readonly longestPauseMs: number;
}

export interface RoutedAnswerWriterOptions {
  /** True for answers that are sent in one piece. */
  readonly isWhole: boolean;
  readonly clock: clock.Clock;
  /** Called with each pause between two parts, in milliseconds. */
  readonly onPause: (pauseMs: number) => void;
}

/** Creates the sink of one answer; `whole` answers get their length. */
export function createRoutedAnswerWriter(
  response: http.ServerResponse,
  { isWhole, clock, onPause }: RoutedAnswerWriterOptions,
): RoutedAnswerWriter {
  let head: engine.AnswerHead | undefined;
  let held: Uint8Array[] = [];
  let isOpen = false;
  let firstAtMs: number | undefined;
  let lastAtMs = 0;
  let longestPauseMs = 0;
  let reason: string | undefined;

  function recordPart(): void {
    const nowMs = clock.now();
    if (firstAtMs === undefined) {
      firstAtMs = nowMs;
    } else {
      const pauseMs = nowMs - lastAtMs;
      longestPauseMs = Math.max(longestPauseMs, pauseMs);
      onPause(pauseMs);
    }
    lastAtMs = nowMs;
  }

  function open(extra: readonly string[] = []): void {
    if (isOpen || head === undefined) return;
    isOpen = true;
    if (head.isCloseDelimited) {
      // A length of ours would say that the body is whole.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(head.status, [...head.headers.flat(), ...extra]);
  }

  function hasLength(): boolean {
    return head?.headers.some(([name]) =>
      name.toLowerCase() === "content-length"
    ) ?? false;
  }

  return {
    getStatus: () => response.statusCode,
    getReason: () => reason,
    getTimes: () => ({ firstAtMs, longestPauseMs }),
    head(received) {
      head = received;
      response.statusCode = received.status;
    },
    data(data) {
      if (isWhole && !isOpen) {
        held.push(data);
        return;
      }
      open();
      recordPart();
      response.write(data);
    },
    end() {
      const body = Buffer.concat(held);
      held = [];
      const isBodyless = head?.status === 204 || head?.status === 304;
      const extra =
        isOpen || hasLength() || isBodyless || head?.isCloseDelimited
          ? []
          : ["Content-Length", String(body.byteLength)];
      open(extra);
      response.end(body.byteLength === 0 ? undefined : body);
    },
    answer(final) {
      // The status line has left: a broken connection is the one way to say
      // that the answer is not whole.
      const own = convertFinalAnswer(final);
      reason = own.message;
      if (isOpen) response.destroy();
      else writeErrorAnswer(response, own);
    },
  };
}
