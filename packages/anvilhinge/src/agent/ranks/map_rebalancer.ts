/**
 * The duty of the leading agent of a group: watches which experts are in
 * demand, plans a map that evens the ranks out, and switches the group to it.
 * Ends holds that another leader left behind.
 */
import * as boundedPlanner from "@anvilhinge/coordination/maps/bounded_planner";
import * as countsWindow from "@anvilhinge/coordination/maps/counts_window";
import * as mapVersions from "@anvilhinge/coordination/maps/map_versions";
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import * as switchRound from "@anvilhinge/coordination/maps/switch_round";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as routing from "../../settings/routing.ts";
import type * as logger from "../../telemetry/logger.ts";
import type * as rankRpc from "./rank_rpc.ts";
import type * as rankPeers from "./rank_peers.ts";
import type * as rankCallRouter from "./rank_call_router.ts";

export interface MapRebalancerOptions {
  readonly engine: rankEngine.RankEngine;
  readonly experts: routing.ExpertSpec;
  /** Requests that one rank works on at once. */
  readonly slots: number;
  readonly scheduler: scheduler.Scheduler;
  readonly logger: logger.Logger;
  readonly callRank: rankCallRouter.CallRank;
  readonly createVersion: mapVersions.CreateMapVersion;
  /** Whether the epoch began after the process did. */
  readonly isEpochNew: (epoch: number) => boolean;
  /** Most experts that one rank copies for one switch. */
  readonly maxCopiesPerRank: number;
}

export interface MapRebalancer {
  /**
   * Takes one turn of the leader; resolves when it is over. Must not be called
   * again before.
   */
  tick(own: rankPeers.RankStatus): Promise<void>;
  /** Forgets what it counted, for an agent that no longer leads. */
  reset(): void;
}

/** A rank's report and experts, read in one call. */
type Collected = Extract<rankRpc.RankAnswer, { readonly kind: "experts" }>;

/** By rank; undefined for a rank that did not answer. */
type Collection = readonly (Collected | undefined)[];

interface RoundResult {
  readonly outcome: switchRound.RoundOutcome;
  /** Time spent in each phase, in milliseconds. */
  readonly phaseMs: Readonly<Partial<Record<switchRound.RoundPhase, number>>>;
}

interface GroupMap {
  readonly layers: rankOrders.MapLayers;
  readonly states: readonly rankOrders.RankState[];
}

const readTimeoutMs = 250;
/** The same past a silent agent, whose engine's reports lag. */
const urgentReadTimeoutMs = 800;
/** The same for the first look at a group that stands still. */
const stalledReadTimeoutMs = 150;
/** Time without a new pass after which a busy group is looked at for a hold. */
const stallMs = 300;
/** The same in passes, for a group whose passes take long. */
const stallPasses = 4;
const orderTimeoutMs = 2_600;
/**
 * Skew above which a switch repays its copies, for an idle and for a full rank:
 * a pass of few requests is short whatever the skew. 1.3 is the users' target.
 */
const idleSkew = 2.2;
const busySkew = 1.3;
/** A plan is good enough this much below the skew that asks for one. */
const enoughBelow = 0.2;
/** Least part of the excess over the mean that a switch must take away. */
const minExcessSaved = 0.4;
/** Samples that must agree before a map is planned for them. */
const minAgreeing = 2;
/** Passes ahead at which a switch is set at most. */
const maxLeadPasses = 6;
/** Passes more while answers to orders get lost: time for two repetitions. */
const lossyLeadPasses = 2;
/** Time for which a lost answer makes others likely. */
const lossySpellMs = 5_000;
/** Part of the longest time to arm that is believed after each switch. */
const armingMemory = 0.8;
/** Pause after a round that failed, in milliseconds. */
const failurePauseMs = 300;

/** Creates the duty of one agent. */
export function createMapRebalancer(
  options: MapRebalancerOptions,
): MapRebalancer {
  const { engine, experts, scheduler, logger } = options;
  const window = countsWindow.createCountsWindow({
    layerCount: experts.sets,
    expertCount: experts.expertsPerSet,
  });
  /** Longest late time to hold a pass and arm all ranks, and time of a pass. */
  let armingMs = 0;
  let passMs = 0;
  let seenStep: { readonly step: number; readonly atMs: number } | undefined;
  let lossyUntilMs = -Infinity;
  let lastHeldStep: number | undefined;
  let ledEpoch: number | undefined;
  let countedEpoch: number | undefined;
  let pausedUntilMs = -Infinity;
  /** Pass of the last switch; the next round waits until it has begun. */
  let switchStep = 0;

  async function observe(): Promise<countsWindow.Popularity | undefined> {
    const found = await engine.readCounts();
    if (found === undefined) return undefined;
    if (found.epoch !== countedEpoch) {
      window.reset();
      countedEpoch = found.epoch;
    }
    window.observe({ atMs: scheduler.now(), counts: found.counts });
    return window.estimate();
  }

  /** Reads all ranks; those that don't answer are undefined. */
  async function collect(
    own: rankPeers.RankStatus,
    callOptions: rankCallRouter.CallOptions,
  ): Promise<Collection> {
    const ranks = Array.from({ length: own.size }, (_, rank) => rank);
    const answers = await Promise.all(
      ranks.map((rank) =>
        options.callRank(rank, { kind: "experts" }, callOptions)
      ),
    );
    return answers.map((answer) =>
      answer?.kind === "experts" ? answer : undefined
    );
  }

  /**
   * Joins what the ranks hold; undefined while they are not of one mind. A rank
   * that is missing gets what no other holds.
   */
  function joinMap(
    collection: Collection,
    own: rankPeers.RankStatus,
  ): GroupMap | undefined {
    const version = collection.find((found) => found)?.experts.version;
    const isOne = collection.every((found, rank) =>
      found === undefined ||
      (found.report.state.rank === rank &&
        found.report.state.epoch === own.epoch &&
        found.experts.epoch === own.epoch &&
        found.experts.version === version)
    );
    if (!isOne) return undefined;
    const layers = Array.from({ length: experts.sets }, (_, layer) => {
      const held = collection.map((found) => found?.experts.experts[layer]);
      const known = new Set(held.flatMap((list) => list ?? []));
      const rest = Array.from(
        { length: experts.expertsPerSet },
        (_, expert) => expert,
      ).filter((expert) => !known.has(expert));
      return held.map((list) => list ?? rest);
    });
    const states = collection.flatMap((found) => found?.report.state ?? []);
    return { layers, states };
  }

  function runRound(
    own: rankPeers.RankStatus,
    event: switchRound.RoundEvent,
    /** Rank that is not waited for at first. */
    silentRank?: number,
  ): Promise<RoundResult> {
    const phaseMs: Partial<Record<switchRound.RoundPhase, number>> = {};
    let spared = silentRank;
    let phaseSinceMs = scheduler.now();
    const round = switchRound.createSwitchRound({
      ownRank: own.rank,
      rankCount: own.size,
      epoch: own.epoch,
      computeLeadPasses: computeLead,
      lastHeldStep: lastHeldStep ?? 0,
      createVersion: options.createVersion,
      getLeaderRank: mapVersions.getLeaderRank,
    });
    return new Promise((resolve) => {
      function feed(next: switchRound.RoundEvent): void {
        const phase = round.getPhase();
        const effects = round.handle(next);
        if (round.getPhase() !== phase) {
          const nowMs = scheduler.now();
          const spentMs = (phaseMs[phase] ?? 0) + nowMs - phaseSinceMs;
          phaseMs[phase] = Math.round(spentMs);
          phaseSinceMs = nowMs;
        }
        lastHeldStep = Math.max(lastHeldStep ?? 0, round.getHeldStep());
        for (const effect of effects) void execute(effect);
      }

      async function execute(effect: switchRound.RoundEffect): Promise<void> {
        if (effect.kind === "finish") {
          return resolve({ outcome: effect.outcome, phaseMs });
        }
        const { call, rank } = effect;
        const isSilent = rank === spared;
        if (isSilent) spared = undefined;
        const answer = await options.callRank(
          rank,
          effect.kind === "read"
            ? { kind: "report" }
            : { kind: "order", order: effect.order, epoch: own.epoch },
          chooseWay(effect, round.getPhase(), isSilent),
        );
        feed(convertAnswer(answer, { call, rank }));
      }

      feed(event);
    });
  }

  /** Looks for a hold in a group that stands still, and ends it. */
  async function endHold(own: rankPeers.RankStatus): Promise<void> {
    pausedUntilMs = scheduler.now() + failurePauseMs;
    const quick = { timeoutMs: stalledReadTimeoutMs, way: "agent" } as const;
    const first = await collect(own, quick);
    const collection = isEnough(first) ? first : await collect(own, {
      timeoutMs: urgentReadTimeoutMs,
      way: "either",
    });
    const held = findHeld(collection);
    if (held === undefined && isEnough(collection)) return;
    const map = isEnough(collection) ? joinMap(collection, own) : undefined;
    if (held?.heldStep === undefined || map === undefined) {
      logger.warn("The group stands still and can't be looked through", {
        group: own.group,
        epoch: own.epoch,
        stalledMs: Math.round(own.stalledMs),
        silentRanks: listSilent(collection),
      });
      return;
    }
    const { rank, heldStep } = held;
    const details = { group: own.group, epoch: own.epoch, rank, heldStep };
    const [silentRank] = listSilent(collection);
    logger.warn("Ends a hold that nobody follows", { ...details, silentRank });
    const { outcome, phaseMs } = await runRound(own, {
      kind: "clear",
      heldRank: rank,
      heldStep,
      currentLayers: map.layers,
    }, silentRank);
    logger.info("Ended a hold", { ...details, phaseMs, outcome });
  }

  async function switchMap(
    own: rankPeers.RankStatus,
    { map, popularity, allowedSkew }: {
      readonly map: GroupMap;
      readonly popularity: countsWindow.Popularity;
      readonly allowedSkew: number;
    },
  ): Promise<void> {
    const plan = planCheapest(map, popularity, allowedSkew - enoughBelow);
    const { skewBefore, skewAfter, copies } = plan;
    const saved = (skewBefore - skewAfter) / Math.max(1e-9, skewBefore - 1);
    if (copies === 0 || saved < minExcessSaved) {
      pausedUntilMs = scheduler.now() + failurePauseMs;
      logger.debug("Keeps the map", { skewBefore, skewAfter, copies });
      return;
    }
    const startedAtMs = scheduler.now();
    const { outcome, phaseMs } = await runRound(own, {
      kind: "start",
      layers: plan.map.layers,
      currentLayers: map.layers,
      states: map.states,
    });
    const isSwitched = outcome.kind === "switched";
    const { holding = 0, opening = 0, arming = 0 } = phaseMs;
    const spentMs = holding + opening + arming;
    armingMs = Math.max(spentMs, armingMemory * armingMs);
    if (isSwitched) switchStep = outcome.step;
    else pausedUntilMs = scheduler.now() + failurePauseMs;
    logger.info(isSwitched ? "Switched the map" : "Kept the map", {
      group: own.group,
      epoch: own.epoch,
      skewBefore: trimDigits(skewBefore),
      skewAfter: trimDigits(skewAfter),
      copies,
      tookMs: Math.round(scheduler.now() - startedAtMs),
      phaseMs,
      outcome,
    });
  }

  /** Plans with the fewest copies a rank that make the ranks even enough. */
  function planCheapest(
    map: GroupMap,
    { shares }: countsWindow.Popularity,
    enoughSkew: number,
  ): boundedPlanner.BoundedPlan {
    for (let copies = 1;; copies += 1) {
      const plan = boundedPlanner.planBounded({
        map: { layers: map.layers },
        shares,
        slotsPerRank: experts.slotsPerRank,
        maxNewPerLayer: experts.maxNewPerRank,
        maxNewPerRank: copies,
      });
      const isEnough = plan.skewAfter <= enoughSkew ||
        copies >= options.maxCopiesPerRank;
      if (isEnough) return plan;
    }
  }

  /**
   * Passes that arming takes: a nearer pass would have to wait for the last
   * rank, a later one keeps the old map in use for longer. Answers that get
   * lost come in spells, so one that was lost makes more of them likely.
   */
  function computeLead(mostSendings: number): number {
    const nowMs = scheduler.now();
    if (mostSendings > 1) lossyUntilMs = nowMs + lossySpellMs;
    const added = nowMs < lossyUntilMs ? lossyLeadPasses : 0;
    if (passMs === 0) return 2 + added;
    const passes = 1 + Math.floor(armingMs / passMs) + added;
    return Math.min(maxLeadPasses, passes);
  }

  /** Measures the time of a pass by the steps of the own rank. */
  function observePass({ step }: rankPeers.RankStatus): void {
    const nowMs = scheduler.now();
    const before = seenStep;
    if (before === undefined || step < before.step) {
      seenStep = { step, atMs: nowMs };
    } else if (step > before.step + 3) {
      passMs = (nowMs - before.atMs) / (step - before.step);
      seenStep = { step, atMs: nowMs };
    }
  }

  /** Notes which passes of this epoch the process may have held. */
  function enterEpoch(own: rankPeers.RankStatus): void {
    if (ledEpoch === own.epoch) return;
    // Orders of an earlier epoch have no effect; those that this rank gave in
    // this epoch before the process started are not known.
    lastHeldStep = options.isEpochNew(own.epoch)
      ? 0
      : own.step + switchRound.maxAheadPasses;
    ledEpoch = own.epoch;
    switchStep = 0;
  }

  return {
    async tick(own) {
      enterEpoch(own);
      observePass(own);
      const popularity = await observe();
      const isDue = popularity !== undefined &&
        popularity.agreeingSamples >= minAgreeing && own.step >= switchStep &&
        scheduler.now() >= pausedUntilMs;
      const isStalled =
        own.stalledMs >= Math.max(stallMs, stallPasses * passMs);
      if (isStalled || own.heldStep !== undefined) {
        if (scheduler.now() >= pausedUntilMs) await endHold(own);
        return;
      }
      if (popularity === undefined || !isDue) return;
      const collection = await collect(own, {
        timeoutMs: readTimeoutMs,
        way: "agent",
      });
      const collected = collection.flatMap((found) => found ?? []);
      const map = collected.length === own.size
        ? joinMap(collection, own)
        : undefined;
      const isFree = map?.states.every(({ heldStep }) =>
        heldStep === undefined
      );
      if (map === undefined || !isFree) {
        pausedUntilMs = scheduler.now() + failurePauseMs;
        return;
      }
      const occupancy = computeOccupancy(collected, options.slots);
      const allowedSkew = idleSkew + occupancy * (busySkew - idleSkew);
      const { shares } = popularity;
      const skew = boundedPlanner.measureSkew({ map, shares });
      if (skew <= allowedSkew) return;
      return switchMap(own, { map, popularity, allowedSkew });
    },
    reset() {
      window.reset();
    },
  };
}

/** Chooses how a rank is reached: once a pass is held, the group waits. */
function chooseWay(
  effect: Exclude<switchRound.RoundEffect, { readonly kind: "finish" }>,
  phase: switchRound.RoundPhase,
  isSilent: boolean,
): rankCallRouter.CallOptions {
  if (phase === "preparing") {
    const timeoutMs = effect.kind === "read" ? readTimeoutMs : orderTimeoutMs;
    return { timeoutMs, way: "agent" };
  }
  if (effect.kind === "read") {
    return isSilent
      ? { timeoutMs: stalledReadTimeoutMs, way: "agent" }
      : { timeoutMs: urgentReadTimeoutMs, way: "either" };
  }
  // A hold at another rank: no one machine that stops then can keep it there.
  const way = effect.order.kind === "hold" ? "engine" : "either";
  return { timeoutMs: orderTimeoutMs, way };
}

function findHeld(collection: Collection): rankOrders.RankState | undefined {
  return collection
    .flatMap((found) => found?.report.state ?? [])
    .find(({ heldStep }) => heldStep !== undefined);
}

function listSilent(collection: Collection): readonly number[] {
  return [...collection.keys()].filter((rank) =>
    collection[rank] === undefined
  );
}

/** Whether a hold could be ended, or is known not to exist. */
function isEnough(collection: Collection): boolean {
  const silent = listSilent(collection);
  const held = findHeld(collection);
  const leader = held &&
    switchRound.getHoldLeader(held.rank, collection.length);
  return silent.every((rank) => rank === leader);
}

function convertAnswer(
  answer: rankRpc.RankAnswer | undefined,
  { call, rank }: { readonly call: number; readonly rank: number },
): switchRound.RoundEvent {
  switch (answer?.kind) {
    case "order":
      return { kind: "outcome", call, rank, outcome: answer.outcome };
    case "report":
    case "experts":
      return { kind: "state", call, state: answer.report.state };
    case "silent":
    case undefined:
      return { kind: "late", call, rank };
  }
}

/** Part of the ranks' places that are taken. */
function computeOccupancy(
  collected: readonly Collected[],
  slots: number,
): number {
  const running = collected.reduce(
    (sum, { report }) => sum + report.running,
    0,
  );
  return Math.min(1, running / Math.max(1, slots * collected.length));
}

function trimDigits(value: number): number {
  return Math.round(value * 100) / 100;
}
