/**
 * Simulates one failure domain to compare the load balance of upstream
 * selection strategies: 1,100 upstreams in 26 pools and 43 nodes. Each node
 * receives delayed load reports, and only for the attempts that it dispatched
 * itself.
 */
import * as choice from "../src/choice.ts";
import type * as loadEstimate from "../src/load_estimate.ts";
import * as random from "../src/random.ts";
import * as rendezvous from "../src/rendezvous.ts";
import * as eventQueue from "./event_queue.ts";
import * as queueModel from "./queue_model.ts";

/** Strategy by which one node selects upstreams. */
export interface Strategy {
  /** Returns the id of the chosen upstream. */
  choose(pool: number, prefixKeys: readonly number[]): string;
  recordSent(upstreamId: string): void;
  recordEnded(upstreamId: string, end: {
    readonly sentAtMs: number;
    readonly report: loadEstimate.LoadReport;
    readonly prefixKeys: readonly number[];
  }): void;
}

export interface StrategyOptions {
  readonly nodeId: string;
  readonly random: random.RandomSource;
  readonly events: eventQueue.EventQueue;
  readonly pools: readonly (readonly choice.Upstream[])[];
  /** Age of a load report when it arrives. */
  readonly lagMs: number;
}

export type CreateStrategy = (options: StrategyOptions) => Strategy;

export interface BalanceOptions {
  readonly seed: number;
  readonly createStrategy: CreateStrategy;
  /** Share of the groups whose forward passes (steps) take twice as long. */
  readonly slowGroupShare: number;
  /** Offered load divided by capacity. */
  readonly utilization: number;
  readonly prefixesPerWorkspace: number;
}

export interface BalanceResult {
  /**
   * Largest load divided by mean load of the upstreams of a pool, averaged over
   * all pools and samples.
   */
  readonly maxToMeanLoad: number;
  readonly meanMs: number;
  readonly p99Ms: number;
  /** Share of the requests whose prefix the chosen upstream had cached. */
  readonly cacheHitShare: number;
  readonly requests: number;
}

const nodeCount = 43;
const poolCount = 26;
const upstreamCount = 1_100;
const ranksPerGroup = 8;
const workspaceCount = 690;
/** Number of nodes that receive the requests of one workspace. */
const nodesPerWorkspace = 3;
const slotsPerUpstream = 16;
const lagMs = 100;
/** Duration of a forward pass at normal speed. */
const stepUs = 33_000;
const meanWorkMs = 3_000;
/** Number of prefixes in the LRU cache of an upstream. */
const prefixCacheCapacity = 12;
/** Share of the work that a cached prefix saves. */
const prefixSavingShare = 0.2;
const warmUpMs = 6_000;
const durationMs = 18_000;
const sampleIntervalMs = 100;
const location = { failureDomain: "d1", region: "r1" };

function createPools(): choice.Upstream[][] {
  const pools: choice.Upstream[][] = Array.from(
    { length: poolCount },
    () => [],
  );
  for (let index = 0; index < upstreamCount; index += 1) {
    const group = Math.floor(index / ranksPerGroup);
    pools[group % poolCount]?.push({
      id: `g${group}/${index % ranksPerGroup}`,
      group: `g${group}`,
      ...location,
    });
  }
  return pools;
}

/** Returns an index below `count`; low indexes are picked most often. */
function pickSkewedIndex(source: random.RandomSource, count: number): number {
  return Math.floor(count * source() ** 2);
}

/** Runs the simulation once. */
export function measureBalance(options: BalanceOptions): BalanceResult {
  const events = eventQueue.createEventQueue();
  const source = random.createRandomSource(options.seed);
  const pools = createPools();
  const upstreams = new Map<string, queueModel.SimulatedUpstream>();
  /** Cached prefix keys of each upstream, least recently used first. */
  const prefixCaches = new Map<string, Map<number, true>>();
  let totalSlots = 0;
  for (const { id, group } of pools.flat()) {
    const upstream = queueModel.createSimulatedUpstream({
      events,
      slots: slotsPerUpstream,
      lagMs,
      stepUs,
    });
    const groupIndex = Number(group.slice(1));
    const isSlow = ((groupIndex * 7) % 100) / 100 < options.slowGroupShare;
    if (isSlow) upstream.setSlowdown(2);
    totalSlots += isSlow ? slotsPerUpstream / 2 : slotsPerUpstream;
    upstreams.set(id, upstream);
    prefixCaches.set(id, new Map());
  }
  const nodes = Array.from({ length: nodeCount }, (_, index) => ({
    id: `n${index}`,
    strategy: options.createStrategy({
      nodeId: `n${index}`,
      random: random.createRandomSource(options.seed + index + 1),
      events,
      pools,
      lagMs,
    }),
  }));
  const workspaces = Array.from({ length: workspaceCount }, (_, index) => ({
    pool: index % poolCount,
    nodes: rendezvous.selectMembers(nodes, {
      key: `w${index}`,
      count: nodesPerWorkspace,
    }),
  }));
  const durations: number[] = [];
  const maxToMeanLoads: number[] = [];
  let cacheHits = 0;
  let requests = 0;
  const meanArrivalIntervalMs = meanWorkMs / (totalSlots * options.utilization);

  /** Adds the prefix to the cache; returns whether it was cached. */
  function recordPrefix(upstreamId: string, key: number): boolean {
    const cache = prefixCaches.get(upstreamId) as Map<number, true>;
    const isHit = cache.delete(key);
    cache.set(key, true);
    if (cache.size > prefixCacheCapacity) {
      cache.delete(cache.keys().next().value as number);
    }
    return isHit;
  }

  function handleArrival(): void {
    events.schedule(
      handleArrival,
      -Math.log(1 - source()) * meanArrivalIntervalMs,
    );
    const pool = Math.floor(source() * poolCount);
    const workspacesInPool =
      Math.floor((workspaceCount - 1 - pool) / poolCount) + 1;
    const workspaceIndex = pool +
      poolCount * pickSkewedIndex(source, workspacesInPool);
    const workspace = workspaces[workspaceIndex] as (typeof workspaces)[number];
    const nodeIndex = Math.floor(source() * workspace.nodes.length);
    const { strategy } = workspace.nodes[nodeIndex] as (typeof nodes)[number];
    const prefix = pickSkewedIndex(source, options.prefixesPerWorkspace);
    const key = workspaceIndex * 1_000 + prefix + 1;
    // Knuth's multiplicative hash.
    const prefixKeys = [key * 2_654_435_761 % 2 ** 32];
    const id = strategy.choose(workspace.pool, prefixKeys);
    const sentAtMs = events.now();
    const isHit = recordPrefix(id, key);
    const isMeasured = sentAtMs >= warmUpMs;
    if (isMeasured) {
      requests += 1;
      cacheHits += isHit ? 1 : 0;
    }
    strategy.recordSent(id);
    const upstream = upstreams.get(id) as queueModel.SimulatedUpstream;
    const workMs = -Math.log(1 - source()) * meanWorkMs;
    upstream.submit({
      workMs: isHit ? workMs * (1 - prefixSavingShare) : workMs,
      onCompleted() {
        if (isMeasured) durations.push(events.now() - sentAtMs);
        const report = upstream.readReport();
        strategy.recordEnded(id, { sentAtMs, report, prefixKeys });
      },
    });
  }

  function sample(): void {
    events.schedule(sample, sampleIntervalMs);
    if (events.now() < warmUpMs) return;
    for (const pool of pools) {
      const loads = pool.map(({ id }) => upstreams.get(id)?.countLoad() ?? 0);
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      if (mean > 0) maxToMeanLoads.push(Math.max(...loads) / mean);
    }
  }

  handleArrival();
  sample();
  events.run(durationMs);
  durations.sort((a, b) => a - b);
  const computeSum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  return {
    maxToMeanLoad: computeSum(maxToMeanLoads) / maxToMeanLoads.length,
    meanMs: computeSum(durations) / durations.length,
    p99Ms: durations[Math.floor(durations.length * 0.99)] ?? 0,
    cacheHitShare: cacheHits / requests,
    requests,
  };
}

function pickRandom<T>(
  members: readonly T[],
  source: random.RandomSource,
): T {
  return members[Math.floor(source() * members.length)] as T;
}

/** Creates a strategy that picks a random upstream of the pool. */
export function createRandomStrategy(options: StrategyOptions): Strategy {
  return {
    choose: (pool) => pickRandom(options.pools[pool] ?? [], options.random).id,
    recordSent() {},
    recordEnded() {},
  };
}

/** Creates a strategy that takes the upstreams of a pool in turn. */
export function createRoundRobinStrategy(options: StrategyOptions): Strategy {
  const nextIndexes = options.pools.map((members) =>
    Math.floor(options.random() * members.length)
  );
  return {
    choose(pool) {
      const members = options.pools[pool] ?? [];
      const index = (nextIndexes[pool] ?? 0) % members.length;
      nextIndexes[pool] = index + 1;
      return members[index]?.id ?? "";
    },
    recordSent() {},
    recordEnded() {},
  };
}

/**
 * Creates a strategy that picks the lowest reported load among all upstreams of
 * the pool, or among two random ones.
 */
export function createReportedLoadStrategy(
  options: StrategyOptions,
  candidates: "all" | "two",
): Strategy {
  const reportedLoads = new Map<string, number>();
  const getLoad = (id: string) => reportedLoads.get(id) ?? 0;
  return {
    choose(pool) {
      const members = options.pools[pool] ?? [];
      const compared = candidates === "all" ? members : [
        pickRandom(members, options.random),
        pickRandom(members, options.random),
      ];
      // Starts at a random upstream: with a fixed start, all nodes would pick the
      // first of several upstreams with an equal load.
      const start = Math.floor(options.random() * compared.length);
      let best = compared[start] as choice.Upstream;
      for (const upstream of compared) {
        if (getLoad(upstream.id) < getLoad(best.id)) best = upstream;
      }
      return best.id;
    },
    recordSent() {},
    recordEnded(id, { report }) {
      reportedLoads.set(id, report.running + report.queued);
    },
  };
}

/** Creates a strategy that uses the chooser of this package. */
export function createChooserStrategy(
  options: StrategyOptions,
  settings: Partial<choice.ChooserOptions> & {
    readonly usesPrefix: boolean;
  },
): Strategy {
  const chooser = choice.createChooser<choice.Upstream>({
    clock: options.events,
    random: options.random,
    nodeId: options.nodeId,
    location,
    reportLagMs: options.lagMs,
    ...settings,
  });
  for (const [pool, members] of options.pools.entries()) {
    chooser.setPool(String(pool), members);
  }
  const attemptedIds = new Set<string>();
  return {
    choose(pool, prefixKeys) {
      const outcome = chooser.choose(String(pool), {
        attemptedIds,
        prefixKeys: settings.usesPrefix ? prefixKeys : [],
      });
      if (outcome.kind !== "chosen") throw new Error(outcome.kind);
      return outcome.upstream.id;
    },
    recordSent: chooser.recordSent,
    recordEnded: (id, end) =>
      chooser.recordEnded(id, { ...end, isCompleted: true }),
  };
}
