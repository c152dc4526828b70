import * as random from "../random.ts";
import * as roundModel from "../testing/round_model.ts";

const rankCount = 8;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

const budgets: roundModel.ActionBudgets = {
  restarts: 0,
  agentRestarts: 0,
  proposals: [20],
  lostAnswers: 0,
  deadlines: 0,
  resends: 1_000,
  duplicates: 0,
};

/** Actions that are applied in the iteration in which they are possible. */
const immediateKinds = ["finish_staging", "read_record", "answer_read"];
/** Actions on a write; applied in an iteration after the write was sent. */
const writeKinds = ["apply_write", "answer_write"];

interface DriveOptions {
  readonly model: roundModel.RoundModel;
  readonly stepCount: number;
  /** Share of messages that are lost. */
  readonly lossShare: number;
  readonly draw: random.RandomSource;
  /** Injects a fault or a proposal; called before each iteration. */
  readonly intervene?: (
    state: roundModel.ModelState,
    step: number,
  ) => roundModel.ModelState;
}

interface RunResult {
  readonly end: roundModel.ModelState;
  /** Iterations in which no rank could run its step. */
  readonly stalledSteps: number;
}

/**
 * Runs iterations; a message is delivered or lost one iteration after its send.
 */
function driveSteps(
  { model, intervene, draw, ...options }: DriveOptions,
): RunResult {
  let state = model.initial;
  let stalledSteps = 0;
  for (let step = 0; step < options.stepCount; step += 1) {
    state = intervene?.(state, step) ?? state;
    const { packets, writes, nextSteps } = state;
    for (const packet of packets) {
      const delivered = model.apply(state, { kind: "deliver", packet });
      const isLost = draw() < options.lossShare;
      state = isLost
        ? {
          ...state,
          packets: state.packets.filter((sent) => sent !== packet),
        }
        : delivered;
    }
    for (const action of model.listActions(state)) {
      const isDue = immediateKinds.includes(action.kind) ||
        ("write" in action && writeKinds.includes(action.kind) &&
          writes.includes(action.write));
      if (isDue) state = model.apply(state, action);
    }
    for (const action of model.listActions(state)) {
      if (action.kind === "step") state = model.apply(state, action);
    }
    if (step % 3 === 2) {
      state = model.apply(state, { kind: "resend", leader: 0 });
    }
    const hasProgress = state.nextSteps.some((next, rank) =>
      next > nextSteps[rank]!
    );
    if (!hasProgress) stalledSteps += 1;
  }
  return { end: state, stalledSteps };
}

function createModel(marginSteps: number): roundModel.RoundModel {
  return roundModel.createRoundModel({
    rankCount,
    marginSteps,
    stepLimit: 1_000,
    hasBarrier: true,
    budgets: { ...budgets, restarts: 1 },
  });
}

function propose(
  state: roundModel.ModelState,
  model: roundModel.RoundModel,
): roundModel.ModelState {
  if (state.leaders[0]!.phase !== "idle") return state;
  return model.apply(state, { kind: "propose", leader: 0 });
}

describe("switch of eight ranks with a message latency of one step", () => {
  test("stalls no step if the margin covers the round trips", () => {
    const model = createModel(6);
    const run = driveSteps({
      model,
      stepCount: 40,
      lossShare: 0,
      draw: random.createRandomSource(1),
      intervene: (state, step) => step === 5 ? propose(state, model) : state,
    });
    expect(run.end.usedVersions.at(-1)).toBe(1);
    expect(run.stalledSteps).toBe(0);
    expect(run.end.violation).toBeUndefined();
  });

  test.each(seeds)(
    "completes after a few proposals if a third of messages is lost, seed %d",
    (seed) => {
      const model = createModel(12);
      const run = driveSteps({
        model,
        stepCount: 400,
        lossShare: 1 / 3,
        draw: random.createRandomSource(seed),
        intervene: (state, step) =>
          step % 30 === 5 && state.usedVersions.at(-1) === 0
            ? propose(state, model)
            : state,
      });
      expect(run.end.usedVersions.at(-1)).toBe(1);
      expect(Math.min(...run.end.nextSteps)).toBeGreaterThan(200);
      expect(run.end.violation).toBeUndefined();
    },
  );

  test.each([6, 8, 10, 12, 14, 16, 18])(
    "continues after a rank restarts at step %d",
    (restartStep) => {
      const model = createModel(6);
      const run = driveSteps({
        model,
        stepCount: 120,
        lossShare: 0,
        draw: random.createRandomSource(1),
        intervene(state, step) {
          const action = { kind: "restart_rank", rank: 3 } as const;
          if (step === restartStep) return model.apply(state, action);
          return step === 5 ? propose(state, model) : state;
        },
      });
      expect(Math.min(...run.end.nextSteps)).toBeGreaterThan(80);
      expect(new Set(run.end.ranks.map(({ epoch }) => epoch)).size).toBe(1);
      expect(run.end.violation).toBeUndefined();
    },
  );
});
