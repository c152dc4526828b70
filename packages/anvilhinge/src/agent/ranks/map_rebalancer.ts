/**
 * Work of a group's leading agent: observes the popularity of the experts,
 * plans an expert map that balances the load of the ranks, and switches the
 * group to that map. Also ends holds that another leader abandoned.
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
import type * as callStats from "./call_stats.ts";
import type * as rankRpc from "./rank_rpc.ts";
import type * as rankPeers from "./rank_peers.ts";
import type * as rankCallRouter from "./rank_call_router.ts";

export interface MapRebalancerOptions {
  readonly engine: rankEngine.RankEngine;
  readonly experts: routing.ExpertSpec;
  /** Requests that one rank runs concurrently. */
  readonly slots: number;
  readonly scheduler: scheduler.Scheduler;
  readonly logger: logger.Logger;
  readonly callRank: rankCallRouter.CallRank;
  /** Lists the recently seen agents of the group. */
  readonly listPeers: () => readonly rankPeers.RankPeer[];
  /** Returns the statistics of the calls since the previous ones. */
  readonly takeCallSummary: () => callStats.CallSummary;
  /** Returns the longest delay of the event loop since the previous call. */
  readonly takeLoopDelayMs: () => number;
  readonly createVersion: mapVersions.CreateMapVersion;
  /**
   * Whether no earlier process of this rank can have led in the epoch and held
   * passes in it.
   */
  readonly isEpochNew: (epoch: number) => boolean;
  /** Maximum number of experts that one rank copies for one switch. */
  readonly maxCopiesPerRank: number;
}

export interface MapRebalancer {
  /**
   * Runs one iteration of the leader; resolves when it has finished. Must not
   * be called while an iteration is in progress: two concurrent rounds of one
   * leader could hold a pass twice.
   */
  tick(status: rankPeers.RankStatus): Promise<void>;
  /** Ends an abandoned hold of a stalled group; to be called like `tick`. */
  watchHold(status: rankPeers.RankStatus): Promise<void>;
  /** Pass whose hold the round in progress uses. */
  getRoundStep(): number | undefined;
  /** Discards the collected counts of an agent that no longer leads. */
  reset(): void;
}

/** Report and experts of a rank, read in one call. */
type RankSnapshot = Extract<rankRpc.RankAnswer, { readonly kind: "experts" }>;

/** Snapshots by rank; undefined for a rank that did not answer. */
type GroupSnapshot = readonly (RankSnapshot | undefined)[];

/** Result of a switch round. */
interface RoundResult {
  readonly outcome: switchRound.RoundOutcome;
  /** Time spent in each phase, in milliseconds. */
  readonly phaseMs: Readonly<Partial<Record<switchRound.RoundPhase, number>>>;
  /** The call that took longest. */
  readonly slowest: SlowestCall | undefined;
  readonly calls: callStats.CallSummary;
  readonly loopDelayMs: number;
}

interface SlowestCall {
  readonly rank: number;
  readonly phase: switchRound.RoundPhase;
  readonly tookMs: number;
  readonly answer: string;
}

/** Expert map that the group uses. */
interface GroupMap {
  readonly epoch: number;
  readonly version: number;
  readonly layers: rankOrders.MapLayers;
}

const readTimeoutMs = 250;
/**
 * Timeout of a read that may bypass a silent agent; longer, because engines
 * report to other machines with a lag.
 */
const urgentReadTimeoutMs = 800;
/** Timeout of the read that confirms that a machine has not stopped. */
const confirmTimeoutMs = 80;
/** Timeout of the first read of all ranks of a stalled group. */
const stalledReadTimeoutMs = 150;
/**
 * Time without a new forward pass after which a busy group is checked for a
 * hold.
 */
const stallThresholdMs = 300;
/** Stall threshold in passes, for groups whose passes take long. */
const stallThresholdPasses = 4;
/** Time for which no round needs to hold a pass of an idle group. */
const abandonedHoldMs = 1_000;
/** Longer than an agent spends on one order (see `rank_rpc.ts`). */
const orderTimeoutMs = 2_600;
/**
 * Skew above which a switch is worth its expert copies, for idle and for fully
 * occupied ranks: a pass with few requests is short whatever the skew. 1.3 is
 * the users' target.
 */
const idleSkewThreshold = 2.2;
const busySkewThreshold = 1.3;
/** Hysteresis: a plan aims at a skew this far below the threshold. */
const targetSkewMargin = 0.2;
/** Minimum fraction of the load above the mean that a switch must remove. */
const minExcessReduction = 0.4;
/** Consecutive samples that must agree before a map is planned from them. */
const minAgreeingSamples = 2;
/** Maximum number of passes between the current pass and the switch. */
const maxLeadPasses = 6;
/** Added to the lead after a lost answer: time for two retransmissions. */
const lossLeadPasses = 2;
/** Time for which one lost answer makes further losses likely. */
const lossWindowMs = 5_000;
/** Decay factor of the longest arming time, applied at each switch. */
const armingDecayFactor = 0.8;
/** Pause after a failed round, a rejected plan or a check for a hold. */
const retryDelayMs = 300;
const passLogIntervalMs = 1_000;
/** Pace above which a rank is listed as slow. */
const slowPace = 1.1;

/** Creates the map rebalancer of one agent. */
export function createMapRebalancer(
  options: MapRebalancerOptions,
): MapRebalancer {
  const { engine, experts, scheduler, logger } = options;
  const window = countsWindow.createCountsWindow({
    layerCount: experts.sets,
    expertCount: experts.expertsPerSet,
  });
  /** Decaying maximum of the time to hold a pass and arm all ranks. */
  let armingMs = 0;
  /** Measured duration of a pass; 0 before the first measurement. */
  let passMs = 0;
  let lastObservedStep:
    | { readonly step: number; readonly atMs: number }
    | undefined;
  let lossUntilMs = -Infinity;
  let lastHeldStep: number | undefined;
  let enteredEpoch: number | undefined;
  let countsEpoch: number | undefined;
  let pausedUntilMs = -Infinity;
  /** Map that the group uses or, until `switchStep`, will use. */
  let groupMap: GroupMap | undefined;
  let loggedAtMs = -Infinity;
  /** The last round, finished or not. */
  let round: switchRound.SwitchRound | undefined;
  /** Hold at this agent's rank, and when it was first seen. */
  let ownHold: { readonly step: number; readonly sinceMs: number } | undefined;
  /** Pass of the last switch; no further round starts before that pass. */
  let switchStep = 0;

  async function samplePopularity(): Promise<
    countsWindow.PopularityEstimate | undefined
  > {
    const sample = await engine.readCounts();
    if (sample === undefined) return undefined;
    if (sample.epoch !== countsEpoch) {
      window.reset();
      countsEpoch = sample.epoch;
    }
    window.observe({ atMs: scheduler.now(), counts: sample.counts });
    return window.estimate();
  }

  /** Reads all ranks; a rank that does not answer is undefined. */
  async function collectSnapshots(
    status: rankPeers.RankStatus,
    callOptions: rankCallRouter.CallOptions,
  ): Promise<GroupSnapshot> {
    const ranks = Array.from({ length: status.size }, (_, rank) => rank);
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
   * Merges the experts of all ranks into one map; undefined while the ranks
   * differ in epoch or map version. A rank without a snapshot is assumed to
   * hold the experts that no other rank holds.
   */
  function mergeMap(
    snapshots: GroupSnapshot,
    status: rankPeers.RankStatus,
  ): GroupMap | undefined {
    const version = snapshots.find((snapshot) => snapshot)?.experts.version;
    if (version === undefined) return undefined;
    const isConsistent = snapshots.every((snapshot, rank) =>
      snapshot === undefined ||
      (snapshot.report.state.rank === rank &&
        snapshot.report.state.epoch === status.epoch &&
        snapshot.experts.epoch === status.epoch &&
        snapshot.experts.version === version)
    );
    if (!isConsistent) return undefined;
    const layers = Array.from({ length: experts.sets }, (_, layer) => {
      const lists = snapshots.map((snapshot) =>
        snapshot?.experts.experts[layer]
      );
      const reported = new Set(lists.flatMap((list) => list ?? []));
      const missing = Array.from(
        { length: experts.expertsPerSet },
        (_, expert) => expert,
      ).filter((expert) => !reported.has(expert));
      return lists.map((list) => list ?? missing);
    });
    return { epoch: status.epoch, version, layers };
  }

  /** Returns the map that the group uses; undefined if it can't be read. */
  async function findGroupMap(
    status: rankPeers.RankStatus,
  ): Promise<GroupMap | undefined> {
    const isKnown = groupMap?.epoch === status.epoch &&
      groupMap.version === status.mapVersion;
    if (isKnown) return groupMap;
    const snapshots = await collectSnapshots(status, {
      timeoutMs: readTimeoutMs,
      route: "agent",
    });
    groupMap = listSilentRanks(snapshots).length === 0
      ? mergeMap(snapshots, status)
      : undefined;
    return groupMap;
  }

  /** Reads the states of all ranks; undefined unless all ranks answer. */
  async function readStates(
    status: rankPeers.RankStatus,
  ): Promise<readonly rankOrders.RankState[] | undefined> {
    const answers = await Promise.all(
      Array.from(
        { length: status.size },
        (_, rank) =>
          options.callRank(rank, { kind: "report" }, {
            timeoutMs: readTimeoutMs,
            route: "agent",
          }),
      ),
    );
    const states = answers.flatMap((answer) =>
      answer?.kind === "report" ? answer.report.state : []
    );
    return states.length === status.size ? states : undefined;
  }

  function runRound(
    status: rankPeers.RankStatus,
    event: switchRound.RoundEvent,
    { baseMap, silentRank }: {
      readonly baseMap: GroupMap;
      /** Expected not to answer; its first read times out early. */
      readonly silentRank?: number;
    },
  ): Promise<RoundResult> {
    const phaseMs: Partial<Record<switchRound.RoundPhase, number>> = {};
    let expectedSilentRank = silentRank;
    let phaseSinceMs = scheduler.now();
    let slowest: SlowestCall | undefined;
    /** One call for each order, so that it is encoded once for all ranks. */
    const orderCalls = new Map<rankOrders.RankOrder, rankRpc.OrderCall>();
    options.takeCallSummary();
    options.takeLoopDelayMs();
    round = switchRound.createSwitchRound({
      ownRank: status.rank,
      rankCount: status.size,
      epoch: status.epoch,
      computeLeadPasses,
      lastHeldStep: lastHeldStep ?? 0,
      createVersion: options.createVersion,
      getLeaderRank: mapVersions.getLeaderRank,
    });
    const currentRound = round;
    return new Promise((resolve) => {
      function feed(next: switchRound.RoundEvent): void {
        const phase = currentRound.getPhase();
        const effects = currentRound.handle(next);
        if (currentRound.getPhase() !== phase) {
          const nowMs = scheduler.now();
          const spentMs = (phaseMs[phase] ?? 0) + nowMs - phaseSinceMs;
          phaseMs[phase] = Math.round(spentMs);
          phaseSinceMs = nowMs;
        }
        lastHeldStep = Math.max(lastHeldStep ?? 0, currentRound.getHeldStep());
        for (const effect of effects) void execute(effect);
      }

      function getCall(
        effect: Exclude<switchRound.RoundEffect, { readonly kind: "finish" }>,
      ): rankRpc.RankCall {
        if (effect.kind === "read") return { kind: "report" };
        const { order } = effect;
        const call = orderCalls.get(order) ??
          { kind: "order" as const, order, epoch: status.epoch };
        orderCalls.set(order, call);
        return call;
      }

      async function execute(effect: switchRound.RoundEffect): Promise<void> {
        if (effect.kind === "finish") {
          return resolve({
            outcome: effect.outcome,
            phaseMs,
            slowest,
            calls: options.takeCallSummary(),
            loopDelayMs: options.takeLoopDelayMs(),
          });
        }
        const { call, rank } = effect;
        const isExpectedSilent = rank === expectedSilentRank;
        if (isExpectedSilent) expectedSilentRank = undefined;
        const startedAtMs = scheduler.now();
        const phase = currentRound.getPhase();
        const answer = await options.callRank(
          rank,
          getCall(effect),
          { ...chooseRoute(effect, phase, isExpectedSilent), baseMap },
        );
        const tookMs = Math.round(scheduler.now() - startedAtMs);
        if (tookMs > (slowest?.tookMs ?? 0)) {
          slowest = { rank, phase, tookMs, answer: describeAnswer(answer) };
        }
        feed(convertAnswer(answer, { call, rank }));
      }

      feed(event);
    });
  }

  /** Searches a group that may be stalled by a hold, and ends the hold. */
  async function endHold(status: rankPeers.RankStatus): Promise<void> {
    pausedUntilMs = scheduler.now() + retryDelayMs;
    const firstRead = {
      timeoutMs: stalledReadTimeoutMs,
      route: "agent",
    } as const;
    const first = await collectSnapshots(status, firstRead);
    const snapshots = isConclusive(first)
      ? first
      : await collectSnapshots(status, {
        timeoutMs: urgentReadTimeoutMs,
        route: "either",
      });
    const held = findHeldState(snapshots);
    if (held === undefined && isConclusive(snapshots)) return;
    // The agent that uses the hold ends it itself.
    if (snapshots.some((snapshot) => isInRound(snapshot, held))) return;
    const map = isConclusive(snapshots)
      ? mergeMap(snapshots, status)
      : undefined;
    if (held?.heldStep === undefined || map === undefined) {
      logger.warn("The group is stalled and its state can't be determined", {
        group: status.group,
        epoch: status.epoch,
        stalledMs: Math.round(status.stalledMs),
        silentRanks: listSilentRanks(snapshots),
      });
      return;
    }
    const { rank, heldStep } = held;
    const details = {
      group: status.group,
      epoch: status.epoch,
      rank,
      heldStep,
    };
    const [silentRank] = listSilentRanks(snapshots);
    logger.warn("Ending an abandoned hold", { ...details, silentRank });
    const result = await runRound(status, {
      kind: "clear",
      heldRank: rank,
      heldStep,
      currentLayers: map.layers,
    }, { baseMap: map, silentRank });
    logger.info("Round to end an abandoned hold finished", {
      ...details,
      ...result,
    });
  }

  async function switchMap(
    status: rankPeers.RankStatus,
    { map, popularity, allowedSkew }: {
      readonly map: GroupMap;
      readonly popularity: countsWindow.PopularityEstimate;
      readonly allowedSkew: number;
    },
  ): Promise<void> {
    const startedAtMs = scheduler.now();
    const plan = boundedPlanner.planBounded({
      map,
      shares: popularity.shares,
      paces: listPaces(status),
      slotsPerRank: experts.slotsPerRank,
      // Each set of the settings is one layer of the map.
      maxNewPerLayer: experts.maxNewPerRank,
      maxNewPerRank: options.maxCopiesPerRank,
      targetSkew: allowedSkew - targetSkewMargin,
    });
    const { skewBefore, skewAfter, copies } = plan;
    const excessReduction = (skewBefore - skewAfter) /
      Math.max(1e-9, skewBefore - 1);
    if (copies === 0 || excessReduction < minExcessReduction) {
      pausedUntilMs = scheduler.now() + retryDelayMs;
      logger.debug("Planned map gains too little; keeping the current map", {
        skewBefore,
        skewAfter,
        copies,
      });
      return;
    }
    const states = await readStates(status);
    if (states === undefined) {
      pausedUntilMs = scheduler.now() + retryDelayMs;
      return;
    }
    const result = await runRound(status, {
      kind: "start",
      layers: plan.map.layers,
      currentLayers: map.layers,
      states,
    }, { baseMap: map });
    const { outcome, phaseMs } = result;
    const isSwitched = outcome.kind === "switched";
    const { holding = 0, opening = 0, arming = 0 } = phaseMs;
    const spentMs = holding + opening + arming;
    armingMs = Math.max(spentMs, armingDecayFactor * armingMs);
    if (isSwitched) {
      const { version, step } = outcome;
      switchStep = step;
      groupMap = { epoch: status.epoch, version, ...plan.map };
    } else {
      groupMap = undefined;
      pausedUntilMs = scheduler.now() + retryDelayMs;
    }
    logger.info(isSwitched ? "Switched the map" : "Map switch aborted", {
      group: status.group,
      epoch: status.epoch,
      skewBefore: trimDecimals(skewBefore),
      skewAfter: trimDecimals(skewAfter),
      copies,
      tookMs: Math.round(scheduler.now() - startedAtMs),
      ...result,
    });
  }

  /** Lists the paces of all ranks; a rank that was not seen counts as sound. */
  function listPaces(status: rankPeers.RankStatus): readonly number[] {
    const paces = Array.from({ length: status.size }, () => 1);
    for (const { rank, pace } of listStatuses(status)) {
      if (pace > slowPace) paces[rank] = pace;
    }
    return paces;
  }

  function listStatuses(
    status: rankPeers.RankStatus,
  ): readonly rankPeers.RankStatus[] {
    return [status, ...options.listPeers().map((peer) => peer.status)];
  }

  /**
   * Computes how many passes ahead a switch is scheduled. With a shorter lead
   * than arming takes, the pass has to wait for the last rank; a longer lead
   * keeps the old map in use for longer. Answers are lost in bursts, so one
   * lost answer makes further losses likely.
   */
  function computeLeadPasses(maxSendCount: number): number {
    const nowMs = scheduler.now();
    if (maxSendCount > 1) lossUntilMs = nowMs + lossWindowMs;
    const addedPasses = nowMs < lossUntilMs ? lossLeadPasses : 0;
    if (passMs === 0) return 2 + addedPasses;
    const passes = 1 + Math.floor(armingMs / passMs) + addedPasses;
    return Math.min(maxLeadPasses, passes);
  }

  /**
   * Measures the duration of a pass as a mean over four or more passes of this
   * agent's rank.
   */
  function observePass({ step }: rankPeers.RankStatus): void {
    const nowMs = scheduler.now();
    const previous = lastObservedStep;
    if (previous === undefined || step < previous.step) {
      lastObservedStep = { step, atMs: nowMs };
    } else if (step > previous.step + 3) {
      passMs = (nowMs - previous.atMs) / (step - previous.step);
      lastObservedStep = { step, atMs: nowMs };
    }
  }

  /**
   * Whether a hold may have been abandoned: the group is stalled, or, as an idle
   * group begins no pass anyway, this agent's rank is held for long.
   */
  function isStalledOrHeld(status: rankPeers.RankStatus): boolean {
    const nowMs = scheduler.now();
    if (status.heldStep === undefined) ownHold = undefined;
    else if (ownHold?.step !== status.heldStep) {
      ownHold = { step: status.heldStep, sinceMs: nowMs };
    }
    const isHeld = ownHold !== undefined &&
      nowMs - ownHold.sinceMs >= abandonedHoldMs;
    const isStalled = status.stalledMs >=
      Math.max(stallThresholdMs, stallThresholdPasses * passMs);
    return isStalled || isHeld;
  }

  async function endHoldUnlessPaused(
    status: rankPeers.RankStatus,
  ): Promise<void> {
    if (scheduler.now() >= pausedUntilMs) await endHold(status);
  }

  /** Returns the fraction of the ranks' slots that are in use. */
  function computeOccupancy(status: rankPeers.RankStatus): number {
    const statuses = listStatuses(status);
    const running = statuses.reduce((sum, { running }) => sum + running, 0);
    return Math.min(1, running / Math.max(1, options.slots * statuses.length));
  }

  /** Logs the duration of the passes and what may prolong them. */
  function writePassLog(status: rankPeers.RankStatus): void {
    const nowMs = scheduler.now();
    if (nowMs - loggedAtMs < passLogIntervalMs) return;
    loggedAtMs = nowMs;
    logger.info("Passes of the group", {
      group: status.group,
      epoch: status.epoch,
      step: status.step,
      passMs: Math.round(passMs),
      stalledMs: Math.round(status.stalledMs),
      slowRanks: listStatuses(status)
        .filter(({ pace }) => pace > slowPace)
        .map(({ rank, pace }) => ({ rank, pace: trimDecimals(pace) })),
    });
  }

  /** Sets a bound on the passes of this epoch that this rank may have held. */
  function enterEpoch(status: rankPeers.RankStatus): void {
    if (enteredEpoch === status.epoch) return;
    // Orders of an earlier epoch have no effect. After a restart within the
    // epoch, the orders that this rank gave before the restart are unknown.
    lastHeldStep = options.isEpochNew(status.epoch)
      ? 0
      : status.step + switchRound.maxAheadPasses;
    enteredEpoch = status.epoch;
    switchStep = 0;
  }

  return {
    async tick(status) {
      enterEpoch(status);
      observePass(status);
      writePassLog(status);
      const popularity = await samplePopularity();
      const isDue = popularity !== undefined &&
        popularity.agreeingSamples >= minAgreeingSamples &&
        status.step >= switchStep &&
        scheduler.now() >= pausedUntilMs;
      if (isStalledOrHeld(status)) return await endHoldUnlessPaused(status);
      if (popularity === undefined || !isDue) return;
      const map = await findGroupMap(status);
      if (map === undefined) {
        pausedUntilMs = scheduler.now() + retryDelayMs;
        return;
      }
      const occupancy = computeOccupancy(status);
      const allowedSkew = idleSkewThreshold +
        occupancy * (busySkewThreshold - idleSkewThreshold);
      const { shares } = popularity;
      const paces = listPaces(status);
      const skew = boundedPlanner.measureSkew({ map, shares, paces });
      if (skew <= allowedSkew) return;
      return switchMap(status, { map, popularity, allowedSkew });
    },
    async watchHold(status) {
      enterEpoch(status);
      observePass(status);
      if (isStalledOrHeld(status)) await endHoldUnlessPaused(status);
    },
    getRoundStep: () => round?.getActiveStep(),
    reset() {
      window.reset();
    },
  };
}

/**
 * Chooses the route to a rank: calls are urgent once a pass is held, because the
 * whole group waits for the pass.
 */
function chooseRoute(
  effect: Exclude<switchRound.RoundEffect, { readonly kind: "finish" }>,
  phase: switchRound.RoundPhase,
  isExpectedSilent: boolean,
): rankCallRouter.CallOptions {
  if (phase === "preparing") {
    const timeoutMs = effect.kind === "read" ? readTimeoutMs : orderTimeoutMs;
    return { timeoutMs, route: "agent" };
  }
  if (phase === "confirming") {
    return { timeoutMs: confirmTimeoutMs, route: "agent" };
  }
  if (effect.kind === "read") {
    return isExpectedSilent
      ? { timeoutMs: stalledReadTimeoutMs, route: "agent" }
      : { timeoutMs: urgentReadTimeoutMs, route: "either" };
  }
  const { sender } = effect;
  return sender === undefined
    ? { timeoutMs: orderTimeoutMs, route: "either" }
    : { timeoutMs: orderTimeoutMs, route: "sender", sender };
}

function findHeldState(
  snapshots: GroupSnapshot,
): rankOrders.RankState | undefined {
  return snapshots
    .flatMap((snapshot) => snapshot?.report.state ?? [])
    .find(({ heldStep }) => heldStep !== undefined);
}

/** Whether a round of the rank's agent uses the hold. */
function isInRound(
  snapshot: RankSnapshot | undefined,
  held: rankOrders.RankState | undefined,
): boolean {
  return held?.heldStep !== undefined &&
    snapshot?.roundStep === held.heldStep;
}

function listSilentRanks(snapshots: GroupSnapshot): readonly number[] {
  return [...snapshots.keys()].filter((rank) => snapshots[rank] === undefined);
}

/**
 * Whether the snapshots suffice to end a hold or to rule one out: at most the
 * leader that placed the hold may be silent.
 */
function isConclusive(snapshots: GroupSnapshot): boolean {
  const silent = listSilentRanks(snapshots);
  const held = findHeldState(snapshots);
  const holdLeader = held &&
    switchRound.getHoldLeader(held.rank, snapshots.length);
  return silent.every((rank) => rank === holdLeader);
}

function convertAnswer(
  answer: rankRpc.RankAnswer | undefined,
  { call, rank }: { readonly call: number; readonly rank: number },
): switchRound.RoundEvent {
  switch (answer?.kind) {
    case "order": {
      const { outcome, isSentElsewhere } = answer;
      return { kind: "outcome", call, rank, outcome, isSentElsewhere };
    }
    case "report":
    case "experts":
      return { kind: "state", call, state: answer.report.state };
    case "silent":
    case undefined:
      return { kind: "late", call, rank };
  }
}

function describeAnswer(answer: rankRpc.RankAnswer | undefined): string {
  if (answer === undefined) return "none";
  return answer.kind === "order" ? answer.outcome.kind : answer.kind;
}

function trimDecimals(value: number): number {
  return Math.round(value * 100) / 100;
}
