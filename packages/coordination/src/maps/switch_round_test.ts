import * as groupSimulation from "../testing/group_simulation.ts";

const noFaults: groupSimulation.GroupFaults = {
  lateOrder: 0,
  lostReply: 0,
  lostOutcome: 0,
  leaderFreeze: 0,
  leaderRestart: 0,
  newEpoch: 0,
  machineStall: 0,
};
const frequentFaults: groupSimulation.GroupFaults = {
  lateOrder: 0.2,
  lostReply: 0.1,
  lostOutcome: 0.03,
  leaderFreeze: 0.01,
  leaderRestart: 0.002,
  newEpoch: 0.0005,
  machineStall: 0.002,
};

interface RunTotals {
  readonly violations: readonly string[];
  readonly switches: number;
  readonly passes: number;
}

/** Group with alternating busy and idle periods and many lost answers. */
const idlePeriods = {
  rankCount: 3,
  leaderCount: 2,
  steps: 1_500,
  passShare: 0.3,
  lateOrderShare: 0.005,
  idlePeriodSteps: 150,
  faults: {
    lateOrder: 0.5,
    lostReply: 0.1,
    lostOutcome: 0.05,
    leaderFreeze: 0.02,
    leaderRestart: 0,
    newEpoch: 0,
    machineStall: 0,
  },
};
/** Seeds under which a leader that holds a pass twice causes a violation. */
const idleSeeds = { firstSeed: 21_000, count: 100 };

function runSeeds(
  count: number,
  options: Omit<groupSimulation.GroupSimulationOptions, "seed">,
  firstSeed = 1,
): RunTotals {
  const violations: string[] = [];
  let switches = 0;
  let passes = 0;
  for (let seed = firstSeed; seed < firstSeed + count; seed += 1) {
    const run = groupSimulation.runGroupSimulation({ ...options, seed });
    if (run.violation !== undefined) {
      violations.push(`seed ${seed}: ${run.violation}`);
    }
    switches += run.switches;
    passes += run.passes;
  }
  return { violations, switches, passes };
}

test("one leader switches the map repeatedly without faults", () => {
  const totals = runSeeds(20, {
    rankCount: 4,
    leaderCount: 1,
    steps: 3_000,
    faults: noFaults,
  });
  expect(totals.violations).toEqual([]);
  expect(totals.switches).toBeGreaterThan(20 * 5);
});

// Guards against a leader that disarms ranks because of a rank state that was
// read before the rank prepared the version (three ranks and leaders, seed
// 2764).
test.each([
  { rankCount: 3, leaderCount: 1, runs: 1_000, steps: 1_500 },
  { rankCount: 3, leaderCount: 2, runs: 2_000, steps: 1_500 },
  { rankCount: 3, leaderCount: 3, runs: 3_000, steps: 1_500 },
  { rankCount: 3, leaderCount: 2, runs: 1_000, steps: 1_500, passShare: 0.005 },
  {
    rankCount: 3,
    leaderCount: 2,
    runs: 1_000,
    steps: 1_500,
    passShare: 0.005,
    lateOrderShare: 0.005,
  },
  { rankCount: 16, leaderCount: 2, runs: 60, steps: 6_000 },
  {
    rankCount: 72,
    leaderCount: 2,
    runs: 4,
    steps: 80_000,
    passShare: 0.005,
    // A switch of 72 ranks takes more steps than lie between two machine stalls
    // at the rate of `frequentFaults`.
    faults: { ...frequentFaults, machineStall: 0.000_1 },
  },
])(
  "all ranks use one map under faults: $rankCount ranks, $leaderCount leaders",
  ({ runs, ...options }) => {
    const totals = runSeeds(runs, { faults: frequentFaults, ...options });
    expect(totals.violations).toEqual([]);
    expect(totals.switches).toBeGreaterThan(0);
    expect(totals.passes).toBeGreaterThan(runs);
  },
);

test("idle periods cause no violation unless a leader holds a pass twice", () => {
  const { firstSeed, count } = idleSeeds;
  expect(runSeeds(count, idlePeriods, firstSeed).violations).toEqual([]);
  const variant = { forgetsHolds: true };
  const totals = runSeeds(count, { ...idlePeriods, variant }, firstSeed);
  expect(totals.violations.length).toBeGreaterThan(0);
});

const unsafeVariants: readonly {
  readonly name: string;
  readonly variant: groupSimulation.ProtocolVariant;
}[] = [
  {
    name: "continues before all ranks are armed",
    variant: {
      replaceOutcome: (order, outcome) =>
        order.kind === "arm" && outcome.kind === "unsettled"
          ? {
            kind: "done",
            sendings: 1,
            state: {
              rank: 0,
              epoch: 1,
              isOpen: true,
              step: 0,
              sequence: 0,
              mapVersion: 0,
              preparedVersion: undefined,
              armed: undefined,
              heldStep: undefined,
            },
          }
          : outcome,
    },
  },
  {
    name: "does not hold the pass",
    variant: { isSent: (order) => order.kind !== "hold" },
  },
  {
    name: "does not replace a version that a rank has lost",
    variant: {
      isSent: (order) =>
        order.kind !== "prepare" ||
        JSON.stringify(order.layers) !== "[[[0]]]",
    },
  },
  {
    name: "attributes a version to a rank other than its creator",
    variant: { getLeaderRank: (version) => (version + 1) % 3 },
  },
  {
    name: "lets two leaders use one version for two maps",
    variant: { createVersion: (known) => known + 1 },
  },
];

test.each(unsafeVariants)("the check detects a leader that $name", (unsafe) => {
  const totals = runSeeds(1_500, {
    rankCount: 3,
    leaderCount: 2,
    steps: 1_500,
    faults: frequentFaults,
    variant: unsafe.variant,
  });
  expect(totals.violations.length).toBeGreaterThan(0);
});
