/**
 * Finds out what became of a call that must not run twice: from its claim, and
 * where that is open, from the agent that the claim names.
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

/** What became of a call. */
export type CallOutcome =
  /** No call of this name is on record, or its record is past retention. */
  | { readonly kind: "missing" }
  | { readonly kind: "running" }
  | { readonly kind: "finished"; readonly answer: claims.RecordedAnswer }
  | { readonly kind: "not_run" }
  | { readonly kind: "unknown"; readonly message: string }
  /** The record could not be read; ask again. */
  | { readonly kind: "unavailable"; readonly message: string };

/** Asks for the outcome of one call. */
export type FindOutcome = (name: claims.ClaimName) => Promise<CallOutcome>;

/** Age below which an entry is taken to be at work on a claim. */
const freshClaimMs = 2_000;
const followTimeoutMs = 2_000;

type Followed =
  | { readonly kind: "finished"; readonly answer: claims.RecordedAnswer }
  | { readonly kind: "refused" }
  | { readonly kind: "unknown"; readonly message: string };

/** Creates the function that asks. */
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

  /** Reads the frames of a finished attempt. */
  function followFinished(claim: claims.Claim): Promise<Followed> {
    const recorder = answerBuffer.createAnswerRecorder();
    const abort = new AbortController();
    return new Promise((resolve) => {
      let nextSequence = 0;

      function finish(followed: Followed): void {
        abort.abort();
        resolve(followed);
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
        delayMs: followTimeoutMs,
        signal: abort.signal,
      });
      options.client.resume({ ...claim, fromSequence: 0 }, {
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
        return readFinished(claim);
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

  async function readFinished(claim: claims.Claim): Promise<CallOutcome> {
    const followed = await followFinished(claim);
    switch (followed.kind) {
      case "finished":
        settle(claim, followed);
        return followed;
      case "refused":
        settle(claim, { kind: "not_run" });
        return { kind: "not_run" };
      case "unknown":
        return followed;
    }
  }

  return async (name) => {
    const found = await options.claims.submit({ kind: "find", name });
    if (found.kind === "missing") return found;
    if (found.kind !== "exists") {
      const message = "The record of the call can't be read now";
      return { kind: "unavailable", message };
    }
    const { claim } = found;
    if (claim.state.kind !== "claimed") return claim.state;
    const ageMs = options.readWallMs() - claim.changedAtMs;
    return ageMs < freshClaimMs ? { kind: "running" } : fetchOutcome(claim);
  };
}
