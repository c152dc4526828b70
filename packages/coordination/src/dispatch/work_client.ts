/**
 * Client of the hub at one entry: tracks the requests that wait for a slot or
 * occupy one, reports them to the hub and applies its decisions. While no hub
 * answers, the entry decides itself and uses an equal share of the slots, so
 * that all entries together do not exceed the number of slots. Upstreams with a
 * rate limit are then left out: no share of a low limit is a whole request. It
 * also decides on the upstreams that a hub with an older view does not know, and
 * so can't assign: each of their slots belongs to one entry.
 */
import type * as clock from "../clock.ts";
import type * as random from "../random.ts";
import * as rateLimits from "./rate_limits.ts";
import * as work from "./work.ts";

export interface WorkClientOptions {
  readonly clock: clock.Clock;
  /** Clock that includes time for which the machine was suspended. */
  readonly elapsed: clock.Clock;
  readonly random: random.RandomSource;
  readonly entryId: string;
  readonly failureDomain: string;
  /**
   * Whether the hub's view of the upstreams contains this one.
   * @default () => true
   */
  readonly isKnownToHub?: (upstreamId: string) => boolean;
  /** Returns the number of entries that share the slots, including this one. */
  readonly countEntries: () => number;
  /**
   * Returns the position of this entry in an order that all entries share, from 0.
   * @default () => 0
   */
  readonly getEntryIndex?: () => number;
  /**
   * Time without an answer after which the entry decides without the hub, in
   * milliseconds. It covers three round trips and the interval until the state
   * is sent again.
   * @default 80
   */
  readonly hubTimeoutMs?: number;
  /**
   * Maximum wait for a slot, in milliseconds. Longer than the maximum wait of
   * the hub, so that a hub that answers refuses first.
   * @default 1500
   */
  readonly maxWaitMs?: number;
  /** Rate limits of the upstreams; by default, those that the hub reports. */
  readonly rateLimits?: rateLimits.RateLimits;
}

/** Slot request; its times are durations left, not timestamps. */
export type SlotRequest = Omit<work.WaitingRequest, "ageMs">;

export type WorkEvent =
  | {
    readonly kind: "granted";
    readonly key: string;
    readonly upstreamId: string;
    /** Address of the upstream in the hub's view. */
    readonly address?: string;
    readonly by: "hub" | "share";
  }
  | {
    readonly kind: "denied";
    readonly key: string;
    readonly retryAfterMs: number;
    readonly cause?: work.DenialCause;
    readonly by: "hub" | "share";
  };

export interface WorkClient {
  setUpstreams(upstreams: readonly work.UpstreamSpec[]): void;
  /** Requests a slot; an event follows unless the request is dropped. */
  requestSlot(request: SlotRequest): void;
  /** Records that a request occupies a slot. */
  recordStart(request: work.RunningRequest): void;
  /** Records a gap between two events of a stream. */
  recordGap(pool: string, gapMs: number): void;
  /** Records the time from a dispatch to the first part of the answer. */
  recordFirstPart(pool: string, afterMs: number): void;
  /** Removes a waiting or running request. */
  drop(key: string): void;
  /** Builds the state for the hub; each call increments its sequence number. */
  buildState(): work.WorkState;
  /** Applies the hub's answer. */
  receive(decisions: work.Decisions): readonly WorkEvent[];
  /** Decides on requests that no hub has answered in time. */
  tick(): readonly WorkEvent[];
  hasWaiting(): boolean;
  /** Whether the hub has answered recently. */
  hasHub(): boolean;
}

interface PendingRequest {
  readonly request: SlotRequest;
  readonly requestedAtMs: number;
  /** Sequence of the first state with this request; undefined before. */
  firstSequence: number | undefined;
  isReceivedByHub: boolean;
}

const defaultHubTimeoutMs = 80;
const defaultMaxWaitMs = 1_500;
/** Minimum retry delay after a refusal by this entry instead of the hub. */
const minShareRetryMs = 300;
/** Time without an answer of the hub that covers two lost idle states. */
const hubSilenceMs = 600;
/** Minimum number of gaps for a median. */
const minGaps = 3;
/** Number of states whose times are kept, to tell the age of a grant. */
const maxRetainedStates = 64;

/** Creates the client of one entry. */
export function createWorkClient(options: WorkClientOptions): WorkClient {
  const { clock, isKnownToHub = () => true } = options;
  const getEntryIndex = options.getEntryIndex ?? (() => 0);
  const hubTimeoutMs = options.hubTimeoutMs ?? defaultHubTimeoutMs;
  const maxWaitMs = options.maxWaitMs ?? defaultMaxWaitMs;
  const pending = new Map<string, PendingRequest>();
  const running = new Map<string, work.RunningRequest>();
  /** Number of running requests by upstream; upstreams without any are absent. */
  const runningCounts = new Map<string, number>();
  /** Gaps between stream events that no state has reported yet, by pool. */
  const gapsByPool = new Map<string, number[]>();
  /** Times of first parts that no state has reported yet, by pool. */
  const firstPartsByPool = new Map<string, number[]>();
  const limits = options.rateLimits ?? rateLimits.createRateLimits({ clock });
  /** In the order of their ids. */
  let upstreams: readonly work.UpstreamSpec[] = [];
  /** Those of them that the hub can't assign. */
  let unknownToHub: readonly work.UpstreamSpec[] = [];
  /** Hash of the hub's rate limits in its last answer. */
  let hubHash: number | undefined;
  /** Build times of the latest states, by sequence. */
  const builtAtMs = new Map<number, number>();
  let sequence = 0;
  let answeredAtMs = -Infinity;

  function updateUnknownToHub(): void {
    unknownToHub = upstreams.filter(({ id }) => !isKnownToHub(id));
  }

  function countRunning(upstreamId: string): number {
    return runningCounts.get(upstreamId) ?? 0;
  }

  function removeRunning(key: string): void {
    const request = running.get(key);
    if (request === undefined) return;
    running.delete(key);
    const count = countRunning(request.upstreamId) - 1;
    if (count === 0) runningCounts.delete(request.upstreamId);
    else runningCounts.set(request.upstreamId, count);
  }

  function putRunning(request: work.RunningRequest): void {
    removeRunning(request.key);
    running.set(request.key, request);
    const { upstreamId } = request;
    runningCounts.set(upstreamId, countRunning(upstreamId) + 1);
  }

  /**
   * Lists the upstreams of which an own slot is free: of all slots of these
   * upstreams in order, each n-th belongs to one of n entries.
   */
  function listWithOwnSlot(
    shared: readonly work.UpstreamSpec[],
  ): readonly work.UpstreamSpec[] {
    const entryCount = Math.max(1, options.countEntries());
    const entryIndex = getEntryIndex();
    let firstSlot = 0;
    return shared.filter(({ id, slots }) => {
      const offset = (entryIndex - firstSlot % entryCount + entryCount) %
        entryCount;
      firstSlot += slots;
      return countRunning(id) < Math.ceil((slots - offset) / entryCount);
    });
  }

  /** Whether this entry has not used its share of the slots, at least one. */
  function hasShareLeft(shared: readonly work.UpstreamSpec[]): boolean {
    const slots = shared.reduce((sum, upstream) => sum + upstream.slots, 0);
    const share = Math.floor(slots / Math.max(1, options.countEntries()));
    const used = shared.reduce((sum, { id }) => sum + countRunning(id), 0);
    return used < Math.max(1, share);
  }

  /**
   * Chooses an upstream without a hub: with an own slot if possible, else any, as
   * an entry may own no slot that the request can use.
   */
  function chooseShared(request: SlotRequest): work.UpstreamSpec | undefined {
    const shared = upstreams.filter(({ pool }) => pool === request.pool);
    if (!hasShareLeft(shared)) return undefined;
    return chooseUpstream(request, listWithOwnSlot(shared)) ??
      chooseUpstream(request, shared);
  }

  /** Chooses an upstream that the hub can't assign. */
  function chooseUnknown(request: SlotRequest): work.UpstreamSpec | undefined {
    const shared = unknownToHub.filter(({ pool }) => pool === request.pool);
    return chooseUpstream(request, listWithOwnSlot(shared));
  }

  /** Chooses the upstream with the fewest running requests of this entry. */
  function chooseUpstream(
    request: SlotRequest,
    own: readonly work.UpstreamSpec[],
  ): work.UpstreamSpec | undefined {
    const candidates = own.filter(({ id }) =>
      !request.avoided.includes(id) && !limits.isLimited(id)
    );
    let best: work.UpstreamSpec | undefined;
    let bestLoad = Infinity;
    for (const upstream of candidates) {
      const load = countRunning(upstream.id) + options.random();
      if (load >= bestLoad) continue;
      best = upstream;
      bestLoad = load;
    }
    return best;
  }

  function grantFromShare(
    key: string,
    { request }: PendingRequest,
    hasHub: boolean,
  ): WorkEvent | undefined {
    const upstream = hasHub ? chooseUnknown(request) : chooseShared(request);
    if (upstream === undefined) return undefined;
    pending.delete(key);
    const { workspace, promptTokens } = request;
    const upstreamId = upstream.id;
    // Counted at once, so that later requests of this tick include it.
    putRunning({ key, upstreamId, workspace, promptTokens });
    return { kind: "granted", key, upstreamId, by: "share" };
  }

  function decideWithoutHub(
    key: string,
    waiting: PendingRequest,
  ): WorkEvent | undefined {
    const nowMs = clock.now();
    const ageMs = nowMs - waiting.requestedAtMs;
    const hasHubTimedOut = nowMs - answeredAtMs >= hubTimeoutMs;
    const hasHub = !hasHubTimedOut && waiting.isReceivedByHub;
    if (ageMs >= hubTimeoutMs) {
      const event = grantFromShare(key, waiting, hasHub);
      if (event !== undefined) return event;
    }
    if (ageMs < Math.min(maxWaitMs, waiting.request.leftMs)) return undefined;
    pending.delete(key);
    const retryAfterMs = Math.round(minShareRetryMs * (1 + options.random()));
    return { kind: "denied", key, retryAfterMs, by: "share" };
  }

  /** Returns the grants, unless they have waited in a paused process. */
  function listValidGrants(
    { sequence, grants }: work.Decisions,
  ): readonly work.Grant[] {
    const builtMs = builtAtMs.get(sequence) ?? -Infinity;
    const ageMs = options.elapsed.now() - builtMs;
    return ageMs <= work.grantTtlMs ? grants : [];
  }

  /** Returns the median gap of each pool with enough gaps, and clears them. */
  function takePassTimes(): readonly work.PassTime[] {
    const passes: work.PassTime[] = [];
    for (const [pool, gaps] of gapsByPool) {
      if (gaps.length < minGaps) continue;
      gaps.sort((a, b) => a - b);
      passes.push({ pool, passMs: gaps[Math.floor(gaps.length / 2)]! });
      gapsByPool.delete(pool);
    }
    return passes;
  }

  function takeFirstParts(): readonly work.FirstParts[] | undefined {
    if (firstPartsByPool.size === 0) return undefined;
    const firstParts = [...firstPartsByPool].map(([pool, afterMs]) => ({
      pool,
      afterMs,
    }));
    firstPartsByPool.clear();
    return firstParts;
  }

  return {
    setUpstreams(newUpstreams) {
      upstreams = newUpstreams.toSorted((a, b) => a.id < b.id ? -1 : 1);
    },
    requestSlot(request) {
      pending.set(request.key, {
        request,
        requestedAtMs: clock.now(),
        firstSequence: undefined,
        isReceivedByHub: false,
      });
    },
    recordStart(request) {
      pending.delete(request.key);
      putRunning(request);
    },
    recordGap(pool, gapMs) {
      const gaps = gapsByPool.get(pool) ?? [];
      gaps.push(gapMs);
      gapsByPool.set(pool, gaps);
    },
    recordFirstPart(pool, afterMs) {
      const times = firstPartsByPool.get(pool) ?? [];
      times.push(Math.round(afterMs));
      firstPartsByPool.set(pool, times);
    },
    drop(key) {
      pending.delete(key);
      removeRunning(key);
    },
    buildState() {
      sequence += 1;
      const nowMs = clock.now();
      builtAtMs.set(sequence, options.elapsed.now());
      builtAtMs.delete(sequence - maxRetainedStates);
      for (const item of pending.values()) item.firstSequence ??= sequence;
      return {
        entryId: options.entryId,
        failureDomain: options.failureDomain,
        sequence,
        running: [...running.values()],
        passes: takePassTimes(),
        firstParts: takeFirstParts(),
        rateLimits: limits.buildMessage(hubHash),
        waiting: [...pending.values()].map(({ request, requestedAtMs }) => {
          const ageMs = Math.round(nowMs - requestedAtMs);
          return {
            ...request,
            ageMs,
            aimLeftMs: request.aimLeftMs - ageMs,
            leftMs: request.leftMs - ageMs,
          };
        }),
      };
    },
    receive(decisions) {
      const events: WorkEvent[] = [];
      answeredAtMs = clock.now();
      hubHash = decisions.rateLimits?.hash;
      if (decisions.rateLimits !== undefined) {
        limits.merge(decisions.rateLimits);
      }
      for (const waiting of pending.values()) {
        const { firstSequence = Infinity } = waiting;
        if (firstSequence <= decisions.sequence) waiting.isReceivedByHub = true;
      }
      for (const grant of listValidGrants(decisions)) {
        if (!pending.delete(grant.key)) continue;
        events.push({ kind: "granted", ...grant, by: "hub" });
      }
      if (decisions.denials.length > 0) updateUnknownToHub();
      for (const { key, retryAfterMs, cause } of decisions.denials) {
        const waiting = pending.get(key);
        if (waiting === undefined) continue;
        const granted = grantFromShare(key, waiting, true);
        pending.delete(key);
        events.push(
          granted ?? { kind: "denied", key, retryAfterMs, cause, by: "hub" },
        );
      }
      return events;
    },
    tick() {
      if (pending.size > 0) updateUnknownToHub();
      return [...pending].flatMap(([key, waiting]) =>
        decideWithoutHub(key, waiting) ?? []
      );
    },
    hasWaiting: () => pending.size > 0,
    hasHub: () => clock.now() - answeredAtMs < hubSilenceMs,
  };
}
