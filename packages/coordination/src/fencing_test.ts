import * as fc from "fast-check";
import * as fencing from "./fencing.ts";
import * as leaseRecord from "./lease_record.ts";
import * as random from "./random.ts";
import * as leaseNode from "./testing/lease_node.ts";
import * as simulation from "./testing/simulation.ts";

const key = "leases/association/0";
const epoch = 3;
const settleMs = 20_000;
/** Longer than an order can wait in the queue, for its floor and its answer. */
const answerTimeoutMs = 5 * settleMs;

type Gate = fencing.Gate<string, number>;
type GateFactory = (checksFencing: boolean) => Gate;

const createRealGate: GateFactory = (checksFencing) =>
  fencing.createGate({ checksFencing, settleMs });

/** Forwards all orders immediately, without a floor. */
const createGateWithoutFloor: GateFactory = () => ({
  handle: (event) =>
    event.kind === "order" ? [{ kind: "execute", order: event.order }] : [],
});

/** Reads the floor, but does not wait for an order of its predecessor. */
const createGateWithoutWait: GateFactory = (checksFencing) =>
  fencing.createGate({ checksFencing, settleMs: 0 });

/** Creates an engine that puts orders in force after a delay. */
function createEngine(
  clock: simulation.Simulation,
  checksFencing: boolean,
) {
  const inForce: fencing.OrderTerm[] = [];
  let highestNumber = 0;
  return {
    inForce,
    execute(
      { term }: fencing.FencedOrder<string>,
      delayMs: number,
      onAnswer: (outcome: fencing.ExecutionOutcome) => void,
    ): void {
      const engineNumber = fencing.computeEngineFencingNumber(term);
      clock.schedule(() => {
        if (checksFencing && engineNumber < highestNumber) {
          return onAnswer({ kind: "refused", message: "fenced" });
        }
        highestNumber = Math.max(highestNumber, engineNumber);
        inForce.push(term);
        onAnswer({ kind: "done" });
      }, { delayMs });
    },
  };
}

interface HarnessOptions {
  readonly checksFencing: boolean;
  readonly createGate: GateFactory;
  readonly seed?: number;
}

/** Simulates three candidates for the lease, one agent and its engine. */
function createHarness(
  { checksFencing, createGate, seed = 1 }: HarnessOptions,
) {
  const clock = simulation.createSimulation();
  const store = simulation.createSimulatedStore(clock, 20);
  const engine = createEngine(clock, checksFencing);
  const randomSource = random.createRandomSource(seed);
  const nodes = Array.from({ length: 3 }, simulation.createNode);
  const leases = nodes.map((node, index) =>
    leaseNode.runLeaseNode({
      id: `entry-${index}`,
      key,
      simulation: clock,
      store,
      random: randomSource,
      getCandidateIndex: () => index,
      node,
    })
  );
  const answers = new Map<string, fencing.OrderAnswer<number>>();
  let agent = simulation.createNode();
  let gate = createGate(checksFencing);
  const pickEngineDelayMs = () =>
    randomSource() < 0.5 ? 10 : (settleMs - 1) * randomSource();
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
    const currentAgent = agent;
    const feedAgent = (next: fencing.GateEvent<string, number>) =>
      currentAgent.run(() => feed(next));
    for (const effect of gate.handle(event)) {
      switch (effect.kind) {
        case "answer":
          answers.set(effect.id, effect.answer);
          break;
        case "wait":
          clock.schedule(() => feedAgent({ kind: "settled" }), effect);
          break;
        case "read_floor":
          readFloor((floor) => feedAgent({ kind: "floor", floor }));
          break;
        case "read_state":
          feedAgent({ kind: "state", state: engine.inForce.length });
          break;
        case "execute": {
          const outcome = isAnswerLost
            ? { kind: "unknown", message: "lost" } as const
            : undefined;
          isAnswerLost = false;
          engine.execute(effect.order, pickEngineDelayMs(), (answer) => {
            if (outcome === undefined) {
              feedAgent({ kind: "executed", outcome: answer });
            }
          });
          if (outcome !== undefined) feedAgent({ kind: "executed", outcome });
          break;
        }
      }
    }
  }

  /** Sends an order if the node assumes that it holds the lease. */
  function sendOrder(index: number, delayMs: number): string | undefined {
    const fencingNumber = leases[index]?.getHeldFencingNumber();
    if (fencingNumber === undefined) return undefined;
    sequence += 1;
    const id = `order-${sequence}`;
    const sent = { id, term: { epoch, fencingNumber, sequence }, order: id };
    clock.schedule(
      () => agent.run(() => feed({ kind: "order", order: sent })),
      { delayMs },
    );
    return id;
  }

  return {
    clock,
    store,
    nodes,
    answers,
    engine,
    sendOrder,
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

type Harness = ReturnType<typeof createHarness>;

const ms = fc.integer({ min: 1, max: 9_000 });
const stepArbitrary = fc.oneof(
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
const stepLists = fc.array(stepArbitrary, { minLength: 5, maxLength: 40 });

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value
  : never;

function runStep(harness: Harness, step: Step): void {
  const durationMs = "ms" in step ? step.ms : 0;
  const [holder = -1] = harness.listHolders();
  switch (step.kind) {
    case "advance":
      return harness.clock.advance(durationMs);
    case "pause_holder":
      return harness.nodes[holder]?.pause();
    case "resume_all":
      return harness.resumeAll();
    case "order":
      harness.sendOrder(holder, 1);
      return harness.clock.advance(50);
    case "late_order":
      return void harness.sendOrder(holder, durationMs);
    case "restart_agent":
      return harness.restartAgent();
    case "lose_engine_answer":
      return harness.loseEngineAnswer();
    case "lose_store_answer":
      return harness.store.addFaults({ kind: "answer_lost" });
    case "late_write":
      return harness.store.addFaults({ kind: "late", delayMs: durationMs });
  }
}

/** Whether no order came into force after an order of a later holder. */
function isOrdered(terms: readonly fencing.OrderTerm[]): boolean {
  return terms.every((term, position) =>
    position === 0 ||
    term.fencingNumber >= terms[position - 1]!.fencingNumber
  );
}

/** Runs the steps, then advances until everything in flight has arrived. */
function runSteps(
  options: Omit<HarnessOptions, "seed">,
  steps: readonly Step[],
  seed: number,
): Harness {
  const harness = createHarness({ ...options, seed });
  harness.clock.advance(2_000);
  for (const step of steps) runStep(harness, step);
  harness.resumeAll();
  harness.clock.advance(3 * settleMs);
  return harness;
}

/** Runs the property; returns whether a run violated the order of holders. */
function hasCounterexample(options: Omit<HarnessOptions, "seed">): boolean {
  const property = fc.property(
    stepLists,
    fc.nat(),
    (steps, seed) => isOrdered(runSteps(options, steps, seed).engine.inForce),
  );
  return fc.check(property, { seed: 11, numRuns: 400 }).failed;
}

describe.each([true, false])(
  "engine that checks fencing numbers: %s",
  (checksFencing) => {
    const parameters = { seed: 11, numRuns: 150 };

    test("orders come into force in the order of their holders", () => {
      const property = fc.property(stepLists, fc.nat(), (steps, seed) => {
        const options = { checksFencing, createGate: createRealGate };
        const harness = runSteps(options, steps, seed);
        expect(isOrdered(harness.engine.inForce)).toBe(true);
        // The gate must not satisfy the property by refusing every order.
        harness.keepEngineAnswers();
        const id = harness.sendOrder(harness.listHolders()[0] ?? -1, 1);
        harness.clock.advance(answerTimeoutMs);
        expect(harness.answers.get(id ?? "")).toMatchObject({ kind: "done" });
      });
      fc.assert(property, parameters);
    });

    test("a late order of a dead holder is fenced after an agent restart", () => {
      const harness = createHarness({
        checksFencing,
        createGate: createRealGate,
      });
      harness.clock.advance(5_000);
      const late = harness.sendOrder(0, 3 * settleMs);
      harness.nodes[0]?.kill();
      harness.clock.advance(3 * settleMs - 1_000);
      expect(harness.sendOrder(1, 1)).toBeDefined();
      harness.clock.advance(500);
      harness.restartAgent();
      harness.clock.advance(answerTimeoutMs);
      expect(harness.answers.get(late ?? "")).toMatchObject({ kind: "fenced" });
      expect(harness.engine.inForce).toHaveLength(checksFencing ? 1 : 0);
    });

    test("no order runs while the floor cannot be read", () => {
      const harness = createHarness({
        checksFencing,
        createGate: createRealGate,
      });
      harness.clock.advance(5_000);
      const refused = harness.sendOrder(0, 1);
      harness.store.setDown(true);
      harness.clock.advance(answerTimeoutMs);
      expect(harness.answers.get(refused ?? "")).toMatchObject({
        kind: "not_ready",
      });
      expect(harness.engine.inForce).toEqual([]);
      harness.store.setDown(false);
      harness.clock.advance(answerTimeoutMs);
      const accepted = harness.sendOrder(harness.listHolders()[0] ?? -1, 1);
      harness.clock.advance(answerTimeoutMs);
      expect(harness.answers.get(accepted ?? "")).toEqual({ kind: "done" });
    });

    test("an order whose engine answer is lost has an unknown outcome", () => {
      const harness = createHarness({
        checksFencing,
        createGate: createRealGate,
      });
      harness.clock.advance(5_000);
      harness.loseEngineAnswer();
      const id = harness.sendOrder(0, 1);
      harness.clock.advance(4 * settleMs);
      expect(harness.answers.get(id ?? "")).toMatchObject({ kind: "unknown" });
    });
  },
);

test.each([
  ["has no floor", createGateWithoutFloor],
  ["does not wait after a restart", createGateWithoutWait],
])(
  "orders of an earlier holder can run last if the gate %s",
  (_name, createGate) => {
    expect(hasCounterexample({ checksFencing: false, createGate })).toBe(true);
  },
);

test("engine fencing numbers order by epoch, then by lease fencing number", () => {
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

test("orders of an earlier epoch are fenced whatever their fencing number", () => {
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
  // The next epoch reaches the agent while the floor is being read.
  gate.handle({ kind: "epoch", epoch: 3 });
  gate.handle({ kind: "floor", floor: { epoch: 2, fencingNumber: 50 } });
  expect(gate.handle({ kind: "state", state: 0 })).toMatchObject([
    { kind: "answer", id: "order-1", answer: { kind: "fenced" } },
  ]);
  const [effect] = send(2, { epoch: 3, fencingNumber: 4 });
  expect(effect).toMatchObject({ kind: "execute" });
});
