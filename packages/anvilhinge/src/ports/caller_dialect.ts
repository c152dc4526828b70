/** How callers of routed services put their requests: what their headers say. */
import type * as upstreamDialect from "./upstream_dialect.ts";

/** What the headers of a request say, each in a field of its own. */
export interface CallerHeaders {
  /** Id of this sending; undefined when it is missing. */
  readonly requestId: string | undefined;
  /** Key of the workspace; undefined when there is none. */
  readonly key: string | undefined;
  /** Time that the caller will wait, in milliseconds. */
  readonly leftMs: number | undefined;
  /** Id of the last event that the caller has. */
  readonly resumeAfter: string | undefined;
  readonly size: RequestSize | undefined;
  /** Headers that go on to the upstream. */
  readonly forwarded: upstreamDialect.HeaderPairs;
}

/** What a request to a model says of its size, in tokens. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate; right in the median and often far off. */
  readonly answerTokensHint: number | undefined;
}

export interface CallerDialect {
  /** Decodes headers, given as names and values in turn. */
  decodeHeaders(raw: readonly string[]): CallerHeaders;
}
