/**
 * Work of a group's leading agent: observes the popularity of the experts,
 * plans an expert map that balances the load of the ranks, and switches the
 * group to that map. Also ends holds that another leader abandoned.
 */
import * as boundedPlanner from "@anvilhinge/coordination/maps/bounded_planner";
import * as countsWindow from "@anvilhinge/coordination/maps/counts_window";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as routing from "../../settings/routing.ts";
import type * as logger from "../../telemetry/logger.ts";
import * as groupReader from "./group_reader.ts";
import type * as rankPeers from "./rank_peers.ts";
import type * as rankCallRouter from "./rank_call_router.ts";
import * as roundRunner from "./round_runner.ts";

export interface MapRebalancerOptions extends roundRunner.RoundRunnerOptions {
  readonly engine: rankEngine.RankEngine;
  readonly experts: routing.ExpertSpec;
  /** Requests that one rank runs concurrently. */
  readonly slots: number;
  readonly logger: logger.Logger;
  /** Lists the recently seen agents of the group. */
  readonly listPeers: () => readonly rankPeers.RankPeer[];
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

/** Read of a rank before anything is held. */
const plannedRead: rankCallRouter.CallOptions = {
  timeoutMs: 250,
  route: "agent",
};
/**
 * Time without a new forward pass after which a busy group is checked for a
 * hold.
 */
const stallThresholdMs = 300;
/** Stall threshold in passes, for groups whose passes take long. */
const stallThresholdPasses = 4;
/** Time for which no round needs to hold a pass of an idle group. */
const abandonedHoldMs = 1_000;
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
  const reader = groupReader.createGroupReader(options);
  const rounds = roundRunner.createRoundRunner(options);
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
  let enteredEpoch: number | undefined;
  let countsEpoch: number | undefined;
  let pausedUntilMs = -Infinity;
  /** Map that the group uses or, until `switchStep`, will use. */
  let groupMap: groupReader.GroupMap | undefined;
  let loggedAtMs = -Infinity;
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

  /** Returns the map that the group uses; undefined if it can't be read. */
  async function findGroupMap(
    status: rankPeers.RankStatus,
  ): Promise<groupReader.GroupMap | undefined> {
    const isKnown = groupMap?.epoch === status.epoch &&
      groupMap.version === status.mapVersion;
    if (isKnown) return groupMap;
    const snapshots = await reader.readSnapshots(status, plannedRead);
    const { epoch } = status;
    groupMap = groupReader.listSilentRanks(snapshots).length === 0
      ? groupReader.mergeMap(snapshots, { epoch, experts })
      : undefined;
    return groupMap;
  }

  /** Searches a group that may be stalled by a hold, and ends the hold. */
  async function endHold(status: rankPeers.RankStatus): Promise<void> {
    pausedUntilMs = scheduler.now() + retryDelayMs;
    const first = await reader.readSnapshots(status, {
      timeoutMs: roundRunner.stalledReadTimeoutMs,
      route: "agent",
    });
    const snapshots = groupReader.isConclusive(first)
      ? first
      : await reader.readSnapshots(status, {
        timeoutMs: roundRunner.urgentReadTimeoutMs,
        route: "either",
      });
    const held = groupReader.findHeldState(snapshots);
    const isConclusive = groupReader.isConclusive(snapshots);
    if (held === undefined && isConclusive) return;
    // The agent that uses the hold ends it itself.
    if (groupReader.isHoldInUse(snapshots, held)) return;
    const { epoch } = status;
    const map = isConclusive
      ? groupReader.mergeMap(snapshots, { epoch, experts })
      : undefined;
    if (held?.heldStep === undefined || map === undefined) {
      logger.warn("The group is stalled and its state can't be determined", {
        group: status.group,
        epoch: status.epoch,
        stalledMs: Math.round(status.stalledMs),
        silentRanks: groupReader.listSilentRanks(snapshots),
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
    const [silentRank] = groupReader.listSilentRanks(snapshots);
    logger.warn("Ending an abandoned hold", { ...details, silentRank });
    const result = await rounds.run(status, {
      kind: "clear",
      heldRank: rank,
      heldStep,
      currentLayers: map.layers,
    }, { computeLeadPasses, baseMap: map, silentRank });
    logger.info("Round to end an abandoned hold finished", {
      ...details,
      ...result,
    });
  }

  async function switchMap(
    status: rankPeers.RankStatus,
    { map, popularity, allowedSkew }: {
      readonly map: groupReader.GroupMap;
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
    const states = await reader.readStates(status, plannedRead);
    if (states === undefined) {
      pausedUntilMs = scheduler.now() + retryDelayMs;
      return;
    }
    const result = await rounds.run(status, {
      kind: "start",
      layers: plan.map.layers,
      currentLayers: map.layers,
      states,
    }, { computeLeadPasses, baseMap: map });
    const { outcome, phaseMs } = result;
    const isSwitched = outcome.kind === "switched";
    const { holding = 0, confirming = 0, opening = 0, arming = 0 } = phaseMs;
    const spentMs = holding + confirming + opening + arming;
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

  function enterEpoch(status: rankPeers.RankStatus): void {
    rounds.enterEpoch(status);
    if (enteredEpoch !== status.epoch) switchStep = 0;
    enteredEpoch = status.epoch;
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
    getRoundStep: rounds.getRoundStep,
    reset() {
      window.reset();
    },
  };
}

function trimDecimals(value: number): number {
  return Math.round(value * 100) / 100;
}
