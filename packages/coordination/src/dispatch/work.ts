/**
 * What entries and their hub tell each other about requests that need a place at
 * an upstream. Messages carry whole states, not changes: any may be lost.
 */

/** A request that waits for a place. */
export interface WaitingRequest {
  /** Names the request among all of its entry. */
  readonly key: string;
  /** Service that it needs. */
  readonly pool: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly workspace: string;
  readonly promptTokens: number;
  /** Expected length of the answer. */
  readonly answerTokens: number;
  /** Time since its arrival at the entry, in milliseconds. */
  readonly ageMs: number;
  /** Time left until the caller aims to have the first event. */
  readonly aimLeftMs: number;
  /** Time left until the request is given up. */
  readonly leftMs: number;
  /** Upstreams that must not get it. */
  readonly avoided: readonly string[];
}

/** A request that occupies a place. */
export interface RunningRequest {
  readonly key: string;
  readonly upstreamId: string;
  readonly workspace: string;
  readonly promptTokens: number;
}

/** How long passes of a pool took lately, as its streams showed. */
export interface PassTime {
  readonly pool: string;
  /** Median pause between events of the entry's streams, in milliseconds. */
  readonly passMs: number;
}

/** All work of one entry. */
export interface WorkState {
  readonly entryId: string;
  /** Failure domain of the entry. */
  readonly failureDomain: string;
  /** Rises with each state of one incarnation of the entry. */
  readonly sequence: number;
  readonly waiting: readonly WaitingRequest[];
  readonly running: readonly RunningRequest[];
  readonly passes: readonly PassTime[];
}

export interface Grant {
  readonly key: string;
  readonly upstreamId: string;
}

/** A request that gets no place in time; it did not run. */
export interface Denial {
  readonly key: string;
  readonly retryAfterMs: number;
}

/** Answer of the hub to the latest state of one entry. */
export interface Decisions {
  /** Sequence number of the state that was answered. */
  readonly sequence: number;
  readonly grants: readonly Grant[];
  readonly denials: readonly Denial[];
}

/** Upstreams that advance in passes of one length. */
export interface PoolSpec {
  readonly pool: string;
  /** Time of a pass without requests, in milliseconds. */
  readonly basePassMs: number;
  /** Longest pass at which streams are still on time. */
  readonly targetPassMs: number;
}

/** An upstream with places. */
export interface UpstreamSpec {
  readonly id: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** Requests that it works on at once. */
  readonly slots: number;
}
