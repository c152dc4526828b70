/**
 * The work of an agent beside one rank: watches the engine, tells the other
 * agents of it, carries out the orders of the group's leader, and leads itself
 * when its turn comes.
 */
import * as mapVersions from "@anvilhinge/coordination/maps/map_versions";
import type * as datagrams from "../../adapters/datagrams.ts";
import * as delay from "../../adapters/delay.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";
import * as remoteEngine from "./remote_engine.ts";
import * as mapRebalancer from "./map_rebalancer.ts";
import * as stallDetector from "./stall_detector.ts";
import * as rankRpc from "./rank_rpc.ts";
import * as rankPeers from "./rank_peers.ts";
import * as rankCallRouter from "./rank_call_router.ts";

/** What the leader must know of the group's engines. */
export interface GroupSpec
  extends Pick<mapRebalancer.MapRebalancerOptions, "experts" | "slots"> {
  /** Age that reports have that are read from another machine. */
  readonly reportLagMs: number;
}

interface StatusMessage {
  readonly kind: "status";
  readonly status: rankPeers.RankStatus;
}

export type RankMessage =
  | StatusMessage
  | rankRpc.CallMessage
  | rankRpc.AnswerMessage;

export interface RankAgentOptions {
  /** Engine on the own machine. */
  readonly engine: rankEngine.RankEngine;
  /** Address of that engine, as `host:port`. */
  readonly engineAddress: string;
  /** Opens the engine of another agent. */
  readonly openEngine: (address: string) => rankEngine.RankEngine;
  readonly sockets: datagrams.Datagrams;
  readonly scheduler: scheduler.Scheduler;
  readonly logger: logger.Logger;
  /** Distinguishes this process from earlier ones of the same rank. */
  readonly incarnation: string;
  /** False when the process was started again on its machine. */
  readonly isFirstStart: boolean;
  readonly readWallMs: () => number;
  /** Returns undefined while it is not known. */
  readonly getSpec: () => GroupSpec | undefined;
  /** Lists the addresses at which other agents may listen. */
  readonly listAddresses: () => readonly string[];
  /** Ends all work. */
  readonly signal: AbortSignal;
}

export interface RankAgent {
  handleMessage(message: RankMessage, from: string): void;
}

/** Time between two looks at the own engine. */
const statusTurnMs = 100;
/** Turns between two statuses to all ranks, for the ranks that may lead next. */
const candidateTurns = 1;
/** The same for all others. */
const helloTurns = 10;
/** Time between two turns of the leader; about a pass. */
const leaderTurnMs = 50;
const maxCopiesPerRank = 2;
/** Time that is waited beyond the age that reports are said to have. */
const reportLagSlackMs = 50;
const defaultReportLagMs = 300;

/** Whether a datagram holds a message for an agent. */
export function isRankMessage(message: unknown): message is RankMessage {
  const kind = (message as { readonly kind?: unknown } | null)?.kind;
  return kind === "status" || kind === "call" || kind === "answer";
}

/** Starts the work of one agent. */
export function startRankAgent(options: RankAgentOptions): RankAgent {
  const { engine, scheduler, signal, sockets, logger } = options;
  const peers = rankPeers.createRankPeers({ clock: scheduler });
  const passes = stallDetector.createStallDetector();
  const calls = rankRpc.createRankRpc({
    engine,
    scheduler,
    sockets,
    incarnation: options.incarnation,
  });
  const callRank = rankCallRouter.createRankCallRouter({
    calls,
    peers,
    scheduler,
    openEngine: (address) =>
      remoteEngine.createRemoteEngine({
        engine: options.openEngine(address),
        scheduler,
        reportLagMs: reportLagSlackMs +
          (options.getSpec()?.reportLagMs ?? defaultReportLagMs),
      }),
  });
  let duty: mapRebalancer.MapRebalancer | undefined;
  let dutyRank: number | undefined;
  /** Epoch that was open when the process first looked. */
  let firstOpenEpoch: number | undefined;
  let turns = 0;
  let isLeading = false;

  function sendStatus(status: rankPeers.RankStatus): void {
    const message: StatusMessage = { kind: "status", status };
    const interval = peers.isCandidate() ? candidateTurns : helloTurns;
    if (turns % interval !== 0) return;
    const heard = peers.listLive().map(({ address }) => address);
    for (const address of new Set([...options.listAddresses(), ...heard])) {
      sockets.send(message, address);
    }
  }

  function isEpochNew(epoch: number): boolean {
    return options.isFirstStart || epoch !== firstOpenEpoch;
  }

  async function takeTurn(): Promise<void> {
    const report = await engine.readReport();
    if (report === undefined) return;
    turns += 1;
    const { state, group, size } = report;
    if (turns === 1 && state.isOpen) firstOpenEpoch = state.epoch;
    const status: rankPeers.RankStatus = {
      group,
      size,
      rank: state.rank,
      epoch: state.epoch,
      canLead: state.isOpen && options.getSpec() !== undefined,
      heldStep: state.heldStep,
      step: state.step,
      stalledMs: passes.observe({
        atMs: scheduler.now(),
        epoch: state.epoch,
        step: state.step,
        isBusy: report.running + report.waiting > 0 && state.isOpen,
      }),
      engine: options.engineAddress,
    };
    peers.setOwn(status);
    sendStatus(status);
    noteLeading(status);
  }

  function noteLeading(status: rankPeers.RankStatus): void {
    const leads = peers.isLeading();
    if (leads !== isLeading) {
      isLeading = leads;
      logger.info(leads ? "Leads the group" : "No longer leads the group", {
        group: status.group,
        rank: status.rank,
        epoch: status.epoch,
        live: peers.listLive().length + 1,
      });
    }
    if (!leads) duty?.reset();
  }

  /** Takes turns while this agent leads; its statuses go on meanwhile. */
  async function lead(): Promise<void> {
    while (!signal.aborted) {
      const status = peers.getOwn();
      const spec = options.getSpec();
      if (isLeading && status !== undefined && spec !== undefined) {
        await getDuty(status, spec).tick(status);
      }
      await delay.waitFor(scheduler, { delayMs: leaderTurnMs, signal });
    }
  }

  function getDuty(
    status: rankPeers.RankStatus,
    group: GroupSpec,
  ): mapRebalancer.MapRebalancer {
    // Versions carry the rank, which another epoch may change.
    if (duty !== undefined && dutyRank === status.rank) return duty;
    dutyRank = status.rank;
    duty = mapRebalancer.createMapRebalancer({
      engine,
      experts: group.experts,
      slots: group.slots,
      scheduler,
      logger,
      callRank,
      createVersion: mapVersions.createMapVersionGenerator({
        rank: status.rank,
        readWallMs: options.readWallMs,
      }),
      isEpochNew,
      maxCopiesPerRank,
    });
    return duty;
  }

  async function takeTurns(): Promise<void> {
    while (!signal.aborted) {
      await takeTurn();
      await delay.waitFor(scheduler, { delayMs: statusTurnMs, signal });
    }
  }

  void takeTurns();
  void lead();
  return {
    handleMessage(message, from) {
      switch (message.kind) {
        case "status":
          return peers.record(message.status, from);
        case "call":
          return calls.handleCall(message, from);
        case "answer":
          return calls.handleAnswer(message);
      }
    },
  };
}
