/**
 * Measures settings propagation, membership and an object store outage on a
 * fake network in simulated time:
 * `npm run bench:spread -- [--seed 1] [--quick] [--part spread]`. The parts are
 * `spread`, `membership`, `outage` and `all`.
 */
import * as util from "node:util";
import * as hdr from "hdr-histogram-js";
import * as random from "../src/random.ts";
import * as eventQueue from "./event_queue.ts";
import * as fakeCluster from "./fake_cluster.ts";

interface ClusterSize {
  readonly nodeCount: number;
  readonly domainCount: number;
  readonly domainsPerRegion: number;
  readonly objectCount: number;
}

const clusterSizes: readonly ClusterSize[] = [
  { nodeCount: 21, domainCount: 3, domainsPerRegion: 3, objectCount: 100 },
  { nodeCount: 100, domainCount: 6, domainsPerRegion: 3, objectCount: 1_000 },
  { nodeCount: 430, domainCount: 10, domainsPerRegion: 3, objectCount: 4_000 },
];

const changesPerDay = 59_000;
const replacementsPerNodeDay = (3_900 + 110) / 430;
const dayMs = 86_400_000;
const warmUpMs = 30_000;
/** Time between the stop and the restart of a node. */
const restartGapMs = 3_000;
/** Time after the measurement for changes in flight to arrive. */
const settleMs = 15_000;
const valueText = "x".repeat(600);

function formatMs(histogram: hdr.Histogram): string {
  const [p50, p99] = [50, 99].map((percentile) =>
    histogram.getValueAtPercentile(percentile)
  );
  const maxMs = Math.round(histogram.maxValue);
  return `p50 ${p50} ms, p99 ${p99} ms, max ${maxMs} ms`;
}

/** Samples the interval to the next event of a Poisson process. */
function sampleIntervalMs(
  ratePerMs: number,
  source: random.RandomSource,
): number {
  return -Math.log(1 - source()) / ratePerMs;
}

function pickRandom<T>(items: readonly T[], source: random.RandomSource): T {
  return items[Math.floor(source() * items.length)]!;
}

interface Change {
  readonly key: string;
  readonly version: number;
  readonly writtenAtMs: number;
  /**
   * Nodes that have not received the change: nodes that were ready at the time
   * of the write and have not stopped since.
   */
  readonly missing: Set<string>;
  /** Time at which the last node so far received the change. */
  lastReceivedAtMs: number;
}

function fillStore(cluster: fakeCluster.FakeCluster, count: number): void {
  for (let index = 0; index < count; index += 1) {
    cluster.write(formatKey(index), valueText);
  }
}

function formatKey(index: number): string {
  return `settings/association/drafting/workspaces/workspace-${index}`;
}

/** Schedules an action at random intervals with the given mean rate. */
function scheduleRepeatedly(
  queue: eventQueue.EventQueue,
  options: {
    readonly ratePerMs: number;
    readonly untilMs: number;
    readonly random: random.RandomSource;
    readonly action: () => void;
  },
): void {
  queue.schedule(() => {
    if (queue.now() > options.untilMs) return;
    options.action();
    scheduleRepeatedly(queue, options);
  }, sampleIntervalMs(options.ratePerMs, options.random));
}

/** Measures the time and the cost of the propagation of changes. */
function measureSpread(
  size: ClusterSize,
  options: {
    readonly seed: number;
    readonly durationMs: number;
    readonly lossShare: number;
  },
): void {
  const source = random.createRandomSource(options.seed);
  const queue = eventQueue.createEventQueue();
  const changesByVersion = new Map<number, Change>();
  const changes: Change[] = [];
  const nodeDelays = hdr.build();
  const readyDelays = hdr.build();
  const restartedAtMs = new Map<string, number>();

  const cluster = fakeCluster.createFakeCluster({
    ...size,
    queue,
    random: source,
    lossShare: options.lossShare,
    onApply(nodeId, objects) {
      for (const { version } of objects) {
        const change = changesByVersion.get(version);
        if (!change?.missing.delete(nodeId)) continue;
        change.lastReceivedAtMs = queue.now();
        nodeDelays.recordValue(queue.now() - change.writtenAtMs);
      }
    },
    onReady(nodeId) {
      const atMs = restartedAtMs.get(nodeId);
      if (atMs !== undefined) readyDelays.recordValue(queue.now() - atMs);
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
    const writtenAtMs = queue.now();
    const change = {
      key,
      version,
      writtenAtMs,
      missing,
      lastReceivedAtMs: writtenAtMs,
    };
    changesByVersion.set(version, change);
    changes.push(change);
  }

  function replaceNode(): void {
    const id = pickRandom(cluster.nodeIds, source);
    if (!cluster.isRunning(id)) return;
    cluster.stop(id);
    for (const change of changes) change.missing.delete(id);
    queue.schedule(() => {
      restartedAtMs.set(id, queue.now());
      cluster.start(id);
    }, restartGapMs);
  }

  const schedule = { untilMs, random: source };
  scheduleRepeatedly(queue, {
    ...schedule,
    ratePerMs: changesPerDay / dayMs,
    action: writeChange,
  });
  scheduleRepeatedly(queue, {
    ...schedule,
    ratePerMs: replacementsPerNodeDay * size.nodeCount / dayMs,
    action: replaceNode,
  });
  queue.run(untilMs);
  const bytes = cluster.getSentBytes() - bytesBefore;
  queue.run(untilMs + settleMs);
  const clusterDelays = hdr.build();
  for (const change of changes) {
    clusterDelays.recordValue(change.lastReceivedAtMs - change.writtenAtMs);
  }
  const missing = changes.reduce((sum, { missing }) => sum + missing.size, 0);
  const calls = [...cluster.callsBySecond]
    .filter(([second]) => second * 1_000 >= warmUpMs)
    .reduce((sum, [, count]) => sum + count, 0);
  const bytesPerSecond = bytes / size.nodeCount / (options.durationMs / 1_000);
  console.log(
    `spread: ${size.nodeCount} nodes, ${size.domainCount} domains, ` +
      `${size.objectCount} objects, loss ${options.lossShare * 100}%, ` +
      `${changes.length} changes, ${restartedAtMs.size} nodes replaced`,
  );
  console.log(`  received by one node after: ${formatMs(nodeDelays)}`);
  console.log(`  received by all nodes after: ${formatMs(clusterDelays)}`);
  console.log(`  never received: ${missing}`);
  if (restartedAtMs.size > 0) {
    console.log(`  replaced node ready after: ${formatMs(readyDelays)}`);
  }
  console.log(`  sent per node: ${Math.round(bytesPerSecond)} bytes/s`);
  console.log(
    `  object store: ${
      (calls / options.durationMs * 1_000).toFixed(3)
    } calls/s` +
      ` and ${cluster.countWatches()} open watches`,
  );
}

/** Measures the time until stopped nodes are removed, and false removals. */
function measureMembership(
  size: ClusterSize,
  options: {
    readonly seed: number;
    readonly lossShare: number;
    readonly durationMs: number;
    readonly pausesPerNodeHour: number;
  },
): void {
  const source = random.createRandomSource(options.seed);
  const queue = eventQueue.createEventQueue();
  const stoppedAtMs = new Map<string, number>();
  /** Ids of the nodes that have removed a stopped node, by its id. */
  const removedBy = new Map<string, Set<string>>();
  const firstDelays = hdr.build();
  const allDelays = hdr.build();
  let falseRemovalCount = 0;
  const falselyRemoved = new Set<string>();
  let pauseCount = 0;
  let falseSuspicionCount = 0;
  const cluster = fakeCluster.createFakeCluster({
    ...size,
    queue,
    random: source,
    lossShare: options.lossShare,
    onApply: () => {},
    onMembersChanged(nodeId, changed) {
      for (const record of changed) {
        if (record.state === "suspect" && !stoppedAtMs.has(record.id)) {
          falseSuspicionCount += 1;
        }
        if (record.state === "removed") recordRemoval(nodeId, record.id);
      }
    },
  });

  function recordRemoval(nodeId: string, id: string): void {
    const atMs = stoppedAtMs.get(id);
    if (atMs === undefined) {
      falseRemovalCount += 1;
      falselyRemoved.add(id);
      return;
    }
    const nodes = removedBy.get(id) ?? new Set();
    removedBy.set(id, nodes.add(nodeId));
    if (nodes.size === 1) firstDelays.recordValue(queue.now() - atMs);
    const runningIds = cluster.nodeIds.filter(cluster.isRunning);
    if (runningIds.every((runningId) => nodes.has(runningId))) {
      allDelays.recordValue(queue.now() - atMs);
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
      stoppedAtMs.set(id, queue.now());
      cluster.stop(id);
    }, (index + source()) * options.durationMs / (stopCount + 2));
  }
  if (options.pausesPerNodeHour > 0) {
    scheduleRepeatedly(queue, {
      ratePerMs: options.pausesPerNodeHour * size.nodeCount / 3_600_000,
      untilMs,
      random: source,
      action() {
        pauseCount += 1;
        cluster.pause(pickRandom(cluster.nodeIds, source), 2_000);
      },
    });
  }
  queue.run(untilMs);
  const bytes = cluster.getSentBytes() - bytesBefore;
  queue.run(untilMs + settleMs);
  const bytesPerSecond = bytes / size.nodeCount / (options.durationMs / 1_000);
  console.log(
    `membership: ${size.nodeCount} nodes, loss ${options.lossShare * 100}%, ` +
      `${pauseCount} pauses of 2 s, ${stopCount} nodes stopped`,
  );
  console.log(`  removed by the first node after: ${formatMs(firstDelays)}`);
  console.log(
    `  removed by all nodes after: ${formatMs(allDelays)} ` +
      `(${allDelays.totalCount} of ${stopCount})`,
  );
  console.log(
    `  false removals: ${falselyRemoved.size} nodes, in ${falseRemovalCount} ` +
      `member lists; false suspicions: ${falseSuspicionCount} in all lists`,
  );
  console.log(`  sent per node: ${Math.round(bytesPerSecond)} bytes/s`);
}

/** Measures the calls to the object store during and after an outage. */
function measureOutage(
  size: ClusterSize,
  options: { readonly seed: number },
): void {
  const source = random.createRandomSource(options.seed);
  const queue = eventQueue.createEventQueue();
  const readyNodes = new Set<string>();
  let lastApplyAtMs = 0;
  const cluster = fakeCluster.createFakeCluster({
    ...size,
    queue,
    random: source,
    lossShare: 0.01,
    onApply() {
      lastApplyAtMs = queue.now();
    },
    onReady: (id) => void readyNodes.add(id),
  });
  fillStore(cluster, size.objectCount);
  cluster.startAll();
  queue.run(warmUpMs);
  const outageMs = 120_000;
  const endMs = warmUpMs + outageMs;
  cluster.setStoreUnavailable(true);
  const restartedIds = cluster.nodeIds.filter((_, index) => index % 10 === 0);
  for (const [index, id] of restartedIds.entries()) {
    readyNodes.delete(id);
    const stopDelayMs = index * outageMs / 2 / restartedIds.length;
    queue.schedule(() => {
      cluster.stop(id);
      queue.schedule(() => cluster.start(id), restartGapMs);
    }, stopDelayMs);
  }
  queue.run(endMs);
  const readyCount = restartedIds.filter((id) => readyNodes.has(id)).length;
  cluster.setStoreUnavailable(false);
  const key = formatKey(0);
  const version = cluster.write(key, valueText);
  queue.run(endMs + 40_000);
  const updatedCount =
    cluster.nodeIds.filter((id) =>
      cluster.getMember(id)?.replica.get(key)?.version === version
    ).length;
  const callsAfter = Array.from(
    { length: 10 },
    (_, index) => cluster.callsBySecond.get(endMs / 1_000 + index) ?? 0,
  );
  const callsDuring = [...cluster.callsBySecond]
    .filter(([second]) => second * 1_000 >= warmUpMs && second * 1_000 < endMs)
    .reduce((sum, [, count]) => sum + count, 0);
  console.log(
    `outage of ${outageMs / 1_000} s: ${size.nodeCount} nodes, ` +
      `${size.objectCount} objects`,
  );
  console.log(
    `  nodes restarted: ${restartedIds.length}, ready from peers: ${readyCount}`,
  );
  console.log(
    `  object store calls/s during the outage: ${
      (callsDuring / outageMs * 1_000).toFixed(2)
    }`,
  );
  console.log(
    `  object store calls in each second after the outage: ${
      callsAfter.join(", ")
    }`,
  );
  console.log(
    `  first change after the outage: ${updatedCount} of ${size.nodeCount} nodes received it, ` +
      `the last after ${Math.round(lastApplyAtMs - endMs)} ms`,
  );
}

function runMembership(
  size: ClusterSize,
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

  function isPartSelected(part: string): boolean {
    return values.part === "all" || values.part === part;
  }

  console.log(`Seed ${seed}, simulated time`);
  for (const size of clusterSizes) {
    if (isPartSelected("spread")) {
      measureSpread(size, { seed, durationMs, lossShare: 0.01 });
    }
    if (isPartSelected("membership")) {
      runMembership(size, { seed, durationMs: membershipMs });
    }
    if (isPartSelected("outage")) measureOutage(size, { seed });
  }
}

runBench();
