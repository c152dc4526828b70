/**
 * Upstream selection at one node, such as an entry. A pool holds the upstreams
 * that serve one model or service; the node uses a subset of it, nearest
 * upstreams first. The node prefers an upstream that probably caches the
 * prompt's prefix, as long as the expected wait there is within a bound.
 * Otherwise it samples two upstreams of the subset and takes the one with the
 * shorter expected wait (power of two choices). The expected wait is the
 * lag-compensated load times the step time (duration of a forward pass) of the
 * upstream's group. No request scans all upstreams: pools are indexed by name
 * and candidates are sampled.
 * Sources: Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001; Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing
 * with bounded loads", 2018.
 */
import type * as clock from "./clock.ts";
import * as loadEstimate from "./load_estimate.ts";
import * as prefixAffinity from "./prefix_affinity.ts";
import type * as random from "./random.ts";
import * as stepTimes from "./step_times.ts";
import * as subset from "./subset.ts";
import * as upstreamPool from "./upstream_pool.ts";

/** An upstream that requests can be dispatched to. */
export interface Upstream extends subset.LocatedMember {
  /** Upstreams of one group advance in lock-step and share a step time. */
  readonly group: string;
}

export type ChoiceOutcome<T> =
  | {
    readonly kind: "chosen";
    readonly upstream: T;
    readonly by: "affinity" | "load";
  }
  /** The pool has no upstreams. */
  | { readonly kind: "unserved" }
  /** Every upstream is unavailable or already received this request. */
  | { readonly kind: "exhausted" }
  /** The queue wait of every upstream in the subset exceeds the time left. */
  | { readonly kind: "overloaded"; readonly waitMs: number };

export interface ChooseOptions {
  /** Ids of the upstreams that this request was already dispatched to. */
  readonly attemptedIds: ReadonlySet<string>;
  /** Keys of the prompt's prefix, from `computePrefixKeys`. */
  readonly prefixKeys?: readonly number[];
  /**
   * Time left for the request, in milliseconds.
   * Upstreams with a longer queue wait are not chosen.
   * @default Infinity
   */
  readonly leftMs?: number;
}

/** How an attempt ended. */
export interface AttemptEnd {
  /** Dispatch time of the attempt. Default: that of the oldest open attempt. */
  readonly sentAtMs?: number;
  readonly report?: loadEstimate.LoadReport;
  readonly isCompleted: boolean;
  /** Keys of the prefix that the upstream caches after a completed attempt. */
  readonly prefixKeys?: readonly number[];
}

/** Prompt blocks that an upstream added to its cache or evicted from it. */
export interface CacheEvent {
  readonly kind: "stored" | "evicted";
  readonly upstreamId: string;
  readonly keys: readonly number[];
}

export interface Chooser<T extends Upstream> {
  /** Replaces the members of a pool; an upstream belongs to one pool only. */
  setPool(poolName: string, members: readonly T[]): void;
  choose(poolName: string, options: ChooseOptions): ChoiceOutcome<T>;
  recordSent(upstreamId: string): void;
  recordEnded(upstreamId: string, end: AttemptEnd): void;
  recordReport(upstreamId: string, report: loadEstimate.LoadReport): void;
  recordCacheEvent(event: CacheEvent): void;
  estimateLoad(upstreamId: string): number;
  /** Members of a pool that the node currently uses. */
  listSubset(poolName: string): readonly T[];
}

export interface ChooserOptions extends subset.OrderOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /** Whether an upstream may receive requests. Default: always true. */
  readonly isAvailable?: (upstreamId: string) => boolean;
  /** Factor on the expected wait, above 1 after failures. Default: 1. */
  readonly computePenalty?: (upstreamId: string) => number;
  /**
   * Number of pool members that the node uses at low load.
   * @default 16
   */
  readonly minSubsetSize?: number;
  /**
   * Mean number of requests per upstream above which the subset grows.
   * @default 12
   */
  readonly growThreshold?: number;
  /**
   * Age of a load report when it arrives, in milliseconds.
   * @default 100
   */
  readonly reportLagMs?: number;
  /**
   * Maximum expected wait at a preferred upstream, as a multiple of the mean.
   * @default 1.25
   */
  readonly affinityBound?: number;
  /**
   * Number of requests that a preferred upstream may have above the bound.
   * @default 2
   */
  readonly affinitySlack?: number;
  /**
   * Maximum number of prefix keys with a recorded upstream.
   * @default 20000
   */
  readonly maxHints?: number;
}

interface TrackedUpstream<T> {
  readonly upstream: T;
  readonly poolName: string;
  /** Created on first use, as a node dispatches to few of its upstreams. */
  load?: loadEstimate.Load;
}

interface PoolState<T> {
  readonly pool: upstreamPool.Pool<T>;
  /** Moving average of the reported loads. */
  meanReportedLoad: number;
  /** Moving average of the expected wait at sampled upstreams. */
  meanWaitUs: number;
  /** Moving average of the duration of attempts that were not queued. */
  meanServiceMs: number;
}

const defaultMinSubsetSize = 16;
const defaultGrowThreshold = 12;
const defaultReportLagMs = 100;
const defaultAffinityBound = 1.25;
const defaultAffinitySlack = 2;
const reportHalfLifeMs = 5_000;
/** Weight of a new value in each moving average. */
const averageWeight = 0.02;
/** Number of members of the hash ring that affinity considers per request. */
const ringCandidateCount = 4;

function updateMean(mean: number, value: number): number {
  return mean === 0 ? value : mean + averageWeight * (value - mean);
}

/** Creates a chooser without pools. */
export function createChooser<T extends Upstream>(
  options: ChooserOptions,
): Chooser<T> {
  const { clock, random } = options;
  const isAvailable = options.isAvailable ?? (() => true);
  const computePenalty = options.computePenalty ?? (() => 1);
  const affinityBound = options.affinityBound ?? defaultAffinityBound;
  const affinitySlack = options.affinitySlack ?? defaultAffinitySlack;
  const lagMs = options.reportLagMs ?? defaultReportLagMs;
  const pools = new Map<string, PoolState<T>>();
  const upstreams = new Map<string, TrackedUpstream<T>>();
  const steps = stepTimes.createStepTimes({ clock });
  const hints = prefixAffinity.createPrefixHints({
    maxHints: options.maxHints,
  });

  function readLoadOptions(): loadEstimate.LoadOptions & {
    readonly nowMs: number;
  } {
    return { nowMs: clock.now(), lagMs, halfLifeMs: reportHalfLifeMs };
  }

  function readEstimateOptions(
    tracked: TrackedUpstream<T>,
  ): loadEstimate.EstimateOptions {
    const typicalLoad = pools.get(tracked.poolName)?.meanReportedLoad ?? 0;
    return { ...readLoadOptions(), typicalLoad };
  }

  function estimateUpstreamLoad(upstreamId: string): number {
    const tracked = upstreams.get(upstreamId);
    if (tracked === undefined) return 0;
    const estimate = readEstimateOptions(tracked);
    return tracked.load === undefined
      ? estimate.typicalLoad
      : loadEstimate.estimateLoad(tracked.load, estimate);
  }

  function getOrCreateLoad(tracked: TrackedUpstream<T>): loadEstimate.Load {
    tracked.load ??= loadEstimate.createLoad();
    return tracked.load;
  }

  function estimateWaitUs(upstream: T): number {
    const load = estimateUpstreamLoad(upstream.id);
    const penalty = computePenalty(upstream.id);
    return (load + 1) * steps.read(upstream.group) * penalty;
  }

  function sampleWaitUs(state: PoolState<T>, upstream: T): number {
    const waitUs = estimateWaitUs(upstream);
    state.meanWaitUs = updateMean(state.meanWaitUs, waitUs);
    state.pool.recordSample(estimateUpstreamLoad(upstream.id));
    return waitUs;
  }

  function isWithinBound(state: PoolState<T>, upstream: T): boolean {
    const slackUs = affinitySlack * steps.read(upstream.group);
    const limitUs = affinityBound * state.meanWaitUs + slackUs;
    return estimateWaitUs(upstream) <= limitUs;
  }

  function findByHint(poolName: string, keys: readonly number[]): T[] {
    const tracked = upstreams.get(hints.find(keys) ?? "");
    return tracked?.poolName === poolName ? [tracked.upstream] : [];
  }

  /** Estimates how long a request dispatched now would be queued. */
  function estimateQueueWaitMs(state: PoolState<T>, upstream: T): number {
    const tracked = upstreams.get(upstream.id);
    if (tracked?.load === undefined) return 0;
    const queued = loadEstimate.estimateQueued(
      tracked.load,
      readEstimateOptions(tracked),
    );
    return queued * state.meanServiceMs / Math.max(1, tracked.load.running);
  }

  function chooseByAffinity(
    poolName: string,
    state: PoolState<T>,
    { isUsable, prefixKeys = [], leftMs = Infinity }: SelectionCriteria<T>,
  ): T | undefined {
    const firstKey = prefixKeys[0];
    if (firstKey === undefined) return undefined;
    const preferred = [
      ...findByHint(poolName, prefixKeys),
      ...state.pool.ring.find(firstKey, ringCandidateCount),
    ];
    return preferred.find((upstream) =>
      isUsable(upstream) && isWithinBound(state, upstream) &&
      estimateQueueWaitMs(state, upstream) <= leftMs
    );
  }

  /** Scans the subset; used only if the sampled wait exceeds the time left. */
  function chooseShortestQueue(
    state: PoolState<T>,
    { isUsable, leftMs = Infinity }: SelectionCriteria<T>,
  ): ChoiceOutcome<T> {
    let best: T | undefined;
    let bestMs = Infinity;
    for (const upstream of state.pool.members.slice(0, state.pool.size)) {
      if (!isUsable(upstream)) continue;
      const queueWaitMs = estimateQueueWaitMs(state, upstream);
      if (queueWaitMs >= bestMs) continue;
      best = upstream;
      bestMs = queueWaitMs;
    }
    if (best === undefined) return { kind: "exhausted" };
    return bestMs <= leftMs
      ? { kind: "chosen", upstream: best, by: "load" }
      : { kind: "overloaded", waitMs: bestMs };
  }

  function chooseByLoad(
    state: PoolState<T>,
    criteria: SelectionCriteria<T>,
  ): ChoiceOutcome<T> {
    const first = state.pool.pick(criteria.isUsable);
    const second = state.pool.pick(criteria.isUsable);
    if (first === undefined || second === undefined) {
      return { kind: "exhausted" };
    }
    const firstUs = sampleWaitUs(state, first);
    const secondUs = sampleWaitUs(state, second);
    const upstream = secondUs < firstUs ? second : first;
    const leftMs = criteria.leftMs ?? Infinity;
    return estimateQueueWaitMs(state, upstream) <= leftMs
      ? { kind: "chosen", upstream, by: "load" }
      : chooseShortestQueue(state, criteria);
  }

  function recordReport(
    upstreamId: string,
    report: loadEstimate.LoadReport,
  ): void {
    const tracked = upstreams.get(upstreamId);
    if (tracked === undefined) return;
    loadEstimate.recordReport(
      getOrCreateLoad(tracked),
      report,
      readLoadOptions(),
    );
    steps.record(tracked.upstream.group, report.stepUs);
    const state = pools.get(tracked.poolName);
    if (state === undefined) return;
    const total = report.running + report.queued;
    state.meanReportedLoad += averageWeight * (total - state.meanReportedLoad);
  }

  function removeDepartedMembers(
    poolName: string,
    keptIds: ReadonlySet<string>,
  ): void {
    for (const { id, group } of pools.get(poolName)?.pool.members ?? []) {
      if (keptIds.has(id) || upstreams.get(id)?.poolName !== poolName) continue;
      upstreams.delete(id);
      steps.remove(group);
    }
  }

  return {
    setPool(poolName, members) {
      removeDepartedMembers(
        poolName,
        new Set(members.map((member) => member.id)),
      );
      for (const upstream of members) {
        const load = upstreams.get(upstream.id)?.load;
        upstreams.set(upstream.id, { upstream, poolName, load });
      }
      if (members.length === 0) {
        pools.delete(poolName);
        return;
      }
      const pool = upstreamPool.createPool(
        subset.orderMembers(members, options),
        {
          random,
          minSize: options.minSubsetSize ?? defaultMinSubsetSize,
          growThreshold: options.growThreshold ?? defaultGrowThreshold,
          previous: pools.get(poolName)?.pool,
        },
      );
      const previous = pools.get(poolName);
      pools.set(poolName, {
        pool,
        meanReportedLoad: previous?.meanReportedLoad ?? 0,
        meanWaitUs: previous?.meanWaitUs ?? 0,
        meanServiceMs: previous?.meanServiceMs ?? 0,
      });
    },
    choose(poolName, { attemptedIds, prefixKeys, leftMs }) {
      const state = pools.get(poolName);
      if (state === undefined) return { kind: "unserved" };
      state.pool.resize(clock.now(), (member) => isAvailable(member.id));
      const criteria = {
        prefixKeys,
        leftMs,
        isUsable: (upstream: T) =>
          !attemptedIds.has(upstream.id) && isAvailable(upstream.id),
      };
      const preferred = chooseByAffinity(poolName, state, criteria);
      return preferred === undefined
        ? chooseByLoad(state, criteria)
        : { kind: "chosen", upstream: preferred, by: "affinity" };
    },
    recordSent(upstreamId) {
      const tracked = upstreams.get(upstreamId);
      if (tracked === undefined) return;
      loadEstimate.recordSent(getOrCreateLoad(tracked), clock.now());
    },
    recordEnded(upstreamId, end) {
      const tracked = upstreams.get(upstreamId);
      if (tracked === undefined) return;
      const { sentAtMs, report, prefixKeys = [] } = end;
      const load = getOrCreateLoad(tracked);
      const hadQueue = load.queued > 0;
      loadEstimate.recordEnded(load, { ...readLoadOptions(), sentAtMs });
      if (report !== undefined) recordReport(upstreamId, report);
      if (!end.isCompleted) return;
      hints.recordStored(upstreamId, prefixKeys);
      const state = pools.get(tracked.poolName);
      // Time spent in a queue is not service time.
      const isMeasured = sentAtMs !== undefined && !hadQueue;
      if (state === undefined || !isMeasured) return;
      state.meanServiceMs = updateMean(
        state.meanServiceMs,
        clock.now() - sentAtMs,
      );
    },
    recordReport,
    recordCacheEvent({ kind, upstreamId, keys }) {
      if (kind === "stored") hints.recordStored(upstreamId, keys);
      else hints.recordEvicted(upstreamId, keys);
    },
    estimateLoad: estimateUpstreamLoad,
    listSubset(poolName) {
      const pool = pools.get(poolName)?.pool;
      return pool?.members.slice(0, pool.size) ?? [];
    },
  };
}

interface SelectionCriteria<T> {
  readonly isUsable: upstreamPool.IsUsable<T>;
  readonly prefixKeys?: readonly number[];
  readonly leftMs?: number;
}
