/** Decoding of the request headers that callers of routed services send. */
import type * as upstreamDialect from "./upstream_dialect.ts";

/** Decoded headers of a request. */
export interface CallerHeaders {
  /** Id of this submission of the request; undefined if missing. */
  readonly requestId: string | undefined;
  /** Access key of the workspace; undefined when the caller sent none. */
  readonly key: string | undefined;
  /** Remaining time that the caller will wait, in milliseconds. */
  readonly leftMs: number | undefined;
  /** Id of the last event that the caller received, to resume a stream. */
  readonly resumeAfter: string | undefined;
  readonly size: RequestSize | undefined;
  /** Headers that are forwarded to the upstream. */
  readonly forwarded: upstreamDialect.HeaderPairs;
}

/** Size of a request to a model as declared by the caller, in tokens. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate; accurate in the median but often far off. */
  readonly answerTokensHint: number | undefined;
}

/** How long callers wait. */
export interface CallerPatience {
  /**
   * A caller abandons a stream after the longest of these times without an
   * event: the minimum in milliseconds, and multiples of the route's targets
   * for the first event and for the gap between events.
   */
  readonly minStreamMs: number;
  readonly streamLatencyTargets: number;
  readonly streamGapTargets: number;
  /** Longest retry delay that a caller honours, as a share of its time left. */
  readonly retryShare: number;
}

export interface CallerDialect {
  readonly patience: CallerPatience;
  /** Decodes raw headers, a flat list of alternating names and values. */
  decodeHeaders(raw: readonly string[]): CallerHeaders;
}
