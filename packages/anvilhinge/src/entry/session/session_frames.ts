/** The part of a session that follows a dispatched attempt. */
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
const firstFailureStatus = 500;

function isFailure(status: number): boolean {
  return status >= firstFailureStatus;
}

/** Creates the steps on the core of a session. */
export function createFrameHandlers(
  core: sessionCore.SessionCore,
): FrameHandlers {
  const { request, options, shared, buffer, recorder, eventAssembler: cutter } =
    core;
  const {
    observe,
    resetStallTimer: watchStall,
    finishUnknown,
    sendResume,
    sendSeal,
  } = core;
  const {
    retryNotRun,
    retryUnsent,
    retryUncertain,
    retryStalled: retrySilent,
  } = core;
  const maxResumes = options.maxResumes ?? defaultMaxResumes;

  /** Goes on after the stream of frames broke off or fell silent. */
  function handleBroken(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    const isFollowable = options.gate !== "none" && state.isStarted &&
      state.resumes < maxResumes;
    if (isFollowable) {
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
    // A call to resume that was not sent says nothing about the attempt.
    if (event.sent || state.isStarted) {
      return handleBroken(state, event.message);
    }
    shared.notRunAttemptId = state.attemptId;
    return [...observe(state, "lost"), ...retryUnsent(event.message)];
  }

  function handleStall(): Effects {
    if (shared.current?.phase !== "sent") return [];
    if (options.gate === "none") return handleSilence(shared.current);
    // Slow work that must not run twice goes on as long as its agent says so.
    return request.isRepeatable
      ? handleBroken(shared.current, "The upstream sent nothing for too long")
      : sendSeal(shared.current);
  }

  /** Goes elsewhere if that is possible; silence alone ends no answer. */
  function handleSilence(state: attemptState.AttemptState): Effects {
    const started = request.isRepeatable ? retrySilent(state) : undefined;
    if (started === undefined) return [];
    const { upstream, attemptId } = state;
    return [
      ...observe(state, "lost"),
      { kind: "cancel", upstream, attemptId },
      ...started,
    ];
  }

  function handleFrame(frame: frames.Frame): Effects {
    const state = shared.current;
    const isOpen = state?.phase === "sent" || state?.phase === "sealing";
    if (
      state === undefined || !isOpen ||
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
      const dropped: types.SessionEffect = { kind: "drop", frame };
      if (state.phase === "sealing") return [dropped];
      state.isStarted = true;
      return [dropped, ...handleBroken(state, "The answer has gaps")];
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
        // A stream that goes on elsewhere keeps the head of its first answer.
        if (!buffer.hasDelivered()) {
          buffer.add({ kind: "head", head: body.head, upstream, attemptId });
        }
        return [watchStall()];
      case "chunk":
        recorder.addData(body.data);
        return [...applyData(state, body.data, sequence), watchStall()];
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
    if (cutter === undefined || isFailure(state.status)) {
      const isHeld = cutter !== undefined;
      return [...buffer.add({ kind: "data", data, sequence }, { isHeld })];
    }
    const cut = cutter.push(data);
    if (cut.kind === "misplaced") return handleBroken(state, cut.message);
    return cut.data === undefined
      ? []
      : [...buffer.add({ kind: "data", data: cut.data, sequence })];
  }

  /** Goes on after a whole answer that reports a failure of the upstream. */
  function handleFailure(
    state: attemptState.AttemptState,
    body: Body<"end">,
  ): Effects {
    const failed = observe(state, "failed", body);
    const hasTries = request.isRepeatable && shared.attempts < core.maxAttempts;
    // Part of a stream was delivered, which the failure does not continue.
    if (buffer.hasDelivered()) {
      const message = `Upstream ${state.upstream.id} answered ${state.status}`;
      return [...failed, ...retryUncertain(state, message)];
    }
    if (!hasTries || !options.takeRetry()) return complete(state, failed);
    core.raiseRunStatus("yes");
    shared.current = undefined;
    return [...failed, ...core.startNextAttempt()];
  }

  function handleEnd(
    state: attemptState.AttemptState,
    body: Body<"end">,
  ): Effects {
    if (options.gate === "none") {
      if (isFailure(state.status)) return handleFailure(state, body);
      if (cutter?.hasIncompleteEvent()) {
        return handleBroken(state, "The answer ended inside an event");
      }
    }
    return complete(state, observe(state, "completed", body));
  }

  /** Delivers what is held and ends the answer. */
  function complete(
    state: attemptState.AttemptState,
    observed: Effects,
  ): Effects {
    shared.isDone = true;
    shared.current = undefined;
    const isRecorded = !request.isRepeatable && options.gate !== "none";
    const settled: Effects = !isRecorded ? [] : [{
      kind: "settle",
      attemptId: state.attemptId,
      state: { kind: "finished", answer: recorder.build() },
    }];
    return [
      ...observed,
      ...settled,
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
    // Says nothing about the incarnation that the attempt was meant for.
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

  return { handleFrame, handleLost, handleStall, handleSealAnswer };
}
