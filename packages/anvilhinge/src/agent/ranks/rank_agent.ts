/**
 * The agent beside one rank: polls the engine, sends its status to the other
 * agents, executes the orders of the group's leader, and runs the leader's work
 * while it leads the group itself.
 */
import * as mapVersions from "@anvilhinge/coordination/maps/map_versions";
import type * as datagrams from "../../adapters/datagrams.ts";
import * as delay from "../../adapters/delay.ts";
import * as orderRelay from "../../adapters/order_relay.ts";
import type * as groupMessages from "../../ports/group_messages.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";
import * as callStats from "./call_stats.ts";
import * as entryLink from "./entry_link.ts";
import * as remoteEngine from "./remote_engine.ts";
import * as mapRebalancer from "./map_rebalancer.ts";
import * as stallDetector from "./stall_detector.ts";
import * as rankRpc from "./rank_rpc.ts";
import * as rankPeers from "./rank_peers.ts";
import * as rankCallRouter from "./rank_call_router.ts";

/** Properties of the group's engines that the leader needs. */
export interface GroupSpec
  extends Pick<mapRebalancer.MapRebalancerOptions, "experts" | "slots"> {
  /** Maximum age of a report that is read from another machine. */
  readonly reportLagMs: number;
}

interface StatusMessage {
  readonly kind: "status";
  readonly status: rankPeers.RankStatus;
}

export type RankMessage =
  | StatusMessage
  | rankRpc.CallMessage
  | rankRpc.ReceivedMessage
  | rankRpc.PollMessage
  | rankRpc.AnswerMessage
  | groupMessages.GroupReceivedMessage
  | groupMessages.RelayMessage
  | groupMessages.RelayedMessage;

export interface RankAgentOptions {
  /** Engine on the local machine. */
  readonly engine: rankEngine.RankEngine;
  /** Address of the local engine, as `host:port`. */
  readonly engineAddress: string;
  /** Opens the engine beside another agent. */
  readonly openEngine: (address: string) => rankEngine.RankEngine;
  readonly sockets: datagrams.Datagrams;
  /** Returns the length of a message as a datagram, in bytes. */
  readonly measureMessage: (message: object) => number;
  readonly scheduler: scheduler.Scheduler;
  readonly logger: logger.Logger;
  /** Distinguishes this process from earlier ones of the same rank. */
  readonly incarnation: string;
  /** False when the process was restarted on its machine. */
  readonly isFirstStart: boolean;
  readonly readWallMs: () => number;
  /**
   * Returns the longest delay of the event loop since the previous call, in
   * milliseconds.
   */
  readonly takeLoopDelayMs: () => number;
  /** Returns undefined until the spec has been read from the object store. */
  readonly getSpec: () => GroupSpec | undefined;
  /** Lists the addresses at which other agents may listen. */
  readonly listAddresses: () => readonly string[];
  /** Lists the addresses of the known entries; some may be down. */
  readonly listEntries: () => readonly string[];
  /** Stops the agent when aborted. */
  readonly signal: AbortSignal;
}

export interface RankAgent {
  handleMessage(message: RankMessage, from: string): void;
}

/** Interval between reads of the local engine; one tick of the status loop. */
const statusIntervalMs = 100;
/**
 * Ticks between status messages to the agents of the group. Candidates send their
 * status to each other in every tick.
 */
const groupStatusTicks = 10;
/**
 * Ticks between status messages to agents of other groups, which need them only
 * to notice that the groups were formed anew.
 */
const otherGroupStatusTicks = 100;
/** Interval between iterations of the leader; about one forward pass. */
const leaderIntervalMs = 50;
const maxCopiesPerRank = 4;
/** Relative change of the pace that is reported in the next tick. */
const minPaceChange = 0.1;
/** Lower ranks that are listed when the leader changes. */
const maxDescribedRanks = 3;
/** Margin that is added to the specified maximum lag of reports. */
const reportLagMarginMs = 50;
/** Assumed until the spec has been read. */
const defaultReportLagMs = 300;

const messageKinds: readonly unknown[] = [
  "status",
  "call",
  "received",
  "poll",
  "answer",
  "group_received",
  "relay",
  "relayed",
] satisfies readonly RankMessage["kind"][];

/** Whether a datagram contains a message for an agent. */
export function isRankMessage(message: unknown): message is RankMessage {
  const kind = (message as { readonly kind?: unknown } | null)?.kind;
  return messageKinds.includes(kind);
}

/** Starts one agent. */
export function startRankAgent(options: RankAgentOptions): RankAgent {
  const { engine, scheduler, signal, sockets, logger } = options;
  const peers = rankPeers.createRankPeers({ clock: scheduler });
  const stalls = stallDetector.createStallDetector();
  const stats = callStats.createCallStats();
  let rebalancer: mapRebalancer.MapRebalancer | undefined;
  const calls = rankRpc.createRankRpc({
    engine,
    scheduler,
    sockets,
    measureMessage: options.measureMessage,
    incarnation: options.incarnation,
    getRoundStep: () => rebalancer?.getRoundStep(),
    onCallEnd: stats.record,
  });
  const relays = orderRelay.createRelayClient({
    sockets,
    scheduler,
    incarnation: options.incarnation,
  });
  const relay = orderRelay.createOrderRelay({
    sockets,
    openEngine: options.openEngine,
  });
  const entries = entryLink.createEntryLink({
    sockets,
    clock: scheduler,
    listEntries: options.listEntries,
  });
  const callRank = rankCallRouter.createRankCallRouter({
    relays,
    findEntry: entries.findEntry,
    calls,
    peers,
    scheduler,
    openEngine: (address) =>
      remoteEngine.createRemoteEngine({
        engine: options.openEngine(address),
        scheduler,
        reportLagMs: reportLagMarginMs +
          (options.getSpec()?.reportLagMs ?? defaultReportLagMs),
      }),
  });
  let ownRank: number | undefined;
  /**
   * Epoch that was open at the first read of the engine; an earlier process of
   * this rank may have held passes in it.
   */
  let firstOpenEpoch: number | undefined;
  let tickCount = 0;
  /** Pace in the last status that was sent to all agents of the group. */
  let reportedPace = 1;
  let isLeading = false;

  function sendStatus(status: rankPeers.RankStatus): void {
    const message: StatusMessage = { kind: "status", status };
    const hasJoined = peers.listRecent().length > 0;
    const hasNewPace = Math.abs(status.pace / reportedPace - 1) > minPaceChange;
    const isForGroup = tickCount % groupStatusTicks === 0 || hasNewPace;
    if (hasJoined && !isForGroup) {
      for (const { address } of peers.listCandidates()) {
        sockets.send(message, address);
      }
      return;
    }
    reportedPace = status.pace;
    const live = peers.listLive().map(({ address }) => address);
    const isForAllGroups = tickCount % otherGroupStatusTicks === 0;
    for (const address of new Set([...options.listAddresses(), ...live])) {
      const group = peers.findGroup(address);
      const isOfGroup = group === undefined || group === status.group;
      if (isOfGroup || isForAllGroups) sockets.send(message, address);
    }
  }

  /** Whether no earlier process of this rank can have led in the epoch. */
  function isEpochNew(epoch: number): boolean {
    return options.isFirstStart || epoch !== firstOpenEpoch;
  }

  async function updateStatus(): Promise<void> {
    const report = await engine.readReport();
    if (report === undefined) return;
    tickCount += 1;
    const { state, group, size } = report;
    if (tickCount === 1 && state.isOpen) firstOpenEpoch = state.epoch;
    const status: rankPeers.RankStatus = {
      group,
      size,
      rank: state.rank,
      epoch: state.epoch,
      canLead: state.isOpen && options.getSpec() !== undefined,
      heldStep: state.heldStep,
      step: state.step,
      mapVersion: state.mapVersion,
      running: report.running,
      stalledMs: stalls.observe({
        atMs: scheduler.now(),
        epoch: state.epoch,
        step: state.step,
        isBusy: report.running + report.waiting > 0 && state.isOpen,
      }),
      pace: report.pace,
      engine: options.engineAddress,
    };
    peers.setOwn(status);
    sendStatus(status);
    updateLeadership(status);
    if (isLeading) entries.report(status, peers.listRecent());
  }

  function updateLeadership(status: rankPeers.RankStatus): void {
    const isElected = peers.isLeading();
    if (isElected !== isLeading) {
      isLeading = isElected;
      logger.info(isElected ? "Became the leader" : "No longer the leader", {
        group: status.group,
        rank: status.rank,
        epoch: status.epoch,
        live: peers.listLive().length + 1,
        lowerRanks: describeLowerRanks(status),
      });
    }
    if (!isElected) rebalancer?.reset();
  }

  /** Describes the ranks that would lead instead of this one. */
  function describeLowerRanks(
    { rank }: rankPeers.RankStatus,
  ): readonly Readonly<Record<string, unknown>>[] {
    return peers.listRecent().filter(({ status }) => status.rank < rank)
      .slice(0, maxDescribedRanks)
      .map(({ status, lastSeenAtMs }) => ({
        rank: status.rank,
        canLead: status.canLead,
        silentMs: Math.round(scheduler.now() - lastSeenAtMs),
      }));
  }

  /**
   * Runs the work of the leader or the deputy beside the status loop. An
   * iteration that has started, and its switch round, continue after another
   * agent has taken the role over; switch rounds tolerate that.
   */
  async function runLeaderLoop(): Promise<void> {
    while (!signal.aborted) {
      const status = peers.getOwn();
      const spec = options.getSpec();
      if (status !== undefined && spec !== undefined) {
        const { tick, watchHold } = getRebalancer(status, spec);
        if (isLeading) await tick(status);
        else if (peers.isDeputy()) await watchHold(status);
      }
      await delay.waitFor(scheduler, { delayMs: leaderIntervalMs, signal });
    }
  }

  function getRebalancer(
    status: rankPeers.RankStatus,
    group: GroupSpec,
  ): mapRebalancer.MapRebalancer {
    // Map versions contain the rank, which may change with the epoch.
    if (rebalancer !== undefined && ownRank === status.rank) return rebalancer;
    ownRank = status.rank;
    rebalancer = mapRebalancer.createMapRebalancer({
      engine,
      experts: group.experts,
      slots: group.slots,
      scheduler,
      logger,
      callRank,
      listPeers: peers.listRecent,
      takeCallSummary: stats.takeSummary,
      takeLoopDelayMs: options.takeLoopDelayMs,
      createVersion: mapVersions.createMapVersionGenerator({
        rank: status.rank,
        readWallMs: options.readWallMs,
      }),
      isEpochNew,
      maxCopiesPerRank,
    });
    return rebalancer;
  }

  async function runStatusLoop(): Promise<void> {
    while (!signal.aborted) {
      await updateStatus();
      await delay.waitFor(scheduler, { delayMs: statusIntervalMs, signal });
    }
  }

  void runStatusLoop();
  void runLeaderLoop();
  return {
    handleMessage(message, from) {
      if (message.kind !== "status") peers.recordMessage(from);
      switch (message.kind) {
        case "status":
          return peers.record(message.status, from);
        case "call":
          return calls.handleCall(message, from);
        case "received":
          return calls.handleReceived(message, from);
        case "poll":
          return calls.handlePoll(message, from);
        case "answer":
          return calls.handleAnswer(message, from);
        case "group_received":
          return entries.handleReceived(from);
        case "relay":
          return void relay.handle(message, from);
        case "relayed":
          return relays.handle(message);
      }
    },
  };
}
