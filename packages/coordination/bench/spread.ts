/**
 * Measures spreading and membership on a fake network in simulated time:
 * `npm run bench:spread -- [--seed 1] [--quick] [--part spread]`.
 */
import * as util from "node:util";
import * as hdr from "hdr-histogram-js";
import * as random from "../src/random.ts";
import * as eventQueue from "./event_queue.ts";
import * as fakeCluster from "./fake_cluster.ts";

interface Size {
  readonly nodeCount: number;
  readonly domainCount: number;
  readonly domainsPerRegion: number;
  readonly objectCount: number;
}

const sizes: readonly Size[] = [
  { nodeCount: 21, domainCount: 3, domainsPerRegion: 3, objectCount: 100 },
  { nodeCount: 100, domainCount: 6, domainsPerRegion: 3, objectCount: 1_000 },
  { nodeCount: 430, domainCount: 10, domainsPerRegion: 3, objectCount: 4_000 },
];

const changesPerDay = 59_000;
const replacementsPerNodeDay = (3_900 + 110) / 430;
const dayMs = 86_400_000;
const warmUpMs = 30_000;
const restartGapMs = 3_000;
const settleMs = 15_000;
const valueText = "x".repeat(600);

function formatMs(histogram: hdr.Histogram): string {
  const [p50, p99] = [50, 99].map((percentile) =>
    histogram.getValueAtPercentile(percentile)
  );
  const maxMs = Math.round(histogram.maxValue);
  return `p50 ${p50} ms, p99 ${p99} ms, max ${maxMs} ms`;
}

function sampleWaitMs(perMs: number, source: random.RandomSource): number {
  return -Math.log(1 - source()) / perMs;
}

function pickOne<T>(items: readonly T[], source: random.RandomSource): T {
  return items[Math.floor(source() * items.length)]!;
}

interface Change {
  readonly key: string;
  readonly version: number;
  readonly atMs: number;
  /** Nodes that ran when it was made, and have not stopped since. */
  readonly missing: Set<string>;
  lastMs: number;
}

function fillStore(cluster: fakeCluster.FakeCluster, count: number): void {
  for (let index = 0; index < count; index += 1) {
    cluster.write(formatKey(index), valueText);
  }
}

function formatKey(index: number): string {
  return `settings/association/drafting/workspaces/workspace-${index}`;
}

function scheduleRepeatedly(
  queue: eventQueue.EventQueue,
  options: {
    readonly perMs: number;
    readonly untilMs: number;
    readonly random: random.RandomSource;
    readonly action: () => void;
  },
): void {
  queue.schedule(() => {
    if (queue.now() > options.untilMs) return;
    options.action();
    scheduleRepeatedly(queue, options);
  }, sampleWaitMs(options.perMs, options.random));
}

/** Measures how long changes take to reach every node, and what it costs. */
function measureSpread(
  size: Size,
  options: {
    readonly seed: number;
    readonly durationMs: number;
    readonly lossShare: number;
  },
): void {
  const source = random.createRandomSource(options.seed);
  const queue = eventQueue.createEventQueue();
  const byVersion = new Map<number, Change>();
  const changes: Change[] = [];
  const perNode = hdr.build();
  const readyMs = hdr.build();
  const startedMs = new Map<string, number>();

  const cluster = fakeCluster.createFakeCluster({
    ...size,
    queue,
    random: source,
    lossShare: options.lossShare,
    onApply(nodeId, objects) {
      for (const { version } of objects) {
        const change = byVersion.get(version);
        if (!change?.missing.delete(nodeId)) continue;
        change.lastMs = queue.now();
        perNode.recordValue(queue.now() - change.atMs);
      }
    },
    onReady(nodeId) {
      const startMs = startedMs.get(nodeId);
      if (startMs !== undefined) readyMs.recordValue(queue.now() - startMs);
    },
  });
  fillStore(cluster, size.objectCount);
  cluster.startAll();
  queue.run(warmUpMs);
  const untilMs = warmUpMs + options.durationMs;
  const bytesBefore = cluster.getSentBytes();

  function writeChange(): void {
    const key = formatKey(Math.floor(source() * size.objectCount));
    const version = cluster.write(key, valueText);
    const missing = new Set(
      cluster.nodeIds.filter((id) => cluster.getMember(id)?.isReady()),
    );
    const atMs = queue.now();
    const change = { key, version, atMs, missing, lastMs: atMs };
    byVersion.set(version, change);
    changes.push(change);
  }

  function replaceNode(): void {
    const id = pickOne(cluster.nodeIds, source);
    if (!cluster.isRunning(id)) return;
    cluster.stop(id);
    for (const change of changes) change.missing.delete(id);
    queue.schedule(() => {
      startedMs.set(id, queue.now());
      cluster.start(id);
    }, restartGapMs);
  }

  const common = { untilMs, random: source };
  scheduleRepeatedly(queue, {
    ...common,
    perMs: changesPerDay / dayMs,
    action: writeChange,
  });
  scheduleRepeatedly(queue, {
    ...common,
    perMs: replacementsPerNodeDay * size.nodeCount / dayMs,
    action: replaceNode,
  });
  queue.run(untilMs);
  const bytes = cluster.getSentBytes() - bytesBefore;
  queue.run(untilMs + settleMs);
  const everywhere = hdr.build();
  for (const change of changes) {
    everywhere.recordValue(change.lastMs - change.atMs);
  }
  const missing = changes.reduce((sum, { missing }) => sum + missing.size, 0);
  const calls = [...cluster.callsBySecond]
    .filter(([second]) => second * 1_000 >= warmUpMs)
    .reduce((sum, [, count]) => sum + count, 0);
  const bytesPerSecond = bytes / size.nodeCount / (options.durationMs / 1_000);
  console.log(
    `spread: ${size.nodeCount} nodes, ${size.domainCount} domains, ` +
      `${size.objectCount} objects, loss ${options.lossShare * 100}%, ` +
      `${changes.length} changes, ${startedMs.size} nodes replaced`,
  );
  console.log(`  one node has it: ${formatMs(perNode)}`);
  console.log(`  all nodes have it: ${formatMs(everywhere)}`);
  console.log(`  never arrived: ${missing}`);
  if (startedMs.size > 0) {
    console.log(`  replaced node ready after: ${formatMs(readyMs)}`);
  }
  console.log(`  sent by a node: ${Math.round(bytesPerSecond)} bytes/s`);
  console.log(
    `  object API: ${(calls / options.durationMs * 1_000).toFixed(3)} calls/s` +
      ` and ${cluster.countWatches()} waiting watches`,
  );
}

/** Measures how soon stopped nodes are removed, and who is removed falsely. */
function measureMembership(
  size: Size,
  options: {
    readonly seed: number;
    readonly lossShare: number;
    readonly durationMs: number;
    /** Pauses of one node in an hour. */
    readonly pausesPerNodeHour: number;
  },
): void {
  const source = random.createRandomSource(options.seed);
  const queue = eventQueue.createEventQueue();
  const stoppedMs = new Map<string, number>();
  const detected = new Map<string, Set<string>>();
  const first = hdr.build();
  const everywhere = hdr.build();
  let falseRemovals = 0;
  const falselyRemoved = new Set<string>();
  let pauses = 0;
  let suspicions = 0;
  const cluster = fakeCluster.createFakeCluster({
    ...size,
    queue,
    random: source,
    lossShare: options.lossShare,
    onApply: () => {},
    onMembersChanged(nodeId, changed) {
      for (const record of changed) {
        if (record.state === "suspect" && !stoppedMs.has(record.id)) {
          suspicions += 1;
        }
        if (record.state === "removed") recordRemoval(nodeId, record.id);
      }
    },
  });

  function recordRemoval(nodeId: string, id: string): void {
    const stopMs = stoppedMs.get(id);
    if (stopMs === undefined) {
      falseRemovals += 1;
      falselyRemoved.add(id);
      return;
    }
    const nodes = detected.get(id) ?? new Set();
    detected.set(id, nodes.add(nodeId));
    if (nodes.size === 1) first.recordValue(queue.now() - stopMs);
    const running = cluster.nodeIds.filter(cluster.isRunning);
    if (running.every((running) => nodes.has(running))) {
      everywhere.recordValue(queue.now() - stopMs);
    }
  }

  fillStore(cluster, 10);
  cluster.startAll();
  queue.run(warmUpMs);
  const untilMs = warmUpMs + options.durationMs;
  const bytesBefore = cluster.getSentBytes();
  const stopCount = Math.min(10, Math.floor(size.nodeCount / 4));
  for (let index = 0; index < stopCount; index += 1) {
    queue.schedule(() => {
      const id = cluster.nodeIds[index * 2]!;
      stoppedMs.set(id, queue.now());
      cluster.stop(id);
    }, (index + source()) * options.durationMs / (stopCount + 2));
  }
  if (options.pausesPerNodeHour > 0) {
    scheduleRepeatedly(queue, {
      perMs: options.pausesPerNodeHour * size.nodeCount / 3_600_000,
      untilMs,
      random: source,
      action() {
        pauses += 1;
        cluster.pause(pickOne(cluster.nodeIds, source), 2_000);
      },
    });
  }
  queue.run(untilMs);
  const bytes = cluster.getSentBytes() - bytesBefore;
  queue.run(untilMs + settleMs);
  const bytesPerSecond = bytes / size.nodeCount / (options.durationMs / 1_000);
  console.log(
    `membership: ${size.nodeCount} nodes, loss ${options.lossShare * 100}%, ` +
      `${pauses} pauses of 2 s, ${stopCount} nodes stopped`,
  );
  console.log(`  removed by the first node: ${formatMs(first)}`);
  console.log(
    `  removed by all nodes: ${formatMs(everywhere)} ` +
      `(${everywhere.totalCount} of ${stopCount})`,
  );
  console.log(
    `  false removals: ${falselyRemoved.size} nodes in ${falseRemovals} views` +
      `, false suspicions: ${suspicions} views`,
  );
  console.log(`  sent by a node: ${Math.round(bytesPerSecond)} bytes/s`);
}

/** Measures the calls to the store while it comes back after an outage. */
function measureOutage(size: Size, options: { readonly seed: number }): void {
  const source = random.createRandomSource(options.seed);
  const queue = eventQueue.createEventQueue();
  const readyNodes = new Set<string>();
  let lastApplyMs = 0;
  const cluster = fakeCluster.createFakeCluster({
    ...size,
    queue,
    random: source,
    lossShare: 0.01,
    onApply() {
      lastApplyMs = queue.now();
    },
    onReady: (id) => void readyNodes.add(id),
  });
  fillStore(cluster, size.objectCount);
  cluster.startAll();
  queue.run(warmUpMs);
  const outageMs = 120_000;
  const endMs = warmUpMs + outageMs;
  cluster.setStoreUnavailable(true);
  const restarted = cluster.nodeIds.filter((_, index) => index % 10 === 0);
  for (const [index, id] of restarted.entries()) {
    readyNodes.delete(id);
    const restartMs = index * outageMs / 2 / restarted.length;
    queue.schedule(() => {
      cluster.stop(id);
      queue.schedule(() => cluster.start(id), restartGapMs);
    }, restartMs);
  }
  queue.run(endMs);
  const joined = restarted.filter((id) => readyNodes.has(id)).length;
  cluster.setStoreUnavailable(false);
  const key = formatKey(0);
  const version = cluster.write(key, valueText);
  queue.run(endMs + 40_000);
  const upToDate =
    cluster.nodeIds.filter((id) =>
      cluster.getMember(id)?.replica.get(key)?.version === version
    ).length;
  const seconds = Array.from(
    { length: 10 },
    (_, index) => cluster.callsBySecond.get(endMs / 1_000 + index) ?? 0,
  );
  const duringCalls = [...cluster.callsBySecond]
    .filter(([second]) => second * 1_000 >= warmUpMs && second * 1_000 < endMs)
    .reduce((sum, [, count]) => sum + count, 0);
  console.log(
    `outage of ${outageMs / 1_000} s: ${size.nodeCount} nodes, ` +
      `${size.objectCount} objects`,
  );
  console.log(
    `  restarted during it: ${restarted.length}, ready from peers: ${joined}`,
  );
  console.log(
    `  calls/s during it: ${(duringCalls / outageMs * 1_000).toFixed(2)}`,
  );
  console.log(`  calls in each second after it: ${seconds.join(", ")}`);
  console.log(
    `  first change after it: ${upToDate} of ${size.nodeCount} nodes have it, ` +
      `the last after ${Math.round(lastApplyMs - endMs)} ms`,
  );
}

function runMembership(
  size: Size,
  { seed, durationMs }: { readonly seed: number; readonly durationMs: number },
): void {
  const scenarios = [
    { lossShare: 0.01, pausesPerNodeHour: 0 },
    { lossShare: 0.05, pausesPerNodeHour: 0 },
    { lossShare: 0.01, pausesPerNodeHour: 30 },
  ];
  for (const scenario of scenarios) {
    measureMembership(size, { seed, durationMs, ...scenario });
  }
}

function runBench(): void {
  const { values } = util.parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      quick: { type: "boolean", default: false },
      part: { type: "string", default: "all" },
    },
  });
  const seed = Number(values.seed);
  const durationMs = values.quick ? 60_000 : 600_000;
  const membershipMs = values.quick ? 60_000 : 180_000;

  function hasPart(part: string): boolean {
    return values.part === "all" || values.part === part;
  }

  console.log(`Seed ${seed}, simulated time`);
  for (const size of sizes) {
    if (hasPart("spread")) {
      measureSpread(size, { seed, durationMs, lossShare: 0.01 });
    }
    if (hasPart("membership")) {
      runMembership(size, { seed, durationMs: membershipMs });
    }
    if (hasPart("outage")) measureOutage(size, { seed });
  }
}

runBench();
