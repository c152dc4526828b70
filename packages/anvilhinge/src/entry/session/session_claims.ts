/** Session handlers for the steps before a dispatch: description and claim. */
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
  /** Completes a pending `not_run` answer after the lookup of the claim. */
  handleFound(result: claims.ClaimResult): Effects;
}

/** Age below which another entry is assumed to be processing the claim. */
const activeClaimMaxAgeMs = 2_000;
/** Retry delay advised to the caller after a claim was not obtained. */
const claimRetryAfterMs = 1_000;

/** Creates the handlers that operate on the given session core. */
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
    attemptState.setDescription(state, outcome);
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
    const observed = observe(state, "completed");
    switch (result.kind) {
      case "exists":
        return [...observed, ...handleExisting(result.claim)];
      case "other_body":
        return [...observed, ...finish({ kind: "other_body" })];
      case "full":
        // A full shard has no claim of an attempt of this call that may have run.
        shared.hasNoEarlierRun = true;
        return [
          ...observed,
          ...finishNotRun("Too many calls are on record", claimRetryAfterMs),
        ];
      case "unavailable":
      case "settled":
      case "missing":
        // The write of the claim may still take effect. Recording the attempt
        // as not run fences it.
        return [
          ...observed,
          {
            kind: "settle",
            attemptId: state.attemptId,
            state: { kind: "not_run" },
            claim: attemptState.buildClaim(request, state),
          },
          ...finishUnrecorded(),
        ];
    }
  }

  function finishUnrecorded(): Effects {
    const reason = "The call could not be put on record";
    return shared.hasNoEarlierRun
      ? finishNotRun(reason, claimRetryAfterMs)
      : finishUnknown(
        `${reason}; an earlier sending may have run`,
        claimRetryAfterMs,
      );
  }

  /** Handles a claim that names another attempt of this request. */
  function handleExisting(claim: claims.Claim): Effects {
    const { state } = claim;
    switch (state.kind) {
      case "finished":
        return deliverRecorded(claim, state.answer);
      case "not_run":
        shared.hasNoEarlierRun = true;
        return finishNotRun(
          "Another entry settled this request",
          claimRetryAfterMs,
        );
      case "claimed": {
        const ageMs = options.readWallMs() - claim.changedAtMs;
        if (ageMs < activeClaimMaxAgeMs) {
          return finishUnknown("The request is in progress", claimRetryAfterMs);
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

  function handleFound(result: claims.ClaimResult): Effects {
    const pending = shared.pendingNotRun;
    if (pending === undefined) return [];
    shared.pendingNotRun = undefined;
    // If another entry had also sealed this attempt, it would have replaced the
    // claim with one for its own attempt.
    const isOwn = result.kind === "exists" &&
      result.claim.attemptId === shared.notRunAttemptId &&
      result.claim.state.kind === "claimed";
    if (result.kind === "exists" && !isOwn) return handleExisting(result.claim);
    if (result.kind !== "missing" && !isOwn) {
      const message = `${pending.reason}; an earlier sending may have run`;
      return finishUnknown(message, pending.retryAfterMs);
    }
    shared.hasNoEarlierRun = true;
    return finishNotRun(pending.reason, pending.retryAfterMs);
  }

  return { handlePrepared, handleClaimAnswer, handleFound };
}
