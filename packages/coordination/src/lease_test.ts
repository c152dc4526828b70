import * as fc from "fast-check";
import * as bundle from "./bundle.ts";
import type * as lease from "./lease.ts";
import * as random from "./random.ts";
import * as leaseNode from "./testing/lease_node.ts";
import * as simulation from "./testing/simulation.ts";

const key = "leases/association/0";
const durationMs = 4_000;

function createHarness(
  nodeCount: number,
  { seed = 1, latencyMs = 2 }: { seed?: number; latencyMs?: number } = {},
) {
  const clock = simulation.createSimulation();
  const store = simulation.createSimulatedStore(clock, latencyMs);
  const randomSource = random.createRandomSource(seed);
  const started: { readonly index: number; readonly fencingNumber: number }[] =
    [];
  const nodes = Array.from({ length: nodeCount }, simulation.createNode);
  const leases: lease.Lease[] = nodes.map((node, index) =>
    leaseNode.runLeaseNode({
      id: `entry-${index}`,
      key,
      simulation: clock,
      store,
      random: randomSource,
      getCandidateIndex: () => index,
      node,
      onStartedHolding: (fencingNumber) =>
        started.push({ index, fencingNumber }),
    })
  );
  const listHolders = () =>
    leases.flatMap((machine, index) =>
      machine.getHeldFencingNumber() === undefined || nodes[index]?.isDead()
        ? []
        : [index]
    );
  return { clock, store, nodes, leases, started, listHolders };
}

test("the first candidate acquires the lease and keeps it by renewing", () => {
  const { clock, listHolders, started } = createHarness(3);
  clock.advance(60_000);
  expect(listHolders()).toEqual([0]);
  expect(started).toHaveLength(1);
});

test("a dead holder's lease is taken over after its duration, with a higher fencing number", () => {
  const { clock, nodes, started, listHolders } = createHarness(3);
  clock.advance(10_000);
  nodes[0]?.kill();
  clock.advance(2_500);
  expect(listHolders()).toEqual([]);
  clock.advance(durationMs);
  expect(listHolders()).toEqual([1]);
  const [first, second] = started;
  expect(second!.fencingNumber).toBeGreaterThan(first!.fencingNumber);
});

test("the third candidate takes over when the first two are dead", () => {
  const { clock, nodes, listHolders } = createHarness(4);
  clock.advance(10_000);
  nodes[0]?.kill();
  nodes[1]?.kill();
  clock.advance(4 * durationMs);
  expect(listHolders()).toEqual([2]);
});

test("a released lease is taken over before its expiry", () => {
  const { clock, leases, listHolders } = createHarness(2);
  clock.advance(10_000);
  leases[0]?.handle({ kind: "stop" });
  expect(listHolders()).toEqual([]);
  clock.advance(2_000);
  expect(listHolders()).toEqual([1]);
});

test("a holder keeps its lease and fencing number when store answers are lost", () => {
  const { clock, store, started, listHolders } = createHarness(2);
  clock.advance(10_000);
  for (let round = 0; round < 10; round += 1) {
    store.addFaults({ kind: "answer_lost" });
    clock.advance(1_700);
    expect(listHolders()).toEqual([0]);
  }
  expect(started).toHaveLength(1);
});

test("a holder cut off from the store stops before another node acquires the lease", () => {
  const { clock, store, listHolders, started } = createHarness(2);
  clock.advance(10_000);
  store.setDown(true);
  clock.advance(durationMs);
  expect(listHolders()).toEqual([]);
  store.setDown(false);
  clock.advance(2 * durationMs);
  expect(listHolders()).toHaveLength(1);
  expect(started[1]!.fencingNumber).toBeGreaterThan(started[0]!.fencingNumber);
});

test("an answer that reaches a paused holder late does not extend its lease", () => {
  const { clock, nodes, listHolders } = createHarness(2, {
    latencyMs: 150,
  });
  clock.advance(10_000);
  // Shifts the start of the pause until it falls on a renewal in flight.
  for (let step = 0; step < 20; step += 1) {
    nodes[0]?.pause();
    clock.advance(2 * durationMs);
    nodes[0]?.resume();
    expect(listHolders()).toEqual([1]);
    nodes[1]?.pause();
    clock.advance(2 * durationMs);
    nodes[1]?.resume();
    expect(listHolders()).toEqual([0]);
    clock.advance(70 * step);
  }
});

test("the reads and writes of a lease are bounded whatever the number of candidates", () => {
  const { clock, store } = createHarness(100);
  clock.advance(10_000);
  const before = store.countCalls();
  clock.advance(100_000);
  const after = store.countCalls();
  // At most three reads per poll interval of one second.
  expect(after.reads - before.reads).toBeLessThanOrEqual(300);
  // At most one renewal per three quarters of the 1200 ms interval.
  expect(after.writes - before.writes).toBeLessThanOrEqual(100_000 / 900);
});

const stepArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant("advance"),
    ms: fc.integer({ max: 3_000, min: 1 }),
  }),
  fc.record({ kind: fc.constant("pause"), index: fc.nat(2) }),
  fc.record({ kind: fc.constant("resume"), index: fc.nat(2) }),
  fc.record({ kind: fc.constant("lose") }),
  fc.record({ kind: fc.constant("down") }),
  fc.record({
    kind: fc.constant("late"),
    ms: fc.integer({ max: 9_000, min: 1 }),
  }),
);

test("at most one node holds the lease, and each acquisition raises the fencing number", () => {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, { maxLength: 60 }),
      fc.nat(),
      (steps, seed) => {
        const harness = createHarness(3, { seed, latencyMs: 150 });
        harness.clock.advance(2_000);
        for (const step of steps) {
          if (step.kind === "pause") harness.nodes[step.index]?.pause();
          if (step.kind === "resume") harness.nodes[step.index]?.resume();
          if (step.kind === "lose") {
            harness.store.addFaults({
              kind: "answer_lost",
            });
          }
          if (step.kind === "down") harness.store.addFaults({ kind: "down" });
          if (step.kind === "late") {
            harness.store.addFaults({ kind: "late", delayMs: step.ms });
          }
          const ms = step.kind === "advance" ? step.ms : 1;
          for (let passed = 0; passed < ms; passed += 50) {
            harness.clock.advance(Math.min(50, ms - passed));
            expect(harness.listHolders().length).toBeLessThanOrEqual(1);
          }
        }
        const numbers = harness.started.map((start) => start.fencingNumber);
        expect(numbers).toEqual(
          [...new Set(numbers)].sort((a, b) => a - b),
        );
        for (const node of harness.nodes) node.resume();
        harness.clock.advance(60_000);
        expect(harness.listHolders()).toHaveLength(1);
      },
    ),
    { seed: 5, numRuns: 300 },
  );
});

test("all nodes compute the same candidate order for a bundle", () => {
  const members = Array.from(
    { length: 21 },
    (_, index) => ({ id: `e${index}` }),
  );
  const indexes = members.map(({ id }) =>
    bundle.computeCandidateIndex(members, { key, id })
  );
  expect([...indexes].sort((a, b) => a - b)).toEqual([
    ...members.keys(),
  ]);
  const absent = bundle.computeCandidateIndex(members.slice(1), {
    key,
    id: "e0",
  });
  expect(absent).toBe(indexes[0]);
  expect(bundle.selectBundle("drafting-1", 8)).toBeLessThan(8);
});
