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

export interface CallerDialect {
  /** Decodes raw headers, a flat list of alternating names and values. */
  decodeHeaders(raw: readonly string[]): CallerHeaders;
}
