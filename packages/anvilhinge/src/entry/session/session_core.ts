/**
 * State and operations that the claim and frame handlers of a session share:
 * starting, retrying and finishing attempts.
 */
import type * as engine from "../../ports/engine.ts";
import type * as frames from "../../ports/frames.ts";
import * as httpStatus from "../../ports/http_status.ts";
import * as answerBuffer from "./answer_buffer.ts";
import * as attemptState from "./attempt_state.ts";
import * as eventAssembler from "./event_assembler.ts";
import type * as types from "./session_types.ts";

export type Effects = types.SessionEffect[];

type NotRunDetails = Pick<
  Extract<types.FinalAnswer, { readonly kind: "not_run" }>,
  "reason" | "retryAfterMs"
>;
type Observation = Extract<
  types.SessionEffect,
  { readonly kind: "observe" }
>["outcome"];

interface ObservationReport {
  readonly load?: engine.EngineLoad;
  readonly cause?: types.AttemptEndCause;
}

/** Attempt that is to replace the current, stalled attempt. */
export interface Replacement {
  readonly state: attemptState.AttemptState;
  /** Frames of its answer, of which nothing was delivered. */
  readonly frames: frames.Frame[];
  /** Number of data bytes in the frames. */
  frameBytes: number;
  /** Checks the events of its answer; undefined unless delivery is `events`. */
  readonly assembler: eventAssembler.EventAssembler | undefined;
}

/** Mutable state of one session, shared by its handlers. */
export interface SharedState {
  /** Number of attempts started so far. */
  attempts: number;
  current: attemptState.AttemptState | undefined;
  /**
   * Set from its start until it, or the attempt that it is to replace, delivers
   * data or ends.
   */
  replacement: Replacement | undefined;
  /** Id of the attempt that delivered the last data; undefined before. */
  deliveringId: string | undefined;
  /** Frames that the current attempt received while it was the replacement. */
  queuedFrames: readonly frames.Frame[];
  /** Latest attempt proven never to run; a new claim replaces its claim. */
  notRunAttemptId: string | undefined;
  /**
   * True when no earlier submission of this request by the caller can have run.
   * Always true for repeatable requests, which are not claimed.
   */
  hasNoEarlierRun: boolean;
  /**
   * Reason for a `not_run` answer that is withheld until a lookup confirms that
   * no claim of an earlier submission exists.
   */
  pendingNotRun: NotRunDetails | undefined;
  /** Whether any attempt of this request ran, as far as is known. */
  ran: types.RunStatus;
  /**
   * True while the session waits for a slot at an upstream: for its next attempt
   * or, if there is a current attempt, for the replacement of that attempt.
   */
  isWaiting: boolean;
  /** True while the next slot request is delayed after a refusal. */
  isSlotDelayed: boolean;
  /**
   * True once a body that is a failure or no events was delivered before its
   * end, because it exceeded the buffer; no other attempt can continue it.
   */
  isEventlessDelivered: boolean;
  isDone: boolean;
}

export interface SessionCore {
  readonly request: types.Request;
  readonly options: types.SessionOptions;
  readonly shared: SharedState;
  readonly buffer: answerBuffer.AnswerBuffer;
  /** Assembles complete events; undefined unless delivery is `events`. */
  readonly eventAssembler: eventAssembler.EventAssembler | undefined;
  readonly recorder: answerBuffer.AnswerRecorder;
  /** Ids of the upstreams attempted so far. */
  readonly attemptedIds: ReadonlySet<string>;
  readonly maxAttempts: number;
  /** Maximum number of bytes of an answer that are kept back. */
  readonly maxBufferedBytes: number;
  /**
   * Merges the run status of one attempt into that of the request: `yes`
   * overrides `unknown`, which overrides `no`.
   */
  raiseRunStatus(runStatus: types.RunStatus): void;
  finish(final: types.FinalAnswer): Effects;
  /** Finishes a request whose last attempt did not run. */
  finishNotRun(reason: string, retryAfterMs: number): Effects;
  finishUnknown(message: string, retryAfterMs?: number): Effects;
  /** Reports the end of an attempt; repeated calls have no effect. */
  observe(
    state: attemptState.AttemptState,
    outcome: Observation,
    report?: ObservationReport,
  ): Effects;
  resetStallTimer(): types.SessionEffect;
  /** Chooses an upstream and starts an attempt there. */
  startNextAttempt(): Effects;
  /** Starts an attempt at the given upstream. */
  startAttemptAt(upstream: types.Upstream): Effects;
  /** Prepares an attempt, or dispatches it if there is no agent. */
  beginAttempt(state: attemptState.AttemptState): Effects;
  /** Dispatches a prepared attempt. */
  dispatch(state: attemptState.AttemptState): Effects;
  /** Retries or finishes after an attempt that certainly did not run. */
  retryNotRun(reason: string, retryAfterMs: number): Effects;
  /** Retries or finishes after an attempt of which nothing left this node. */
  retryUnsent(reason: string): Effects;
  /**
   * Retries or finishes after an attempt that ran, or may have run, without
   * completing.
   */
  retryUncertain(
    state: attemptState.AttemptState,
    message: string,
  ): Effects;
  /**
   * Whether a request that ran or may have run may be attempted again, apart
   * from the retry budget.
   */
  isRetryPermitted(): boolean;
  /** Whether the attempt continues an answer that another attempt began. */
  isContinuation(state: attemptState.AttemptState): boolean;
  /**
   * Whether the attempt's answer is a failure, or continues another's with a
   * status that is not a success.
   */
  isFailedAnswer(state: attemptState.AttemptState): boolean;
  /** Withdraws the slot request, if there is one. */
  withdrawSlotRequest(): void;
  /** Delays the next slot request after a refusal. */
  scheduleSlotRequest(retryAfterMs: number): Effects;
  /** Creates the replacement of the current attempt without dispatching it. */
  createReplacement(upstream: types.Upstream): Replacement;
  /** Whether another upstream may be attempted after an unsent attempt. */
  isUnsentRetryPermitted(): boolean;
  /**
   * Makes the replacement the current attempt in place of one that has ended.
   * Returns undefined if there is no replacement.
   */
  switchToReplacement(): Effects | undefined;
  cancel(state: attemptState.AttemptState): types.SessionEffect;
  sendResume(state: attemptState.AttemptState): Effects;
  sendSeal(state: attemptState.AttemptState): Effects;
}

const defaultMaxAttempts = 4;
/**
 * Number of attempted upstreams after which an unsent attempt is not retried if
 * the upstreams have no agents.
 */
const maxAttemptedUpstreams = 4;
/** Default of the session's `stallMs`. */
export const defaultStallMs = 5_000;
/** Minimum delay of a slot request after a refusal. */
const minSlotRetryMs = 100;
/** Default of the session's `bufferLimitBytes`. */
export const defaultBufferLimitBytes = 8 * 1024 * 1024;

/** Creates the core of a session that has not started. */
export function createSessionCore(
  request: types.Request,
  options: types.SessionOptions,
): SessionCore {
  const maxAttempts = options.maxAttempts ?? defaultMaxAttempts;
  const stallMs = options.stallMs ?? defaultStallMs;
  const maxBufferedBytes = options.bufferLimitBytes ?? defaultBufferLimitBytes;
  const buffer = answerBuffer.createAnswerBuffer({
    isStreamed: request.delivery !== "whole" ||
      options.resumePoint !== undefined,
    limitBytes: maxBufferedBytes,
  });
  const recorder = answerBuffer.createAnswerRecorder();
  const assembler = request.delivery === "events"
    ? eventAssembler.createEventAssembler({
      resumeAfter: request.resumeAfter,
      limitBytes: maxBufferedBytes,
    })
    : undefined;
  const attemptedIds = new Set<string>();
  const shared: SharedState = {
    attempts: 0,
    current: undefined,
    replacement: undefined,
    deliveringId: undefined,
    queuedFrames: [],
    notRunAttemptId: undefined,
    hasNoEarlierRun: request.isRepeatable || !request.isNamed,
    pendingNotRun: undefined,
    ran: "no",
    isWaiting: false,
    isSlotDelayed: false,
    isEventlessDelivered: false,
    isDone: false,
  };

  function raiseRunStatus(runStatus: types.RunStatus): void {
    if (runStatus === "yes" || shared.ran === "no") shared.ran = runStatus;
  }

  function finish(final: types.FinalAnswer): Effects {
    shared.isDone = true;
    shared.current = undefined;
    return [{ kind: "answer", answer: final }];
  }

  function finishNotRun(reason: string, retryAfterMs: number): Effects {
    if (shared.ran !== "no") {
      return finish({ kind: "failed", message: reason, ran: shared.ran });
    }
    shared.current = undefined;
    if (!shared.hasNoEarlierRun) {
      shared.pendingNotRun = { reason, retryAfterMs };
      return [{ kind: "find" }];
    }
    const isClaimed = shared.notRunAttemptId !== undefined &&
      options.gate !== "none";
    const settleEffects: Effects = !isClaimed ? [] : [{
      kind: "settle",
      attemptId: shared.notRunAttemptId ?? "",
      state: { kind: "not_run" },
    }];
    return [
      ...settleEffects,
      ...finish({ kind: "not_run", reason, retryAfterMs }),
    ];
  }

  function finishUnknown(message: string, retryAfterMs = 0): Effects {
    return finish({ kind: "unknown", message, retryAfterMs });
  }

  function observe(
    state: attemptState.AttemptState,
    outcome: Observation,
    { load, cause }: ObservationReport = {},
  ): Effects {
    if (state.isObserved) return [];
    state.isObserved = true;
    const { upstream } = state;
    return [{ kind: "observe", upstream, outcome, load, cause }];
  }

  function resetStallTimer(): types.SessionEffect {
    return { kind: "set_timer", name: "stall", delayMs: stallMs };
  }

  function withdrawSlotRequest(): void {
    if (shared.isWaiting) options.withdrawSlotRequest?.();
    shared.isWaiting = false;
  }

  function scheduleSlotRequest(retryAfterMs: number): Effects {
    shared.isWaiting = false;
    shared.isSlotDelayed = true;
    const delayMs = Math.max(minSlotRetryMs, retryAfterMs);
    return [{ kind: "set_timer", name: "slot", delayMs }];
  }

  function startNextAttempt(): Effects {
    if (shared.isWaiting) return [];
    if (request.deadlineAtMs <= options.clock.now()) {
      const reason = "The deadline passed before an upstream was found";
      return finishNotRun(reason, 0);
    }
    return applyChoice(options.chooseUpstream(attemptedIds));
  }

  function applyChoice(choice: types.UpstreamChoice): Effects {
    switch (choice.kind) {
      case "none":
        return finishNotRun(choice.reason, choice.retryAfterMs);
      case "wait":
        shared.isWaiting = true;
        return [];
      case "chosen":
        return startAttemptAt(choice.upstream);
    }
  }

  function createAttempt(
    upstream: types.Upstream,
  ): attemptState.AttemptState {
    shared.attempts += 1;
    attemptedIds.add(upstream.id);
    return attemptState.createAttemptState(options.createAttemptId(), upstream);
  }

  /** Discards undelivered parts of the answer, for those of another attempt. */
  function resetAnswer(): void {
    buffer.restart();
    recorder.restart();
    assembler?.restart();
  }

  function startAttemptAt(upstream: types.Upstream): Effects {
    shared.isWaiting = false;
    const state = createAttempt(upstream);
    resetAnswer();
    shared.current = state;
    return beginAttempt(state);
  }

  function beginAttempt(state: attemptState.AttemptState): Effects {
    const { upstream, attemptId } = state;
    return options.gate === "none"
      ? dispatch(state)
      : [{ kind: "prepare", upstream, attemptId }];
  }

  function createReplacement(upstream: types.Upstream): Replacement {
    const state = createAttempt(upstream);
    return {
      state,
      frames: [],
      frameBytes: 0,
      assembler: assembler === undefined
        ? undefined
        : eventAssembler.createEventAssembler({
          resumeAfter: assembler.getLastId(),
          limitBytes: maxBufferedBytes,
          isContinuation: buffer.hasDelivered(),
        }),
    };
  }

  function switchToReplacement(): Effects | undefined {
    const { replacement } = shared;
    if (replacement === undefined) return undefined;
    const { state } = replacement;
    shared.current = state;
    shared.replacement = undefined;
    shared.queuedFrames = replacement.frames;
    state.nextSequence = 0;
    resetAnswer();
    return [resetStallTimer()];
  }

  function cancel(
    { upstream, attemptId }: attemptState.AttemptState,
  ): types.SessionEffect {
    return { kind: "cancel", upstream, attemptId };
  }

  function dispatch(state: attemptState.AttemptState): Effects {
    state.phase = "sent";
    const attempt = attemptState.buildAttempt(request, state, {
      deadlineMs: request.deadlineAtMs - options.clock.now(),
      resumeAfter: assembler?.getLastId() ?? request.resumeAfter,
    });
    return [
      { kind: "dispatch", upstream: state.upstream, attempt },
      resetStallTimer(),
    ];
  }

  function retryNotRun(reason: string, retryAfterMs: number): Effects {
    const continued = switchToReplacement();
    if (continued !== undefined) return continued;
    shared.current = undefined;
    const mayRetry = shared.attempts < maxAttempts && options.takeRetry();
    return mayRetry ? startNextAttempt() : finishNotRun(reason, retryAfterMs);
  }

  function isUnsentRetryPermitted(): boolean {
    return attemptedIds.size < maxAttemptedUpstreams;
  }

  function retryUnsent(reason: string): Effects {
    if (options.gate !== "none") return retryNotRun(reason, 0);
    // No upstream received the attempt, so it counts neither as a retry nor as
    // an attempt.
    shared.attempts -= 1;
    const continued = switchToReplacement();
    if (continued !== undefined) return continued;
    shared.current = undefined;
    return isUnsentRetryPermitted()
      ? startNextAttempt()
      : finishNotRun(reason, 0);
  }

  function isContinuation({ attemptId }: attemptState.AttemptState): boolean {
    return assembler !== undefined && shared.deliveringId !== undefined &&
      shared.deliveringId !== attemptId;
  }

  function isFailedAnswer(state: attemptState.AttemptState): boolean {
    return httpStatus.isFailure(state.status) ||
      (isContinuation(state) && !httpStatus.isSuccess(state.status));
  }

  function isRetryPermitted(): boolean {
    // A stream of events continues after the last delivered event, so another
    // attempt delivers no event twice.
    const canContinue = !shared.isEventlessDelivered &&
      (assembler?.getLastId() !== undefined || !buffer.hasDelivered());
    return canContinue && shared.attempts < maxAttempts;
  }

  function retryUncertain(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    if (!request.isRepeatable) return finishUnknown(message);
    raiseRunStatus(state.isStarted ? "yes" : "unknown");
    const continued = switchToReplacement();
    if (continued !== undefined) return continued;
    shared.current = undefined;
    return isRetryPermitted() && options.takeRetry()
      ? startNextAttempt()
      : finish({ kind: "failed", message, ran: shared.ran });
  }

  function sendResume(state: attemptState.AttemptState): Effects {
    state.phase = "sent";
    const { upstream, attemptId, nextSequence } = state;
    return [
      { kind: "resume", upstream, attemptId, fromSequence: nextSequence },
      resetStallTimer(),
    ];
  }

  function sendSeal(state: attemptState.AttemptState): Effects {
    state.phase = "sealing";
    const seal = attemptState.buildSeal(request, state);
    return [{ kind: "seal", upstream: state.upstream, seal }];
  }

  return {
    request,
    options,
    shared,
    buffer,
    eventAssembler: assembler,
    recorder,
    attemptedIds,
    maxAttempts,
    maxBufferedBytes,
    raiseRunStatus,
    finish,
    finishNotRun,
    finishUnknown,
    observe,
    resetStallTimer,
    startNextAttempt,
    startAttemptAt,
    beginAttempt,
    dispatch,
    retryNotRun,
    retryUnsent,
    retryUncertain,
    isContinuation,
    isFailedAnswer,
    isRetryPermitted,
    withdrawSlotRequest,
    scheduleSlotRequest,
    createReplacement,
    isUnsentRetryPermitted,
    switchToReplacement,
    cancel,
    sendResume,
    sendSeal,
  };
}
