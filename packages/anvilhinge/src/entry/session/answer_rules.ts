/**
 * Decides what counts as the answer to a request, for every attempt: the first, a
 * retry, the replacement of a stalled one, and one that continues a stream. What
 * shows in the head alone is decided by the upstream's dialect.
 */
import type * as engine from "../../ports/engine.ts";
import * as httpStatus from "../../ports/http_status.ts";
import type * as eventAssembler from "./event_assembler.ts";
import type * as types from "./session_types.ts";

const eventStreamType = "text/event-stream";

/**
 * Finds why an answer with this head can't be used; undefined if it can. A stream
 * of events that is declared as something else is none.
 */
export function findHeadProblem(
  { status, headers }: engine.AnswerHead,
  delivery: types.Request["delivery"],
): string | undefined {
  if (delivery !== "events" || !httpStatus.isSuccess(status)) return undefined;
  const type = headers
    .find(([name]) => name.toLowerCase() === "content-type")?.[1]
    .split(";")[0]?.trim().toLowerCase();
  return type === undefined || type === eventStreamType
    ? undefined
    : `The answer has ${type} in place of events`;
}

/**
 * Finds why an answer that has ended is not whole; undefined if it is. A
 * continuation without an event doesn't show where the stream ends.
 */
export function findEndProblem(
  assembler: eventAssembler.EventAssembler | undefined,
): string | undefined {
  if (assembler?.hasIncompleteEvent()) {
    return "The answer ended inside an event";
  }
  return assembler?.isEmptyContinuation()
    ? "The answer continues the stream without an event"
    : undefined;
}
