/**
 * Choice of an upstream by one node: a subset by distance, prefix affinity with
 * bounded load, then power of two choices on the expected wait, which is the
 * lag-compensated load times the step time of the upstream's group. No request
 * scans the upstreams: pools are indexed by need and candidates are sampled.
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

/** An upstream that requests can be sent to. */
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
  /** No upstream serves the need. */
  | { readonly kind: "unserved" }
  /** All upstreams were tried by this request or are ejected. */
  | { readonly kind: "exhausted" }
  /** Every upstream of the subset would start the request too late. */
  | { readonly kind: "overloaded"; readonly waitMs: number };

export interface ChooseOptions {
  readonly tried: ReadonlySet<string>;
  /** Keys of the prompt's prefix, from `computePrefixKeys`. */
  readonly prefixKeys?: readonly number[];
  /**
   * Time left to the request, in milliseconds.
   * @default Infinity
   */
  readonly leftMs?: number;
}

/** How an attempt ended. */
export interface AttemptEnd {
  /** When the attempt was sent; the oldest open attempt when undefined. */
  readonly sentAtMs?: number;
  readonly report?: loadEstimate.LoadReport;
  readonly isCompleted: boolean;
  /** Keys of the prefix that the upstream holds if it completed. */
  readonly prefixKeys?: readonly number[];
}

/** Blocks of a prompt that an upstream stored or dropped. */
export interface CacheEvent {
  readonly kind: "stored" | "evicted";
  readonly upstreamId: string;
  readonly keys: readonly number[];
}

export interface Chooser<T extends Upstream> {
  /** Replaces the upstreams that serve a need; an upstream serves one need. */
  setPool(need: string, members: readonly T[]): void;
  choose(need: string, options: ChooseOptions): ChoiceOutcome<T>;
  recordSent(upstreamId: string): void;
  recordEnded(upstreamId: string, end: AttemptEnd): void;
  recordReport(upstreamId: string, report: loadEstimate.LoadReport): void;
  recordCacheEvent(event: CacheEvent): void;
  estimateLoad(upstreamId: string): number;
  /** Upstreams of a need that the node uses at present. */
  listSubset(need: string): readonly T[];
}

export interface ChooserOptions extends subset.OrderOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /** False for an upstream that must get no request now. Default: all may. */
  readonly isAvailable?: (upstreamId: string) => boolean;
  /** Factor on the expected wait of a doubtful upstream. Default: 1. */
  readonly computePenalty?: (upstreamId: string) => number;
  /**
   * Upstreams of a need that the node uses at low load.
   * @default 16
   */
  readonly minSubsetSize?: number;
  /**
   * Mean requests at an upstream above which the subset grows.
   * @default 12
   */
  readonly growThreshold?: number;
  /**
   * Age of a load report when it arrives, in milliseconds.
   * @default 100
   */
  readonly reportLagMs?: number;
  /**
   * Largest expected wait at a preferred upstream, over the mean.
   * @default 1.25
   */
  readonly affinityBound?: number;
  /**
   * Requests that a preferred upstream may have above its bound.
   * @default 2
   */
  readonly affinitySlack?: number;
  /** @default 20000 */
  readonly maxHints?: number;
}

interface Known<T> {
  readonly upstream: T;
  readonly need: string;
  /** Created at first use: a node sends to few of the upstreams it knows. */
  load?: loadEstimate.Load;
}

interface NeedState<T> {
  readonly pool: upstreamPool.Pool<T>;
  /** Moving mean of the reported loads. */
  meanReported: number;
  /** Moving mean of the expected wait at sampled upstreams. */
  meanWaitUs: number;
  /** Moving mean of the time that a completed attempt took. */
  serviceMs: number;
}

const defaultMinSubset = 16;
const defaultWidenLoad = 12;
const defaultReportLagMs = 100;
const defaultAffinityBound = 1.25;
const defaultAffinitySlack = 2;
const reportHalfLifeMs = 5_000;
const meanWeight = 0.02;
const ringCandidates = 4;

function moveMean(mean: number, value: number): number {
  return mean === 0 ? value : mean + meanWeight * (value - mean);
}

/** Creates a chooser that knows no upstream. */
export function createChooser<T extends Upstream>(
  options: ChooserOptions,
): Chooser<T> {
  const { clock, random } = options;
  const isAvailable = options.isAvailable ?? (() => true);
  const computePenalty = options.computePenalty ?? (() => 1);
  const affinityBound = options.affinityBound ?? defaultAffinityBound;
  const affinitySlack = options.affinitySlack ?? defaultAffinitySlack;
  const lagMs = options.reportLagMs ?? defaultReportLagMs;
  const needs = new Map<string, NeedState<T>>();
  const known = new Map<string, Known<T>>();
  const steps = stepTimes.createStepTimes({ clock });
  const hints = prefixAffinity.createPrefixHints({
    maxHints: options.maxHints,
  });

  function readTimes(): loadEstimate.LoadOptions & { readonly nowMs: number } {
    return { nowMs: clock.now(), lagMs, halfLifeMs: reportHalfLifeMs };
  }

  function readEstimate(entry: Known<T>): loadEstimate.EstimateOptions {
    const typicalLoad = needs.get(entry.need)?.meanReported ?? 0;
    return { ...readTimes(), typicalLoad };
  }

  function readLoad(upstreamId: string): number {
    const entry = known.get(upstreamId);
    if (entry === undefined) return 0;
    const estimate = readEstimate(entry);
    return entry.load === undefined
      ? estimate.typicalLoad
      : loadEstimate.estimateLoad(entry.load, estimate);
  }

  function getLoad(entry: Known<T>): loadEstimate.Load {
    entry.load ??= loadEstimate.createLoad();
    return entry.load;
  }

  function estimateWaitUs(upstream: T): number {
    const load = readLoad(upstream.id);
    const penalty = computePenalty(upstream.id);
    return (load + 1) * steps.read(upstream.group) * penalty;
  }

  function sampleWaitUs(state: NeedState<T>, upstream: T): number {
    const waitUs = estimateWaitUs(upstream);
    state.meanWaitUs = moveMean(state.meanWaitUs, waitUs);
    state.pool.recordSample(readLoad(upstream.id));
    return waitUs;
  }

  function isWithinBound(state: NeedState<T>, upstream: T): boolean {
    const slackUs = affinitySlack * steps.read(upstream.group);
    const limitUs = affinityBound * state.meanWaitUs + slackUs;
    return estimateWaitUs(upstream) <= limitUs;
  }

  function findHinted(need: string, keys: readonly number[]): T[] {
    const entry = known.get(hints.find(keys) ?? "");
    return entry?.need === need ? [entry.upstream] : [];
  }

  /** Time until a request sent now would start, in milliseconds. */
  function estimateStartMs(state: NeedState<T>, upstream: T): number {
    const entry = known.get(upstream.id);
    if (entry?.load === undefined) return 0;
    const queued = loadEstimate.estimateQueued(entry.load, readEstimate(entry));
    return queued * state.serviceMs / Math.max(1, entry.load.running);
  }

  function choosePreferred(
    need: string,
    state: NeedState<T>,
    { isUsable, prefixKeys = [], leftMs = Infinity }: Candidates<T>,
  ): T | undefined {
    const firstKey = prefixKeys[0];
    if (firstKey === undefined) return undefined;
    const preferred = [
      ...findHinted(need, prefixKeys),
      ...state.pool.ring.find(firstKey, ringCandidates),
    ];
    return preferred.find((upstream) =>
      isUsable(upstream) && isWithinBound(state, upstream) &&
      estimateStartMs(state, upstream) <= leftMs
    );
  }

  /** Scans the subset; used only when the sampled upstreams are overloaded. */
  function chooseShortestStart(
    state: NeedState<T>,
    { isUsable, leftMs = Infinity }: Candidates<T>,
  ): ChoiceOutcome<T> {
    let best: T | undefined;
    let bestMs = Infinity;
    for (const upstream of state.pool.members.slice(0, state.pool.size)) {
      if (!isUsable(upstream)) continue;
      const startMs = estimateStartMs(state, upstream);
      if (startMs >= bestMs) continue;
      best = upstream;
      bestMs = startMs;
    }
    if (best === undefined) return { kind: "exhausted" };
    return bestMs <= leftMs
      ? { kind: "chosen", upstream: best, by: "load" }
      : { kind: "overloaded", waitMs: bestMs };
  }

  function chooseByLoad(
    state: NeedState<T>,
    candidates: Candidates<T>,
  ): ChoiceOutcome<T> {
    const first = state.pool.pick(candidates.isUsable);
    const second = state.pool.pick(candidates.isUsable);
    if (first === undefined || second === undefined) {
      return { kind: "exhausted" };
    }
    const firstUs = sampleWaitUs(state, first);
    const secondUs = sampleWaitUs(state, second);
    const upstream = secondUs < firstUs ? second : first;
    const leftMs = candidates.leftMs ?? Infinity;
    return estimateStartMs(state, upstream) <= leftMs
      ? { kind: "chosen", upstream, by: "load" }
      : chooseShortestStart(state, candidates);
  }

  function recordReport(
    upstreamId: string,
    report: loadEstimate.LoadReport,
  ): void {
    const entry = known.get(upstreamId);
    if (entry === undefined) return;
    loadEstimate.recordReport(getLoad(entry), report, readTimes());
    steps.record(entry.upstream.group, report.stepUs);
    const state = needs.get(entry.need);
    if (state === undefined) return;
    const total = report.running + report.queued;
    state.meanReported += meanWeight * (total - state.meanReported);
  }

  function removeMissing(need: string, kept: ReadonlySet<string>): void {
    for (const { id, group } of needs.get(need)?.pool.members ?? []) {
      if (kept.has(id) || known.get(id)?.need !== need) continue;
      known.delete(id);
      steps.remove(group);
    }
  }

  return {
    setPool(need, members) {
      removeMissing(need, new Set(members.map((member) => member.id)));
      for (const upstream of members) {
        const load = known.get(upstream.id)?.load;
        known.set(upstream.id, { upstream, need, load });
      }
      if (members.length === 0) {
        needs.delete(need);
        return;
      }
      const pool = upstreamPool.createPool(
        subset.orderMembers(members, options),
        {
          random,
          minSize: options.minSubsetSize ?? defaultMinSubset,
          growThreshold: options.growThreshold ?? defaultWidenLoad,
          previous: needs.get(need)?.pool,
        },
      );
      const previous = needs.get(need);
      needs.set(need, {
        pool,
        meanReported: previous?.meanReported ?? 0,
        meanWaitUs: previous?.meanWaitUs ?? 0,
        serviceMs: previous?.serviceMs ?? 0,
      });
    },
    choose(need, { tried, prefixKeys, leftMs }) {
      const state = needs.get(need);
      if (state === undefined) return { kind: "unserved" };
      state.pool.resize(clock.now(), (member) => isAvailable(member.id));
      const candidates = {
        prefixKeys,
        leftMs,
        isUsable: (upstream: T) =>
          !tried.has(upstream.id) && isAvailable(upstream.id),
      };
      const preferred = choosePreferred(need, state, candidates);
      return preferred === undefined
        ? chooseByLoad(state, candidates)
        : { kind: "chosen", upstream: preferred, by: "affinity" };
    },
    recordSent(upstreamId) {
      const entry = known.get(upstreamId);
      if (entry === undefined) return;
      loadEstimate.recordSent(getLoad(entry), clock.now());
    },
    recordEnded(upstreamId, end) {
      const entry = known.get(upstreamId);
      if (entry === undefined) return;
      const { sentAtMs, report, prefixKeys = [] } = end;
      const load = getLoad(entry);
      const hadQueue = load.queued > 0;
      loadEstimate.recordEnded(load, { ...readTimes(), sentAtMs });
      if (report !== undefined) recordReport(upstreamId, report);
      if (!end.isCompleted) return;
      hints.recordStored(upstreamId, prefixKeys);
      const state = needs.get(entry.need);
      // Time in a queue is no service time.
      const isMeasured = sentAtMs !== undefined && !hadQueue;
      if (state === undefined || !isMeasured) return;
      state.serviceMs = moveMean(state.serviceMs, clock.now() - sentAtMs);
    },
    recordReport,
    recordCacheEvent({ kind, upstreamId, keys }) {
      if (kind === "stored") hints.recordStored(upstreamId, keys);
      else hints.recordEvicted(upstreamId, keys);
    },
    estimateLoad: readLoad,
    listSubset(need) {
      const pool = needs.get(need)?.pool;
      return pool?.members.slice(0, pool.size) ?? [];
    },
  };
}

interface Candidates<T> {
  readonly isUsable: upstreamPool.IsUsable<T>;
  readonly prefixKeys?: readonly number[];
  readonly leftMs?: number;
}
