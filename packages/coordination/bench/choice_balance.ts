/**
 * Balance of the ways to choose, in one failure domain: 1,100 upstreams, 26
 * needs, 43 nodes that see late reports of the attempts that they sent.
 */
import * as choice from "../src/choice.ts";
import type * as loadEstimate from "../src/load_estimate.ts";
import * as random from "../src/random.ts";
import * as rendezvous from "../src/rendezvous.ts";
import * as eventQueue from "./event_queue.ts";
import * as queueModel from "./queue_model.ts";

/** Chooses for one node. */
export interface Strategy {
  choose(need: number, prefixKeys: readonly number[]): string;
  recordSent(id: string): void;
  recordEnded(id: string, end: {
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
  readonly lagMs: number;
}

export type CreateStrategy = (options: StrategyOptions) => Strategy;

export interface BalanceOptions {
  readonly seed: number;
  readonly createStrategy: CreateStrategy;
  /** Groups whose steps take twice as long, as a share. */
  readonly slowGroupShare: number;
  /** Load over capacity. */
  readonly utilization: number;
  readonly prefixesPerWorkspace: number;
}

export interface BalanceResult {
  /** Largest over mean load, over the upstreams of a need; mean of samples. */
  readonly maxToMeanLoad: number;
  readonly meanMs: number;
  readonly p99Ms: number;
  readonly cacheHitShare: number;
  readonly requests: number;
}

const nodeCount = 43;
const needCount = 26;
const upstreamCount = 1_100;
const ranksPerGroup = 8;
const workspaceCount = 690;
const entriesPerWorkspace = 3;
const slots = 16;
const lagMs = 100;
const stepUs = 33_000;
const meanWorkMs = 3_000;
const cachedPrefixes = 12;
/** Share of the work that a cached prefix saves. */
const prefixSaving = 0.2;
const warmUpMs = 6_000;
const durationMs = 18_000;
const sampleMs = 100;
const location = { failureDomain: "d1", region: "r1" };

function createPools(): choice.Upstream[][] {
  const pools: choice.Upstream[][] = Array.from(
    { length: needCount },
    () => [],
  );
  for (let index = 0; index < upstreamCount; index += 1) {
    const group = Math.floor(index / ranksPerGroup);
    pools[group % needCount]?.push({
      id: `g${group}/${index % ranksPerGroup}`,
      group: `g${group}`,
      ...location,
    });
  }
  return pools;
}

function pickSkewed(source: random.RandomSource, count: number): number {
  return Math.floor(count * source() ** 2);
}

/** Runs the model once. */
export function measureBalance(options: BalanceOptions): BalanceResult {
  const events = eventQueue.createEventQueue();
  const source = random.createRandomSource(options.seed);
  const pools = createPools();
  const models = new Map<string, queueModel.SimulatedUpstream>();
  const caches = new Map<string, Map<number, true>>();
  let totalSlots = 0;
  for (const { id, group } of pools.flat()) {
    const model = queueModel.createSimulatedUpstream({
      events,
      slots,
      lagMs,
      stepUs,
    });
    const groupIndex = Number(group.slice(1));
    const isSlow = ((groupIndex * 7) % 100) / 100 < options.slowGroupShare;
    if (isSlow) model.setSlowdown(2);
    totalSlots += isSlow ? slots / 2 : slots;
    models.set(id, model);
    caches.set(id, new Map());
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
    need: index % needCount,
    nodes: rendezvous.selectMembers(nodes, {
      key: `w${index}`,
      count: entriesPerWorkspace,
    }),
  }));
  const durations: number[] = [];
  const ratios: number[] = [];
  let hits = 0;
  let requests = 0;
  const arrivalMs = meanWorkMs / (totalSlots * options.utilization);

  function recordPrefix(id: string, key: number): boolean {
    const cache = caches.get(id) as Map<number, true>;
    const isHit = cache.delete(key);
    cache.set(key, true);
    if (cache.size > cachedPrefixes) {
      cache.delete(cache.keys().next().value as number);
    }
    return isHit;
  }

  function handleArrival(): void {
    events.schedule(handleArrival, -Math.log(1 - source()) * arrivalMs);
    const need = Math.floor(source() * needCount);
    const count = Math.floor((workspaceCount - 1 - need) / needCount) + 1;
    const index = need + needCount * pickSkewed(source, count);
    const workspace = workspaces[index] as (typeof workspaces)[number];
    const at = Math.floor(source() * workspace.nodes.length);
    const { strategy } = workspace.nodes[at] as (typeof nodes)[number];
    const prefix = pickSkewed(source, options.prefixesPerWorkspace);
    const key = index * 1_000 + prefix + 1;
    const prefixKeys = [key * 2_654_435_761 % 2 ** 32];
    const id = strategy.choose(workspace.need, prefixKeys);
    const sentAtMs = events.now();
    const isHit = recordPrefix(id, key);
    const isMeasured = sentAtMs >= warmUpMs;
    if (isMeasured) {
      requests += 1;
      hits += isHit ? 1 : 0;
    }
    strategy.recordSent(id);
    const model = models.get(id) as queueModel.SimulatedUpstream;
    const workMs = -Math.log(1 - source()) * meanWorkMs;
    model.submit({
      workMs: isHit ? workMs * (1 - prefixSaving) : workMs,
      onCompleted() {
        if (isMeasured) durations.push(events.now() - sentAtMs);
        const report = model.readReport();
        strategy.recordEnded(id, { sentAtMs, report, prefixKeys });
      },
    });
  }

  function sample(): void {
    events.schedule(sample, sampleMs);
    if (events.now() < warmUpMs) return;
    for (const pool of pools) {
      const loads = pool.map(({ id }) => models.get(id)?.countLoad() ?? 0);
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      if (mean > 0) ratios.push(Math.max(...loads) / mean);
    }
  }

  handleArrival();
  sample();
  events.run(durationMs);
  durations.sort((a, b) => a - b);
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  return {
    maxToMeanLoad: sum(ratios) / ratios.length,
    meanMs: sum(durations) / durations.length,
    p99Ms: durations[Math.floor(durations.length * 0.99)] ?? 0,
    cacheHitShare: hits / requests,
    requests,
  };
}

function pickRandom<T>(
  members: readonly T[],
  source: random.RandomSource,
): T {
  return members[Math.floor(source() * members.length)] as T;
}

/** Chooses at random. */
export function createRandomStrategy(options: StrategyOptions): Strategy {
  return {
    choose: (need) => pickRandom(options.pools[need] ?? [], options.random).id,
    recordSent() {},
    recordEnded() {},
  };
}

/** Takes the upstreams of a need in turn. */
export function createRoundRobinStrategy(options: StrategyOptions): Strategy {
  const next = options.pools.map((pool) =>
    Math.floor(options.random() * pool.length)
  );
  return {
    choose(need) {
      const pool = options.pools[need] ?? [];
      const index = (next[need] ?? 0) % pool.length;
      next[need] = index + 1;
      return pool[index]?.id ?? "";
    },
    recordSent() {},
    recordEnded() {},
  };
}

/** Takes the least reported load of all upstreams or of two at random. */
export function createReportedLoadStrategy(
  options: StrategyOptions,
  candidates: "all" | "two",
): Strategy {
  const reported = new Map<string, number>();
  const read = (id: string) => reported.get(id) ?? 0;
  return {
    choose(need) {
      const pool = options.pools[need] ?? [];
      const tested = candidates === "all"
        ? pool
        : [pickRandom(pool, options.random), pickRandom(pool, options.random)];
      // Ties go to a random upstream, or all nodes would pick the same one.
      const start = Math.floor(options.random() * tested.length);
      let best = tested[start] as choice.Upstream;
      for (const upstream of tested) {
        if (read(upstream.id) < read(best.id)) best = upstream;
      }
      return best.id;
    },
    recordSent() {},
    recordEnded(id, { report }) {
      reported.set(id, report.running + report.queued);
    },
  };
}

/** Uses the chooser of this package. */
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
  for (const [need, pool] of options.pools.entries()) {
    chooser.setPool(String(need), pool);
  }
  const tried = new Set<string>();
  return {
    choose(need, prefixKeys) {
      const outcome = chooser.choose(String(need), {
        tried,
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
