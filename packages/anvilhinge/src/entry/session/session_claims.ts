/** The part of a session that precedes the dispatch: description and claim. */
import type * as claims from "@anvilhinge/coordination/claims";
import * as attemptState from "./attempt_state.ts";
import type * as sessionCore from "./session_core.ts";
import type * as types from "./session_types.ts";

type Effects = sessionCore.Effects;

export interface ClaimHandlers {
  handlePrepared(
    state: attemptState.AttemptState,
    outcome: types.PrepareOutcome,
  ): Effects;
  handleClaimAnswer(
    state: attemptState.AttemptState,
    result: claims.ClaimResult,
  ): Effects;
  /** Goes on once it is known whether the request was sent before. */
  handleFound(result: claims.ClaimResult): Effects;
}

/** Age below which another entry is taken to be at work on a claim. */
const freshClaimMs = 2_000;
const claimRetryMs = 1_000;

/** Creates the steps on the core of a session. */
export function createClaimHandlers(
  core: sessionCore.SessionCore,
): ClaimHandlers {
  const { request, options, shared, observe, dispatch } = core;
  const { finish, finishNotRun, finishUnknown, retryNotRun, sendSeal } = core;

  function handlePrepared(
    state: attemptState.AttemptState,
    outcome: types.PrepareOutcome,
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
      replaces: shared.notRunAttemptId,
    }];
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
        shared.hasNoEarlierRun = true;
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
    return shared.hasNoEarlierRun
      ? finishNotRun(reason, claimRetryMs)
      : finishUnknown(
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
        shared.hasNoEarlierRun = true;
        return finishNotRun("Another entry settled this request", claimRetryMs);
      case "claimed": {
        const ageMs = options.readWallMs() - claim.changedAtMs;
        if (ageMs < freshClaimMs) {
          return finishUnknown("The request is in progress", claimRetryMs);
        }
        shared.current = attemptState.createClaimedState(claim);
        return sendSeal(shared.current);
      }
    }
  }

  function deliverRecorded(
    { upstream, attemptId }: claims.Claim,
    { status, headers, body }: claims.RecordedAnswer,
  ): Effects {
    if (body === undefined) return finish({ kind: "already_run", status });
    shared.isDone = true;
    shared.current = undefined;
    const data = Buffer.from(body, "base64");
    return [
      { kind: "head", head: { status, headers }, upstream, attemptId },
      { kind: "data", data, sequence: 1 },
      { kind: "end" },
    ];
  }

  /** Goes on once it is known whether the request was sent before. */
  function handleFound(result: claims.ClaimResult): Effects {
    const notRun = shared.pendingNotRun;
    if (notRun === undefined) return [];
    shared.pendingNotRun = undefined;
    // Another entry that sealed the attempt too would have replaced it.
    const isOwn = result.kind === "exists" &&
      result.claim.attemptId === shared.notRunAttemptId &&
      result.claim.state.kind === "claimed";
    if (result.kind === "exists" && !isOwn) return handleEarlier(result.claim);
    if (result.kind !== "missing" && !isOwn) {
      const message = `${notRun.reason}; an earlier sending may have run`;
      return finishUnknown(message, notRun.retryAfterMs);
    }
    shared.hasNoEarlierRun = true;
    return finishNotRun(notRun.reason, notRun.retryAfterMs);
  }

  return { handlePrepared, handleClaimAnswer, handleFound };
}
