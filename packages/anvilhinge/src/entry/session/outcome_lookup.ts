/**
 * Looks up the outcome of a call that must not run twice: in its claim or, if
 * the claim records no outcome, at the agent named in the claim.
 */
import type * as claims from "@anvilhinge/coordination/claims";
import type * as frames from "../../ports/frames.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as agentClient from "./agent_client.ts";
import * as answerBuffer from "./answer_buffer.ts";
import type * as claimStore from "./claim_store.ts";

export interface OutcomeLookupOptions {
  readonly claims: claimStore.ClaimStore;
  readonly client: agentClient.AgentClient;
  readonly scheduler: scheduler.Scheduler;
  /** Wall-clock time in milliseconds since 1970. */
  readonly readWallMs: () => number;
}

/** Outcome of a call. */
export type CallOutcome =
  /** No claim of the call exists, or its retention has expired. */
  | { readonly kind: "missing" }
  | { readonly kind: "running" }
  | { readonly kind: "finished"; readonly answer: claims.RecordedAnswer }
  | { readonly kind: "not_run" }
  | { readonly kind: "unknown"; readonly message: string }
  /** The claim could not be read; the lookup can be retried. */
  | { readonly kind: "unavailable"; readonly message: string };

/** Looks up the outcome of one call. */
export type FindOutcome = (name: claims.ClaimName) => Promise<CallOutcome>;

/** Age below which an entry is assumed to be processing the claim. */
const activeClaimMaxAgeMs = 2_000;
/** Time limit for reading the frames of a finished attempt. */
const readTimeoutMs = 2_000;

type ReplayOutcome =
  | { readonly kind: "finished"; readonly answer: claims.RecordedAnswer }
  | { readonly kind: "refused" }
  | { readonly kind: "unknown"; readonly message: string };

/** Creates the lookup function. */
export function createOutcomeLookup(
  options: OutcomeLookupOptions,
): FindOutcome {
  function settle(
    claim: claims.Claim,
    state: Exclude<claims.ClaimState, { readonly kind: "claimed" }>,
  ): void {
    const { attemptId, workspace, requestId } = claim;
    const name = { workspace, requestId };
    void options.claims.submit({ kind: "settle", name, attemptId, state });
  }

  /** Reads the frames of a finished attempt from its agent. */
  function replayAttempt(claim: claims.Claim): Promise<ReplayOutcome> {
    const recorder = answerBuffer.createAnswerRecorder();
    const abort = new AbortController();
    return new Promise((resolve) => {
      let nextSequence = 0;

      function finish(replayed: ReplayOutcome): void {
        abort.abort();
        resolve(replayed);
      }

      function receive({ body, sequence, attemptId }: frames.Frame): void {
        if (attemptId !== claim.attemptId || sequence !== nextSequence) return;
        nextSequence += 1;
        switch (body.kind) {
          case "accepted":
            return recorder.setHead(body.head);
          case "chunk":
            return recorder.addData(body.data);
          case "end":
            return finish({ kind: "finished", answer: recorder.build() });
          case "refused":
            return finish({ kind: "refused" });
          case "failed":
            return finish({ kind: "unknown", message: body.message });
          case "not_held":
            return finish({
              kind: "unknown",
              message: "Its upstream no longer holds the answer",
            });
        }
      }

      function fail(message: string): void {
        finish({ kind: "unknown", message });
      }

      options.scheduler.schedule(() => fail("Its upstream did not answer"), {
        delayMs: readTimeoutMs,
        signal: abort.signal,
      });
      options.client.resume({ ...claim, fromSequence: 0 }, {
        upstreamId: claim.upstream.id,
        address: claim.upstream.address,
        signal: abort.signal,
        onFrame: receive,
        onEnd: () => fail("Contact with its upstream broke"),
      });
    });
  }

  async function fetchOutcome(claim: claims.Claim): Promise<CallOutcome> {
    const { upstream } = claim;
    const outcome = await options.client.seal(claim, upstream.address);
    switch (outcome) {
      case "sealed":
        settle(claim, { kind: "not_run" });
        return { kind: "not_run" };
      case "running":
        return { kind: "running" };
      case "finished":
        return resolveFinished(claim);
      case "unknown":
        return {
          kind: "unknown",
          message: `Upstream ${upstream.id} has no record of it any more`,
        };
      case "unreachable":
        return {
          kind: "unknown",
          message: `Upstream ${upstream.id} can't be reached; ask again`,
        };
    }
  }

  async function resolveFinished(claim: claims.Claim): Promise<CallOutcome> {
    const replayed = await replayAttempt(claim);
    switch (replayed.kind) {
      case "finished":
        settle(claim, replayed);
        return replayed;
      case "refused":
        settle(claim, { kind: "not_run" });
        return { kind: "not_run" };
      case "unknown":
        return replayed;
    }
  }

  return async (name) => {
    const result = await options.claims.submit({ kind: "find", name });
    if (result.kind === "missing") return result;
    if (result.kind !== "exists") {
      const message = "The record of the call can't be read now";
      return { kind: "unavailable", message };
    }
    const { claim } = result;
    if (claim.state.kind !== "claimed") return claim.state;
    const ageMs = options.readWallMs() - claim.changedAtMs;
    return ageMs < activeClaimMaxAgeMs
      ? { kind: "running" }
      : fetchOutcome(claim);
  };
}
