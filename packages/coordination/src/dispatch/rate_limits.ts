/**
 * Rate limits that upstreams name in their answers: the requests per second that
 * an upstream takes from all entries together. The latest answer counts. Answers
 * overtake each other, so a limit counts from the time at which its answer
 * arrived, but the end of a limit only from the time at which the request was
 * sent: the answer may have been produced at any time in between.
 *
 * Each entry keeps a table of all limits. The hub and the others compare hashes of
 * their tables in every message and send limits only while the hashes differ.
 */
import murmurhash from "murmurhash";
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

/** A record of one entry's table, as sent to another entry. */
export interface RateLimitReport {
  readonly upstreamId: string;
  /** Requests per second; null after the limit ended. */
  readonly requestsPerSecond: number | null;
  /** Time since the notice, in milliseconds. */
  readonly ageMs: number;
}

/** What one entry sends to another about its table. */
export interface RateLimitMessage {
  /** Hash of the limits in force. */
  readonly hash: number;
  /** Part of the table; empty if both tables have the same hash. */
  readonly reports: readonly RateLimitReport[];
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
  isLimited(upstreamId: string): boolean;
  /** Time since which the upstream has had a limit; undefined without one. */
  getStart(upstreamId: string): number | undefined;
  list(): readonly RateLimit[];
  /** Sets the upstreams whose limits stay in the table without new answers. */
  setUpstreams(ids: ReadonlySet<string>): void;
  /** Builds a message for an entry with the given hash, if it is known. */
  buildMessage(receiverHash: number | undefined): RateLimitMessage;
  merge(message: RateLimitMessage): void;
}

interface RateLimitRecord {
  /** Undefined after the limit ended. */
  readonly requestsPerSecond: number | undefined;
  /** Time of the notice; records with a later time replace it. */
  readonly atMs: number;
  /** Time at which this table first had a limit of the upstream. */
  readonly startedAtMs: number;
}

/** Time for which the end of a limit is kept for entries that missed it. */
const endedRetentionMs = 10_000;
/**
 * Time without an answer for which the limit of an upstream that is not listed is
 * kept: its record may have lapsed while it lives.
 */
const unlistedRetentionMs = 60_000;
/** Interval between two searches for records to drop. */
const expiryIntervalMs = 1_000;
/** Maximum numbers of the latest and of older changes in one message. */
const maxLatestReports = 64;
const maxOlderReports = 64;

/** Creates a table without limits. */
export function createRateLimits(options: RateLimitsOptions): RateLimits {
  const { clock } = options;
  /** Records by upstream, the latest change last. */
  const records = new Map<string, RateLimitRecord>();
  let listedIds: ReadonlySet<string> = new Set();
  /** Hash of the limits in force; undefined after a change. */
  let cachedHash: number | undefined;
  let nextReport = 0;
  let expiredAtMs = -Infinity;

  function isExpired(
    upstreamId: string,
    { requestsPerSecond, atMs }: Omit<RateLimitRecord, "startedAtMs">,
  ): boolean {
    const ageMs = clock.now() - atMs;
    if (requestsPerSecond === undefined) return ageMs > endedRetentionMs;
    return !listedIds.has(upstreamId) && ageMs > unlistedRetentionMs;
  }

  function put(
    upstreamId: string,
    record: Omit<RateLimitRecord, "startedAtMs">,
  ): void {
    const previous = records.get(upstreamId);
    if (previous !== undefined && record.atMs < previous.atMs) return;
    const { requestsPerSecond } = record;
    if (previous === undefined && requestsPerSecond === undefined) return;
    const startedAtMs = previous?.requestsPerSecond === undefined
      ? clock.now()
      : previous.startedAtMs;
    if (previous?.requestsPerSecond === requestsPerSecond) {
      records.set(upstreamId, { ...record, startedAtMs });
      return;
    }
    // A change moves the record to the end, so that it is sent first.
    records.delete(upstreamId);
    records.set(upstreamId, { ...record, startedAtMs });
    cachedHash = undefined;
    options.onChange?.(upstreamId, requestsPerSecond);
  }

  function removeExpired(): void {
    if (clock.now() - expiredAtMs < expiryIntervalMs) return;
    expiredAtMs = clock.now();
    for (const [upstreamId, record] of records) {
      if (!isExpired(upstreamId, record)) continue;
      records.delete(upstreamId);
      if (record.requestsPerSecond === undefined) continue;
      cachedHash = undefined;
      options.onChange?.(upstreamId, undefined);
    }
  }

  function getLimit(upstreamId: string): number | undefined {
    return records.get(upstreamId)?.requestsPerSecond;
  }

  function isLimited(upstreamId: string): boolean {
    return getLimit(upstreamId) !== undefined;
  }

  function list(): readonly RateLimit[] {
    return [...records].flatMap(([upstreamId, { requestsPerSecond }]) =>
      requestsPerSecond === undefined ? [] : [{ upstreamId, requestsPerSecond }]
    );
  }

  function computeHash(): number {
    cachedHash ??= murmurhash.v3(
      list().map(({ upstreamId, requestsPerSecond }) =>
        `${upstreamId}=${requestsPerSecond}`
      ).sort().join(" "),
    );
    return cachedHash;
  }

  /** Returns the latest changes and, in turn, some of the older records. */
  function takeReports(): readonly RateLimitReport[] {
    const nowMs = clock.now();
    const all = [...records];
    const older = all.slice(0, -maxLatestReports);
    const inTurn = [...older, ...older].slice(
      nextReport,
      nextReport + Math.min(older.length, maxOlderReports),
    );
    nextReport = (nextReport + inTurn.length) % Math.max(1, older.length);
    return [...all.slice(-maxLatestReports), ...inTurn].map((
      [upstreamId, { requestsPerSecond, atMs }],
    ) => ({
      upstreamId,
      requestsPerSecond: requestsPerSecond ?? null,
      ageMs: nowMs - atMs,
    }));
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
    get: getLimit,
    isLimited,
    getStart: (upstreamId) =>
      isLimited(upstreamId) ? records.get(upstreamId)?.startedAtMs : undefined,
    list,
    setUpstreams(ids) {
      listedIds = ids;
    },
    buildMessage(receiverHash) {
      removeExpired();
      const hash = computeHash();
      return { hash, reports: hash === receiverHash ? [] : takeReports() };
    },
    merge({ reports }) {
      for (const { upstreamId, requestsPerSecond, ageMs } of reports) {
        const record = {
          requestsPerSecond: requestsPerSecond ?? undefined,
          atMs: clock.now() - ageMs,
        };
        if (!isExpired(upstreamId, record)) put(upstreamId, record);
      }
    },
  };
}
