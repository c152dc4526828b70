/**
 * Measures in simulated time the object store calls per second for the leases
 * of both halves at several numbers of entries, and the time from the crash of
 * a lease holder to the takeover of its bundle: `npm run bench:leases`.
 */
import * as bundle from "../src/bundle.ts";
import type * as lease from "../src/lease.ts";
import * as random from "../src/random.ts";
import * as leaseNode from "../src/testing/lease_node.ts";
import * as simulation from "../src/testing/simulation.ts";

const bundlesPerHalf = 8;
const halves = ["association", "water_board"] as const;
const warmUpMs = 30_000;
const measuredMs = 60_000;
/** Time after a crash until the member list no longer contains the entry. */
const removalDelayMs = 5_000;
const seed = 1;

interface Entry {
  readonly id: string;
  readonly half: string;
  readonly node: simulation.SimulatedNode;
  /** Lease of each bundle of the half, by bundle id. */
  readonly leases: lease.Lease[];
  /** Whether the member list no longer contains the entry. */
  isRemoved: boolean;
}

function createCluster(entryCount: number) {
  const clock = simulation.createSimulation();
  const store = simulation.createSimulatedStore(clock);
  const source = random.createRandomSource(seed);
  const entries: Entry[] = Array.from({ length: entryCount }, (_, index) => ({
    id: `entry-${index}`,
    half: halves[index % halves.length] ?? halves[0],
    node: simulation.createNode(),
    leases: [],
    isRemoved: false,
  }));

  /**
   * Cached candidate indexes by entry id and key; cleared when the member list
   * changes, because they depend on nothing else.
   */
  const candidateIndexes = new Map<string, number>();

  function getCandidateIndex(entry: Entry, key: string): number {
    const cacheKey = `${entry.id} ${key}`;
    const listMembers = () =>
      entries.filter((other) => other.half === entry.half && !other.isRemoved);
    const index = candidateIndexes.get(cacheKey) ??
      bundle.computeCandidateIndex(listMembers(), { key, id: entry.id });
    candidateIndexes.set(cacheKey, index);
    return index;
  }

  function startLease(entry: Entry, bundleId: number): lease.Lease {
    const key = `leases/${entry.half}/${bundleId}`;
    return leaseNode.runLeaseNode({
      id: entry.id,
      key,
      simulation: clock,
      store,
      random: source,
      node: entry.node,
      getCandidateIndex: () => getCandidateIndex(entry, key),
    });
  }

  for (const entry of entries) {
    for (let bundleId = 0; bundleId < bundlesPerHalf; bundleId += 1) {
      entry.leases.push(startLease(entry, bundleId));
    }
  }
  return { clock, store, source, entries, candidateIndexes };
}

type Cluster = ReturnType<typeof createCluster>;

function findHolder(
  cluster: Cluster,
  half: string,
  bundleId: number,
): Entry | undefined {
  return cluster.entries.find((entry) =>
    entry.half === half && !entry.node.isDead() &&
    entry.leases[bundleId]?.getHeldFencingNumber() !== undefined
  );
}

function measureCalls(entryCount: number): string {
  const cluster = createCluster(entryCount);
  cluster.clock.advance(warmUpMs);
  const before = cluster.store.countCalls();
  cluster.clock.advance(measuredMs);
  const after = cluster.store.countCalls();
  const formatRate = (calls: number) => (calls * 1_000 / measuredMs).toFixed(1);
  const reads = formatRate(after.reads - before.reads);
  const writes = formatRate(after.writes - before.writes);
  return `${entryCount} entries: ${reads} reads/s, ${writes} writes/s`;
}

/** Repeatedly kills the holder of a bundle; measures each takeover. */
function measureTakeovers(entryCount: number, rounds: number): string {
  const cluster = createCluster(entryCount);
  const { clock, source } = cluster;
  const takeoverMs: number[] = [];
  clock.advance(warmUpMs);
  for (let round = 0; round < rounds; round += 1) {
    const half = halves[round % halves.length] ?? halves[0];
    const bundleId = Math.floor(source() * bundlesPerHalf);
    clock.advance(2_000 * source());
    const holder = findHolder(cluster, half, bundleId);
    if (holder === undefined) throw new Error("No entry holds the lease");
    holder.node.kill();
    const killedAtMs = clock.now();
    clock.schedule(() => {
      holder.isRemoved = true;
      cluster.candidateIndexes.clear();
    }, { delayMs: removalDelayMs });
    while (findHolder(cluster, half, bundleId) === undefined) clock.advance(10);
    takeoverMs.push(clock.now() - killedAtMs);
    clock.advance(2 * removalDelayMs);
  }
  takeoverMs.sort((left, right) => left - right);
  const getPercentile = (share: number) =>
    takeoverMs[Math.min(rounds - 1, Math.floor(rounds * share))];
  return `${entryCount} entries, ${rounds} crashes: takeover after p50 ` +
    `${getPercentile(0.5)} ms, p99 ${getPercentile(0.99)} ms, max ${
      takeoverMs.at(-1)
    } ms`;
}

console.log(`${bundlesPerHalf} bundles per half, two halves, seed ${seed}`);
for (const entryCount of [21, 100, 430]) {
  console.log(measureCalls(entryCount));
}
console.log(measureTakeovers(430, 100));
