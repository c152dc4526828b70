import * as fc from "fast-check";
import * as fencing from "./fencing.ts";
import * as leaseRecord from "./lease_record.ts";
import * as random from "./random.ts";
import * as leaseNode from "./testing/lease_node.ts";
import * as simulation from "./testing/simulation.ts";

const key = "leases/association/0";
const epoch = 3;
const settleMs = 20_000;
/** Longer than an order can wait for its turn, its floor and its answer. */
const patienceMs = 5 * settleMs;

type Gate = fencing.Gate<string, number>;
type GateFactory = (checksFencing: boolean) => Gate;

const createRealGate: GateFactory = (checksFencing) =>
  fencing.createGate({ checksFencing, settleMs });

/** Passes all orders on at once, without a floor. */
const createGateWithoutFloor: GateFactory = () => ({
  handle: (event) =>
    event.kind === "order" ? [{ kind: "execute", order: event.order }] : [],
});

/** Learns the floor, but does not wait for its predecessor's order. */
const createHastyGate: GateFactory = (checksFencing) =>
  fencing.createGate({ checksFencing, settleMs: 0 });

/** An engine that takes orders into force after a delay. */
function createEngine(time: simulation.Simulation, checksFencing: boolean) {
  const inForce: fencing.OrderTerm[] = [];
  let highest = 0;
  return {
    inForce,
    execute(
      { term }: fencing.FencedOrder<string>,
      delayMs: number,
      onAnswer: (outcome: fencing.ExecutionOutcome) => void,
    ): void {
      const number = fencing.computeEngineFencingNumber(term);
      time.schedule(() => {
        if (checksFencing && number < highest) {
          return onAnswer({ kind: "refused", message: "fenced" });
        }
        highest = Math.max(highest, number);
        inForce.push(term);
        onAnswer({ kind: "done" });
      }, { delayMs });
    },
  };
}

interface WorldOptions {
  readonly checksFencing: boolean;
  readonly createGate: GateFactory;
  readonly seed?: number;
}

/** Three holders in turn, one agent and its engine. */
function createWorld({ checksFencing, createGate, seed = 1 }: WorldOptions) {
  const time = simulation.createSimulation();
  const store = simulation.createSimulatedStore(time, 20);
  const engine = createEngine(time, checksFencing);
  const source = random.createRandomSource(seed);
  const nodes = Array.from({ length: 3 }, simulation.createNode);
  const leases = nodes.map((node, index) =>
    leaseNode.runLeaseNode({
      id: `entry-${index}`,
      key,
      simulation: time,
      store,
      random: source,
      getPlace: () => index,
      node,
    })
  );
  const answers = new Map<string, fencing.OrderAnswer<number>>();
  let agent = simulation.createNode();
  let gate = createGate(checksFencing);
  const drawEngineDelayMs = () =>
    source() < 0.5 ? 10 : (settleMs - 1) * source();
  let isAnswerLost = false;
  let sequence = 0;

  function readFloor(feed: (floor?: fencing.Floor) => void): void {
    store.read(key, (outcome) => {
      const found = outcome.kind === "found" ? outcome.object : undefined;
      const record = leaseRecord.parseLeaseRecord(found?.value);
      if (found === undefined || record === undefined) return feed();
      const version = found.version;
      const number = leaseRecord.getFencingNumber(record, version);
      feed({ epoch, fencingNumber: number });
    });
  }

  function feed(event: fencing.GateEvent<string, number>): void {
    const present = agent;
    const later = (next: fencing.GateEvent<string, number>) =>
      present.run(() => feed(next));
    for (const effect of gate.handle(event)) {
      switch (effect.kind) {
        case "answer":
          answers.set(effect.id, effect.answer);
          break;
        case "wait":
          time.schedule(() => later({ kind: "settled" }), effect);
          break;
        case "read_floor":
          readFloor((floor) => later({ kind: "floor", floor }));
          break;
        case "read_state":
          later({ kind: "state", state: engine.inForce.length });
          break;
        case "execute": {
          const outcome = isAnswerLost
            ? { kind: "unknown", message: "lost" } as const
            : undefined;
          isAnswerLost = false;
          engine.execute(effect.order, drawEngineDelayMs(), (answer) => {
            if (outcome === undefined) {
              later({ kind: "executed", outcome: answer });
            }
          });
          if (outcome !== undefined) later({ kind: "executed", outcome });
          break;
        }
      }
    }
  }

  /** Sends an order if the node believes that it holds the lease. */
  function order(index: number, delayMs: number): string | undefined {
    const fencingNumber = leases[index]?.getHeldFencingNumber();
    if (fencingNumber === undefined) return undefined;
    sequence += 1;
    const id = `order-${sequence}`;
    const sent = { id, term: { epoch, fencingNumber, sequence }, order: id };
    time.schedule(() => agent.run(() => feed({ kind: "order", order: sent })), {
      delayMs,
    });
    return id;
  }

  return {
    time,
    store,
    nodes,
    answers,
    engine,
    order,
    listHolders: () =>
      leases.flatMap((machine, index) =>
        machine.getHeldFencingNumber() === undefined ? [] : [index]
      ),
    resumeAll() {
      for (const node of nodes) node.resume();
    },
    restartAgent() {
      agent.kill();
      agent = simulation.createNode();
      gate = createGate(checksFencing);
    },
    loseEngineAnswer() {
      isAnswerLost = true;
    },
    keepEngineAnswers() {
      isAnswerLost = false;
    },
  };
}

type World = ReturnType<typeof createWorld>;

const ms = fc.integer({ min: 1, max: 9_000 });
const step = fc.oneof(
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("advance"), ms }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("pause_holder") }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("resume_all") }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("late_order"), ms }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant("order") }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("restart_agent") }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("lose_engine_answer") }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("lose_store_answer") }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("late_write"), ms }) },
);
const runs = fc.array(step, { minLength: 5, maxLength: 40 });

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

function runStep(world: World, taken: Step): void {
  const durationMs = "ms" in taken ? taken.ms : 0;
  const [holder = -1] = world.listHolders();
  switch (taken.kind) {
    case "advance":
      return world.time.advance(durationMs);
    case "pause_holder":
      return world.nodes[holder]?.pause();
    case "resume_all":
      return world.resumeAll();
    case "order":
      world.order(holder, 1);
      return world.time.advance(50);
    case "late_order":
      return void world.order(holder, durationMs);
    case "restart_agent":
      return world.restartAgent();
    case "lose_engine_answer":
      return world.loseEngineAnswer();
    case "lose_store_answer":
      return world.store.addFaults({ kind: "answer_lost" });
    case "late_write":
      return world.store.addFaults({ kind: "late", delayMs: durationMs });
  }
}

/** Whether no order came into force after one of a later holder. */
function isOrdered(terms: readonly fencing.OrderTerm[]): boolean {
  return terms.every((term, position) =>
    position === 0 ||
    term.fencingNumber >= terms[position - 1]!.fencingNumber
  );
}

/** Runs the steps, then lets everything that is on its way arrive. */
function runSteps(
  options: Omit<WorldOptions, "seed">,
  steps: readonly Step[],
  seed: number,
): World {
  const world = createWorld({ ...options, seed });
  world.time.advance(2_000);
  for (const taken of steps) runStep(world, taken);
  world.resumeAll();
  world.time.advance(3 * settleMs);
  return world;
}

/** Runs the property; resolves to whether some run broke the order. */
function hasCounterexample(options: Omit<WorldOptions, "seed">): boolean {
  const property = fc.property(
    runs,
    fc.nat(),
    (steps, seed) => isOrdered(runSteps(options, steps, seed).engine.inForce),
  );
  return fc.check(property, { seed: 11, numRuns: 400 }).failed;
}

describe.each([true, false])(
  "an engine that checks numbers: %s",
  (checksFencing) => {
    const parameters = { seed: 11, numRuns: 150 };

    test("orders of different holders come into force in their order", () => {
      const property = fc.property(runs, fc.nat(), (steps, seed) => {
        const options = { checksFencing, createGate: createRealGate };
        const world = runSteps(options, steps, seed);
        expect(isOrdered(world.engine.inForce)).toBe(true);
        // The gate must not be safe by refusing everybody.
        world.keepEngineAnswers();
        const id = world.order(world.listHolders()[0] ?? -1, 1);
        world.time.advance(patienceMs);
        expect(world.answers.get(id ?? "")).toMatchObject({ kind: "done" });
      });
      fc.assert(property, parameters);
    });

    test("a late order of a dead holder is refused after an agent's restart", () => {
      const world = createWorld({ checksFencing, createGate: createRealGate });
      world.time.advance(5_000);
      const late = world.order(0, 3 * settleMs);
      world.nodes[0]?.kill();
      world.time.advance(3 * settleMs - 1_000);
      expect(world.order(1, 1)).toBeDefined();
      world.time.advance(500);
      world.restartAgent();
      world.time.advance(patienceMs);
      expect(world.answers.get(late ?? "")).toMatchObject({ kind: "fenced" });
      expect(world.engine.inForce).toHaveLength(checksFencing ? 1 : 0);
    });

    test("no order runs while the floor cannot be learnt", () => {
      const world = createWorld({ checksFencing, createGate: createRealGate });
      world.time.advance(5_000);
      const refused = world.order(0, 1);
      world.store.setDown(true);
      world.time.advance(patienceMs);
      expect(world.answers.get(refused ?? "")).toMatchObject({
        kind: "not_ready",
      });
      expect(world.engine.inForce).toEqual([]);
      world.store.setDown(false);
      world.time.advance(patienceMs);
      const accepted = world.order(world.listHolders()[0] ?? -1, 1);
      world.time.advance(patienceMs);
      expect(world.answers.get(accepted ?? "")).toEqual({ kind: "done" });
    });

    test("an order whose answer is lost is answered with what is in force", () => {
      const world = createWorld({ checksFencing, createGate: createRealGate });
      world.time.advance(5_000);
      world.loseEngineAnswer();
      const id = world.order(0, 1);
      world.time.advance(4 * settleMs);
      expect(world.answers.get(id ?? "")).toMatchObject({ kind: "unknown" });
    });
  },
);

test.each([
  ["has no floor", createGateWithoutFloor],
  ["does not wait after a restart", createHastyGate],
])("the order breaks for a gate that %s", (_name, createGate) => {
  expect(hasCounterexample({ checksFencing: false, createGate })).toBe(true);
});

test("an engine number weighs the epoch more than the fencing number", () => {
  const older = fencing.computeEngineFencingNumber({
    epoch: 2,
    fencingNumber: 900,
  });
  const newer = fencing.computeEngineFencingNumber({
    epoch: 3,
    fencingNumber: 4,
  });
  expect(newer).toBeGreaterThan(older);
  expect(() =>
    fencing.computeEngineFencingNumber({ epoch: 2 ** 20, fencingNumber: 4 })
  ).toThrow("exceeds the range");
});

test("orders of an epoch that is over are refused, whatever their number", () => {
  const gate = fencing.createGate<string, number>({ checksFencing: true });
  const send = (sequence: number, term: fencing.Floor) =>
    gate.handle({
      kind: "order",
      order: {
        id: `order-${sequence}`,
        term: { ...term, sequence },
        order: "",
      },
    });
  expect(send(1, { epoch: 2, fencingNumber: 50 })).toEqual([
    { kind: "read_floor" },
  ]);
  // The agent learns of the next epoch while the floor is being read.
  gate.handle({ kind: "epoch", epoch: 3 });
  gate.handle({ kind: "floor", floor: { epoch: 2, fencingNumber: 50 } });
  expect(gate.handle({ kind: "state", state: 0 })).toMatchObject([
    { kind: "answer", id: "order-1", answer: { kind: "fenced" } },
  ]);
  const [effect] = send(2, { epoch: 3, fencingNumber: 4 });
  expect(effect).toMatchObject({ kind: "execute" });
});
