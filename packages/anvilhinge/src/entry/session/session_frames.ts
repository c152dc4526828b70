/** Session handlers for events that follow the dispatch of an attempt. */
import type * as engine from "../../ports/engine.ts";
import type * as frames from "../../ports/frames.ts";
import * as httpStatus from "../../ports/http_status.ts";
import * as answerRules from "./answer_rules.ts";
import * as attemptState from "./attempt_state.ts";
import type * as sessionCore from "./session_core.ts";
import type * as sessionReplacement from "./session_replacement.ts";
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
  /** Handles the frames that a replacement received before it took over. */
  handleQueuedFrames(): Effects;
  handleStall(): Effects;
  /** Requests a slot again after a refusal. */
  handleSlotTimer(): Effects;
  handleSealAnswer(
    state: attemptState.AttemptState,
    outcome: types.SealResult,
  ): Effects;
}

const defaultMaxResumes = 3;

/** Creates the handlers that operate on the given session core. */
export function createFrameHandlers(
  core: sessionCore.SessionCore,
  replacements: sessionReplacement.ReplacementHandlers,
): FrameHandlers {
  const { request, options, shared, buffer, recorder, eventAssembler } = core;
  const { observe, resetStallTimer, finishUnknown, sendResume, sendSeal } =
    core;
  const { retryNotRun, retryUnsent, retryUncertain, cancel } = core;
  const maxResumes = options.maxResumes ?? defaultMaxResumes;

  /** Resumes, seals or retries an attempt whose stream broke. */
  function handleBroken(
    state: attemptState.AttemptState,
    message: string,
    cause: types.AttemptEndCause = "broken",
  ): Effects {
    const isResumable = options.gate !== "none" && state.isStarted &&
      state.resumes < maxResumes;
    if (isResumable) {
      state.resumes += 1;
      return sendResume(state);
    }
    const observed = observe(state, "lost", { cause });
    if (!request.isRepeatable) {
      return state.isStarted || options.gate === "none"
        ? [...observed, ...finishUnknown(message)]
        : [...observed, ...sendSeal(state)];
    }
    return [...observed, cancel(state), ...retryUncertain(state, message)];
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
    return [
      ...observe(state, "lost", { cause: "broken" }),
      ...retryUnsent(event.message),
    ];
  }

  function handleStall(): Effects {
    const state = shared.current;
    if (state?.phase !== "sent") return [];
    if (!request.isRepeatable) {
      // A slow attempt that must not run twice continues as long as its agent
      // answers the seal with `running`.
      return options.gate === "none" ? [] : sendSeal(state);
    }
    state.isStalled = true;
    // A stall alone does not end the answer.
    return options.gate === "none"
      ? replacements.requestReplacement()
      : followStalled(state);
  }

  /** Resumes a stalled attempt; requests a replacement if that didn't help. */
  function followStalled(state: attemptState.AttemptState): Effects {
    // An agent that has not received the `run` call yet would answer a resume
    // with `not_held`.
    if (!state.isStarted) {
      return [resetStallTimer(), ...replacements.requestReplacement()];
    }
    const resumed = sendResume(state);
    if (state.stallResumes < maxResumes) {
      state.stallResumes += 1;
      return resumed;
    }
    return [...resumed, ...replacements.requestReplacement()];
  }

  function handleFrame(frame: frames.Frame): Effects {
    const { replacement } = shared;
    const isOfReplacement = replacement !== undefined &&
      frame.requestId === request.requestId &&
      frame.attemptId === replacement.state.attemptId;
    return isOfReplacement
      ? replacements.handleFrame(replacement, frame)
      : handleCurrentFrame(frame);
  }

  function handleQueuedFrames(): Effects {
    const queued = shared.queuedFrames;
    shared.queuedFrames = [];
    return queued.flatMap((frame) => handleCurrentFrame(frame));
  }

  function handleSlotTimer(): Effects {
    if (!shared.isSlotDelayed) return [];
    shared.isSlotDelayed = false;
    const { current } = shared;
    if (current === undefined) return core.startNextAttempt();
    if (!current.isStalled) return [];
    return shared.replacement === undefined
      ? replacements.requestReplacement()
      : [resetStallTimer()];
  }

  function handleCurrentFrame(frame: frames.Frame): Effects {
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
      return [drop, ...handleBroken(state, "The answer has gaps", "misplaced")];
    }
    state.nextSequence += 1;
    state.isStalled = false;
    state.stallResumes = 0;
    return applyFrame(state, frame);
  }

  function applyFrame(
    state: attemptState.AttemptState,
    { body, sequence }: frames.Frame,
  ): Effects {
    const { upstream } = state;
    switch (body.kind) {
      case "accepted":
        return applyHead(state, body.head);
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

  function applyHead(
    state: attemptState.AttemptState,
    head: engine.AnswerHead,
  ): Effects {
    const { upstream, attemptId } = state;
    state.isStarted = true;
    state.status = head.status;
    const problem = answerRules.findHeadProblem(head, request.delivery);
    if (problem !== undefined) return handleBroken(state, problem, "invalid");
    recorder.setHead(head);
    // A stream that continues at another upstream keeps the head that was
    // already delivered.
    if (!buffer.hasDelivered()) {
      buffer.add({ kind: "head", head, upstream, attemptId });
    }
    return [...replacements.replaceFailing(), resetStallTimer()];
  }

  function applyData(
    state: attemptState.AttemptState,
    data: Uint8Array,
    sequence: number,
  ): Effects {
    if (options.gate === "none" && core.isFailedAnswer(state)) {
      return applyFailureData(state, data, sequence);
    }
    if (
      eventAssembler === undefined ||
      !httpStatus.isSuccess(state.status)
    ) {
      // Buffers an answer without events, so that another attempt can replace it.
      const isBuffered = eventAssembler !== undefined;
      const parts = buffer.add({ kind: "data", data, sequence }, {
        isBuffered,
      });
      if (isBuffered && parts.length > 0) shared.isEventlessDelivered = true;
      return deliver(state, parts);
    }
    const pushed = eventAssembler.push(data);
    if (pushed.kind !== "events") {
      return handleBroken(state, pushed.message, pushed.kind);
    }
    return pushed.data === undefined ? [] : deliver(
      state,
      buffer.add({ kind: "data", data: pushed.data, sequence }),
    );
  }

  /** Delivers parts of the current attempt, which no longer needs replacing. */
  function deliver(
    { attemptId }: attemptState.AttemptState,
    parts: readonly types.SessionEffect[],
  ): Effects {
    if (parts.length === 0) return [];
    shared.deliveringId = attemptId;
    return [...replacements.withdraw("redundant"), ...parts];
  }

  /**
   * Buffers the body of a failure, so that another attempt can replace it; a
   * body over the buffer's limit is replaced at once or else delivered.
   */
  function applyFailureData(
    state: attemptState.AttemptState,
    data: Uint8Array,
    sequence: number,
  ): Effects {
    const part = { kind: "data", data, sequence } as const;
    if (shared.isEventlessDelivered) return deliver(state, buffer.add(part));
    // The failure's body must not follow the part of the stream that was
    // already delivered.
    if (core.isContinuation(state)) {
      return [
        ...observe(state, "failed"),
        cancel(state),
        ...retryUncertain(state, describeFailure(state)),
      ];
    }
    if (buffer.hasRoomFor(data)) {
      return [...buffer.add(part, { isBuffered: true })];
    }
    const observed = observe(state, "failed");
    const replaced = replaceFailure();
    if (replaced !== undefined) {
      return [...observed, cancel(state), ...replaced];
    }
    shared.isEventlessDelivered = true;
    return [...observed, ...deliver(state, buffer.add(part))];
  }

  /**
   * Continues with another attempt after a failure status; returns undefined if
   * that is not permitted.
   */
  function replaceFailure(): Effects | undefined {
    core.raiseRunStatus("yes");
    const continued = core.switchToReplacement();
    if (continued !== undefined) return continued;
    const canRetry = request.isRepeatable &&
      shared.attempts < core.maxAttempts;
    if (!canRetry || !options.takeRetry()) return undefined;
    shared.current = undefined;
    return core.startNextAttempt();
  }

  function describeFailure(state: attemptState.AttemptState): string {
    return `Upstream ${state.upstream.id} answered ${state.status}`;
  }

  /** Retries or delivers a complete answer with a failure status. */
  function handleFailureStatus(
    state: attemptState.AttemptState,
    body: Body<"end">,
  ): Effects {
    const failed = observe(state, "failed", body);
    if (shared.isEventlessDelivered) return complete(state, failed);
    if (buffer.hasDelivered()) {
      return [...failed, ...retryUncertain(state, describeFailure(state))];
    }
    const replaced = replaceFailure();
    return replaced === undefined
      ? complete(state, failed)
      : [...failed, ...replaced];
  }

  function handleEnd(
    state: attemptState.AttemptState,
    body: Body<"end">,
  ): Effects {
    if (options.gate === "none") {
      if (core.isFailedAnswer(state)) {
        return handleFailureStatus(state, body);
      }
      const problem = answerRules.findEndProblem(eventAssembler);
      if (problem !== undefined) return handleBroken(state, problem);
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
      ...replacements.withdraw("redundant"),
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
    return [...observed, ...retryNotRun(reason, body.retryAfterMs)];
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

  return {
    handleFrame,
    handleQueuedFrames,
    handleLost,
    handleStall,
    handleSlotTimer,
    handleSealAnswer,
  };
}
