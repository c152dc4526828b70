/**
 * One caller's request at an entry, from arrival to its final answer: chooses
 * upstreams, claims what must not run twice, follows the frames of the present
 * attempt, retries work that did not run, resumes a broken stream on the same
 * generation, and seals attempts whose start is uncertain. Deterministic:
 * events in, effects out.
 */
import * as attemptState from "./attempt_state.ts";
import * as sessionClaims from "./session_claims.ts";
import * as sessionCore from "./session_core.ts";
import * as sessionFrames from "./session_frames.ts";
import type * as types from "./session_types.ts";

export type * from "./session_types.ts";

type Effects = sessionCore.Effects;

/** Creates the state machine of one request; it acts on its first event. */
export function createSession(
  request: types.Request,
  options: types.SessionOptions,
): types.Session {
  const core = sessionCore.createSessionCore(request, options);
  const { shared, buffer, maxAttempts, observe, raiseRunStatus: raiseRan } =
    core;
  const {
    finish,
    finishNotRun,
    finishUnknown,
    startNextAttempt: startAttempt,
    sendResume,
  } = core;
  const { startAttemptAt: beginAttempt } = core;
  const { handlePrepared, handleClaimAnswer, handleFound } = sessionClaims
    .createClaimHandlers(core);
  const { handleFrame, handleLost, handleStall, handleSealAnswer } =
    sessionFrames.createFrameHandlers(core);

  function startFirst(): Effects {
    const point = options.resumePoint;
    if (point === undefined) return startAttempt();
    shared.attempts = maxAttempts;
    shared.ran = "yes";
    shared.current = {
      ...attemptState.createAttemptState(point.attemptId, point.upstream),
      phase: "sent",
      nextSequence: point.fromSequence,
      isStarted: true,
      isObserved: true,
    };
    return sendResume(shared.current);
  }

  function handleDeadline(): Effects {
    const message = "The deadline passed before the answer was complete";
    const state = shared.current;
    if (shared.isWaiting) return finishNotRun(message, 0);
    if (state === undefined) return finishUnknown(message);
    if (state.phase === "preparing" || state.phase === "claiming") {
      return abortUnsent(state, message);
    }
    const observed = observe(state, "lost");
    if (!request.isRepeatable && options.gate !== "none") {
      return [...observed, ...finishUnknown(message)];
    }
    const { upstream, attemptId } = state;
    raiseRan(state.isStarted ? "yes" : "unknown");
    return [
      ...observed,
      { kind: "cancel", upstream, attemptId },
      ...finish({ kind: "deadline_exceeded", message, ran: shared.ran }),
    ];
  }

  /** Ends a request whose present attempt was not sent. */
  function abortUnsent(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    return [
      ...observe(state, "completed"),
      ...settleUnsent(state),
      ...finishNotRun(message, 0),
    ];
  }

  /** Records of a claim on its way that its attempt is not sent. */
  function settleUnsent(
    { phase, attemptId }: attemptState.AttemptState,
  ): Effects {
    return phase === "claiming"
      ? [{ kind: "settle", attemptId, state: { kind: "not_run" } }]
      : [];
  }

  function handleCallerGone(): Effects {
    const state = shared.current;
    if (shared.isWaiting) shared.isDone = true;
    if (state === undefined) return [];
    if (state.phase === "preparing" || state.phase === "claiming") {
      shared.isDone = true;
      return [...observe(state, "completed"), ...settleUnsent(state)];
    }
    // What must not run twice is followed to its end for the record.
    const isRecorded = !request.isRepeatable && options.gate !== "none";
    if (isRecorded) return [];
    shared.isDone = true;
    shared.current = undefined;
    const observed = observe(state, "completed");
    // A caller that has events may come back for the rest at another entry;
    // the agent ends what nobody follows for a while.
    if (request.delivery === "streamed" && buffer.hasDelivered()) {
      return observed;
    }
    const { upstream, attemptId } = state;
    return [...observed, { kind: "cancel", upstream, attemptId }];
  }

  function isCurrent(attemptId: string, phase: attemptState.Phase): boolean {
    return shared.current?.attemptId === attemptId &&
      shared.current.phase === phase;
  }

  function startRequest(): Effects {
    const leftMs = request.deadlineAtMs - options.clock.now();
    const delayMs = Math.max(0, leftMs);
    return [{ kind: "set_timer", name: "deadline", delayMs }, ...startFirst()];
  }

  return {
    isDone: () => shared.isDone,
    handle(event) {
      if (shared.isDone) {
        return event.kind === "frame"
          ? [{ kind: "drop", frame: event.frame }]
          : [];
      }
      switch (event.kind) {
        case "arrived":
          return startRequest();
        case "prepared":
          return shared.current !== undefined &&
              isCurrent(event.attemptId, "preparing")
            ? handlePrepared(shared.current, event.outcome)
            : [];
        case "granted":
          return shared.isWaiting ? beginAttempt(event.upstream) : [];
        case "denied":
          return shared.isWaiting
            ? finishNotRun(event.reason, event.retryAfterMs)
            : [];
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
          return shared.current?.attemptId === event.attemptId
            ? handleLost(shared.current, event)
            : [];
        case "seal_answered":
          return shared.current !== undefined &&
              isCurrent(event.attemptId, "sealing")
            ? handleSealAnswer(shared.current, event.outcome)
            : [];
        case "timer":
          return event.name === "deadline" ? handleDeadline() : handleStall();
        case "caller_gone":
          return handleCallerGone();
      }
    },
  };
}
