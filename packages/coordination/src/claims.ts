/**
 * Claims of calls (requests from callers) that must not run twice. A claim is
 * stored durably before the call is dispatched and names the only attempt
 * (dispatch to one upstream) that may run. Claims are stored in shards: a fixed
 * number of values in the object store. Every write of a shard is conditional
 * on its version, so that any entry may write any shard.
 */
import murmurhash from "murmurhash";

/** Upstream that an attempt was dispatched to. */
export interface ClaimUpstream {
  readonly id: string;
  readonly group: string;
  readonly rank: number;
  readonly address: string;
  readonly half: string;
  readonly epoch: number;
}

/** Recorded part of the answer to a call. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  /** Base64; undefined if the answer exceeds the size limit. */
  readonly body?: string;
}

export type ClaimState =
  /** The attempt may have been dispatched; its outcome is not recorded. */
  | { readonly kind: "claimed" }
  | { readonly kind: "finished"; readonly answer: RecordedAnswer }
  /** The attempt did not run and never will run. */
  | { readonly kind: "not_run" };

/** Identifies a call by the workspace and the id of its request. */
export interface ClaimName {
  readonly workspace: string;
  readonly requestId: string;
}

/** A stored claim. */
export interface Claim extends ClaimName {
  readonly attemptId: string;
  readonly upstream: ClaimUpstream;
  /** Incarnation of the agent that may run the attempt. */
  readonly incarnation: string;
  /** Latest start time of the attempt, on the clock of that agent. */
  readonly startByMs: number;
  /** Digest of service, method, path and body. */
  readonly digest: string;
  /** Wall-clock time of the last change, in milliseconds since 1970. */
  readonly changedAtMs: number;
  readonly state: ClaimState;
}

/** A requested claim. */
export type NewClaim = Omit<Claim, "changedAtMs" | "state">;

export type ClaimOperation =
  | {
    readonly kind: "claim";
    readonly claim: NewClaim;
    /** Id of an attempt that the writer has verified will never run. */
    readonly replaces?: string;
  }
  | {
    readonly kind: "settle";
    readonly name: ClaimName;
    readonly attemptId: string;
    readonly state: Exclude<ClaimState, { readonly kind: "claimed" }>;
    /**
     * Stored with the state if the shard has no claim of this name. Set if the
     * outcome of writing the claim is unknown: storing the state raises the
     * version of the shard and thereby fences that write.
     */
    readonly claim?: NewClaim;
  }
  | { readonly kind: "find"; readonly name: ClaimName };

export type ClaimResult =
  /** The claim is durable; its attempt may be dispatched once. */
  | { readonly kind: "claimed" }
  /** A claim of the call is stored: `find` found it or `claim` kept it. */
  | { readonly kind: "exists"; readonly claim: Claim }
  /** The name was used for a call with a different digest. */
  | { readonly kind: "other_body" }
  /** The shard has no room until the retention of older claims ends. */
  | { readonly kind: "full" }
  /** Nothing may be dispatched; a delayed write may still store the claim. */
  | { readonly kind: "unavailable"; readonly message: string }
  /** The state is stored, or it does not apply to the claim in the shard. */
  | { readonly kind: "settled" }
  /** The call has no claim. */
  | { readonly kind: "missing" };

/** Number of shards per half. */
export const defaultShardCount = 16;

/** Returns the key of the shard for the claim of a call. */
export function formatShardKey(
  half: string,
  name: ClaimName,
  shardCount: number = defaultShardCount,
): string {
  const hash = murmurhash.v3(`${name.workspace}\u0000${name.requestId}`);
  return `claims/${half}/${hash % shardCount}`;
}
