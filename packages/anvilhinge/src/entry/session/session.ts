/**
 * State machine for one caller's request at an entry, from arrival to the final
 * answer. It chooses upstreams, claims requests that must not run twice,
 * processes the frames of the current attempt and of the replacement of a stalled
 * one, retries attempts that did not run or may run twice, resumes a broken stream
 * without running the attempt again, and seals attempts that may not have started.
 * It is deterministic and performs no I/O: it maps events to effects.
 */
import * as attemptState from "./attempt_state.ts";
import * as sessionClaims from "./session_claims.ts";
import * as sessionCore from "./session_core.ts";
import * as sessionFrames from "./session_frames.ts";
import * as sessionReplacement from "./session_replacement.ts";
import type * as types from "./session_types.ts";

export type * from "./session_types.ts";

type Effects = sessionCore.Effects;

/** Creates the state machine; it produces no effects before its first event. */
export function createSession(
  request: types.Request,
  options: types.SessionOptions,
): types.Session {
  const core = sessionCore.createSessionCore(request, options);
  const { shared, buffer, maxAttempts, observe, raiseRunStatus } = core;
  const { finish, finishNotRun, finishUnknown, startNextAttempt, sendResume } =
    core;
  const { startAttemptAt } = core;
  const replacements = sessionReplacement.createReplacementHandlers(core);
  const { handlePrepared, handleClaimAnswer, handleFound } = sessionClaims
    .createClaimHandlers(core);
  const frameHandlers = sessionFrames.createFrameHandlers(core, replacements);
  const { handleFrame, handleLost, handleSealAnswer } = frameHandlers;

  function startFirstAttempt(): Effects {
    const resumePoint = options.resumePoint;
    if (resumePoint === undefined) return startNextAttempt();
    // The resumed answer was partly delivered by another entry, so no other
    // attempt may replace the resumed attempt.
    shared.attempts = maxAttempts;
    shared.ran = "yes";
    shared.current = {
      ...attemptState.createAttemptState(
        resumePoint.attemptId,
        resumePoint.upstream,
      ),
      phase: "sent",
      nextSequence: resumePoint.fromSequence,
      isStarted: true,
      isObserved: true,
    };
    return sendResume(shared.current);
  }

  function handleDeadline(isCallerBehind = false): Effects {
    const message = "The deadline passed before the answer was complete";
    const state = shared.current;
    if (state === undefined && shared.ran !== "no") {
      return finish({ kind: "deadline_exceeded", message, ran: shared.ran });
    }
    if (state === undefined) {
      return shared.isWaiting || shared.isSlotDelayed
        ? finishNotRun(message, 0)
        // The lookup of an earlier submission's claim is still in progress.
        : finishUnknown(message);
    }
    if (state.phase === "preparing" || state.phase === "claiming") {
      return finishUnsent(state, message);
    }
    // A slow caller says nothing about the upstream, which had to wait for it.
    const outcome = isCallerBehind ? "abandoned" : "lost";
    const observed = observe(state, outcome, { cause: "deadline" });
    // A claimed attempt is not cancelled: a later lookup can find its outcome.
    if (!request.isRepeatable && options.gate !== "none") {
      return [...observed, ...finishUnknown(message)];
    }
    raiseRunStatus(state.isStarted ? "yes" : "unknown");
    return [
      ...observed,
      core.cancel(state),
      ...replacements.withdraw("deadline"),
      ...finish({ kind: "deadline_exceeded", message, ran: shared.ran }),
    ];
  }

  /** Ends a request whose current attempt was not dispatched. */
  function finishUnsent(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    return [
      ...observe(state, "completed"),
      ...settleUnsent(state),
      ...finishNotRun(message, 0),
    ];
  }

  /** Records an attempt as not run if its claim is still being written. */
  function settleUnsent(
    { phase, attemptId }: attemptState.AttemptState,
  ): Effects {
    return phase === "claiming"
      ? [{ kind: "settle", attemptId, state: { kind: "not_run" } }]
      : [];
  }

  function handleCallerGone(): Effects {
    const state = shared.current;
    if (state === undefined) {
      if (shared.isWaiting || shared.isSlotDelayed) shared.isDone = true;
      return [];
    }
    if (state.phase === "preparing" || state.phase === "claiming") {
      shared.isDone = true;
      return [...observe(state, "completed"), ...settleUnsent(state)];
    }
    // A request that must not run twice is followed to its end, so that its
    // outcome is recorded.
    const isRecorded = !request.isRepeatable && options.gate !== "none";
    if (isRecorded) return [];
    shared.isDone = true;
    shared.current = undefined;
    const outcome = state.isStalled ? "lost" : "completed";
    const observed = observe(state, outcome, { cause: "caller_gone" });
    // A caller that has received data may resume the stream at another entry.
    // The agent ends an attempt that no entry has followed for some time.
    if (request.delivery === "streamed" && buffer.hasDelivered()) {
      return observed;
    }
    return [
      ...observed,
      core.cancel(state),
      ...replacements.withdraw("caller_gone"),
    ];
  }

  function handleGranted(upstream: types.Upstream): Effects {
    if (!shared.isWaiting) return [];
    return shared.current === undefined
      ? startAttemptAt(upstream)
      : replacements.start(upstream);
  }

  function handleDenied(
    { reason, retryAfterMs }: Extract<
      types.SessionEvent,
      { readonly kind: "denied" }
    >,
  ): Effects {
    if (!shared.isWaiting) return [];
    // A stream that has begun would be broken off by a final answer.
    return shared.current !== undefined || buffer.hasDelivered()
      ? core.scheduleSlotRequest(retryAfterMs)
      : finishNotRun(reason, retryAfterMs);
  }

  function isCurrent(attemptId: string, phase: attemptState.Phase): boolean {
    return shared.current?.attemptId === attemptId &&
      shared.current.phase === phase;
  }

  function startRequest(): Effects {
    const remainingMs = request.deadlineAtMs - options.clock.now();
    const delayMs = Math.max(0, remainingMs);
    return [
      { kind: "set_timer", name: "deadline", delayMs },
      ...startFirstAttempt(),
    ];
  }

  function handleTimer(
    { name, isCallerBehind }: Extract<
      types.SessionEvent,
      { readonly kind: "timer" }
    >,
  ): Effects {
    switch (name) {
      case "deadline":
        return handleDeadline(isCallerBehind);
      case "stall":
        return frameHandlers.handleStall();
      case "slot":
        return frameHandlers.handleSlotTimer();
    }
  }

  function handleEvent(event: types.SessionEvent): Effects {
    switch (event.kind) {
      case "arrived":
        return startRequest();
      case "prepared":
        if (shared.replacement?.state.attemptId === event.attemptId) {
          return replacements.handlePrepared(event.outcome);
        }
        return shared.current !== undefined &&
            isCurrent(event.attemptId, "preparing")
          ? handlePrepared(shared.current, event.outcome)
          : [];
      case "granted":
        return handleGranted(event.upstream);
      case "denied":
        return handleDenied(event);
      case "claim_answered":
        return shared.current !== undefined &&
            isCurrent(event.attemptId, "claiming")
          ? handleClaimAnswer(shared.current, event.result)
          : [];
      case "found":
        return handleFound(event.result);
      case "frame":
        return handleFrame(event.frame);
      case "lost":
        if (shared.replacement?.state.attemptId === event.attemptId) {
          return replacements.handleLost(event);
        }
        return shared.current?.attemptId === event.attemptId
          ? handleLost(shared.current, event)
          : [];
      case "seal_answered":
        return shared.current !== undefined &&
            isCurrent(event.attemptId, "sealing")
          ? handleSealAnswer(shared.current, event.outcome)
          : [];
      case "timer":
        return handleTimer(event);
      case "caller_gone":
        return handleCallerGone();
    }
  }

  return {
    isDone: () => shared.isDone,
    handle(event) {
      if (shared.isDone) {
        return event.kind === "frame"
          ? [{ kind: "drop", frame: event.frame }]
          : [];
      }
      const effects = handleEvent(event);
      return [...effects, ...frameHandlers.handleQueuedFrames()];
    },
  };
}
