/**
 * What the parts of a session share: its state, the choice of the next attempt,
 * and the ways in which it ends.
 */
import type * as engine from "../../ports/engine.ts";
import * as answerBuffer from "./answer_buffer.ts";
import * as attemptState from "./attempt_state.ts";
import * as eventAssembler from "./event_assembler.ts";
import type * as types from "./session_types.ts";

export type Effects = types.SessionEffect[];

type NotRun = Pick<
  Extract<types.FinalAnswer, { readonly kind: "not_run" }>,
  "reason" | "retryAfterMs"
>;
type Observation = Extract<
  types.SessionEffect,
  { readonly kind: "observe" }
>["outcome"];

/** State that the parts of one session change. */
export interface SharedState {
  attempts: number;
  current: attemptState.AttemptState | undefined;
  /** Claimed attempt of which a proof says that it never runs. */
  notRunAttemptId: string | undefined;
  /** True when no other sending of this request ran so far. */
  hasNoEarlierRun: boolean;
  /** What is said when the claims know of no earlier sending. */
  pendingNotRun: NotRun | undefined;
  /** Whether any earlier attempt of this request ran. */
  ran: types.RunStatus;
  /** True while no place at an upstream is granted. */
  isWaiting: boolean;
  isDone: boolean;
}

export interface SessionCore {
  readonly request: types.Request;
  readonly options: types.SessionOptions;
  readonly shared: SharedState;
  readonly buffer: answerBuffer.AnswerBuffer;
  /** Cuts the answer into events; undefined for other deliveries. */
  readonly eventAssembler: eventAssembler.EventAssembler | undefined;
  readonly recorder: answerBuffer.AnswerRecorder;
  readonly maxAttempts: number;
  /** Raises what is known of the effects of earlier attempts. */
  raiseRunStatus(found: types.RunStatus): void;
  finish(final: types.FinalAnswer): Effects;
  /** Finishes a request of which the last attempt did not run. */
  finishNotRun(reason: string, retryAfterMs: number): Effects;
  finishUnknown(message: string, retryAfterMs?: number): Effects;
  /** Reports the end of an attempt once. */
  observe(
    state: attemptState.AttemptState,
    outcome: Observation,
    report?: { readonly load?: engine.EngineLoad },
  ): Effects;
  resetStallTimer(): types.SessionEffect;
  startNextAttempt(): Effects;
  /** Begins an attempt at a chosen upstream. */
  startAttemptAt(upstream: types.Upstream): Effects;
  /** Sends an attempt that needs nothing more. */
  dispatch(state: attemptState.AttemptState): Effects;
  /** Goes on after an attempt that surely did not run. */
  retryNotRun(reason: string, retryAfterMs: number): Effects;
  /** Goes on after an attempt of which nothing left this node. */
  retryUnsent(reason: string): Effects;
  /** Goes on after an attempt that ran, or may have run, without completing. */
  retryUncertain(
    state: attemptState.AttemptState,
    message: string,
  ): Effects;
  /**
   * Starts another attempt in the place of one that is silent; undefined, and
   * nothing changed, if there is none to start.
   */
  retryStalled(state: attemptState.AttemptState): Effects | undefined;
  sendResume(state: attemptState.AttemptState): Effects;
  sendSeal(state: attemptState.AttemptState): Effects;
}

const defaultMaxAttempts = 4;
/** Upstreams that one request tries to reach at most. */
const maxUnsent = 4;
const defaultStallMs = 5_000;
const defaultWholeAnswerLimitBytes = 8 * 1024 * 1024;

/** Creates the core of a session that has not begun. */
export function createSessionCore(
  request: types.Request,
  options: types.SessionOptions,
): SessionCore {
  const maxAttempts = options.maxAttempts ?? defaultMaxAttempts;
  const stallMs = options.stallMs ?? defaultStallMs;
  const buffer = answerBuffer.createAnswerBuffer({
    isStreamed: request.delivery !== "whole" ||
      options.resumePoint !== undefined,
    limitBytes: options.wholeAnswerLimitBytes ?? defaultWholeAnswerLimitBytes,
  });
  const recorder = answerBuffer.createAnswerRecorder();
  const cutter = request.delivery === "events"
    ? eventAssembler.createEventAssembler(request.resumeAfter)
    : undefined;
  const tried = new Set<string>();
  const shared: SharedState = {
    attempts: 0,
    current: undefined,
    notRunAttemptId: undefined,
    hasNoEarlierRun: request.isRepeatable || !request.isNamed,
    pendingNotRun: undefined,
    ran: "no",
    isWaiting: false,
    isDone: false,
  };

  function raiseRan(found: types.RunStatus): void {
    if (found === "yes" || shared.ran === "no") shared.ran = found;
  }

  function finish(final: types.FinalAnswer): Effects {
    shared.isDone = true;
    shared.current = undefined;
    return [{ kind: "answer", answer: final }];
  }

  /** Finishes a request of which the last attempt did not run. */
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
    const settled: Effects = !isClaimed ? [] : [{
      kind: "settle",
      attemptId: shared.notRunAttemptId ?? "",
      state: { kind: "not_run" },
    }];
    return [...settled, ...finish({ kind: "not_run", reason, retryAfterMs })];
  }

  function finishUnknown(message: string, retryAfterMs = 0): Effects {
    return finish({ kind: "unknown", message, retryAfterMs });
  }

  function observe(
    state: attemptState.AttemptState,
    outcome: Observation,
    { load }: { readonly load?: engine.EngineLoad } = {},
  ): Effects {
    if (state.isObserved) return [];
    state.isObserved = true;
    return [{ kind: "observe", upstream: state.upstream, outcome, load }];
  }

  function watchStall(): types.SessionEffect {
    return { kind: "set_timer", name: "stall", delayMs: stallMs };
  }

  function startAttempt(): Effects {
    if (request.deadlineAtMs <= options.clock.now()) {
      const reason = "The deadline passed before an upstream was found";
      return finishNotRun(reason, 0);
    }
    return followChoice(options.chooseUpstream(tried));
  }

  function followChoice(choice: types.UpstreamChoice): Effects {
    switch (choice.kind) {
      case "none":
        return finishNotRun(choice.reason, choice.retryAfterMs);
      case "wait":
        shared.isWaiting = true;
        return [];
      case "chosen":
        return beginAttempt(choice.upstream);
    }
  }

  function beginAttempt(upstream: types.Upstream): Effects {
    shared.isWaiting = false;
    shared.attempts += 1;
    tried.add(upstream.id);
    const attemptId = options.createAttemptId();
    buffer.restart();
    recorder.restart();
    cutter?.restart();
    const state = attemptState.createAttemptState(attemptId, upstream);
    shared.current = state;
    return options.gate === "none"
      ? dispatch(state)
      : [{ kind: "prepare", upstream, attemptId }];
  }

  function dispatch(state: attemptState.AttemptState): Effects {
    state.phase = "sent";
    const attempt = attemptState.buildAttempt(request, state, {
      deadlineMs: request.deadlineAtMs - options.clock.now(),
      resumeAfter: cutter?.getLastId() ?? request.resumeAfter,
    });
    return [
      { kind: "dispatch", upstream: state.upstream, attempt },
      watchStall(),
    ];
  }

  /** Goes on after an attempt that surely did not run. */
  function retryNotRun(reason: string, retryAfterMs: number): Effects {
    shared.current = undefined;
    const mayRetry = shared.attempts < maxAttempts && options.takeRetry();
    return mayRetry ? startAttempt() : finishNotRun(reason, retryAfterMs);
  }

  /** Goes on after an attempt of which nothing left this node. */
  function retryUnsent(reason: string): Effects {
    if (options.gate !== "none") return retryNotRun(reason, 0);
    // No upstream saw it: it counts neither as a retry nor as an attempt.
    shared.current = undefined;
    shared.attempts -= 1;
    return tried.size < maxUnsent ? startAttempt() : finishNotRun(reason, 0);
  }

  /** Whether one more attempt of what ran, or may have run, is allowed. */
  function takeRepetition(): boolean {
    // Events that were delivered whole are not asked for again.
    const canGoOn = cutter !== undefined || !buffer.hasDelivered();
    return canGoOn && shared.attempts < maxAttempts && options.takeRetry();
  }

  /** Goes on after an attempt that ran, or may have run, without completing. */
  function retryUncertain(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    if (!request.isRepeatable) return finishUnknown(message);
    raiseRan(state.isStarted ? "yes" : "unknown");
    shared.current = undefined;
    return takeRepetition()
      ? startAttempt()
      : finish({ kind: "failed", message, ran: shared.ran });
  }

  function retrySilent(state: attemptState.AttemptState): Effects | undefined {
    if (!takeRepetition()) return undefined;
    const choice = options.chooseUpstream(tried);
    if (choice.kind === "none") return undefined;
    raiseRan(state.isStarted ? "yes" : "unknown");
    shared.current = undefined;
    return followChoice(choice);
  }

  function sendResume(state: attemptState.AttemptState): Effects {
    state.phase = "sent";
    const { upstream, attemptId, nextSequence } = state;
    return [
      { kind: "resume", upstream, attemptId, fromSequence: nextSequence },
      watchStall(),
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
    eventAssembler: cutter,
    recorder,
    maxAttempts,
    raiseRunStatus: raiseRan,
    finish,
    finishNotRun,
    finishUnknown,
    observe,
    resetStallTimer: watchStall,
    startNextAttempt: startAttempt,
    startAttemptAt: beginAttempt,
    dispatch,
    retryNotRun,
    retryUnsent,
    retryUncertain,
    retryStalled: retrySilent,
    sendResume,
    sendSeal,
  };
}
