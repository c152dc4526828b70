import * as fc from "fast-check";
import * as assignment from "./assignment.ts";
import * as handover from "./handover.ts";

const group = "drafting-1";

function buildRecord(): handover.AssignmentRecord {
  return handover.buildInitialRecord(group, {
    half: "association",
    changeId: "change-0",
  });
}

function planLeaving(): handover.AssignmentRecord {
  const plan = handover.planMove(buildRecord(), {
    to: "water_board",
    changeId: "change-1",
  });
  if (plan.kind !== "write") throw new Error("Expected a write");
  return plan.next;
}

function createMachine(rankCount = 2) {
  let nextId = 0;
  return handover.createHandover({
    rankCount,
    createId: () => `change-${100 + nextId++}`,
  });
}

test("a move passes through state leaving and raises the epoch at each step", () => {
  const leaving = planLeaving();
  expect(leaving).toMatchObject({
    half: "association",
    epoch: 2,
    state: "leaving",
    nextHalf: "water_board",
  });
  const machine = createMachine();
  const stored = { record: leaving, version: 7 };
  expect(machine.handle({ kind: "observed", stored })).toEqual([]);
  const first = { rank: 0, epoch: 2 };
  expect(machine.handle({ kind: "drained", report: first })).toEqual([]);
  expect(machine.getProgress()).toEqual({ kind: "pending", waitingFor: [1] });
  const second = { rank: 1, epoch: 2 };
  const [effect] = machine.handle({ kind: "drained", report: second });
  expect(effect).toMatchObject({
    kind: "write",
    ifVersion: 7,
    next: { half: "water_board", epoch: 3, state: "serving" },
  });
  const outcome = { kind: "accepted", version: 9 } as const;
  machine.handle({ kind: "settled", outcome });
  expect(machine.getProgress()).toEqual({ kind: "none" });
});

test("reports for another epoch are ignored", () => {
  const machine = createMachine(1);
  const stored = { record: planLeaving(), version: 7 };
  machine.handle({ kind: "observed", stored });
  for (const epoch of [1, 3]) {
    const report = { rank: 0, epoch };
    expect(machine.handle({ kind: "drained", report })).toEqual([]);
  }
});

test("reports for a cancelled move are ignored", () => {
  const machine = createMachine(2);
  const leaving = planLeaving();
  machine.handle({ kind: "observed", stored: { record: leaving, version: 7 } });
  machine.handle({ kind: "drained", report: { rank: 0, epoch: 2 } });
  const cancel = handover.planMove(leaving, {
    to: "association",
    changeId: "change-2",
  });
  expect(cancel).toMatchObject({
    kind: "write",
    next: { half: "association", epoch: 3, state: "serving" },
  });
  const record = (cancel as { next: handover.AssignmentRecord }).next;
  machine.handle({ kind: "observed", stored: { record, version: 8 } });
  const report = { rank: 1, epoch: 2 };
  expect(machine.handle({ kind: "drained", report })).toEqual([]);
});

test("a write with an unknown or unavailable outcome is repeated unchanged", () => {
  const machine = createMachine(1);
  const stored = { record: planLeaving(), version: 7 };
  machine.handle({ kind: "observed", stored });
  const report = { rank: 0, epoch: 2 };
  const sent = machine.handle({ kind: "drained", report });
  for (const kind of ["unknown", "unavailable"] as const) {
    const [timer] = machine.handle({ kind: "settled", outcome: { kind } });
    expect(timer).toMatchObject({ kind: "set_timer" });
    expect(machine.handle({ kind: "timer" })).toEqual(sent);
  }
});

test("a move to the current or pending half changes nothing", () => {
  const options = { changeId: "change-9" };
  const currentTarget = { ...options, to: "association" };
  expect(handover.planMove(buildRecord(), currentTarget)).toEqual({
    kind: "unchanged",
  });
  const pendingTarget = { ...options, to: "water_board" };
  expect(handover.planMove(planLeaving(), pendingTarget)).toEqual({
    kind: "unchanged",
  });
  const otherTarget = { ...options, to: "third" };
  expect(handover.planMove(planLeaving(), otherTarget).kind).toBe("conflict");
});

interface Rank {
  assignment: assignment.Assignment | undefined;
  /** Epochs under which attempts run. */
  running: number[];
}

const stepArbitrary = fc.oneof(
  fc.record({ kind: fc.constant("propagate"), rank: fc.nat(1) }),
  fc.record({ kind: fc.constant("send"), rank: fc.nat(1), lag: fc.nat(3) }),
  fc.record({ kind: fc.constant("finish"), rank: fc.nat(1) }),
  fc.record({ kind: fc.constant("report"), rank: fc.nat(1) }),
  fc.record({ kind: fc.constant("move") }),
  fc.record({ kind: fc.constant("cancel") }),
  fc.record({ kind: fc.constant("replace_node") }),
);

/**
 * Runs the steps on a model of two ranks, an operator of each half and a node
 * in charge that may be replaced. Entries send work under the record that is
 * `lag` changes old. Returns the violated invariant, or undefined.
 */
function runModel(
  steps: readonly { kind: string; rank?: number; lag?: number }[],
  mayReport: (rank: Rank) => boolean,
): string | undefined {
  const history = [buildRecord()];
  const ranks: Rank[] = [0, 1].map(() => ({
    assignment: undefined,
    running: [],
  }));
  let machine = createMachine(2);
  const getCurrent = () => history[history.length - 1]!;
  const observe = () =>
    feed({
      kind: "observed",
      stored: { record: getCurrent(), version: history.length },
    });

  function write(next: handover.AssignmentRecord): void {
    history.push(next);
    observe();
  }

  function feed(event: handover.HandoverEvent): void {
    for (const effect of machine.handle(event)) {
      if (effect.kind !== "write") continue;
      if (effect.ifVersion === history.length) write(effect.next);
    }
  }

  function requestMove(to: string): void {
    const changeId = `change-${history.length}`;
    const plan = handover.planMove(getCurrent(), { to, changeId });
    if (plan.kind === "write") write(plan.next);
  }

  observe();
  for (const { kind, rank: index = 0, lag = 0 } of steps) {
    const rank = ranks[index]!;
    if (kind === "propagate") {
      rank.assignment = assignment.mergeAssignments(
        rank.assignment,
        getCurrent(),
      );
    }
    if (kind === "send") {
      const view = history[Math.max(0, history.length - 1 - lag)]!;
      const admission = assignment.checkAdmission(rank.assignment, view);
      if (admission.kind === "admitted") rank.running.push(view.epoch);
      if (admission.kind === "admitted" && view.state === "leaving") {
        return "admitted while leaving";
      }
    }
    if (kind === "finish") rank.running.shift();
    if (kind === "report" && rank.assignment?.state === "leaving") {
      const report = { rank: index, epoch: rank.assignment.epoch };
      if (mayReport(rank)) feed({ kind: "drained", report });
    }
    if (kind === "move") {
      const { half } = getCurrent();
      requestMove(half === "association" ? "water_board" : "association");
    }
    if (kind === "cancel") requestMove(getCurrent().half);
    if (kind === "replace_node") {
      machine = createMachine(2);
      observe();
    }
    const halves = ranks.flatMap((item) =>
      item.running.map((epoch) => history[epoch - 1]!.half)
    );
    if (new Set(halves).size > 1) return "work of two halves at once";
  }
  return undefined;
}

const parameters = { seed: 17, numRuns: 3_000 };
const stepLists = fc.array(stepArbitrary, { minLength: 10, maxLength: 120 });

test("a group never runs work of two halves at a time", () => {
  const isDrained = (rank: Rank) => rank.running.length === 0;
  const property = fc.property(stepLists, (steps) => {
    expect(runModel(steps, isDrained)).toBeUndefined();
  });
  fc.assert(property, parameters);
});

test("the model check fails if ranks report before they are drained", () => {
  const property = fc.property(
    stepLists,
    (steps) => runModel(steps, () => true) === undefined,
  );
  expect(fc.check(property, parameters).failed).toBe(true);
});
