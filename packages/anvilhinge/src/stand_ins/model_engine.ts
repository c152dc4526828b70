/**
 * Core of the model engine stand-in: a group of ranks that advance in
 * lock-step. Each rank batches continuously. A step is one forward pass: it
 * yields one token for each running request whose prefill is complete and lasts
 * as long as the slowest rank needs.
 */
import type * as ports from "../ports/engine.ts";
import * as engineOrders from "./engine_orders.ts";
import * as engineRank from "./engine_rank.ts";
import * as expertStep from "./expert_step.ts";
import * as laggedValue from "./lagged_value.ts";
import * as modelEngineOptions from "./model_engine_options.ts";
import type * as prefixCache from "./prefix_cache.ts";

/** Interval at which a paused group checks if each expert has a live rank. */
const lostExpertRetryMs = 10;

/** Measurements of the group's last step. */
export interface StepReport {
  readonly stepCount: number;
  readonly durationUs: number;
  readonly mapVersion: number;
  /** Step time by rank, without the wait for the slowest rank. */
  readonly rankUs: readonly number[];
  /** Tokens routed to each expert since the start. */
  readonly tokensByExpert: readonly number[];
}

/** A group of ranks; ranks are numbered from 0. */
export interface ModelEngine {
  readonly rankCount: number;
  submit(rank: number, request: engineRank.RankRequest): void;
  /** Returns the load of a rank as of `reportLagMs` ago. */
  readLoad(rank: number): ports.EngineLoad;
  /** Returns the last step as of `reportLagMs` ago. */
  readLastStep(): StepReport;
  listCacheEvents(
    rank: number,
    since: number,
  ): readonly prefixCache.CacheEvent[];
  applyOrder(
    rank: number,
    order: engineOrders.Order,
  ): engineOrders.OrderOutcome;
  readOrderState(rank: number): engineOrders.OrderState;
  setSpeed(rank: number, speed: number): void;
  /** Stalls the rank; the group finishes no step until the rank continues. */
  stall(rank: number, options: { readonly durationMs: number }): void;
  /** Fails the requests of the rank, and new requests until `restart`. */
  crash(rank: number): void;
  restart(rank: number): void;
  isCrashed(rank: number): boolean;
}

interface GroupRank {
  readonly executor: engineRank.Rank;
  readonly load: laggedValue.LaggedValue<ports.EngineLoad>;
  orderState: engineOrders.OrderState;
  speed: number;
  crashed: boolean;
  stalledUntilMs: number;
}

const initialLoad: ports.EngineLoad = { running: 0, queued: 0, stepUs: 0 };

/** Creates an idle group whose experts are spread evenly over the ranks. */
export function createModelEngine(
  givenOptions: modelEngineOptions.ModelEngineOptions,
): ModelEngine {
  const options = modelEngineOptions.resolveOptions(givenOptions);
  const { scheduler: timers, expertCount, reportLagMs } = options;
  const costs = { baseMs: options.stepMs, tokenMs: options.tokenMs };
  const routing = { ...options, skew: options.expertSkew };
  const ranks = Array.from({ length: options.rankCount }, createGroupRank);
  const totalTokensByExpert = Array.from({ length: expertCount }, () => 0);
  const lastStep = laggedValue.createLaggedValue<StepReport>({
    clock: timers,
    lagMs: reportLagMs,
    initial: {
      stepCount: 0,
      durationUs: 0,
      mapVersion: 0,
      rankUs: ranks.map(() => 0),
      tokensByExpert: [...totalTokensByExpert],
    },
  });
  let map = expertStep.createEvenMap(expertCount, options.rankCount);
  let isStepping = false;

  function createGroupRank(): GroupRank {
    const executor = engineRank.createRank({
      scheduler: timers,
      batchLimit: options.batchLimit,
      prefillTokensPerStep: options.prefillTokensPerStep,
      cache: {
        clock: timers,
        random: options.random,
        capacityBlocks: options.cacheBlocks,
        eventLagMs: options.eventLagMs,
        eventLossRatio: options.eventLossRatio,
      },
    });
    const load = laggedValue.createLaggedValue({
      clock: timers,
      lagMs: reportLagMs,
      initial: initialLoad,
    });
    const orderState = engineOrders.initialState;
    return {
      executor,
      load,
      orderState,
      speed: 1,
      crashed: false,
      stalledUntilMs: 0,
    };
  }

  function getRank(rank: number): GroupRank {
    const groupRank = ranks[rank];
    if (groupRank !== undefined) return groupRank;
    throw new RangeError(`No rank ${rank} in a group of ${ranks.length}`);
  }

  function startStep(): void {
    if (isStepping || ranks.every(({ executor }) => executor.isIdle())) return;
    isStepping = true;
    if (expertStep.hasLostExpert({ map, ranks })) return pauseStep();
    const tokensByExpert = Array.from({ length: expertCount }, () => 0);
    for (const { executor } of ranks) {
      for (const randomSource of executor.startStep()) {
        for (const expert of expertStep.chooseExperts(randomSource, routing)) {
          tokensByExpert[expert]! += 1;
        }
      }
    }
    const stepLoad = { map, ranks, tokensByExpert, costs };
    const rankMs = expertStep.computeRankTimes(stepLoad);
    const startMs = timers.now();
    const mapVersion = map.version;
    const step = { startMs, mapVersion, rankMs, tokensByExpert };
    const finish = () => finishStep(step);
    timers.schedule(finish, { delayMs: Math.max(...rankMs) });
  }

  function pauseStep(): void {
    const resume = () => {
      isStepping = false;
      startStep();
    };
    timers.schedule(resume, { delayMs: lostExpertRetryMs });
  }

  interface Step {
    readonly startMs: number;
    readonly mapVersion: number;
    readonly rankMs: readonly number[];
    readonly tokensByExpert: readonly number[];
  }

  function finishStep(step: Step): void {
    const stalledUntilMs = Math.max(
      ...ranks.map((groupRank) =>
        groupRank.crashed ? 0 : groupRank.stalledUntilMs
      ),
    );
    const delayMs = stalledUntilMs - timers.now();
    if (delayMs > 0) {
      return timers.schedule(() => finishStep(step), { delayMs });
    }
    recordStep(step);
    for (const { executor } of ranks) executor.finishStep();
    isStepping = false;
    for (const groupRank of ranks) updateLoad(groupRank);
    startStep();
  }

  function recordStep(
    { startMs, mapVersion, rankMs, tokensByExpert }: Step,
  ): void {
    tokensByExpert.forEach((count, expert) =>
      totalTokensByExpert[expert]! += count
    );
    lastStep.set({
      stepCount: lastStep.getCurrent().stepCount + 1,
      durationUs: Math.round((timers.now() - startMs) * 1_000),
      mapVersion,
      rankUs: rankMs.map((durationMs) => Math.round(durationMs * 1_000)),
      tokensByExpert: [...totalTokensByExpert],
    });
  }

  function updateLoad({ executor, load }: GroupRank): void {
    const stepUs = lastStep.getCurrent().durationUs;
    load.set({ ...executor.countRequests(), stepUs });
  }

  /** Activates a map when every live rank has installed its version. */
  function updateMap(): void {
    const live = ranks.filter(({ crashed }) => !crashed);
    const installed = live[0]?.orderState.map;
    if (installed === undefined) return;
    const isInstalled = ({ orderState }: GroupRank) =>
      orderState.map?.version === installed.version;
    if (!live.every(isInstalled)) return;
    map = { version: installed.version, holders: installed.holders };
  }

  return {
    rankCount: options.rankCount,
    submit(rank, request) {
      const groupRank = getRank(rank);
      if (groupRank.crashed) {
        const message = `Rank ${rank} has crashed; send the request elsewhere`;
        request.onEvent({ kind: "failed", message, started: false });
        return;
      }
      groupRank.executor.enqueue(request, () => updateLoad(groupRank));
      updateLoad(groupRank);
      startStep();
    },
    readLoad: (rank) => getRank(rank).load.get(),
    readLastStep: () => lastStep.get(),
    listCacheEvents: (rank, since) =>
      getRank(rank).executor.listCacheEvents(since),
    applyOrder(rank, order) {
      const groupRank = getRank(rank);
      if (groupRank.crashed) return { kind: "crashed" };
      const message = order.kind === "install_map"
        ? engineOrders.checkMap(order, options)
        : undefined;
      if (message !== undefined) return { kind: "invalid", message };
      const result = engineOrders.applyOrder(
        groupRank.orderState,
        order,
        options,
      );
      groupRank.orderState = result.state;
      updateMap();
      return result.outcome;
    },
    readOrderState: (rank) => getRank(rank).orderState,
    setSpeed(rank, speed) {
      getRank(rank).speed = speed;
    },
    stall(rank, { durationMs }) {
      getRank(rank).stalledUntilMs = timers.now() + durationMs;
    },
    crash(rank) {
      const groupRank = getRank(rank);
      groupRank.crashed = true;
      groupRank.executor.fail(`Rank ${rank} crashed`);
      updateLoad(groupRank);
    },
    restart(rank) {
      const groupRank = getRank(rank);
      groupRank.crashed = false;
      groupRank.stalledUntilMs = 0;
      groupRank.orderState = engineOrders.initialState;
    },
    isCrashed: (rank) => getRank(rank).crashed,
  };
}
