/**
 * Rate limits that upstreams name in their answers: the requests per second that
 * an upstream takes from all entries together. The latest answer counts. Answers
 * overtake each other, so a limit counts from the time at which its answer
 * arrived, but the end of a limit only from the time at which the request was
 * sent: the answer may have been produced at any time in between.
 */
import type * as clock from "../clock.ts";

/** What one answer says about the rate limit of its upstream. */
export type RateLimitNotice =
  | { readonly kind: "unlimited" }
  | { readonly kind: "limited"; readonly requestsPerSecond: number }
  /** The limit in the answer can't be read, so it changes nothing. */
  | { readonly kind: "unreadable" };

/** A notice together with the upstream and the time of its request. */
export interface RateLimitObservation {
  readonly upstreamId: string;
  readonly notice: RateLimitNotice;
  /** Time at which the request was sent. */
  readonly sentAtMs: number;
}

/** Limit in force at an upstream. */
export interface RateLimit {
  readonly upstreamId: string;
  readonly requestsPerSecond: number;
}

export interface RateLimitsOptions {
  readonly clock: clock.Clock;
  /** Called when a limit begins, changes or ends (undefined). */
  readonly onChange?: (
    upstreamId: string,
    requestsPerSecond: number | undefined,
  ) => void;
}

export interface RateLimits {
  observe(observation: RateLimitObservation): void;
  /** Requests per second; undefined without a limit. */
  get(upstreamId: string): number | undefined;
  list(): readonly RateLimit[];
}

interface RateLimitRecord {
  /** Undefined after the limit ended. */
  readonly requestsPerSecond: number | undefined;
  /** Time of the notice; records with a later time replace it. */
  readonly atMs: number;
}

/** Creates a table without limits. */
export function createRateLimits(options: RateLimitsOptions): RateLimits {
  const { clock } = options;
  const records = new Map<string, RateLimitRecord>();

  function put(upstreamId: string, record: RateLimitRecord): void {
    const previous = records.get(upstreamId);
    const isLimit = record.requestsPerSecond !== undefined;
    if (previous === undefined && !isLimit) return;
    if (previous !== undefined && record.atMs < previous.atMs) return;
    records.set(upstreamId, record);
    if (previous?.requestsPerSecond === record.requestsPerSecond) return;
    options.onChange?.(upstreamId, record.requestsPerSecond);
  }

  return {
    observe({ upstreamId, notice, sentAtMs }) {
      switch (notice.kind) {
        case "limited":
          return put(upstreamId, {
            requestsPerSecond: notice.requestsPerSecond,
            atMs: clock.now(),
          });
        case "unlimited":
          return put(upstreamId, {
            requestsPerSecond: undefined,
            atMs: sentAtMs,
          });
        case "unreadable":
          return;
      }
    },
    get: (upstreamId) => records.get(upstreamId)?.requestsPerSecond,
    list: () =>
      [...records].flatMap(([upstreamId, { requestsPerSecond }]) =>
        requestsPerSecond === undefined
          ? []
          : [{ upstreamId, requestsPerSecond }]
      ),
  };
}
