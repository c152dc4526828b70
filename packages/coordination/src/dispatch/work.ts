/**
 * Messages between the entries and the hub, which is the entry that assigns the
 * slots of all upstreams. A slot is a unit of an upstream's concurrency. Every
 * message carries the complete state instead of changes, because messages may
 * be lost.
 */
import type * as rateLimits from "./rate_limits.ts";

/** A request that waits for a slot. */
export interface WaitingRequest {
  /** Unique id of the request within its entry. */
  readonly key: string;
  /** Name of the required service. */
  readonly pool: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly workspace: string;
  readonly promptTokens: number;
  /** Expected number of tokens in the answer. */
  readonly answerTokens: number;
  /** Time since the request's arrival at the entry, in milliseconds. */
  readonly ageMs: number;
  /** Time left until the target time of the first event, in milliseconds. */
  readonly aimLeftMs: number;
  /** Time left until the request is abandoned, in milliseconds. */
  readonly leftMs: number;
  /** Ids of upstreams that must not be granted to the request. */
  readonly avoided: readonly string[];
}

/** A request that occupies a slot. */
export interface RunningRequest {
  readonly key: string;
  readonly upstreamId: string;
  readonly workspace: string;
  readonly promptTokens: number;
}

/** Recent duration of a pool's forward passes, measured on its streams. */
export interface PassTime {
  readonly pool: string;
  /** Median gap between events of the entry's streams, in milliseconds. */
  readonly passMs: number;
}

/** Recent times from the dispatch of a request to the first part of its answer. */
export interface FirstParts {
  readonly pool: string;
  /** In milliseconds. */
  readonly afterMs: readonly number[];
}

/** All waiting and running requests of one entry. */
export interface WorkState {
  readonly entryId: string;
  /** Failure domain of the entry. */
  readonly failureDomain: string;
  /** Increases with each state of one incarnation of the entry. */
  readonly sequence: number;
  readonly waiting: readonly WaitingRequest[];
  readonly running: readonly RunningRequest[];
  readonly passes: readonly PassTime[];
  /** Undefined if there were none since the last state. */
  readonly firstParts?: readonly FirstParts[];
  /** Undefined if the entry's build does not know rate limits. */
  readonly rateLimits?: rateLimits.RateLimitMessage;
}

/**
 * Time for which a grant is valid, in milliseconds. The hub counts it from the
 * decision and then grants the slot again; the entry counts it from the state that
 * the grant answers, which is earlier.
 */
export const grantTtlMs = 400;

export interface Grant {
  readonly key: string;
  readonly upstreamId: string;
  /** Address as `host:port`, for an entry that does not know the upstream. */
  readonly address?: string;
}

/** Refusal of a request that did not run and would not get a slot in time. */
export interface Denial {
  readonly key: string;
  readonly retryAfterMs: number;
  /**
   * What the request would have waited for.
   * @default "slots"
   */
  readonly cause?: DenialCause;
}

export type DenialCause =
  | "slots"
  /** Rate limits of all upstreams that the request may use. */
  | "rate_limits";

/** The hub's answer to the latest state of one entry. */
export interface Decisions {
  /** Sequence number of the state that this answers. */
  readonly sequence: number;
  readonly grants: readonly Grant[];
  readonly denials: readonly Denial[];
  readonly rateLimits?: rateLimits.RateLimitMessage;
}

/** A set of upstreams whose forward passes have equal duration. */
export interface PoolSpec {
  readonly pool: string;
  /** Duration of a forward pass without requests, in milliseconds. */
  readonly basePassMs: number;
  /** Maximum pass duration at which streams meet their gap target. */
  readonly targetPassMs: number;
}

/** Capacity and location of an upstream. */
export interface UpstreamSpec {
  readonly id: string;
  /** Address as `host:port`, by which its group's reports name it. */
  readonly address?: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
}
