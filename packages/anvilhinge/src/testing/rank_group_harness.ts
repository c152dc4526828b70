/**
 * Test harness for a group of ranks: simulated engines that execute orders like
 * real engines, a real agent for each, and simulated datagrams between the
 * agents. The test advances the time and can pause or cut off agents.
 */
import * as boundedPlanner from "@anvilhinge/coordination/maps/bounded_planner";
import * as groupReports from "@anvilhinge/coordination/dispatch/group_reports";
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import * as datagrams from "../adapters/datagrams.ts";
import * as groupLink from "../entry/choice/group_link.ts";
import * as rankAgent from "../agent/ranks/rank_agent.ts";
import type * as rankEngine from "../ports/rank_engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as logger from "../telemetry/logger.ts";
import * as manualScheduler from "./manual_scheduler.ts";

export interface RankGroupHarnessOptions {
  readonly rankCount: number;
  /**
   * Probability that a datagram is lost, drawn from `random`.
   * @default 0
   */
  readonly lossProbability?: number;
  readonly random?: () => number;
  /**
   * Number of layers, each with its own experts.
   * @default 1
   */
  readonly layerCount?: number;
  /** @default 64 */
  readonly expertCount?: number;
  /**
   * Draws the tokens of each expert for one pass, by layer and expert.
   * @default tokens mostly for a few consecutive experts
   */
  readonly drawDemand?: (layerCount: number, expertCount: number) => number[];
  /**
   * Experts of one layer that a rank can hold.
   * @default `expertCount / rankCount + 2`
   */
  readonly slotsPerRank?: number;
  /**
   * Bandwidth of each machine's link, in bytes per millisecond. Datagrams queue
   * on the link of their sender and on that of their receiver.
   * @default Infinity
   */
  readonly linkBytesPerMs?: number;
  /**
   * Bytes that may queue on the link of a sender; further datagrams are lost.
   * @default Infinity
   */
  readonly linkQueueBytes?: number;
  /**
   * Whether the agents know an entry.
   * @default false
   */
  readonly hasEntry?: boolean;
}

export interface RankGroupHarness {
  readonly scheduler: manualScheduler.ManualScheduler;
  /** Number of the current forward pass. */
  getStep(): number;
  /**
   * Returns the longest stall since the previous call in milliseconds: the time
   * since the start of the last pass, while the next pass is held back.
   */
  takeLongestStall(): number;
  /** Returns the version of the map that a rank uses. */
  getMapVersion(rank: number): number;
  /** Whether any engine holds back a pass. */
  isPassHeld(): boolean;
  /** Whether the engine of a rank is armed to switch its map. */
  isArmed(rank: number): boolean;
  /** Describes the first pass that ranks ran with different maps, if any. */
  getViolation(): string | undefined;
  /** Pauses the process of an agent; `resumeAgent` runs what it missed. */
  pauseAgent(rank: number): void;
  resumeAgent(rank: number): void;
  /**
   * Pauses an agent and makes its engine unreachable for other machines; the
   * engine keeps running. `resumeAgent` ends both.
   */
  isolateMachine(rank: number): void;
  /** Loses the status messages of an agent from now on, or no more. */
  setStatusLost(rank: number, isLost: boolean): void;
  /** Returns the rank of the agent that sent the last order to hold a pass. */
  getHoldSender(): number | undefined;
  /** Stops the entry that answers the agents, or starts it again. */
  setEntryDown(isDown: boolean): void;
  /** Sets the time for a unit of work of a rank, relative to a sound rank. */
  setPace(rank: number, pace: number): void;
  /** Returns the skew of the map in use under the current demand and paces. */
  measureSkew(): number;
  /** Shifts the demand to other experts. */
  shiftDemand(): void;
  /** Returns the number of orders sent to an engine on another machine. */
  countRemoteOrders(): number;
  /** Messages logged by the agents. */
  readonly logMessages: readonly string[];
  /** Ranks whose agents became the leader, in order. */
  readonly leaders: readonly number[];
}

interface EngineState {
  map: { readonly version: number; readonly layers: rankOrders.MapLayers };
  prepared: EngineState["map"] | undefined;
  armed: rankOrders.ArmedSwitch | undefined;
  heldStep: number | undefined;
  /** Highest version that the engine was ordered to prepare. */
  highestVersion: number;
}

interface Process {
  isPaused: boolean;
  isStatusLost: boolean;
  /** Whether other machines get no answer from the engine. */
  isCutOff: boolean;
  /** Tasks that became due while the process was paused. */
  deferred: (() => void)[];
}

/** Interval between the starts of forward passes. */
const passMs = 40;
const epoch = 1;
const entryAddress = "entry:1";
/** One-way network latency. */
const latencyMs = 1;
/** Headers of a datagram on the link. */
const datagramOverheadBytes = 46;
/** Time until an engine has loaded the weights of a prepared map. */
const prepareMs = 150;
/** Age of the reports that other machines receive. */
const reportLagMs = 200;
/** Time after which a call to an unreachable engine fails. */
const answerTimeoutMs = 200;
const defaultExpertCount = 64;
const runningRequests = 6;
/** Experts in demand; consecutive, so that one rank holds most of them. */
const hotExpertCount = 6;
/** Tokens per pass for the expert most in demand. */
const tokensPerPass = 400;

/** Demand for a few experts, for others at each draw. */
function createHotExperts(): NonNullable<
  RankGroupHarnessOptions["drawDemand"]
> {
  let drawCount = 0;
  return (layerCount, expertCount) => {
    const firstHot = drawCount * (2 * hotExpertCount + 1);
    drawCount += 1;
    const demand = Array.from({ length: layerCount * expertCount }, () => 2);
    for (let layer = 0; layer < layerCount; layer += 1) {
      for (let index = 0; index < hotExpertCount; index += 1) {
        const expert = (firstHot + index) % expertCount;
        demand[layer * expertCount + expert]! += tokensPerPass / (index + 1);
      }
    }
    return demand;
  };
}

/** Creates the harness and starts the agents; time does not move yet. */
export function createRankGroupHarness(
  options: RankGroupHarnessOptions,
): RankGroupHarness {
  const { rankCount, lossProbability = 0, random = () => 1 } = options;
  const {
    layerCount = 1,
    expertCount = defaultExpertCount,
    slotsPerRank = expertCount / rankCount + 2,
    linkBytesPerMs = Infinity,
    linkQueueBytes = Infinity,
  } = options;
  const manual = manualScheduler.createManualScheduler();
  const logged: string[] = [];
  const leaders: number[] = [];
  const expertsPerRank = expertCount / rankCount;
  const initialLayers = Array.from(
    { length: layerCount },
    () =>
      Array.from(
        { length: rankCount },
        (_, rank) =>
          Array.from(
            { length: slotsPerRank },
            (_, slot) => (rank * expertsPerRank + slot) % expertCount,
          ),
      ),
  );
  const engines: EngineState[] = Array.from({ length: rankCount }, () => ({
    map: { version: 1, layers: initialLayers },
    prepared: undefined,
    armed: undefined,
    heldStep: undefined,
    highestVersion: 1,
  }));
  const processes: Process[] = engines.map(() => ({
    isPaused: false,
    isStatusLost: false,
    isCutOff: false,
    deferred: [],
  }));
  /** By layer, then by expert. */
  const tokensByExpert = Array.from(
    { length: layerCount * expertCount },
    () => 0,
  );
  /** Times from which the links of the machines are free, by rank. */
  const sendingUntilMs = engines.map(() => 0);
  const receivingUntilMs = engines.map(() => 0);
  /** Recent reports of all ranks, oldest first, for the lagging reads. */
  let history: {
    readonly atMs: number;
    readonly reports: readonly rankEngine.RankReport[];
  }[] = [];
  const paces = engines.map(() => 1);
  const drawDemand = options.drawDemand ?? createHotExperts();
  let demand = drawDemand(layerCount, expertCount);
  let step = 0;
  let lastPassMs = 0;
  let longestStallMs = 0;
  let remoteOrders = 0;
  let holdSender: number | undefined;
  let violation: string | undefined;

  function runInProcess(process: Process, task: () => void): void {
    if (process.isPaused) process.deferred.push(task);
    else task();
  }

  function createReport(rank: number): rankEngine.RankReport {
    const { map, prepared, armed, heldStep } = engines[rank]!;
    return {
      group: "g",
      size: rankCount,
      startedAtMs: 0,
      running: runningRequests,
      waiting: 0,
      pace: paces[rank]!,
      state: {
        rank,
        epoch,
        isOpen: true,
        step,
        sequence: 0,
        mapVersion: map.version,
        preparedVersion: prepared?.version,
        armed,
        heldStep,
      },
    };
  }

  function beginPass(): void {
    manual.schedule(beginPass, { delayMs: passMs });
    const nowMs = manual.now();
    if (engines.some(({ heldStep }) => heldStep === step + 1)) {
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
    demand.forEach((tokens, expert) => tokensByExpert[expert]! += tokens);
  }

  /**
   * Returns when a datagram that is sent now has arrived; undefined if the queue
   * of the link has no room for it.
   */
  function computeArrival(
    from: number,
    to: number,
    message: object,
  ): number | undefined {
    if (linkBytesPerMs === Infinity) return manual.now() + latencyMs;
    const queuedMs = Math.max(0, sendingUntilMs[from]! - manual.now());
    if (queuedMs * linkBytesPerMs > linkQueueBytes) return undefined;
    const bytes = datagrams.encodeMessage(message).byteLength +
      datagramOverheadBytes;
    const transferMs = bytes / linkBytesPerMs;
    const sentMs = Math.max(manual.now(), sendingUntilMs[from]!) + transferMs;
    sendingUntilMs[from] = sentMs;
    const arrivedMs = Math.max(sentMs + latencyMs, receivingUntilMs[to]!) +
      transferMs;
    receivingUntilMs[to] = arrivedMs;
    return arrivedMs;
  }

  function recordHistory(): void {
    const atMs = manual.now();
    history = history.filter((entry) => atMs - entry.atMs < 2 * reportLagMs);
    history.push({
      atMs,
      reports: engines.map((_, rank) => createReport(rank)),
    });
    manual.schedule(recordHistory, { delayMs: 5 });
  }

  function applyOrder(
    rank: number,
    order: rankOrders.RankOrder,
  ): rankOrders.OrderReply {
    const engine = engines[rank]!;
    switch (order.kind) {
      case "prepare": {
        const { version, layers } = order;
        if (version === engine.prepared?.version) return "accepted";
        if (version <= engine.highestVersion || engine.armed !== undefined) {
          return "refused";
        }
        // The rank gives up the map that it prepared before at once.
        engine.prepared = undefined;
        engine.highestVersion = version;
        manual.schedule(() => {
          if (engine.highestVersion !== version) return;
          engine.prepared = { version, layers };
        }, { delayMs: prepareMs });
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
        if (
          step >= order.step || (engine.heldStep ?? order.step) !== order.step
        ) {
          return "refused";
        }
        engine.heldStep = order.step;
        return "accepted";
      case "go":
        if (engine.heldStep === order.step) engine.heldStep = undefined;
        return "accepted";
    }
  }

  /**
   * Calls an engine: resolves to its answer after a round trip, or to
   * `timeoutValue` after the timeout if the engine is unreachable.
   */
  function request<Value, TimeoutValue>(
    { process, isUnreachable, read, timeoutValue }: {
      readonly process: Process;
      readonly isUnreachable: () => boolean;
      readonly read: () => Value;
      readonly timeoutValue: TimeoutValue;
    },
  ): Promise<Value | TimeoutValue> {
    return new Promise((resolve) => {
      manual.schedule(() => {
        const value = isUnreachable() ? timeoutValue : read();
        const delayMs = isUnreachable() ? answerTimeoutMs : latencyMs;
        manual.schedule(() => runInProcess(process, () => resolve(value)), {
          delayMs,
        });
      }, { delayMs: latencyMs });
    });
  }

  function createEngine(
    rank: number,
    { process, isRemote }: {
      readonly process: Process;
      readonly isRemote: boolean;
    },
  ): rankEngine.RankEngine {
    function readLaggedReport(): rankEngine.RankReport {
      const dueMs = manual.now() - reportLagMs;
      const visible = history.findLast(({ atMs }) => atMs <= dueMs) ??
        history[0];
      return visible!.reports[rank]!;
    }
    const isUnreachable = () => isRemote && processes[rank]!.isCutOff;
    function requestValue<Value>(
      read: () => Value,
    ): Promise<Value | undefined> {
      return request({ process, isUnreachable, read, timeoutValue: undefined });
    }
    return {
      readReport: () =>
        requestValue(() => isRemote ? readLaggedReport() : createReport(rank)),
      readCounts: () =>
        requestValue(() => ({ epoch, counts: [...tokensByExpert] })),
      readExperts: () =>
        requestValue(() => {
          const { version, layers } = engines[rank]!.map;
          const experts = layers.map((ranks) => ranks[rank]!);
          return { epoch, version, experts };
        }),
      sendOrder(order) {
        if (isRemote) remoteOrders += 1;
        if (order.kind === "hold") holdSender = processes.indexOf(process);
        const read = () => applyOrder(rank, order);
        return request({
          process,
          isUnreachable,
          read,
          timeoutValue: "unknown" as const,
        });
      },
    };
  }

  const createLogger = (rank: number): logger.Logger => ({
    debug: () => {},
    info(message) {
      logged.push(message);
      if (message === "Became the leader") leaders.push(rank);
    },
    warn: (message) => logged.push(message),
    error: (message) => logged.push(message),
    infoRateLimited: () => {},
    warnOnce: () => {},
  });
  const agents: rankAgent.RankAgent[] = [];
  const getAddress = (rank: number) => `rank-${rank}:1`;

  function sendDatagram(from: number, message: object, address: string): void {
    if (address === entryAddress) return sendToEntry(from, message);
    const to = engines.findIndex((_, rank) => getAddress(rank) === address);
    if (random() < lossProbability || !rankAgent.isRankMessage(message)) return;
    if (message.kind === "status" && processes[from]!.isStatusLost) return;
    const arrivesAtMs = computeArrival(from, to, message);
    if (arrivesAtMs === undefined) return;
    const delayMs = arrivesAtMs - manual.now();
    manual.schedule(() => {
      runInProcess(processes[to]!, () => {
        agents[to]?.handleMessage(message, getAddress(from));
      });
    }, { delayMs });
  }

  const entryProcess: Process = {
    isPaused: false,
    isStatusLost: false,
    isCutOff: false,
    deferred: [],
  };
  const entry = groupLink.createGroupLink({
    members: {
      getHub: () => ({ id: "entry", address: entryAddress }),
      isHub: () => true,
    },
    groups: groupReports.createGroupReports({ clock: manual }),
    sockets: {
      send(message, address) {
        const rank = Number(/\d+/.exec(address)?.[0]);
        if (!rankAgent.isRankMessage(message)) return;
        manual.schedule(
          () =>
            runInProcess(
              processes[rank]!,
              () => agents[rank]?.handleMessage(message, entryAddress),
            ),
          {
            delayMs: latencyMs,
          },
        );
      },
    },
    openEngine: (address) =>
      createEngine(Number(/\d+/.exec(address)?.[0]), {
        process: entryProcess,
        isRemote: true,
      }),
  });

  function sendToEntry(from: number, message: unknown): void {
    if (entryProcess.isPaused) return;
    const toEntry = message as groupLink.GroupLinkMessage;
    manual.schedule(
      () =>
        runInProcess(
          entryProcess,
          () => entry.handle(toEntry, getAddress(from)),
        ),
      { delayMs: latencyMs },
    );
  }

  function startAgent(rank: number): rankAgent.RankAgent {
    const process = processes[rank]!;
    const processScheduler: scheduler.Scheduler = {
      now: () => manual.now(),
      schedule: (callback, { delayMs, signal }) =>
        manual.schedule(
          () =>
            runInProcess(process, () => {
              if (!signal?.aborted) callback();
            }),
          { delayMs, ...(signal === undefined ? {} : { signal }) },
        ),
    };
    return rankAgent.startRankAgent({
      engine: createEngine(rank, { process, isRemote: false }),
      engineAddress: `engine-${rank}:1`,
      openEngine: (address) =>
        createEngine(Number(/\d+/.exec(address)?.[0]), {
          process,
          isRemote: true,
        }),
      sockets: {
        send: (message, address) => sendDatagram(rank, message, address),
      },
      measureMessage: (message) => datagrams.encodeMessage(message).byteLength,
      scheduler: processScheduler,
      logger: createLogger(rank),
      incarnation: `process-${rank}`,
      isFirstStart: true,
      readWallMs: () => manual.now() + 1_000_000,
      takeLoopDelayMs: () => 0,
      getSpec: () => ({
        slots: 8,
        reportLagMs,
        experts: {
          sets: layerCount,
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
      listEntries: () => options.hasEntry ? [entryAddress] : [],
      signal: new AbortController().signal,
    });
  }

  recordHistory();
  beginPass();
  for (const rank of engines.keys()) agents.push(startAgent(rank));

  return {
    scheduler: manual,
    getStep: () => step,
    takeLongestStall() {
      const stallMs = longestStallMs;
      longestStallMs = 0;
      return stallMs;
    },
    getMapVersion: (rank) => engines[rank]!.map.version,
    isPassHeld: () => engines.some(({ heldStep }) => heldStep !== undefined),
    isArmed: (rank) => engines[rank]!.armed !== undefined,
    getViolation: () => violation,
    pauseAgent(rank) {
      processes[rank]!.isPaused = true;
    },
    isolateMachine(rank) {
      processes[rank]!.isPaused = true;
      processes[rank]!.isCutOff = true;
    },
    resumeAgent(rank) {
      const process = processes[rank]!;
      process.isPaused = false;
      process.isCutOff = false;
      for (const task of process.deferred.splice(0)) task();
    },
    setPace(rank, pace) {
      paces[rank] = pace;
    },
    measureSkew() {
      const { map } = engines[0]!;
      const shares = map.layers.map((_, layer) =>
        demand.slice(layer * expertCount, (layer + 1) * expertCount)
      );
      return boundedPlanner.measureSkew({ map, shares, paces });
    },
    setStatusLost(rank, isLost) {
      processes[rank]!.isStatusLost = isLost;
    },
    getHoldSender: () => holdSender,
    setEntryDown(isDown) {
      entryProcess.isPaused = isDown;
    },
    shiftDemand() {
      demand = drawDemand(layerCount, expertCount);
    },
    countRemoteOrders: () => remoteOrders,
    logMessages: logged,
    leaders,
  };
}
