/** Checks the guarantees to callers on the result of one simulation. */
import * as agentNode from "./agent_node.ts";
import * as caller from "./caller.ts";
import type * as simulation from "./simulation.ts";

/** Slack for calls that were in flight at the deadline, in milliseconds. */
const deadlineSlackMs = 10_000;
/** Time that a `not_run` answer must leave the caller to retry elsewhere. */
const minRemainingMs = 10_000;

/** Returns a description of each violated guarantee. */
export function listViolations(
  record: simulation.SimulationRecord,
): readonly string[] {
  return [
    ...checkSingleEffect(record),
    ...checkHandover(record),
    ...checkCallOutcome(record),
    ...record.submissions.flatMap((submission) => [
      ...checkText(record, submission),
      ...checkFinal(record, submission),
      ...checkTime(submission),
    ]),
  ];
}

function checkSingleEffect(
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
  const lateStarts = starts.filter(({ upstreamId, atMs }) =>
    upstreamId === "g0/0" && atMs > leavingAtMs
  );
  return lateStarts.length > 0
    ? ["The leaving upstream started a new attempt"]
    : [];
}

function checkCallOutcome(
  { callOutcome, effects }: simulation.SimulationRecord,
): string[] {
  switch (callOutcome?.kind) {
    case "not_run":
      return effects.length === 0
        ? []
        : ["The outcome lookup returned not_run for a call that took effect"];
    case "finished":
      return effects.length === 1 ? [] : [
        `The outcome lookup returned finished after ${effects.length} effects`,
      ];
    default:
      return [];
  }
}

/** Returns the expected text of a complete answer. */
function composeExpectedText(
  record: simulation.SimulationRecord,
  submission: caller.Submission,
): string {
  if (record.session !== "streamed model call") {
    return agentNode.formatServiceAnswer(submission.requestId);
  }
  return Array.from(
    { length: agentNode.chunkCount },
    (_, index) => agentNode.formatChunk(submission.attemptId ?? "", index),
  ).join("");
}

function checkText(
  record: simulation.SimulationRecord,
  submission: caller.Submission,
): string[] {
  const text = submission.before + submission.text;
  const expectedText = composeExpectedText(record, submission);
  if (submission.isComplete && text !== expectedText) {
    return [`A complete answer has the wrong text "${text}"`];
  }
  return expectedText.startsWith(text)
    ? []
    : [`An incomplete answer has the wrong text "${text}"`];
}

function checkFinal(
  record: simulation.SimulationRecord,
  submission: caller.Submission,
): string[] {
  const { final } = submission;
  const ownStarts = record.starts.filter(({ requestId }) =>
    requestId === submission.requestId
  );
  const hasRun = record.isRepeatable
    ? ownStarts.length > 0
    : record.effects.length > 0;
  if (submission.isComplete && ownStarts.length === 0) {
    return ["An answer is complete, but no attempt started"];
  }
  switch (final?.kind) {
    case "not_run":
      return hasRun
        ? [`The caller received not_run for a call that ran: ${final.reason}`]
        : [];
    case "failed":
    case "deadline_exceeded":
      if (!record.isRepeatable && final.kind === "failed") {
        return [
          "A call that must not run twice got a failed answer",
        ];
      }
      if (final.ran === "no" && hasRun) return ["Call ran, but ran is no"];
      if (final.ran === "yes" && !hasRun) {
        return ["Call did not run, but ran is yes"];
      }
      return [];
    case "other_body":
      return ["A retry with an identical body was rejected as other_body"];
    default:
      return [];
  }
}

function checkTime(sent: caller.Submission): string[] {
  if (sent.lastWords > 1) return [`${sent.lastWords} final answers were sent`];
  if (!sent.entry.isUp()) return [];
  const { finalAtMs, final, atMs } = sent;
  if (finalAtMs === undefined) {
    return sent.isAbandoned ? [] : ["No final answer was sent"];
  }
  const tookMs = finalAtMs - atMs;
  if (tookMs > caller.deadlineMs + deadlineSlackMs) {
    return [`The final answer took ${tookMs} ms`];
  }
  const isTooLate = final?.kind === "not_run" &&
    tookMs > caller.deadlineMs - minRemainingMs;
  return isTooLate ? [`The not_run answer took ${tookMs} ms`] : [];
}
