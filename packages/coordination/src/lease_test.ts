import * as fc from "fast-check";
import * as bundle from "./bundle.ts";
import type * as lease from "./lease.ts";
import * as random from "./random.ts";
import * as leaseNode from "./testing/lease_node.ts";
import * as simulation from "./testing/simulation.ts";

const key = "leases/association/0";
const durationMs = 4_000;

function createWorld(
  nodeCount: number,
  { seed = 1, latencyMs = 2 }: { seed?: number; latencyMs?: number } = {},
) {
  const time = simulation.createSimulation();
  const store = simulation.createSimulatedStore(time, latencyMs);
  const source = random.createRandomSource(seed);
  const started: { readonly index: number; readonly fencingNumber: number }[] =
    [];
  const nodes = Array.from({ length: nodeCount }, simulation.createNode);
  const leases: lease.Lease[] = nodes.map((node, index) =>
    leaseNode.runLeaseNode({
      id: `entry-${index}`,
      key,
      simulation: time,
      store,
      random: source,
      getPlace: () => index,
      node,
      onStarted: (fencingNumber) => started.push({ index, fencingNumber }),
    })
  );
  const listHolders = () =>
    leases.flatMap((machine, index) =>
      machine.getHeldFencingNumber() === undefined || nodes[index]?.isDead()
        ? []
        : [index]
    );
  return { time, store, nodes, leases, started, listHolders };
}

test("the first candidate acquires the lease and keeps it by renewals", () => {
  const { time, listHolders, started } = createWorld(3);
  time.advance(60_000);
  expect(listHolders()).toEqual([0]);
  expect(started).toHaveLength(1);
});

test("a dead holder is followed after the duration, with a higher number", () => {
  const { time, nodes, started, listHolders } = createWorld(3);
  time.advance(10_000);
  nodes[0]?.kill();
  time.advance(2_500);
  expect(listHolders()).toEqual([]);
  time.advance(durationMs);
  expect(listHolders()).toEqual([1]);
  const [first, second] = started;
  expect(second!.fencingNumber).toBeGreaterThan(first!.fencingNumber);
});

test("a takeover comes about even if the first two candidates are dead", () => {
  const { time, nodes, listHolders } = createWorld(4);
  time.advance(10_000);
  nodes[0]?.kill();
  nodes[1]?.kill();
  time.advance(4 * durationMs);
  expect(listHolders()).toEqual([2]);
});

test("a released lease is taken over without waiting for its expiry", () => {
  const { time, leases, listHolders } = createWorld(2);
  time.advance(10_000);
  leases[0]?.handle({ kind: "stop" });
  expect(listHolders()).toEqual([]);
  time.advance(2_000);
  expect(listHolders()).toEqual([1]);
});

test("a holder whose answers are lost keeps its lease and its number", () => {
  const { time, store, started, listHolders } = createWorld(2);
  time.advance(10_000);
  for (let round = 0; round < 10; round += 1) {
    store.addFaults({ kind: "answer_lost" });
    time.advance(1_700);
    expect(listHolders()).toEqual([0]);
  }
  expect(started).toHaveLength(1);
});

test("a holder cut off from the store stops before another may start", () => {
  const { time, store, listHolders, started } = createWorld(2);
  time.advance(10_000);
  store.setDown(true);
  time.advance(durationMs);
  expect(listHolders()).toEqual([]);
  store.setDown(false);
  time.advance(2 * durationMs);
  expect(listHolders()).toHaveLength(1);
  expect(started[1]!.fencingNumber).toBeGreaterThan(started[0]!.fencingNumber);
});

test("an answer that reaches a paused holder late does not prolong its lease", () => {
  const { time, nodes, listHolders } = createWorld(2, { latencyMs: 150 });
  time.advance(10_000);
  // Steps until a renewal is on its way, which the pause then overtakes.
  for (let step = 0; step < 20; step += 1) {
    nodes[0]?.pause();
    time.advance(2 * durationMs);
    nodes[0]?.resume();
    expect(listHolders()).toEqual([1]);
    nodes[1]?.pause();
    time.advance(2 * durationMs);
    nodes[1]?.resume();
    expect(listHolders()).toEqual([0]);
    time.advance(70 * step);
  }
});

test("the reads of all candidates are bounded whatever their number", () => {
  const { time, store } = createWorld(100);
  time.advance(10_000);
  const before = store.countCalls();
  time.advance(100_000);
  const after = store.countCalls();
  // Three reads per poll interval of one second.
  expect(after.reads - before.reads).toBeLessThanOrEqual(300);
  // One renewal per three quarters of 1200 ms at most.
  expect(after.writes - before.writes).toBeLessThanOrEqual(100_000 / 900);
});

const action = fc.oneof(
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

test("never two holders by the clock, and each start has a higher number", () => {
  fc.assert(
    fc.property(
      fc.array(action, { maxLength: 60 }),
      fc.nat(),
      (steps, seed) => {
        const world = createWorld(3, { seed, latencyMs: 150 });
        world.time.advance(2_000);
        for (const step of steps) {
          if (step.kind === "pause") world.nodes[step.index]?.pause();
          if (step.kind === "resume") world.nodes[step.index]?.resume();
          if (step.kind === "lose") {
            world.store.addFaults({
              kind: "answer_lost",
            });
          }
          if (step.kind === "down") world.store.addFaults({ kind: "down" });
          if (step.kind === "late") {
            world.store.addFaults({ kind: "late", delayMs: step.ms });
          }
          const ms = step.kind === "advance" ? step.ms : 1;
          for (let passed = 0; passed < ms; passed += 50) {
            world.time.advance(Math.min(50, ms - passed));
            expect(world.listHolders().length).toBeLessThanOrEqual(1);
          }
        }
        const numbers = world.started.map((start) => start.fencingNumber);
        expect(numbers).toEqual([...new Set(numbers)].sort((a, b) => a - b));
        for (const node of world.nodes) node.resume();
        world.time.advance(60_000);
        expect(world.listHolders()).toHaveLength(1);
      },
    ),
    { seed: 5, numRuns: 300 },
  );
});

test("all nodes agree on the order of the candidates of a bundle", () => {
  const members = Array.from(
    { length: 21 },
    (_, index) => ({ id: `e${index}` }),
  );
  const places = members.map(({ id }) =>
    bundle.computeCandidateIndex(members, { key, id })
  );
  expect([...places].sort((a, b) => a - b)).toEqual([...members.keys()]);
  const absent = bundle.computeCandidateIndex(members.slice(1), {
    key,
    id: "e0",
  });
  expect(absent).toBe(places[0]);
  expect(bundle.selectBundle("drafting-1", 8)).toBeLessThan(8);
});
