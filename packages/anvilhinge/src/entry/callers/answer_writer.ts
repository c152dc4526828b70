/** Writes the answer of a session to a koa response. */
import * as stream from "node:stream";
import type Koa from "koa";
import type * as engine from "../../ports/engine.ts";
import * as callerError from "./caller_error.ts";
import * as eventId from "../session/event_id.ts";
import type * as runner from "../session/runner.ts";
import type * as session from "../session/session.ts";

/** Headers that apply to one connection only and are not forwarded. */
const connectionHeaders: readonly string[] = [
  "connection",
  "content-length",
  "keep-alive",
  "transfer-encoding",
  "upgrade",
];

export interface AnswerWriterOptions {
  readonly context: Koa.Context;
  readonly requestId: string;
  /** Set if the caller resumes a stream of which an entry delivered a part. */
  readonly resumePoint?: eventId.EventPoint;
}

/** Answer sink of a session that signals when Koa may send the response. */
export interface AnswerWriter extends runner.AnswerSink {
  /** Resolves when status, headers and body of the response are set. */
  readonly ready: Promise<void>;
}

interface AnswerSource {
  readonly upstream: session.Upstream;
  readonly attemptId: string;
}

/** Writes an error answer as typed JSON. */
export function writeCallerError(
  context: Koa.Context,
  error: callerError.CallerError,
): void {
  const requestId = String(context.state.requestId ?? "");
  context.status = error.status;
  context.body = callerError.renderCallerError(error, requestId);
  const retryAfter = callerError.computeRetryAfter(error);
  if (retryAfter !== undefined) context.set("Retry-After", retryAfter);
}

/** Creates the writer of one answer. */
export function createAnswerWriter(options: AnswerWriterOptions): AnswerWriter {
  const { context, requestId, resumePoint } = options;
  const body = new stream.PassThrough();
  let isEventStream = resumePoint !== undefined;
  let isOpen = false;
  let source: AnswerSource | undefined;
  let setReady = () => {};
  const ready = new Promise<void>((resolve) => {
    setReady = resolve;
  });

  function open(): void {
    if (isOpen) return;
    isOpen = true;
    context.body = body;
    setReady();
  }

  function setHead(head: engine.AnswerHead): void {
    context.status = head.status;
    for (const [name, value] of head.headers) {
      if (connectionHeaders.includes(name.toLowerCase())) continue;
      if (name.toLowerCase() === "content-type") {
        isEventStream = value.startsWith("text/event-stream");
      }
      context.set(name, value);
    }
  }

  function buildEventPoint(
    sequence: number,
  ): Omit<eventId.EventPoint, "index"> {
    if (resumePoint !== undefined) return { ...resumePoint, sequence };
    return {
      requestId,
      attemptId: source?.attemptId ?? "",
      group: source?.upstream.group ?? "",
      rank: source?.upstream.rank ?? 0,
      sequence,
    };
  }

  /** Opens a resumed answer; its head precedes the resume point. */
  function openResumed(): void {
    if (isOpen || resumePoint === undefined) return;
    context.status = 200;
    context.set("Content-Type", "text/event-stream");
    open();
  }

  return {
    ready,
    head(head, from) {
      source = from;
      setHead(head);
      open();
    },
    data(data, sequence) {
      openResumed();
      if (!isEventStream) {
        body.write(data);
        return;
      }
      // Events of the frame that the caller has already received.
      const skip = resumePoint?.sequence === sequence
        ? resumePoint.index + 1
        : 0;
      const point = buildEventPoint(sequence);
      body.write(eventId.insertEventIds(data, { point, skip }));
    },
    end() {
      openResumed();
      body.end();
    },
    answer(final) {
      const error = callerError.convertFinalAnswer(final);
      if (!isOpen) {
        writeCallerError(context, error);
        setReady();
        return;
      }
      if (!isEventStream) {
        // The status line has been sent, so only a broken connection can show
        // the caller that the answer is incomplete.
        body.destroy(new Error(error.message));
        return;
      }
      const text = JSON.stringify(
        callerError.renderCallerError(error, requestId),
      );
      body.end(`event: error\ndata: ${text}\n\n`);
    },
  };
}
