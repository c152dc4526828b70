/** Session handlers for events that follow the dispatch of an attempt. */
import type * as frames from "../../ports/frames.ts";
import * as attemptState from "./attempt_state.ts";
import type * as sessionCore from "./session_core.ts";
import type * as types from "./session_types.ts";

type Effects = sessionCore.Effects;
type Body<Kind extends frames.FrameBody["kind"]> = Extract<
  frames.FrameBody,
  { readonly kind: Kind }
>;

export interface FrameHandlers {
  handleFrame(frame: frames.Frame): Effects;
  handleLost(
    state: attemptState.AttemptState,
    event: Extract<types.SessionEvent, { readonly kind: "lost" }>,
  ): Effects;
  handleStall(): Effects;
  handleSealAnswer(
    state: attemptState.AttemptState,
    outcome: types.SealResult,
  ): Effects;
}

const defaultMaxResumes = 3;
/**
 * Minimum retry delay after refusals of upstreams without agents, which may not
 * state one: at once, the caller would meet the same requests again.
 */
const minRefusedRetryMs = 150;
/** Lowest HTTP status that counts as a failure of the upstream. */
const minFailureStatus = 500;

function isFailure(status: number): boolean {
  return status >= minFailureStatus;
}

/** Creates the handlers that operate on the given session core. */
export function createFrameHandlers(
  core: sessionCore.SessionCore,
): FrameHandlers {
  const { request, options, shared, buffer, recorder, eventAssembler } = core;
  const { observe, resetStallTimer, finishUnknown, sendResume, sendSeal } =
    core;
  const { retryNotRun, retryUnsent, retryUncertain, retryStalled } = core;
  const maxResumes = options.maxResumes ?? defaultMaxResumes;

  /** Resumes, seals or retries an attempt whose stream broke or stalled. */
  function handleBroken(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    const isResumable = options.gate !== "none" && state.isStarted &&
      state.resumes < maxResumes;
    if (isResumable) {
      state.resumes += 1;
      return sendResume(state);
    }
    const observed = observe(state, "lost");
    if (!request.isRepeatable) {
      return state.isStarted || options.gate === "none"
        ? [...observed, ...finishUnknown(message)]
        : [...observed, ...sendSeal(state)];
    }
    const { upstream, attemptId } = state;
    return [
      ...observed,
      { kind: "cancel", upstream, attemptId },
      ...retryUncertain(state, message),
    ];
  }

  function handleLost(
    state: attemptState.AttemptState,
    event: Extract<types.SessionEvent, { readonly kind: "lost" }>,
  ): Effects {
    if (state.phase !== "sent") return [];
    // An unsent resume call gives no information about the attempt, which has
    // already started.
    if (event.sent || state.isStarted) {
      return handleBroken(state, event.message);
    }
    shared.notRunAttemptId = state.attemptId;
    return [...observe(state, "lost"), ...retryUnsent(event.message)];
  }

  function handleStall(): Effects {
    if (shared.current?.phase !== "sent") return [];
    if (options.gate === "none") return handleDirectStall(shared.current);
    // A slow attempt that must not run twice continues as long as its agent
    // answers the seal with `running`.
    return request.isRepeatable
      ? handleBroken(shared.current, "The upstream sent nothing for too long")
      : sendSeal(shared.current);
  }

  /**
   * Retries at another upstream if possible; otherwise keeps waiting, because a
   * stall alone does not end the answer.
   */
  function handleDirectStall(state: attemptState.AttemptState): Effects {
    const retried = request.isRepeatable ? retryStalled(state) : undefined;
    if (retried === undefined) return [];
    const { upstream, attemptId } = state;
    return [
      ...observe(state, "lost"),
      { kind: "cancel", upstream, attemptId },
      ...retried,
    ];
  }

  function handleFrame(frame: frames.Frame): Effects {
    const state = shared.current;
    const isFollowed = state?.phase === "sent" || state?.phase === "sealing";
    if (
      state === undefined || !isFollowed ||
      frame.requestId !== request.requestId ||
      frame.attemptId !== state.attemptId ||
      frame.sequence < state.nextSequence
    ) {
      return [{ kind: "drop", frame }];
    }
    if (
      frame.sequence > state.nextSequence ||
      !attemptState.isValidPosition(frame)
    ) {
      const drop: types.SessionEffect = { kind: "drop", frame };
      if (state.phase === "sealing") return [drop];
      state.isStarted = true;
      return [drop, ...handleBroken(state, "The answer has gaps")];
    }
    state.nextSequence += 1;
    return applyFrame(state, frame);
  }

  function applyFrame(
    state: attemptState.AttemptState,
    { body, sequence }: frames.Frame,
  ): Effects {
    const { upstream, attemptId } = state;
    switch (body.kind) {
      case "accepted":
        state.isStarted = true;
        state.status = body.head.status;
        recorder.setHead(body.head);
        // A stream that continues at another upstream keeps the head that was
        // already delivered.
        if (!buffer.hasDelivered()) {
          buffer.add({ kind: "head", head: body.head, upstream, attemptId });
        }
        return [resetStallTimer()];
      case "chunk":
        recorder.addData(body.data);
        return [...applyData(state, body.data, sequence), resetStallTimer()];
      case "end":
        return handleEnd(state, body);
      case "refused":
        return handleRefused(state, body);
      case "failed":
        state.isStarted = true;
        return [
          ...observe(state, "failed", body),
          ...retryUncertain(state, body.message),
        ];
      case "not_held":
        return [
          ...observe(state, "lost"),
          ...retryUncertain(
            state,
            `Upstream ${upstream.id} no longer holds the answer`,
          ),
        ];
    }
  }

  function applyData(
    state: attemptState.AttemptState,
    data: Uint8Array,
    sequence: number,
  ): Effects {
    if (eventAssembler === undefined || isFailure(state.status)) {
      // Buffers the body of a failure, so that another attempt can replace it.
      const isBuffered = eventAssembler !== undefined;
      return [...buffer.add({ kind: "data", data, sequence }, { isBuffered })];
    }
    const pushed = eventAssembler.push(data);
    if (pushed.kind === "misplaced") return handleBroken(state, pushed.message);
    return pushed.data === undefined
      ? []
      : [...buffer.add({ kind: "data", data: pushed.data, sequence })];
  }

  /** Retries or delivers a complete answer with a failure status. */
  function handleFailureStatus(
    state: attemptState.AttemptState,
    body: Body<"end">,
  ): Effects {
    const failed = observe(state, "failed", body);
    const canRetry = request.isRepeatable &&
      shared.attempts < core.maxAttempts;
    // The failure's body must not follow the part of the stream that was
    // already delivered.
    if (buffer.hasDelivered()) {
      const message = `Upstream ${state.upstream.id} answered ${state.status}`;
      return [...failed, ...retryUncertain(state, message)];
    }
    if (!canRetry || !options.takeRetry()) return complete(state, failed);
    core.raiseRunStatus("yes");
    shared.current = undefined;
    return [...failed, ...core.startNextAttempt()];
  }

  function handleEnd(
    state: attemptState.AttemptState,
    body: Body<"end">,
  ): Effects {
    if (options.gate === "none") {
      if (isFailure(state.status)) return handleFailureStatus(state, body);
      if (eventAssembler?.hasIncompleteEvent()) {
        return handleBroken(state, "The answer ended inside an event");
      }
    }
    return complete(state, observe(state, "completed", body));
  }

  /** Delivers the buffered parts and ends the answer. */
  function complete(
    state: attemptState.AttemptState,
    observed: Effects,
  ): Effects {
    shared.isDone = true;
    shared.current = undefined;
    const isRecorded = !request.isRepeatable && options.gate !== "none";
    const settleEffects: Effects = !isRecorded ? [] : [{
      kind: "settle",
      attemptId: state.attemptId,
      state: { kind: "finished", answer: recorder.build() },
    }];
    return [
      ...observed,
      ...settleEffects,
      ...buffer.takeAll(),
      { kind: "end" },
    ];
  }

  function handleRefused(
    state: attemptState.AttemptState,
    body: Body<"refused">,
  ): Effects {
    const observed = observe(state, "refused", body);
    const reason = `Upstream ${state.upstream.id} refused: ${body.reason}`;
    // The incarnation that the attempt was addressed to may still have run it.
    if (body.reason === "wrong_incarnation") {
      return [...observed, ...retryUncertain(state, reason)];
    }
    shared.notRunAttemptId = state.attemptId;
    const retryAfterMs = options.gate === "none"
      ? Math.max(minRefusedRetryMs, body.retryAfterMs)
      : body.retryAfterMs;
    return [...observed, ...retryNotRun(reason, retryAfterMs)];
  }

  function handleSealAnswer(
    state: attemptState.AttemptState,
    outcome: types.SealResult,
  ): Effects {
    const { upstream, attemptId } = state;
    switch (outcome) {
      case "sealed":
        shared.notRunAttemptId = attemptId;
        return [
          ...observe(state, "lost"),
          ...retryNotRun(`Upstream ${upstream.id} did not start it`, 0),
        ];
      case "running":
      case "finished":
        state.isStarted = true;
        return sendResume(state);
      case "unknown":
        return [
          ...observe(state, "lost"),
          ...finishUnknown(`Upstream ${upstream.id} has restarted since`),
        ];
      case "unreachable":
        return [
          ...observe(state, "lost"),
          ...finishUnknown(`Contact with upstream ${upstream.id} was lost`),
        ];
    }
  }

  return { handleFrame, handleLost, handleStall, handleSealAnswer };
}
