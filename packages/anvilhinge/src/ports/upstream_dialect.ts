/**
 * How attempts are put to upstreams that are called directly: the headers that
 * an attempt carries, and what the head of an answer says of it.
 */
import type * as engine from "./engine.ts";
import type * as frames from "./frames.ts";

export type HeaderPairs = readonly (readonly [name: string, value: string])[];

/** What the head of an answer says of the attempt. */
export type HeadInterpretation =
  /** The answer of the upstream that was meant. */
  | { readonly kind: "answered" }
  /** The upstream did not run the attempt and never will. */
  | {
    readonly kind: "refused";
    readonly reason: frames.RefusalReason;
    readonly retryAfterMs: number;
  }
  /** The answer belongs to another request. */
  | { readonly kind: "foreign" };

export interface UpstreamDialect {
  /** Headers that an attempt carries besides the caller's. */
  encodeHeaders(
    attempt: frames.Attempt,
    upstreamId: string | undefined,
  ): HeaderPairs;
  interpretHead(
    head: engine.AnswerHead,
    attempt: frames.Attempt,
  ): HeadInterpretation;
}
