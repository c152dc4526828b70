/** The promises to callers, checked on the record of one world. */
import * as agentNode from "./agent_node.ts";
import * as caller from "./caller.ts";
import type * as simulation from "./simulation.ts";

/** Slack for calls that were under way at the deadline, in milliseconds. */
const deadlineSlackMs = 10_000;
/** A refusal must leave the caller time to go elsewhere, in milliseconds. */
const leastTimeLeftMs = 10_000;

/** Returns one sentence for each promise that was broken. */
export function listViolations(
  record: simulation.SimulationRecord,
): readonly string[] {
  return [
    ...checkOnce(record),
    ...checkHandover(record),
    ...checkInquiry(record),
    ...record.submissions.flatMap((send) => [
      ...checkWhole(record, send),
      ...checkFinal(record, send),
      ...checkTime(send),
    ]),
  ];
}

function checkOnce(
  { isRepeatable, effects }: simulation.SimulationRecord,
): string[] {
  return !isRepeatable && effects.length > 1
    ? [`The call took effect ${effects.length} times`]
    : [];
}

function checkHandover(
  { leavingAtMs, starts }: simulation.SimulationRecord,
): string[] {
  if (leavingAtMs === undefined) return [];
  const late = starts.filter(({ upstreamId, atMs }) =>
    upstreamId === "g0/0" && atMs > leavingAtMs
  );
  return late.length > 0 ? ["The leaving upstream started new work"] : [];
}

function checkInquiry(
  { callOutcome: inquiry, effects }: simulation.SimulationRecord,
): string[] {
  switch (inquiry?.kind) {
    case "not_run":
      return effects.length === 0
        ? []
        : ["The inquiry said not run of a call that took effect"];
    case "finished":
      return effects.length === 1
        ? []
        : [`The inquiry said finished after ${effects.length} effects`];
    default:
      return [];
  }
}

/** Expected text of a whole answer. */
function composeWhole(
  record: simulation.SimulationRecord,
  send: caller.Submission,
): string {
  if (record.session !== "streamed model call") {
    return agentNode.formatServiceAnswer(send.requestId);
  }
  return Array.from(
    { length: agentNode.chunkCount },
    (_, index) => agentNode.formatChunk(send.attemptId ?? "", index),
  ).join("");
}

function checkWhole(
  record: simulation.SimulationRecord,
  send: caller.Submission,
): string[] {
  const text = send.before + send.text;
  const whole = composeWhole(record, send);
  if (send.isComplete && text !== whole) {
    return [`A complete answer reads "${text}"`];
  }
  return whole.startsWith(text) ? [] : [`A broken answer reads "${text}"`];
}

function checkFinal(
  record: simulation.SimulationRecord,
  send: caller.Submission,
): string[] {
  const { final } = send;
  const ownStarts = record.starts.filter(({ requestId }) =>
    requestId === send.requestId
  );
  const hasRun = record.isRepeatable
    ? ownStarts.length > 0
    : record.effects.length > 0;
  if (send.isComplete && ownStarts.length === 0) {
    return ["An answer was complete though nothing ran"];
  }
  switch (final?.kind) {
    case "not_run":
      return hasRun
        ? [`Not run was said of a call that ran: ${final.reason}`]
        : [];
    case "failed":
    case "deadline_exceeded":
      if (!record.isRepeatable && final.kind === "failed") {
        return ["A call that must not run twice was said to be repeatable"];
      }
      if (final.ran === "no" && hasRun) return ["It ran, but no was said"];
      if (final.ran === "yes" && !hasRun) {
        return ["It did not run, but yes was said"];
      }
      return [];
    case "other_body":
      return ["The own body was taken for another"];
    default:
      return [];
  }
}

function checkTime(send: caller.Submission): string[] {
  if (send.lastWords > 1) return [`${send.lastWords} last words were said`];
  if (!send.entry.isUp()) return [];
  const { finalAtMs, final, atMs } = send;
  if (finalAtMs === undefined) {
    return send.isAbandoned ? [] : ["No last word was said"];
  }
  const tookMs = finalAtMs - atMs;
  if (tookMs > caller.deadlineMs + deadlineSlackMs) {
    return [`The last word took ${tookMs} ms`];
  }
  const isHeldBack = final?.kind === "not_run" &&
    tookMs > caller.deadlineMs - leastTimeLeftMs;
  return isHeldBack ? [`Not run was held back for ${tookMs} ms`] : [];
}
