/**
 * HTTP conventions of upstreams that are called directly: the headers that an
 * attempt carries, and the interpretation of an answer's status and headers.
 */
import type * as rateLimits from "@anvilhinge/coordination/dispatch/rate_limits";
import type * as engine from "./engine.ts";
import type * as frames from "./frames.ts";

export type HeaderPairs = readonly (readonly [name: string, value: string])[];

/** Meaning of an answer's status and headers for the attempt. */
export type HeadInterpretation =
  /** The expected upstream answered the attempt. */
  | { readonly kind: "answered" }
  /** The upstream did not run the attempt and never will. */
  | {
    readonly kind: "refused";
    readonly reason: frames.RefusalReason;
    readonly retryAfterMs: number;
  }
  /** The answer belongs to another request. */
  | { readonly kind: "foreign" }
  /**
   * The head is not one that an upstream gives, so it proves nothing: the attempt
   * may have run, and its answer is lost.
   */
  | { readonly kind: "invalid"; readonly message: string };

export interface UpstreamDialect {
  /** Returns the headers that an attempt carries besides the caller's. */
  encodeHeaders(
    attempt: frames.Attempt,
    upstreamId: string | undefined,
  ): HeaderPairs;
  interpretHead(
    head: engine.AnswerHead,
    attempt: frames.Attempt,
  ): HeadInterpretation;
  /** Reads the rate limit that the upstream names in the head of an answer. */
  readRateLimit(head: engine.AnswerHead): rateLimits.RateLimitNotice;
}
