/** Measures the control mechanisms of an entry at several sizes. */
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
const clusterObjects = 1_000;

function formatKey(index: number): string {
  return `settings/association/drafting/workspaces/workspace-${index}`;
}

interface SpreadCost {
  readonly bytesPerSecond: number;
  readonly callsPerSecond: number;
  readonly watches: number;
  readonly cpuUsPerSecond: number;
  readonly slowestMs: number;
}

/** Runs gossip and membership of `nodeCount` entries under changes. */
async function measureSpread(nodeCount: number): Promise<SpreadCost> {
  const queue = eventQueue.createEventQueue();
  const source = random.createRandomSource(seed);
  const writtenMs = new Map<number, number>();
  let slowestMs = 0;
  const cluster = fakeCluster.createFakeCluster({
    queue,
    random: source,
    nodeCount,
    domainCount: 10,
    domainsPerRegion: 3,
    lossShare: 0.01,
    onApply(_node, objects) {
      for (const { version } of objects) {
        const atMs = writtenMs.get(version);
        if (atMs !== undefined) {
          slowestMs = Math.max(slowestMs, queue.now() - atMs);
        }
      }
    },
  });
  for (let index = 0; index < clusterObjects; index += 1) {
    cluster.write(formatKey(index), valueText);
  }
  cluster.startAll();
  queue.run(warmUpMs);
  const bytesBefore = cluster.getSentBytes();
  for (let second = 0; second < measuredMs / 1_000; second += 1) {
    queue.schedule(() => {
      if (source() > changesPerSecond) return;
      const index = Math.floor(source() * clusterObjects);
      writtenMs.set(cluster.write(formatKey(index), valueText), queue.now());
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
    slowestMs,
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

/** Share of workspaces whose first entry changes when one of `count` leaves. */
function measureChurn(count: number): number {
  const members = createMembers(count);
  const workspaces = 20_000;
  let moved = 0;
  for (let index = 0; index < workspaces; index += 1) {
    const key = `workspace-${index}`;
    const [first] = rendezvous.selectMembers(members, { key, count: 1 });
    if (first === members[0]) moved += 1;
  }
  return moved / workspaces;
}

function collect(
  sizes: readonly number[],
  values: readonly number[],
): readonly fit.Sample[] {
  return sizes.map((size, index) => ({ size, value: values[index] ?? 0 }));
}

/** Measures all control mechanisms; takes about a minute. */
export async function measureControl(): Promise<readonly table.CostRow[]> {
  const spreads: SpreadCost[] = [];
  for (const count of nodeCounts) spreads.push(await measureSpread(count));
  const replicas = [];
  for (const count of objectCounts) replicas.push(await measureReplica(count));
  const answers: number[] = [];
  for (const count of nodeCounts) answers.push(await measureAddresses(count));
  const spreadRow = (
    name: string,
    unit: string,
    read: (cost: SpreadCost) => number,
  ): table.CostRow => ({
    mechanism: "settings spreading and membership",
    cost: name,
    unit,
    sizeUnit: "entries",
    samples: collect(nodeCounts, spreads.map(read)),
    targetSize: 430,
  });
  return [
    spreadRow("sent by a node", "bytes/s", (cost) => cost.bytesPerSecond),
    spreadRow("processor of a node", "us/s", (cost) => cost.cpuUsPerSecond),
    spreadRow(
      "object API, all nodes",
      "calls/s",
      (cost) => cost.callsPerSecond,
    ),
    spreadRow("waiting watches, all nodes", "calls", (cost) => cost.watches),
    spreadRow(
      "slowest change at the slowest node",
      "ms",
      (cost) => cost.slowestMs,
    ),
    {
      mechanism: "settings replica",
      cost: "state of a node",
      unit: "bytes",
      sizeUnit: "objects of 600 bytes",
      samples: collect(objectCounts, replicas.map(({ bytes }) => bytes)),
      targetSize: 1_600,
    },
    {
      mechanism: "settings replica",
      cost: "one change and one digest",
      unit: "us",
      sizeUnit: "objects of 600 bytes",
      samples: collect(objectCounts, replicas.map(({ cpuUs }) => cpuUs)),
      targetSize: 1_600,
    },
    {
      mechanism: "address answers",
      cost: "one answer",
      unit: "us",
      sizeUnit: "entries",
      samples: collect(nodeCounts, answers),
      targetSize: 430,
    },
    {
      mechanism: "address answers",
      cost: "workspaces moved when one entry leaves",
      unit: "share",
      sizeUnit: "entries",
      samples: collect(nodeCounts, nodeCounts.map(measureChurn)),
      targetSize: 430,
    },
  ];
}
