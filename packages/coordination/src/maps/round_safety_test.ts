import fc from "fast-check";
import * as roundModel from "../testing/round_model.ts";
import * as mapSchedule from "./map_schedule.ts";
import * as roundLeader from "./round_leader.ts";
import * as roundRank from "./round_rank.ts";

const seed = 6_061;

const noFaults: roundModel.ActionBudgets = {
  restarts: 0,
  agentRestarts: 0,
  proposals: [1],
  lostAnswers: 0,
  deadlines: 0,
  resends: 0,
  duplicates: 0,
};

const threeRanks: roundModel.ModelOptions = {
  rankCount: 3,
  marginSteps: 1,
  stepLimit: 2,
  hasBarrier: true,
  budgets: noFaults,
};

/** Unsafe variant: the rank switches without waiting for the decision. */
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

/**
 * Unsafe variant: a restarted rank accepts the epoch of a forgotten promise.
 */
const forgetPromise: typeof roundRank.advanceRank = (state, event) =>
  event.kind === "record_read"
    ? roundRank.advanceRank(state, { ...event, epoch: event.epoch - 1 })
    : roundRank.advanceRank(state, event);

/** Unsafe variant: commits are sent before the decision is recorded. */
const sendUnrecordedCommits: typeof roundLeader.advanceLeader = (
  state,
  event,
) => {
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

const setupKinds = [
  "duplicate",
  "deliver",
  "finish_staging",
  "propose",
  "answer_read",
  "apply_write",
  "answer_write",
];

/**
 * Whether an action belongs to the setup, which advances the round and leaves a
 * copy of the settle message to rank 0 in flight.
 */
function isSetupAction(action: roundModel.Action): boolean {
  const isSettle = "packet" in action && action.packet.to === "rank" &&
    action.packet.rank === 0 && action.packet.message.kind === "settle";
  if (isSettle) return action.kind === "duplicate";
  return action.kind !== "duplicate" && setupKinds.includes(action.kind);
}

/** Explores all interleavings after the leader has entered a phase. */
function exploreFrom(
  phase: roundLeader.LeaderPhase,
  options: roundModel.ModelOptions,
): roundModel.Exploration {
  const model = roundModel.createRoundModel(options);
  const from = roundModel.driveModel(model, {
    from: model.initial,
    isAllowed: isSetupAction,
    isReached: ({ leaders }) => leaders[0]!.phase === phase,
  });
  return roundModel.exploreModel(model, { from, stateLimit: 400_000 });
}

/** Applies the actions that `picks` selects, until a violation occurs. */
function runPicks(
  model: roundModel.RoundModel,
  picks: readonly number[],
): roundModel.ModelState {
  let state = model.initial;
  for (const pick of picks) {
    const actions = model.listActions(state);
    if (actions.length === 0) return state;
    state = model.apply(state, actions[pick % actions.length]!);
    if (state.violation !== undefined) return state;
  }
  return state;
}

const faultyGroupOptions = fc.record({
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
  /** True after a violation, or if a state machine threw an error. */
  readonly failed: boolean;
}

function checkRandomly(
  variant: Partial<roundModel.ModelOptions>,
  { runs, steps }: { readonly runs: number; readonly steps: number },
): RandomCheck {
  let switches = 0;
  let violation: string | undefined;
  const property = fc.property(faultyGroupOptions, picks, (options, stream) => {
    const model = roundModel.createRoundModel({ ...options, ...variant });
    const endState = runPicks(model, [...stream.take(steps)]);
    switches += new Set(endState.usedVersions).size - 1;
    violation ??= endState.violation;
    return endState.violation === undefined;
  });
  const { failed } = fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure: true,
  });
  return { violation, switches, failed };
}

describe("all interleavings of a switch round of three ranks", () => {
  test("use one map in each step without faults", () => {
    const model = roundModel.createRoundModel(threeRanks);
    const from = model.initial;
    const result = roundModel.exploreModel(model, {
      from,
      stateLimit: 400_000,
    });
    expect(result).toMatchObject({
      violation: undefined,
      isComplete: true,
      highestVersion: 1,
    });
  });

  test("use one map in each step if a rank restarts before the decision", () => {
    const result = exploreFrom("recording", {
      ...threeRanks,
      marginSteps: 0,
      stepLimit: 1,
      budgets: { ...noFaults, duplicates: 1, restarts: 1 },
    });
    expect(result).toMatchObject({
      violation: undefined,
      isComplete: true,
      highestVersion: 1,
    });
  });

  test("expose a rank that switches before the decision", () => {
    const result = exploreFrom("preparing", {
      ...threeRanks,
      advanceRank: switchUndecided,
      budgets: { ...noFaults, duplicates: 1, deadlines: 1 },
    });
    expect(result.violation).toMatch(/another rank used map/);
  });

  test("expose a leader that sends commits before the decision is recorded", () => {
    const result = exploreFrom("recording", {
      ...threeRanks,
      advanceLeader: sendUnrecordedCommits,
      marginSteps: 0,
      stepLimit: 1,
      budgets: { ...noFaults, duplicates: 1, lostAnswers: 1 },
    });
    expect(result.violation).toMatch(/another rank used map/);
  });

  test("expose a restarted rank that breaks its earlier promise", () => {
    const result = exploreFrom("recording", {
      ...threeRanks,
      advanceRank: forgetPromise,
      marginSteps: 0,
      stepLimit: 1,
      budgets: { ...noFaults, duplicates: 1, restarts: 1 },
    });
    expect(result.violation).toMatch(/another rank used map/);
  });
});

describe("random interleavings with all faults", () => {
  test("use one map in each step", () => {
    const result = checkRandomly({}, { runs: 400, steps: 600 });
    expect(result.violation).toBeUndefined();
    expect(result.failed).toBe(false);
    expect(result.switches).toBeGreaterThan(50);
  });

  test("expose a rank that switches before the decision", () => {
    const variant = { advanceRank: switchUndecided };
    const result = checkRandomly(variant, { runs: 400, steps: 600 });
    expect(result.violation).toMatch(/another rank used map/);
  });
});
