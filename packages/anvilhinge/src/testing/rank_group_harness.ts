/**
 * A group of ranks in one process: engines that obey orders as real ones do, an
 * agent beside each, datagrams between them. Time moves by hand; agents freeze
 * and get lost on demand.
 */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import * as rankAgent from "../agent/ranks/rank_agent.ts";
import type * as rankEngine from "../ports/rank_engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as logger from "../telemetry/logger.ts";
import * as manualScheduler from "./manual_scheduler.ts";

export interface RankGroupHarnessOptions {
  readonly rankCount: number;
  /** Share of datagrams that get lost, each drawn from `random`. */
  readonly lossProbability?: number;
  readonly random?: () => number;
}

export interface RankGroupHarness {
  readonly scheduler: manualScheduler.ManualScheduler;
  /** Number of passes that were begun. */
  getStep(): number;
  /** Longest time without a pass since the last call, in milliseconds. */
  takeLongestStall(): number;
  /** Version of the map that a rank uses. */
  getMapVersion(rank: number): number;
  isPassHeld(): boolean;
  isArmed(rank: number): boolean;
  /** What broke the promise of one map a pass; undefined when nothing did. */
  getViolation(): string | undefined;
  /** Stops the process of an agent; it goes on where it was with `thaw`. */
  pauseAgent(rank: number): void;
  resumeAgent(rank: number): void;
  /** As `freeze`, and nobody else reaches the engine, which goes on. */
  stopMachine(rank: number): void;
  /** Moves the demand to other experts. */
  shiftDemand(): void;
  /** Number of orders that came from another machine. */
  countRemoteOrders(): number;
  /** Messages that agents logged. */
  readonly logMessages: readonly string[];
}

interface EngineState {
  map: { readonly version: number; readonly layers: rankOrders.MapLayers };
  prepared: EngineState["map"] | undefined;
  armed: rankOrders.ArmedSwitch | undefined;
  held: number | undefined;
}

interface Process {
  isFrozen: boolean;
  /** Whether other machines get no answer from the engine. */
  isCutOff: boolean;
  /** What fell due while it was frozen. */
  missed: (() => void)[];
}

const passMs = 40;
const epoch = 1;
const latencyMs = 1;
const copyMs = 150;
const reportLagMs = 200;
const answerTimeoutMs = 200;
const expertCount = 64;
const running = 6;
/** Neighbouring experts in demand, so that one rank holds most of them. */
const hotCount = 6;
const tokensPerPass = 400;

/** Creates the world and starts its agents; time stands still. */
export function createRankGroupHarness(
  options: RankGroupHarnessOptions,
): RankGroupHarness {
  const { rankCount, lossProbability: lostShare = 0, random = () => 1 } =
    options;
  const world = manualScheduler.createManualScheduler();
  const logged: string[] = [];
  const slotsPerRank = expertCount / rankCount + 2;
  const firstMap = [
    Array.from(
      { length: rankCount },
      (_, rank) =>
        Array.from(
          { length: slotsPerRank },
          (_, slot) => (rank * (slotsPerRank - 2) + slot) % expertCount,
        ),
    ),
  ];
  const engines: EngineState[] = Array.from({ length: rankCount }, () => ({
    map: { version: 1, layers: firstMap },
    prepared: undefined,
    armed: undefined,
    held: undefined,
  }));
  const processes: Process[] = engines.map(() => ({
    isFrozen: false,
    isCutOff: false,
    missed: [],
  }));
  const counts = Array.from({ length: expertCount }, () => 0);
  /** Reports as other machines see them, oldest first. */
  let history: {
    readonly atMs: number;
    readonly reports: readonly rankEngine.RankReport[];
  }[] = [];
  let firstHot = 0;
  let step = 0;
  let lastPassMs = 0;
  let longestStallMs = 0;
  let distantOrders = 0;
  let violation: string | undefined;

  function runIn(process: Process, task: () => void): void {
    if (process.isFrozen) process.missed.push(task);
    else task();
  }

  function createReport(rank: number): rankEngine.RankReport {
    const { map, prepared, armed, held } = engines[rank]!;
    return {
      group: "g",
      size: rankCount,
      startedAtMs: 0,
      running,
      waiting: 0,
      state: {
        rank,
        epoch,
        isOpen: true,
        step,
        sequence: 0,
        mapVersion: map.version,
        preparedVersion: prepared?.version,
        armed,
        heldStep: held,
      },
    };
  }

  function beginPass(): void {
    world.schedule(beginPass, { delayMs: passMs });
    const nowMs = world.now();
    if (engines.some(({ held }) => held === step + 1)) {
      longestStallMs = Math.max(longestStallMs, nowMs - lastPassMs);
      return;
    }
    step += 1;
    lastPassMs = nowMs;
    for (const engine of engines) {
      if (engine.armed?.step !== step) continue;
      engine.map = engine.prepared!;
      engine.prepared = undefined;
      engine.armed = undefined;
    }
    const maps = new Set(engines.map(({ map }) => map.version));
    if (maps.size > 1) violation ??= `pass ${step}: ${[...maps].join(" ")}`;
    for (const expert of counts.keys()) counts[expert]! += 2;
    for (let nth = 0; nth < hotCount; nth += 1) {
      const tokens = tokensPerPass / (nth + 1);
      counts[(firstHot + nth) % expertCount]! += tokens;
    }
  }

  function keepHistory(): void {
    const atMs = world.now();
    history = history.filter((kept) => atMs - kept.atMs < 2 * reportLagMs);
    history.push({
      atMs,
      reports: engines.map((_, rank) => createReport(rank)),
    });
    world.schedule(keepHistory, { delayMs: 5 });
  }

  function applyOrder(
    rank: number,
    order: rankOrders.RankOrder,
  ): rankOrders.OrderReply {
    const engine = engines[rank]!;
    switch (order.kind) {
      case "prepare": {
        const { version, layers } = order;
        if (version <= engine.map.version || engine.armed !== undefined) {
          return "refused";
        }
        world.schedule(() => {
          engine.prepared = { version, layers };
        }, { delayMs: copyMs });
        return "accepted";
      }
      case "arm": {
        const { version } = order;
        if (engine.prepared?.version !== version || step >= order.step) {
          return "refused";
        }
        engine.armed = { version, step: order.step };
        return "accepted";
      }
      case "disarm":
        if (engine.armed?.version === order.version) engine.armed = undefined;
        return "accepted";
      case "hold":
        if (step >= order.step || (engine.held ?? order.step) !== order.step) {
          return "refused";
        }
        engine.held = order.step;
        return "accepted";
      case "go":
        if (engine.held === order.step) engine.held = undefined;
        return "accepted";
    }
  }

  /** Answers after the way there and back; `silence` after the time-out. */
  function answer<Value, Silence>(
    { process, isDeaf, read, silence }: {
      readonly process: Process;
      readonly isDeaf: () => boolean;
      readonly read: () => Value;
      readonly silence: Silence;
    },
  ): Promise<Value | Silence> {
    return new Promise((resolve) => {
      world.schedule(() => {
        const value = isDeaf() ? silence : read();
        const delayMs = isDeaf() ? answerTimeoutMs : latencyMs;
        world.schedule(() => runIn(process, () => resolve(value)), { delayMs });
      }, { delayMs: latencyMs });
    });
  }

  function createEngine(
    rank: number,
    { process, isDistant }: {
      readonly process: Process;
      readonly isDistant: boolean;
    },
  ): rankEngine.RankEngine {
    function readLagged(): rankEngine.RankReport {
      const dueMs = world.now() - reportLagMs;
      const seen = history.findLast(({ atMs }) => atMs <= dueMs) ?? history[0];
      return seen!.reports[rank]!;
    }
    const isDeaf = () => isDistant && processes[rank]!.isCutOff;
    function ask<Value>(read: () => Value): Promise<Value | undefined> {
      return answer({ process, isDeaf, read, silence: undefined });
    }
    return {
      readReport: () =>
        ask(() => isDistant ? readLagged() : createReport(rank)),
      readCounts: () => ask(() => ({ epoch, counts: [...counts] })),
      readExperts: () =>
        ask(() => {
          const { version, layers } = engines[rank]!.map;
          const experts = layers.map((ranks) => ranks[rank]!);
          return { epoch, version, experts };
        }),
      sendOrder(order) {
        if (isDistant) distantOrders += 1;
        const read = () => applyOrder(rank, order);
        return answer({ process, isDeaf, read, silence: "unknown" as const });
      },
    };
  }

  const log: logger.Logger = {
    debug: () => {},
    info: (message) => logged.push(message),
    warn: (message) => logged.push(message),
    error: (message) => logged.push(message),
    infoRateLimited: () => {},
    warnOnce: () => {},
  };
  const agents: rankAgent.RankAgent[] = [];
  const getAddress = (rank: number) => `rank-${rank}:1`;

  function sendDatagram(from: number, message: unknown, address: string): void {
    const to = engines.findIndex((_, rank) => getAddress(rank) === address);
    if (random() < lostShare || !rankAgent.isRankMessage(message)) return;
    world.schedule(() => {
      runIn(processes[to]!, () => {
        agents[to]?.handleMessage(message, getAddress(from));
      });
    }, { delayMs: latencyMs });
  }

  function startAgent(rank: number): rankAgent.RankAgent {
    const process = processes[rank]!;
    const ownScheduler: scheduler.Scheduler = {
      now: () => world.now(),
      schedule: (callback, { delayMs, signal }) =>
        world.schedule(
          () =>
            runIn(process, () => {
              if (!signal?.aborted) callback();
            }),
          { delayMs, ...(signal === undefined ? {} : { signal }) },
        ),
    };
    return rankAgent.startRankAgent({
      engine: createEngine(rank, { process, isDistant: false }),
      engineAddress: `engine-${rank}:1`,
      openEngine: (address) =>
        createEngine(Number(/\d+/.exec(address)?.[0]), {
          process,
          isDistant: true,
        }),
      sockets: {
        send: (message, address) => sendDatagram(rank, message, address),
      },
      scheduler: ownScheduler,
      logger: log,
      incarnation: `process-${rank}`,
      isFirstStart: true,
      readWallMs: () => world.now() + 1_000_000,
      getSpec: () => ({
        slots: 8,
        reportLagMs,
        experts: {
          sets: 1,
          expertsPerSet: expertCount,
          slotsPerRank,
          maxNewPerRank: 2,
          expertMegabytes: 2_500,
          linkMegabitsPerSecond: 180_000,
          workShare: 0.85,
        },
      }),
      listAddresses: () =>
        engines.flatMap((_, other) => other === rank ? [] : getAddress(other)),
      signal: new AbortController().signal,
    });
  }

  keepHistory();
  beginPass();
  for (const rank of engines.keys()) agents.push(startAgent(rank));

  return {
    scheduler: world,
    getStep: () => step,
    takeLongestStall() {
      const found = longestStallMs;
      longestStallMs = 0;
      return found;
    },
    getMapVersion: (rank) => engines[rank]!.map.version,
    isPassHeld: () => engines.some(({ held }) => held !== undefined),
    isArmed: (rank) => engines[rank]!.armed !== undefined,
    getViolation: () => violation,
    pauseAgent(rank) {
      processes[rank]!.isFrozen = true;
    },
    stopMachine(rank) {
      processes[rank]!.isFrozen = true;
      processes[rank]!.isCutOff = true;
    },
    resumeAgent(rank) {
      const process = processes[rank]!;
      process.isFrozen = false;
      process.isCutOff = false;
      for (const task of process.missed.splice(0)) task();
    },
    shiftDemand() {
      firstHot = (firstHot + 2 * hotCount + 1) % expertCount;
    },
    countRemoteOrders: () => distantOrders,
    logMessages: logged,
  };
}
