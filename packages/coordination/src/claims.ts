/**
 * Claims of calls that must not run twice. A claim is durable before the call
 * is dispatched and names the one attempt that may run. Claims are kept in
 * shards: a fixed number of values in the object API, each written only on
 * condition of its version, so that any entry may write any shard.
 */
import murmurhash from "murmurhash";

/** Where an attempt was sent. */
export interface ClaimUpstream {
  readonly id: string;
  readonly group: string;
  readonly rank: number;
  readonly address: string;
  readonly half: string;
  readonly epoch: number;
}

/** What a call answered, as far as it is recorded. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  /** Base64; undefined when the body is over the bound. */
  readonly body?: string;
}

export type ClaimState =
  /** The attempt may have been dispatched; its outcome is not recorded. */
  | { readonly kind: "claimed" }
  | { readonly kind: "finished"; readonly answer: RecordedAnswer }
  /** The attempt did not run and never will. */
  | { readonly kind: "not_run" };

/** Names a call: the workspace and the id of its request. */
export interface ClaimName {
  readonly workspace: string;
  readonly requestId: string;
}

/** One claim as it is stored. */
export interface Claim extends ClaimName {
  readonly attemptId: string;
  readonly upstream: ClaimUpstream;
  /** Incarnation of the agent that may run the attempt. */
  readonly incarnation: string;
  /** Instant on that agent's clock by which the attempt must start. */
  readonly startByMs: number;
  /** Digest of method, path and body. */
  readonly digest: string;
  /** Wall-clock time of the last change, in milliseconds since 1970. */
  readonly changedAtMs: number;
  readonly state: ClaimState;
}

/** A claim that is asked for. */
export type NewClaim = Omit<Claim, "changedAtMs" | "state">;

export type ClaimOperation =
  | {
    readonly kind: "claim";
    readonly claim: NewClaim;
    /** Attempt of which the writer knows that it never runs. */
    readonly replaces?: string;
  }
  | {
    readonly kind: "settle";
    readonly name: ClaimName;
    readonly attemptId: string;
    readonly state: Exclude<ClaimState, { readonly kind: "claimed" }>;
    /**
     * Recorded with the state when the shard has no claim of this name. Set
     * after an ambiguous write, which this one then fences.
     */
    readonly claim?: NewClaim;
  }
  | { readonly kind: "find"; readonly name: ClaimName };

export type ClaimResult =
  /** The claim is durable; its attempt may be dispatched once. */
  | { readonly kind: "claimed" }
  /** Another attempt of the same call is recorded. */
  | { readonly kind: "exists"; readonly claim: Claim }
  /** The call's name was used for another body. */
  | { readonly kind: "other_body" }
  /** The shard holds no more claims until old ones pass their retention. */
  | { readonly kind: "full" }
  /** Nothing may be dispatched; a late write may still record the claim. */
  | { readonly kind: "unavailable"; readonly message: string }
  | { readonly kind: "settled" }
  | { readonly kind: "missing" };

/** Number of shards of one half. */
export const defaultShardCount = 16;

/** Returns the key of the shard that holds a call's claim. */
export function formatShardKey(
  half: string,
  name: ClaimName,
  shardCount: number = defaultShardCount,
): string {
  const hash = murmurhash.v3(`${name.workspace}\u0000${name.requestId}`);
  return `claims/${half}/${hash % shardCount}`;
}
