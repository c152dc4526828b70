/**
 * Session handlers that replace a stalled attempt. The stalled attempt goes on
 * until its replacement has data to deliver, because a slot may be refused, and
 * the other upstream may refuse the attempt, fail or stall as well.
 */
import type * as engine from "../../ports/engine.ts";
import type * as frames from "../../ports/frames.ts";
import * as httpStatus from "../../ports/http_status.ts";
import * as answerRules from "./answer_rules.ts";
import * as attemptState from "./attempt_state.ts";
import type * as sessionCore from "./session_core.ts";
import type * as types from "./session_types.ts";

type Effects = sessionCore.Effects;
type Observation = Parameters<sessionCore.SessionCore["observe"]>;
type Lost = Extract<types.SessionEvent, { readonly kind: "lost" }>;

/** What the frames of a replacement show so far. */
type Verdict =
  | "pending"
  | "deliverable"
  | "misplaced"
  | "oversized"
  | "useless";

export interface ReplacementHandlers {
  /** Requests a replacement of the stalled attempt. */
  requestReplacement(): Effects;
  /** Starts the replacement at the given upstream. */
  start(upstream: types.Upstream): Effects;
  /** Dispatches the replacement unless its agent can't be reached. */
  handlePrepared(outcome: types.PrepareOutcome): Effects;
  handleFrame(
    replacement: sessionCore.Replacement,
    frame: frames.Frame,
  ): Effects;
  handleLost(event: Lost): Effects;
  /** Ends the current attempt in favor of its replacement if it answers a failure. */
  replaceFailing(): Effects;
  /** Ends the replacement, or the request for one, with the given cause. */
  withdraw(cause: types.AttemptEndCause): Effects;
}

/** Memory of one queued frame besides its data, approximately. */
const frameOverheadBytes = 200;

/** Creates the handlers that operate on the given session core. */
export function createReplacementHandlers(
  core: sessionCore.SessionCore,
): ReplacementHandlers {
  const { options, shared, observe, resetStallTimer, cancel } = core;

  function requestReplacement(): Effects {
    const isPreparing = shared.replacement?.state.phase === "preparing";
    if (shared.isWaiting || isPreparing || !core.isRetryPermitted()) return [];
    const choice = options.chooseUpstream(core.attemptedIds);
    switch (choice.kind) {
      case "none":
        return [resetStallTimer()];
      case "wait":
        shared.isWaiting = true;
        return [];
      case "chosen":
        return start(choice.upstream);
    }
  }

  function start(upstream: types.Upstream): Effects {
    if (!shared.current?.isStalled) {
      core.withdrawSlotRequest();
      return [];
    }
    if (!options.takeRetry()) {
      core.withdrawSlotRequest();
      return [resetStallTimer()];
    }
    shared.isWaiting = false;
    const ended = [
      ...replaceFailing(),
      ...endReplacement("lost", { cause: "stalled" }),
    ];
    shared.replacement = core.createReplacement(upstream);
    return [...ended, ...core.beginAttempt(shared.replacement.state)];
  }

  function handlePrepared(outcome: types.PrepareOutcome): Effects {
    const state = shared.replacement?.state;
    if (state?.phase !== "preparing") return [];
    if (outcome.kind === "unreachable") {
      shared.replacement = undefined;
      return [...observe(state, "lost"), resetStallTimer()];
    }
    attemptState.setDescription(state, outcome);
    return core.dispatch(state);
  }

  /**
   * Ends the replacement, if there is one, and cancels its attempt. `ran` is its
   * run status, by default `yes` if it has started and `unknown` otherwise.
   */
  function endReplacement(
    outcome: Observation[1],
    report?: Observation[2],
    ran?: types.RunStatus,
  ): Effects {
    const { replacement } = shared;
    if (replacement === undefined) return [];
    shared.replacement = undefined;
    const { state } = replacement;
    if (state.phase === "preparing") return observe(state, "abandoned");
    core.raiseRunStatus(ran ?? (state.isStarted ? "yes" : "unknown"));
    return [...observe(state, outcome, report), cancel(state)];
  }

  /** Ends a replacement that failed, and requests another one. */
  function failReplacement(
    ...end: Parameters<typeof endReplacement>
  ): Effects {
    const ended = [...endReplacement(...end), resetStallTimer()];
    return shared.current?.isStalled
      ? [...ended, ...requestReplacement()]
      : ended;
  }

  function replaceFailing(): Effects {
    const { current, replacement } = shared;
    if (current === undefined || replacement === undefined) return [];
    if (!current.isStarted || !core.isFailedAnswer(current)) return [];
    core.raiseRunStatus("yes");
    return [
      ...observe(current, "failed"),
      cancel(current),
      ...(core.switchToReplacement() ?? []),
    ];
  }

  function replaceCurrent(): Effects {
    const { current } = shared;
    if (current === undefined) throw new Error("No attempt to replace");
    core.raiseRunStatus(current.isStarted ? "yes" : "unknown");
    return [
      ...observe(current, "lost", { cause: "stalled" }),
      cancel(current),
      ...(core.switchToReplacement() ?? []),
    ];
  }

  function checkData(
    replacement: sessionCore.Replacement,
    data: Uint8Array,
  ): Verdict {
    const { state, assembler } = replacement;
    replacement.frameBytes += data.byteLength;
    if (core.request.delivery === "streamed") return "deliverable";
    const usedBytes = replacement.frameBytes +
      replacement.frames.length * frameOverheadBytes;
    const verdict = usedBytes > core.maxBufferedBytes ? "oversized" : "pending";
    if (
      assembler === undefined || !httpStatus.isSuccess(state.status)
    ) {
      return replacement.frameBytes > core.maxBufferedBytes
        ? "deliverable"
        : verdict;
    }
    const pushed = assembler.push(data);
    if (pushed.kind !== "events") return pushed.kind;
    return pushed.data === undefined ? verdict : "deliverable";
  }

  /** Checks an answer that ended before it had data to deliver. */
  function checkEnd({ assembler }: sessionCore.Replacement): Verdict {
    return answerRules.findEndProblem(assembler) === undefined
      ? "deliverable"
      : "useless";
  }

  function checkHead(
    { state }: sessionCore.Replacement,
    head: engine.AnswerHead,
  ): Verdict {
    const problem = answerRules.findHeadProblem(head, core.request.delivery);
    return core.isFailedAnswer(state) || problem !== undefined
      ? "useless"
      : "pending";
  }

  function applyVerdict(verdict: Verdict): Effects {
    switch (verdict) {
      case "pending":
        return [resetStallTimer()];
      case "deliverable":
        return replaceCurrent();
      case "misplaced":
      case "oversized":
        return failReplacement("lost", { cause: verdict });
      case "useless":
        return failReplacement("failed");
    }
  }

  function applyFrame(
    replacement: sessionCore.Replacement,
    { body }: frames.Frame,
  ): Effects {
    const { state } = replacement;
    switch (body.kind) {
      case "accepted":
        state.isStarted = true;
        state.status = body.head.status;
        return applyVerdict(checkHead(replacement, body.head));
      case "chunk":
        return applyVerdict(checkData(replacement, body.data));
      case "end":
        return applyVerdict(checkEnd(replacement));
      case "refused":
        // The incarnation that it was addressed to may still have run it.
        return body.reason === "wrong_incarnation"
          ? failReplacement("refused", body)
          : failReplacement("refused", body, "no");
      case "failed":
        state.isStarted = true;
        return failReplacement("failed", body);
      case "not_held":
        return failReplacement("lost");
    }
  }

  return {
    requestReplacement,
    start,
    handlePrepared,
    replaceFailing,
    handleFrame(replacement, frame) {
      const { state } = replacement;
      if (state.phase !== "sent" || frame.sequence < state.nextSequence) {
        return [{ kind: "drop", frame }];
      }
      if (
        frame.sequence > state.nextSequence ||
        !attemptState.isValidPosition(frame)
      ) {
        state.isStarted = true;
        return failReplacement("lost", { cause: "misplaced" });
      }
      state.nextSequence += 1;
      replacement.frames.push(frame);
      return applyFrame(replacement, frame);
    },
    handleLost({ sent }) {
      const state = shared.replacement?.state;
      if (state?.phase !== "sent") return [];
      const isSent = sent || state.isStarted;
      const ran = isSent ? undefined : "no";
      const end = ["lost", { cause: "broken" }, ran] as const;
      if (isSent || options.gate !== "none") return failReplacement(...end);
      shared.attempts -= 1;
      return core.isUnsentRetryPermitted()
        ? failReplacement(...end)
        : [...endReplacement(...end), resetStallTimer()];
    },
    withdraw(cause) {
      core.withdrawSlotRequest();
      const outcome = cause === "deadline" ? "lost" : "abandoned";
      return endReplacement(outcome, { cause });
    },
  };
}
