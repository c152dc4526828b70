import fc from "fast-check";
import * as mapRounds from "../testing/map_rounds.ts";
import * as mapSchedule from "./map_schedule.ts";
import * as roundLeader from "./round_leader.ts";
import * as roundRank from "./round_rank.ts";

const seed = 6_061;

const noBudgets: mapRounds.Budgets = {
  restarts: 0,
  agentRestarts: 0,
  proposals: [1],
  lostAnswers: 0,
  deadlines: 0,
  resends: 0,
  duplicates: 0,
};

const threeRanks: mapRounds.ModelOptions = {
  rankCount: 3,
  marginSteps: 1,
  stepLimit: 2,
  hasBarrier: true,
  budgets: noBudgets,
};

/** Unsafe: the rank switches at the step without waiting for the decision. */
const switchUndecided: typeof roundRank.advanceRank = (state, event) => {
  const result = roundRank.advanceRank(state, event);
  const hold = result.effects.find(({ kind }) => kind === "hold");
  if (hold?.kind !== "hold") return result;
  const { epoch, step } = hold;
  const schedule = {
    base: mapSchedule.getLatestMap(state.schedule!),
    next: { ...state.staged!, fromStep: step },
  };
  return {
    state: { ...result.state, phase: "prepared" },
    effects: [{ kind: "install", epoch, schedule }],
  };
};

/** Unsafe: a restarted rank obeys the epoch whose promise it has forgotten. */
const forgetPromise: typeof roundRank.advanceRank = (state, event) =>
  event.kind === "record_read"
    ? roundRank.advanceRank(state, { ...event, epoch: event.epoch - 1 })
    : roundRank.advanceRank(state, event);

/** Unsafe: the decision is spread before it is recorded. */
const spreadUnrecorded: typeof roundLeader.advanceLeader = (state, event) => {
  const result = roundLeader.advanceLeader(state, event);
  if (state.phase !== "preparing" || result.state.phase !== "recording") {
    return result;
  }
  const commits = state.reports.map((_report, rank) => ({
    kind: "send" as const,
    rank,
    message: { kind: "commit" as const, epoch: state.record!.epoch },
  }));
  return { ...result, effects: [...result.effects, ...commits] };
};

const setUpKinds = [
  "duplicate",
  "deliver",
  "finish_staging",
  "propose",
  "answer_read",
  "apply_write",
  "answer_write",
];

/** Goes on with the round; a copy of the settle order to rank 0 stays late. */
function isSetUp(action: mapRounds.Action): boolean {
  const isSettle = "packet" in action && action.packet.to === "rank" &&
    action.packet.rank === 0 && action.packet.message.kind === "settle";
  if (isSettle) return action.kind === "duplicate";
  return action.kind !== "duplicate" && setUpKinds.includes(action.kind);
}

/** Explores everything that may happen once the leader is in a phase. */
function exploreFrom(
  phase: roundLeader.LeaderPhase,
  options: mapRounds.ModelOptions,
): mapRounds.Exploration {
  const model = mapRounds.createRoundModel(options);
  const from = mapRounds.driveModel(model, {
    from: model.initial,
    isWanted: isSetUp,
    isReached: ({ leaders }) => leaders[0]!.phase === phase,
  });
  return mapRounds.exploreModel(model, { from, stateLimit: 400_000 });
}

/** Takes actions by `picks`; most often one that goes on with the round. */
function runPicks(
  model: mapRounds.RoundModel,
  picks: readonly number[],
): mapRounds.ModelState {
  let state = model.initial;
  for (const pick of picks) {
    const actions = model.listActions(state);
    if (actions.length === 0) return state;
    state = model.apply(state, actions[pick % actions.length]!);
    if (state.violation !== undefined) return state;
  }
  return state;
}

const faultyGroup = fc.record({
  rankCount: fc.integer({ min: 3, max: 8 }),
  marginSteps: fc.integer({ min: 0, max: 2 }),
  stepLimit: fc.constant(12),
  hasBarrier: fc.boolean(),
  startsCold: fc.boolean(),
  budgets: fc.record({
    restarts: fc.integer({ min: 0, max: 3 }),
    agentRestarts: fc.integer({ min: 0, max: 3 }),
    proposals: fc.constantFrom([2], [2, 2]),
    lostAnswers: fc.integer({ min: 0, max: 3 }),
    deadlines: fc.integer({ min: 0, max: 2 }),
    resends: fc.constant(40),
    duplicates: fc.integer({ min: 0, max: 20 }),
  }),
});

const picks = fc.infiniteStream(fc.nat());

interface RandomCheck {
  readonly violation: string | undefined;
  readonly switches: number;
  /** Also true when a state machine threw. */
  readonly failed: boolean;
}

function checkRandomly(
  variant: Partial<mapRounds.ModelOptions>,
  { runs, steps }: { readonly runs: number; readonly steps: number },
): RandomCheck {
  let switches = 0;
  let violation: string | undefined;
  const property = fc.property(faultyGroup, picks, (options, stream) => {
    const model = mapRounds.createRoundModel({ ...options, ...variant });
    const end = runPicks(model, [...stream.take(steps)]);
    switches += new Set(end.used).size - 1;
    violation ??= end.violation;
    return end.violation === undefined;
  });
  const { failed } = fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure: true,
  });
  return { violation, switches, failed };
}

describe("every interleaving of a round of three ranks", () => {
  test("uses one map in each step, without faults", () => {
    const model = mapRounds.createRoundModel(threeRanks);
    const from = model.initial;
    const found = mapRounds.exploreModel(model, { from, stateLimit: 400_000 });
    expect(found).toMatchObject({
      violation: undefined,
      isComplete: true,
      highestVersion: 1,
    });
  });

  test("uses one map in each step when a rank restarts before the decision", () => {
    const found = exploreFrom("recording", {
      ...threeRanks,
      marginSteps: 0,
      stepLimit: 1,
      budgets: { ...noBudgets, duplicates: 1, restarts: 1 },
    });
    expect(found).toMatchObject({
      violation: undefined,
      isComplete: true,
      highestVersion: 1,
    });
  });

  test("finds a switch before the decision", () => {
    const found = exploreFrom("preparing", {
      ...threeRanks,
      advanceRank: switchUndecided,
      budgets: { ...noBudgets, duplicates: 1, deadlines: 1 },
    });
    expect(found.violation).toMatch(/another rank used map/);
  });

  test("finds a decision that is not recorded", () => {
    const found = exploreFrom("recording", {
      ...threeRanks,
      advanceLeader: spreadUnrecorded,
      marginSteps: 0,
      stepLimit: 1,
      budgets: { ...noBudgets, duplicates: 1, lostAnswers: 1 },
    });
    expect(found.violation).toMatch(/another rank used map/);
  });

  test("finds a promise that a restarted rank has forgotten", () => {
    const found = exploreFrom("recording", {
      ...threeRanks,
      advanceRank: forgetPromise,
      marginSteps: 0,
      stepLimit: 1,
      budgets: { ...noBudgets, duplicates: 1, restarts: 1 },
    });
    expect(found.violation).toMatch(/another rank used map/);
  });
});

describe("random interleavings with all faults", () => {
  test("use one map in each step", () => {
    const found = checkRandomly({}, { runs: 400, steps: 600 });
    expect(found.violation).toBeUndefined();
    expect(found.failed).toBe(false);
    expect(found.switches).toBeGreaterThan(50);
  });

  test("find a switch before the decision", () => {
    const variant = { advanceRank: switchUndecided };
    const found = checkRandomly(variant, { runs: 400, steps: 600 });
    expect(found.violation).toMatch(/another rank used map/);
  });
});
