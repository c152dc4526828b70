/**
 * Object API calls a second for the leases of both halves at several numbers of
 * entries, and the time until a bundle is taken over after its holder died. Runs
 * on virtual time; `npm run bench:leases`.
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
const membershipDelayMs = 5_000;
const seed = 1;

interface Entry {
  readonly id: string;
  readonly half: string;
  readonly node: simulation.SimulatedNode;
  readonly leases: lease.Lease[];
  /** True once the members' list no longer names it. */
  isGone: boolean;
}

function createCluster(entryCount: number) {
  const time = simulation.createSimulation();
  const store = simulation.createSimulatedStore(time);
  const source = random.createRandomSource(seed);
  const entries: Entry[] = Array.from({ length: entryCount }, (_, index) => ({
    id: `entry-${index}`,
    half: halves[index % halves.length] ?? halves[0],
    node: simulation.createNode(),
    leases: [],
    isGone: false,
  }));

  /** Places by entry and key; only a change of the members changes them. */
  const places = new Map<string, number>();

  function computePlace(entry: Entry, key: string): number {
    const name = `${entry.id} ${key}`;
    const members = () =>
      entries.filter((other) => other.half === entry.half && !other.isGone);
    const place = places.get(name) ??
      bundle.computeCandidateIndex(members(), { key, id: entry.id });
    places.set(name, place);
    return place;
  }

  function startLease(entry: Entry, number: number): lease.Lease {
    const key = `leases/${entry.half}/${number}`;
    return leaseNode.runLeaseNode({
      id: entry.id,
      key,
      simulation: time,
      store,
      random: source,
      node: entry.node,
      getCandidateIndex: () => computePlace(entry, key),
    });
  }

  for (const entry of entries) {
    for (let number = 0; number < bundlesPerHalf; number += 1) {
      entry.leases.push(startLease(entry, number));
    }
  }
  return { time, store, source, entries, places };
}

type Cluster = ReturnType<typeof createCluster>;

function findHolder(
  cluster: Cluster,
  half: string,
  number: number,
): Entry | undefined {
  return cluster.entries.find((entry) =>
    entry.half === half && !entry.node.isDead() &&
    entry.leases[number]?.getHeldFencingNumber() !== undefined
  );
}

function measureCalls(entryCount: number): string {
  const cluster = createCluster(entryCount);
  cluster.time.advance(warmUpMs);
  const before = cluster.store.countCalls();
  cluster.time.advance(measuredMs);
  const after = cluster.store.countCalls();
  const perSecond = (calls: number) => (calls * 1_000 / measuredMs).toFixed(1);
  const reads = perSecond(after.reads - before.reads);
  const writes = perSecond(after.writes - before.writes);
  return `${entryCount} entries: ${reads} reads/s, ${writes} writes/s`;
}

/** Kills the holder of one bundle after another; measures each takeover. */
function measureTakeovers(entryCount: number, rounds: number): string {
  const cluster = createCluster(entryCount);
  const { time, source } = cluster;
  const durations: number[] = [];
  time.advance(warmUpMs);
  for (let round = 0; round < rounds; round += 1) {
    const half = halves[round % halves.length] ?? halves[0];
    const number = Math.floor(source() * bundlesPerHalf);
    time.advance(2_000 * source());
    const holder = findHolder(cluster, half, number);
    if (holder === undefined) throw new Error("No holder to kill");
    holder.node.kill();
    const diedAtMs = time.now();
    time.schedule(() => {
      holder.isGone = true;
      cluster.places.clear();
    }, { delayMs: membershipDelayMs });
    while (findHolder(cluster, half, number) === undefined) time.advance(10);
    durations.push(time.now() - diedAtMs);
    time.advance(2 * membershipDelayMs);
  }
  durations.sort((left, right) => left - right);
  const pick = (share: number) =>
    durations[Math.min(rounds - 1, Math.floor(rounds * share))];
  return `${entryCount} entries, ${rounds} deaths: takeover after p50 ` +
    `${pick(0.5)} ms, p99 ${pick(0.99)} ms, max ${durations.at(-1)} ms`;
}

console.log(`${bundlesPerHalf} bundles for each of two halves, seed ${seed}`);
for (const entryCount of [21, 100, 430]) {
  console.log(measureCalls(entryCount));
}
console.log(measureTakeovers(430, 100));
