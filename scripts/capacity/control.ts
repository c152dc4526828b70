/** Measures the cost of an entry's control mechanisms at several sizes. */
import * as rendezvous from "@anvilhinge/coordination/rendezvous";
import * as random from "@anvilhinge/coordination/random";
import * as settingsReplica from "@anvilhinge/coordination/settings_replica";
import * as eventQueue from "../../packages/coordination/bench/event_queue.ts";
import * as fakeCluster from "../../packages/coordination/bench/fake_cluster.ts";
import * as addresses from "../../packages/anvilhinge/src/entry/choice/addresses.ts";
import type * as fit from "./fit.ts";
import * as measure from "./measure.ts";
import type * as table from "./table.ts";

const seed = 1;
const nodeCounts = [21, 100, 215, 430];
const objectCounts = [1_000, 4_000, 16_000];
const changesPerSecond = 59_000 / 86_400;
const warmUpMs = 20_000;
const measuredMs = 60_000;
const valueText = "x".repeat(600);
const clusterObjectCount = 1_000;

function formatKey(index: number): string {
  return `settings/association/drafting/workspaces/workspace-${index}`;
}

/** Cost of settings propagation and membership. */
interface PropagationCost {
  /** Bytes that one node sends. */
  readonly bytesPerSecond: number;
  /** Object store calls of all nodes. */
  readonly callsPerSecond: number;
  /** Open watch calls of all nodes. */
  readonly watches: number;
  readonly cpuUsPerSecond: number;
  /** Longest time from a write until a node applied it. */
  readonly maxDelayMs: number;
}

/** Simulates gossip and membership of the entries while settings change. */
async function measurePropagation(nodeCount: number): Promise<PropagationCost> {
  const queue = eventQueue.createEventQueue();
  const source = random.createRandomSource(seed);
  const writtenAtMs = new Map<number, number>();
  let maxDelayMs = 0;
  const cluster = fakeCluster.createFakeCluster({
    queue,
    random: source,
    nodeCount,
    domainCount: 10,
    domainsPerRegion: 3,
    lossShare: 0.01,
    onApply(_node, objects) {
      for (const { version } of objects) {
        const atMs = writtenAtMs.get(version);
        if (atMs !== undefined) {
          maxDelayMs = Math.max(maxDelayMs, queue.now() - atMs);
        }
      }
    },
  });
  for (let index = 0; index < clusterObjectCount; index += 1) {
    cluster.write(formatKey(index), valueText);
  }
  cluster.startAll();
  queue.run(warmUpMs);
  const bytesBefore = cluster.getSentBytes();
  for (let second = 0; second < measuredMs / 1_000; second += 1) {
    queue.schedule(() => {
      if (source() > changesPerSecond) return;
      const index = Math.floor(source() * clusterObjectCount);
      writtenAtMs.set(cluster.write(formatKey(index), valueText), queue.now());
    }, second * 1_000 + source() * 1_000);
  }
  const cpuUs = await measure.measureCpuUs(() => {
    queue.run(warmUpMs + measuredMs);
  });
  const bytes = cluster.getSentBytes() - bytesBefore;
  const calls = [...cluster.callsBySecond]
    .filter(([second]) => second * 1_000 >= warmUpMs)
    .reduce((sum, [, count]) => sum + count, 0);
  const nodeSeconds = nodeCount * measuredMs / 1_000;
  return {
    bytesPerSecond: bytes / nodeSeconds,
    callsPerSecond: calls * 1_000 / measuredMs,
    watches: cluster.countWatches(),
    cpuUsPerSecond: cpuUs / nodeSeconds,
    maxDelayMs,
  };
}

function createReplica(count: number): settingsReplica.SettingsReplica {
  const replica = settingsReplica.createSettingsReplica();
  replica.merge(Array.from({ length: count }, (_, index) => ({
    kind: "present",
    key: formatKey(index),
    version: index + 1,
    value: `${index}${valueText}`,
  })));
  return replica;
}

async function measureReplica(count: number) {
  const bytes = measure.measureRetainedBytes(() => createReplica(count));
  const replica = createReplica(count);
  const rounds = 2_000;
  const cpuUs = await measure.measureCpuUs(() => {
    for (let round = 0; round < rounds; round += 1) {
      replica.merge([{
        kind: "present",
        key: formatKey(round % count),
        version: count + round + 1,
        value: valueText,
      }]);
      replica.getDigest();
    }
  });
  return { bytes, cpuUs: cpuUs / rounds };
}

function createMembers(count: number): readonly addresses.EntryMember[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `entry-${index}`,
    address: `10.0.0.${index}:7000`,
    failureDomain: `domain-${index % 10}`,
    state: "live",
  }));
}

async function measureAddresses(count: number): Promise<number> {
  const members = createMembers(count);
  const source = random.createRandomSource(seed);
  const rounds = 2_000;
  const cpuUs = await measure.measureCpuUs(() => {
    for (let round = 0; round < rounds; round += 1) {
      addresses.buildAddressAnswer(members, {
        workspace: `drafting/workspace-${round % 690}`,
        nearDomain: "domain-0",
        random: source,
        ttlMs: 5_000,
      });
    }
  });
  return cpuUs / rounds;
}

/**
 * Returns the share of workspaces whose first entry changes if one entry
 * leaves.
 */
function measureChurn(count: number): number {
  const members = createMembers(count);
  const workspaceCount = 20_000;
  let movedCount = 0;
  for (let index = 0; index < workspaceCount; index += 1) {
    const key = `workspace-${index}`;
    const [first] = rendezvous.selectMembers(members, { key, count: 1 });
    if (first === members[0]) movedCount += 1;
  }
  return movedCount / workspaceCount;
}

function buildSamples(
  sizes: readonly number[],
  values: readonly number[],
): readonly fit.Sample[] {
  return sizes.map((size, index) => ({ size, value: values[index] ?? 0 }));
}

/** Measures all control mechanisms; takes about a minute. */
export async function measureControl(): Promise<readonly table.CostRow[]> {
  const costs: PropagationCost[] = [];
  for (const count of nodeCounts) costs.push(await measurePropagation(count));
  const replicas = [];
  for (const count of objectCounts) replicas.push(await measureReplica(count));
  const answerUs: number[] = [];
  for (const count of nodeCounts) answerUs.push(await measureAddresses(count));
  const buildPropagationRow = (
    name: string,
    unit: string,
    read: (cost: PropagationCost) => number,
  ): table.CostRow => ({
    mechanism: "settings spreading and membership",
    cost: name,
    unit,
    sizeUnit: "entries",
    samples: buildSamples(nodeCounts, costs.map(read)),
    targetSize: 430,
  });
  return [
    buildPropagationRow(
      "sent by a node",
      "bytes/s",
      (cost) => cost.bytesPerSecond,
    ),
    buildPropagationRow(
      "processor of a node",
      "us/s",
      (cost) => cost.cpuUsPerSecond,
    ),
    buildPropagationRow(
      "object API, all nodes",
      "calls/s",
      (cost) => cost.callsPerSecond,
    ),
    buildPropagationRow(
      "waiting watches, all nodes",
      "calls",
      (cost) => cost.watches,
    ),
    buildPropagationRow(
      "slowest change at the slowest node",
      "ms",
      (cost) => cost.maxDelayMs,
    ),
    {
      mechanism: "settings replica",
      cost: "state of a node",
      unit: "bytes",
      sizeUnit: "objects of 600 bytes",
      samples: buildSamples(objectCounts, replicas.map(({ bytes }) => bytes)),
      targetSize: 1_600,
    },
    {
      mechanism: "settings replica",
      cost: "one change and one digest",
      unit: "us",
      sizeUnit: "objects of 600 bytes",
      samples: buildSamples(objectCounts, replicas.map(({ cpuUs }) => cpuUs)),
      targetSize: 1_600,
    },
    {
      mechanism: "address answers",
      cost: "one answer",
      unit: "us",
      sizeUnit: "entries",
      samples: buildSamples(nodeCounts, answerUs),
      targetSize: 430,
    },
    {
      mechanism: "address answers",
      cost: "workspaces moved when one entry leaves",
      unit: "share",
      sizeUnit: "entries",
      samples: buildSamples(nodeCounts, nodeCounts.map(measureChurn)),
      targetSize: 430,
    },
  ];
}
