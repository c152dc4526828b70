/**
 * One caller's request at an entry, from arrival to its final answer: chooses
 * upstreams, claims what must not run twice, follows the frames of the present
 * attempt, retries work that did not run, resumes a broken stream on the same
 * generation, and seals attempts whose start is uncertain. Deterministic:
 * events in, effects out.
 */
import type * as claims from "@anvilhinge/coordination/claims";
import type * as frames from "../ports/frames.ts";
import * as answerBuffer from "./answer_buffer.ts";
import * as attemptState from "./attempt_state.ts";
import type * as types from "./session_types.ts";

export type * from "./session_types.ts";

type Effects = types.SessionEffect[];
type NotRun = Pick<
  Extract<types.FinalAnswer, { readonly kind: "not_run" }>,
  "reason" | "retryAfterMs"
>;
type Body<Kind extends frames.FrameBody["kind"]> = Extract<
  frames.FrameBody,
  { readonly kind: Kind }
>;

const defaultMaxAttempts = 4;
const defaultMaxResumes = 3;
const defaultStallMs = 5_000;
const defaultWholeAnswerLimitBytes = 8 * 1024 * 1024;
/** Age below which another entry is taken to be at work on a claim. */
const freshClaimMs = 2_000;
const claimRetryMs = 1_000;

/** Creates the state machine of one request; it acts on its first event. */
export function createSession(
  request: types.Request,
  options: types.SessionOptions,
): types.Session {
  const maxAttempts = options.maxAttempts ?? defaultMaxAttempts;
  const maxResumes = options.maxResumes ?? defaultMaxResumes;
  const stallMs = options.stallMs ?? defaultStallMs;
  const buffer = answerBuffer.createAnswerBuffer({
    isStreamed: request.delivery === "streamed" ||
      options.resumePoint !== undefined,
    limitBytes: options.wholeAnswerLimitBytes ?? defaultWholeAnswerLimitBytes,
  });
  const recorder = answerBuffer.createAnswerRecorder();
  const tried = new Set<string>();
  let attempts = 0;
  let current: attemptState.AttemptState | undefined;
  /** Claimed attempt of which a proof says that it never runs. */
  let unrunAttemptId: string | undefined;
  /** True when no other sending of this request ran so far. */
  let isNameClear = request.isRepeatable || !request.isNamed;
  /** What is said when the claims know of no earlier sending. */
  let pendingNotRun: NotRun | undefined;
  /** Whether any earlier attempt of this request ran. */
  let ran: types.Ran = "no";
  let isDone = false;

  function raiseRan(found: types.Ran): void {
    if (found === "yes" || ran === "no") ran = found;
  }

  function finish(final: types.FinalAnswer): Effects {
    isDone = true;
    current = undefined;
    return [{ kind: "answer", answer: final }];
  }

  /** Finishes a request of which the last attempt did not run. */
  function finishNotRun(reason: string, retryAfterMs: number): Effects {
    if (ran !== "no") return finish({ kind: "failed", message: reason, ran });
    current = undefined;
    if (!isNameClear) {
      pendingNotRun = { reason, retryAfterMs };
      return [{ kind: "find" }];
    }
    const settled: Effects = unrunAttemptId === undefined ? [] : [{
      kind: "settle",
      attemptId: unrunAttemptId,
      state: { kind: "not_run" },
    }];
    return [...settled, ...finish({ kind: "not_run", reason, retryAfterMs })];
  }

  /** Goes on once it is known whether the request was sent before. */
  function handleFound(result: claims.ClaimResult): Effects {
    const notRun = pendingNotRun;
    if (notRun === undefined) return [];
    pendingNotRun = undefined;
    // Another entry that sealed the attempt too would have replaced it.
    const isOwn = result.kind === "exists" &&
      result.claim.attemptId === unrunAttemptId &&
      result.claim.state.kind === "claimed";
    if (result.kind === "exists" && !isOwn) return handleEarlier(result.claim);
    if (result.kind !== "missing" && !isOwn) {
      const message = `${notRun.reason}; an earlier sending may have run`;
      return finishUnknown(message, notRun.retryAfterMs);
    }
    isNameClear = true;
    return finishNotRun(notRun.reason, notRun.retryAfterMs);
  }

  function finishUnknown(message: string, retryAfterMs = 0): Effects {
    return finish({ kind: "unknown", message, retryAfterMs });
  }

  function observe(
    state: attemptState.AttemptState,
    outcome: "completed" | "refused" | "failed" | "lost",
    { load }: Pick<Body<"end">, "load"> | { readonly load?: undefined } = {},
  ): Effects {
    if (state.isObserved) return [];
    state.isObserved = true;
    return [{ kind: "observe", upstream: state.upstream, outcome, load }];
  }

  function watchStall(): types.SessionEffect {
    return { kind: "set_timer", name: "stall", delayMs: stallMs };
  }

  function startFirst(): Effects {
    const point = options.resumePoint;
    if (point === undefined) return startAttempt();
    attempts = maxAttempts;
    ran = "yes";
    current = {
      ...attemptState.createAttemptState(point.attemptId, point.upstream),
      phase: "sent",
      nextSequence: point.fromSequence,
      isStarted: true,
      isObserved: true,
    };
    return sendResume(current);
  }

  function startAttempt(): Effects {
    if (request.deadlineAtMs <= options.clock.now()) {
      const reason = "The deadline passed before an upstream was found";
      return finishNotRun(reason, 0);
    }
    const choice = options.chooseUpstream(tried);
    if (choice.kind === "none") {
      return finishNotRun(choice.reason, choice.retryAfterMs);
    }
    const { upstream } = choice;
    attempts += 1;
    tried.add(upstream.id);
    const attemptId = options.createAttemptId();
    buffer.restart();
    recorder.restart();
    current = attemptState.createAttemptState(attemptId, upstream);
    return [{ kind: "prepare", upstream, attemptId }];
  }

  function handlePrepared(
    state: attemptState.AttemptState,
    outcome: types.Prepared,
  ): Effects {
    if (outcome.kind === "unreachable") {
      const reason = `Upstream ${state.upstream.id} can't be reached`;
      return [...observe(state, "lost"), ...retryNotRun(reason, 0)];
    }
    state.incarnation = outcome.incarnation;
    state.startByMs = outcome.nowMs + attemptState.startAllowanceMs;
    if (request.isRepeatable) return dispatch(state);
    state.phase = "claiming";
    return [{
      kind: "claim",
      claim: attemptState.buildClaim(request, state),
      replaces: unrunAttemptId,
    }];
  }

  function dispatch(state: attemptState.AttemptState): Effects {
    state.phase = "sent";
    const deadlineMs = request.deadlineAtMs - options.clock.now();
    const attempt = attemptState.buildAttempt(request, state, { deadlineMs });
    return [
      { kind: "dispatch", upstream: state.upstream, attempt },
      watchStall(),
    ];
  }

  function handleClaimAnswer(
    state: attemptState.AttemptState,
    result: claims.ClaimResult,
  ): Effects {
    if (result.kind === "claimed") return dispatch(state);
    const unclaimed = observe(state, "completed");
    switch (result.kind) {
      case "exists":
        return [...unclaimed, ...handleEarlier(result.claim)];
      case "other_body":
        return [...unclaimed, ...finish({ kind: "other_body" })];
      case "full":
        isNameClear = true;
        return [
          ...unclaimed,
          ...finishNotRun("Too many calls are on record", claimRetryMs),
        ];
      case "unavailable":
      case "settled":
      case "missing":
        // The write may yet land; this record fences it.
        return [
          ...unclaimed,
          {
            kind: "settle",
            attemptId: state.attemptId,
            state: { kind: "not_run" },
            claim: attemptState.buildClaim(request, state),
          },
          ...failUnrecorded(),
        ];
    }
  }

  function failUnrecorded(): Effects {
    const reason = "The call could not be put on record";
    return isNameClear ? finishNotRun(reason, claimRetryMs) : finishUnknown(
      `${reason}; an earlier sending may have run`,
      claimRetryMs,
    );
  }

  /** Goes on when another attempt of the same request is on record. */
  function handleEarlier(claim: claims.Claim): Effects {
    const { state } = claim;
    switch (state.kind) {
      case "finished":
        return deliverRecorded(claim, state.answer);
      case "not_run":
        isNameClear = true;
        return finishNotRun("Another entry settled this request", claimRetryMs);
      case "claimed": {
        const ageMs = options.readWallMs() - claim.changedAtMs;
        if (ageMs < freshClaimMs) {
          return finishUnknown("The request is in progress", claimRetryMs);
        }
        current = attemptState.createClaimedState(claim);
        return sendSeal(current);
      }
    }
  }

  function deliverRecorded(
    { upstream, attemptId }: claims.Claim,
    { status, headers, body }: claims.RecordedAnswer,
  ): Effects {
    if (body === undefined) return finish({ kind: "already_run", status });
    isDone = true;
    current = undefined;
    const data = Buffer.from(body, "base64");
    return [
      { kind: "head", head: { status, headers }, upstream, attemptId },
      { kind: "data", data, sequence: 1 },
      { kind: "end" },
    ];
  }

  /** Goes on after an attempt that surely did not run. */
  function retryNotRun(reason: string, retryAfterMs: number): Effects {
    current = undefined;
    const mayRetry = attempts < maxAttempts && options.takeRetry();
    return mayRetry ? startAttempt() : finishNotRun(reason, retryAfterMs);
  }

  /** Goes on after an attempt that ran, or may have run, without completing. */
  function retryUncertain(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    if (!request.isRepeatable) return finishUnknown(message);
    raiseRan(state.isStarted ? "yes" : "unknown");
    current = undefined;
    const mayRetry = !buffer.hasDelivered() && attempts < maxAttempts &&
      options.takeRetry();
    return mayRetry ? startAttempt() : finish({ kind: "failed", message, ran });
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

  /** Goes on after the stream of frames broke off or fell silent. */
  function handleBroken(
    state: attemptState.AttemptState,
    message: string,
  ): Effects {
    const isFollowable = state.isStarted && state.resumes < maxResumes;
    if (isFollowable) {
      state.resumes += 1;
      return sendResume(state);
    }
    const observed = observe(state, "lost");
    if (!request.isRepeatable) {
      return state.isStarted
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
    unrunAttemptId = state.attemptId;
    return [...observe(state, "lost"), ...retryNotRun(event.message, 0)];
  }

  function handleStall(): Effects {
    if (current?.phase !== "sent") return [];
    // Slow work that must not run twice goes on as long as its agent says so.
    return request.isRepeatable
      ? handleBroken(current, "The upstream sent nothing for too long")
      : sendSeal(current);
  }

  function handleFrame(frame: frames.Frame): Effects {
    const state = current;
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
      frame.sequence > state.nextSequence || !attemptState.isInPlace(frame)
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
        recorder.setHead(body.head);
        buffer.add({ kind: "head", head: body.head, upstream, attemptId });
        return [watchStall()];
      case "chunk":
        recorder.addData(body.data);
        return [
          ...buffer.add({ kind: "data", data: body.data, sequence }),
          watchStall(),
        ];
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

  function handleEnd(
    state: attemptState.AttemptState,
    body: Body<"end">,
  ): Effects {
    isDone = true;
    current = undefined;
    const settled: Effects = request.isRepeatable ? [] : [{
      kind: "settle",
      attemptId: state.attemptId,
      state: { kind: "finished", answer: recorder.build() },
    }];
    return [
      ...observe(state, "completed", body),
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
    unrunAttemptId = state.attemptId;
    return [...observed, ...retryNotRun(reason, body.retryAfterMs)];
  }

  function handleSealAnswer(
    state: attemptState.AttemptState,
    outcome: types.SealAnswer,
  ): Effects {
    const { upstream, attemptId } = state;
    switch (outcome) {
      case "sealed":
        unrunAttemptId = attemptId;
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

  function handleDeadline(): Effects {
    const message = "The deadline passed before the answer was complete";
    const state = current;
    if (state === undefined) return finishUnknown(message);
    if (state.phase === "preparing" || state.phase === "claiming") {
      return abortUnsent(state, message);
    }
    const observed = observe(state, "lost");
    if (!request.isRepeatable) return [...observed, ...finishUnknown(message)];
    const { upstream, attemptId } = state;
    raiseRan(state.isStarted ? "yes" : "unknown");
    return [
      ...observed,
      { kind: "cancel", upstream, attemptId },
      ...finish({ kind: "deadline_exceeded", message, ran }),
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
    const state = current;
    if (state === undefined) return [];
    if (state.phase === "preparing" || state.phase === "claiming") {
      isDone = true;
      return [...observe(state, "completed"), ...settleUnsent(state)];
    }
    // What must not run twice is followed to its end for the record.
    if (!request.isRepeatable) return [];
    isDone = true;
    current = undefined;
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
    return current?.attemptId === attemptId && current.phase === phase;
  }

  function startRequest(): Effects {
    const leftMs = request.deadlineAtMs - options.clock.now();
    const delayMs = Math.max(0, leftMs);
    return [{ kind: "set_timer", name: "deadline", delayMs }, ...startFirst()];
  }

  return {
    isDone: () => isDone,
    handle(event) {
      if (isDone) {
        return event.kind === "frame"
          ? [{ kind: "drop", frame: event.frame }]
          : [];
      }
      switch (event.kind) {
        case "arrived":
          return startRequest();
        case "prepared":
          return current !== undefined &&
              isCurrent(event.attemptId, "preparing")
            ? handlePrepared(current, event.outcome)
            : [];
        case "claim_answered":
          return current !== undefined && isCurrent(event.attemptId, "claiming")
            ? handleClaimAnswer(current, event.result)
            : [];
        case "found":
          return handleFound(event.result);
        case "frame":
          return handleFrame(event.frame);
        case "lost":
          return current?.attemptId === event.attemptId
            ? handleLost(current, event)
            : [];
        case "seal_answered":
          return current !== undefined && isCurrent(event.attemptId, "sealing")
            ? handleSealAnswer(current, event.outcome)
            : [];
        case "timer":
          return event.name === "deadline" ? handleDeadline() : handleStall();
        case "caller_gone":
          return handleCallerGone();
      }
    },
  };
}
