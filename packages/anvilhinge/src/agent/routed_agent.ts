/**
 * An agent beside a rank of a routed service: watches its engine, carries out
 * the orders of the group's leader, and leads itself when its turn comes.
 */
import * as nodeCrypto from "node:crypto";
import * as mapVersions from "@anvilhinge/coordination/maps/map_versions";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as hostPort from "../adapters/address.ts";
import * as datagrams from "../adapters/datagrams.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as rankEngine from "../ports/rank_engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as routedProcess from "../settings/routed_process.ts";
import * as routedLogger from "../telemetry/routed_logger.ts";
import type * as routingView from "../entry/routing/routing_view.ts";
import * as mapDuty from "./ranks/map_duty.ts";
import * as rankCalls from "./ranks/rank_calls.ts";
import * as rankPeers from "./ranks/rank_peers.ts";

/** Adapters between the agent and one platform. */
export interface AgentPlatform {
  createStore(options: {
    readonly address: string;
    readonly scheduler: scheduler.Scheduler;
    readonly signal: AbortSignal;
  }): objectStore.ObjectStore;
  readonly source: routingView.RoutingSource;
  createRankEngine(options: {
    readonly address: string;
    /** Longest wait for an answer to a read, in milliseconds. */
    readonly readTimeoutMs: number;
    /** The same for an order. */
    readonly orderTimeoutMs: number;
    readonly signal: AbortSignal;
  }): rankEngine.RankEngine;
}

export interface RoutedAgentOptions {
  readonly settings: routedProcess.RoutedAgentSettings;
  readonly platform: AgentPlatform;
  /** Asks for a graceful stop. */
  readonly signal: AbortSignal;
}

interface StatusMessage {
  readonly kind: "status";
  readonly status: rankPeers.RankStatus;
}

/** What the leader must know of the group's engines. */
type GroupSpec = Pick<mapDuty.MapDutyOptions, "experts" | "slots">;

type Message =
  | StatusMessage
  | rankCalls.CallMessage
  | rankCalls.AnswerMessage;

/** Longest wait for the engine on the own machine. */
const engineTimeoutMs = 60;
/** Orders take effect or get lost; a repetition is harmless. */
const engineOrderTimeoutMs = 30;
/** Time between two looks at the own engine. */
const statusTurnMs = 100;
/** Turns between two statuses to all ranks, for the ranks that may lead next. */
const candidateTurns = 2;
/** The same for all others. */
const helloTurns = 10;
/** Time between two turns of the leader; about a pass. */
const leaderTurnMs = 50;
const maxCopiesPerRank = 2;
/** Time between two reads of the store while something is unknown. */
const storeRetryMs = 1_000;
/** Time between two reads of the list of upstreams. */
const storeRefreshMs = 15_000;

function isMessage(message: unknown): message is Message {
  const kind = (message as { readonly kind?: unknown } | null)?.kind;
  return kind === "status" || kind === "call" || kind === "answer";
}

/** Runs the agent until it is asked to stop. */
export async function runRoutedAgent(
  { settings, platform, signal: asked }: RoutedAgentOptions,
): Promise<void> {
  const abort = new AbortController();
  const { signal } = abort;
  const clock = systemScheduler.createSystemScheduler();
  const log = routedLogger.createRoutedLogger({
    part: "agent",
    level: settings.log.level,
    clock,
  });
  const engine = platform.createRankEngine({
    address: settings.upstream,
    readTimeoutMs: engineTimeoutMs,
    orderTimeoutMs: engineOrderTimeoutMs,
    signal,
  });
  const store = platform.createStore({
    address: settings.store,
    scheduler: clock,
    signal,
  });
  const peers = rankPeers.createRankPeers({ clock });
  const { port } = hostPort.parseAddress(settings.peers);
  const own = hostPort.parseAddress(settings.peers);
  let addresses: readonly string[] = [];
  let spec: GroupSpec | undefined;
  let duty: mapDuty.MapDuty | undefined;
  /** Epoch that was open when the process first looked. */
  let firstOpenEpoch: number | undefined;
  let turns = 0;
  let isLeading = false;
  let handleMessage: (message: Message, from: string) => void = () => {};
  const sockets = await datagrams.openDatagrams({
    address: settings.peers,
    signal,
    onFailure: (reason) => log.warnOnce(`datagrams/${reason}`, reason),
    onMessage(message, from) {
      if (isMessage(message)) handleMessage(message, from);
    },
  });
  const calls = rankCalls.createRankCalls({
    engine,
    scheduler: clock,
    sockets,
    incarnation: nodeCrypto.randomUUID(),
  });

  function wait(delayMs: number): Promise<void> {
    return new Promise((resolve) =>
      clock.schedule(resolve, { delayMs, signal })
    );
  }

  /** Learns the group's engines and where the other agents listen. */
  async function readStore(): Promise<boolean> {
    const [routingList, upstreams] = await Promise.all([
      spec === undefined
        ? store.list(platform.source.routingPrefix, { allowsStale: true })
        : undefined,
      store.list(platform.source.upstreamsPrefix, { allowsStale: true }),
    ]);
    const found = routingList?.kind === "listed"
      ? routingList.objects.flatMap((object) =>
        platform.source.decodeRouting(object) ?? []
      )[0]
      : undefined;
    const engineSpec = found?.services
      .find(({ name }) => name === settings.service)?.engine;
    if (engineSpec?.experts !== undefined) {
      const { experts, slots } = engineSpec;
      spec ??= { experts, slots };
    }
    if (upstreams.kind === "unavailable") return false;
    const hosts = upstreams.objects
      .flatMap((object) => platform.source.decodeUpstream(object) ?? [])
      .filter(({ service }) => service === settings.service)
      .map(({ address }) => hostPort.parseAddress(address).host)
      .filter((host) => host !== own.host);
    addresses = [...new Set(hosts)].map((host) => `${host}:${port}`);
    return spec !== undefined && addresses.length > 0;
  }

  async function followStore(): Promise<void> {
    while (!signal.aborted) {
      const isKnown = await readStore();
      await wait(isKnown ? storeRefreshMs : storeRetryMs);
    }
  }

  function sendStatus(status: rankPeers.RankStatus): void {
    const message: StatusMessage = { kind: "status", status };
    const interval = peers.isCandidate() ? candidateTurns : helloTurns;
    if (turns % interval !== 0) return;
    const heard = peers.listLive().map(({ address }) => address);
    for (const address of new Set([...addresses, ...heard])) {
      sockets.send(message, address);
    }
  }

  function isEpochNew(epoch: number): boolean {
    return settings.isFirstStart || epoch !== firstOpenEpoch;
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
      canLead: state.isOpen && spec !== undefined,
      heldStep: state.heldStep,
      step: state.step,
    };
    peers.setOwn(status);
    sendStatus(status);
    noteLeading(status);
  }

  function noteLeading(status: rankPeers.RankStatus): void {
    const leads = peers.isLeading();
    if (leads !== isLeading) {
      isLeading = leads;
      log.info(leads ? "Leads the group" : "No longer leads the group", {
        group: status.group,
        rank: status.rank,
        epoch: status.epoch,
        live: peers.listLive().length + 1,
      });
    }
    if (!leads) duty?.rest();
  }

  /** Takes turns while this agent leads; its statuses go on meanwhile. */
  async function lead(): Promise<void> {
    while (!signal.aborted) {
      const status = peers.getOwn();
      if (isLeading && status !== undefined && spec !== undefined) {
        await getDuty(status, spec).takeTurn(status);
      }
      await wait(leaderTurnMs);
    }
  }

  function getDuty(
    status: rankPeers.RankStatus,
    group: GroupSpec,
  ): mapDuty.MapDuty {
    duty ??= mapDuty.createMapDuty({
      engine,
      ...group,
      scheduler: clock,
      logger: log,
      callRank,
      createVersion: mapVersions.createMapVersions({
        rank: status.rank,
        readWallMs: Date.now,
      }),
      isEpochNew,
      maxCopiesPerRank,
    });
    return duty;
  }

  const callRank: mapDuty.CallRank = async (rank, call, options) => {
    if (rank === peers.getOwn()?.rank) return await calls.execute(call);
    const peer = peers.find(rank);
    return peer === undefined
      ? undefined
      : await calls.call(peer.address, call, options);
  };

  async function takeTurns(): Promise<void> {
    while (!signal.aborted) {
      await takeTurn();
      await wait(statusTurnMs);
    }
  }

  handleMessage = (message, from) => {
    switch (message.kind) {
      case "status":
        return peers.record(message.status, from);
      case "call":
        return calls.handleCall(message, from);
      case "answer":
        return calls.handleAnswer(message);
    }
  };
  log.info("Starts", { id: settings.id, upstream: settings.upstream });
  void followStore();
  void takeTurns();
  void lead();
  await abortSignal.waitForAbort(asked);
  log.info("Stopped");
  abort.abort();
}
