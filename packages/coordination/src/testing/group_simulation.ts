/**
 * Simulation of a group of ranks whose leaders run switch rounds, with faults:
 * lost replies, orders that take effect late, leaders that freeze or restart,
 * stalled machines and new epochs. All random choices derive from the seed.
 */
import * as mapVersions from "../maps/map_versions.ts";
import * as orderSettler from "../maps/order_settler.ts";
import * as rankOrders from "../maps/rank_orders.ts";
import * as switchRound from "../maps/switch_round.ts";
import * as random from "../random.ts";

/** Probability of each fault for each message or simulation step. */
export interface GroupFaults {
  /** An order takes effect late, after the leader got no reply to it. */
  readonly lateOrder: number;
  /** An order takes effect, but its reply is lost. */
  readonly lostReply: number;
  /** The outcome of an order does not reach the round. */
  readonly lostOutcome: number;
  readonly leaderFreeze: number;
  readonly leaderRestart: number;
  /** The group starts again with a new epoch. */
  readonly newEpoch: number;
  /** A machine stalls: its leader does nothing and its rank does not answer. */
  readonly machineStall: number;
}

/** Changes that make the protocol unsafe, to verify that tests detect them. */
export interface ProtocolVariant {
  /** Returns the outcome that the round receives for an order. */
  readonly replaceOutcome?: (
    order: rankOrders.RankOrder,
    outcome: rankOrders.OrderOutcome,
  ) => rankOrders.OrderOutcome;
  /** Whether an order is sent; an unsent order is treated as done. */
  readonly isSent?: (order: rankOrders.RankOrder) => boolean;
  readonly createVersion?: (knownVersion: number) => number;
  readonly getLeaderRank?: (version: number) => number;
  /** True if a leader may hold a pass twice, because it records no holds. */
  readonly forgetsHolds?: boolean;
}

export interface GroupSimulationOptions {
  readonly seed: number;
  readonly rankCount: number;
  readonly leaderCount: number;
  /** Number of simulation steps. */
  readonly steps: number;
  readonly faults: GroupFaults;
  /**
   * Share of the simulation steps that begin a forward pass; low if the group
   * is almost idle.
   * @default 0.12
   */
  readonly passShare?: number;
  /**
   * Length of the alternating busy and idle periods in simulation steps. The
   * group begins no passes while it is idle. Default: always busy.
   */
  readonly idlePeriodSteps?: number;
  /**
   * Share of the simulation steps that execute a late order.
   * @default 0.04
   */
  readonly lateOrderShare?: number;
  readonly variant?: ProtocolVariant;
}

export interface GroupSimulationResult {
  /** First pass in which ranks used different maps; undefined if none. */
  readonly violation: string | undefined;
  /** Rounds that ended with a switch. */
  readonly switches: number;
  readonly passes: number;
}

interface Rank {
  sequence: number;
  map: { readonly version: number; readonly layers: rankOrders.MapLayers };
  prepared:
    | { readonly version: number; readonly layers: rankOrders.MapLayers }
    | undefined;
  highestVersion: number;
  armed: rankOrders.ArmedSwitch | undefined;
  heldStep: number | undefined;
  /** Remaining simulation steps for which the machine is stalled. */
  stallLeft: number;
}

type Task = () => void;

interface Leader {
  readonly rank: number;
  createVersion: mapVersions.CreateMapVersion;
  tasks: Task[];
  round: switchRound.SwitchRound | undefined;
  lastHeldStep: number;
  /** Remaining simulation steps for which the leader does nothing. */
  freezeLeft: number;
}

const initialLayers: rankOrders.MapLayers = [[[0]]];
const maxSends = 4;
/** Number of passes between the current pass and the pass of a switch. */
const leadPasses = 2;
const stallSteps = 200;
const defaultPassShare = 0.12;
const defaultLateOrderShare = 0.04;

/** Runs the simulation until its last step or the first violation. */
export function runGroupSimulation(
  options: GroupSimulationOptions,
): GroupSimulationResult {
  const draw = random.createRandomSource(options.seed);
  const { faults, variant = {}, passShare = defaultPassShare } = options;
  const lateOrderShare = options.lateOrderShare ?? defaultLateOrderShare;
  const lateOrders: Task[] = [];
  let nowMs = 0;
  const leaders: Leader[] = Array.from(
    { length: options.leaderCount },
    (_, rank) => ({
      rank,
      createVersion: createVersionGenerator(rank),
      tasks: [],
      round: undefined,
      lastHeldStep: 0,
      freezeLeft: 0,
    }),
  );
  let epoch = 1;
  let step = 0;
  let passes = 0;
  let switches = 0;
  let createdMaps = 0;
  let violation: string | undefined;
  let ranks: Rank[] = [];

  function createVersionGenerator(rank: number): mapVersions.CreateMapVersion {
    return mapVersions.createMapVersionGenerator({
      rank,
      readWallMs: () => nowMs,
    });
  }

  /** Replaces all ranks by freshly started ranks. */
  function startGroup(): void {
    ranks = Array.from({ length: options.rankCount }, () => ({
      sequence: 0,
      map: { version: 0, layers: initialLayers },
      prepared: undefined,
      highestVersion: 0,
      armed: undefined,
      heldStep: undefined,
      stallLeft: 0,
    }));
  }

  function sampleChance(probability: number): boolean {
    return draw() < probability;
  }

  function readState(index: number): rankOrders.RankState {
    const rank = ranks[index]!;
    return {
      rank: index,
      epoch,
      isOpen: true,
      step,
      sequence: rank.sequence,
      mapVersion: rank.map.version,
      preparedVersion: rank.prepared?.version,
      armed: rank.armed,
      heldStep: rank.heldStep,
    };
  }

  /** Executes an order in the way observed of real engines. */
  function applyOrder(
    index: number,
    order: rankOrders.RankOrder,
    orderEpoch: number,
  ): rankOrders.OrderReply {
    const rank = ranks[index]!;
    if (orderEpoch !== epoch) return "refused";
    switch (order.kind) {
      case "prepare":
        if (rank.prepared?.version === order.version) return "accepted";
        if (order.version <= rank.highestVersion || rank.armed !== undefined) {
          return "refused";
        }
        rank.prepared = { version: order.version, layers: order.layers };
        rank.highestVersion = order.version;
        return "accepted";
      case "arm":
        if (rank.prepared?.version !== order.version || step >= order.step) {
          return "refused";
        }
        rank.armed = { version: order.version, step: order.step };
        return "accepted";
      case "disarm":
        if (rank.map.version === order.version) return "refused";
        if (rank.armed?.version === order.version) rank.armed = undefined;
        return "accepted";
      case "hold":
        if (step >= order.step) return "refused";
        if (rank.heldStep !== undefined && rank.heldStep !== order.step) {
          return "refused";
        }
        rank.heldStep = order.step;
        return "accepted";
      case "go":
        if (rank.heldStep === order.step) rank.heldStep = undefined;
        return "accepted";
    }
  }

  function sendOrder(
    index: number,
    { order, orderEpoch }: {
      readonly order: rankOrders.RankOrder;
      readonly orderEpoch: number;
    },
  ): rankOrders.OrderReply {
    if (ranks[index]!.stallLeft > 0) return "unknown";
    if (sampleChance(faults.lateOrder)) {
      lateOrders.push(() => applyOrder(index, order, orderEpoch));
      return "unknown";
    }
    const reply = applyOrder(index, order, orderEpoch);
    return sampleChance(faults.lostReply) ? "unknown" : reply;
  }

  /** Settles an order as the agent of the rank does, one effect per task. */
  function settleOrder(
    leader: Leader,
    index: number,
    { order, onOutcome }: {
      readonly order: rankOrders.RankOrder;
      readonly onOutcome: (outcome: rankOrders.OrderOutcome) => void;
    },
  ): void {
    const orderEpoch = epoch;
    const settler = orderSettler.createOrderSettler({
      order,
      epoch: orderEpoch,
      maxSends: maxSends,
    });
    function executeEffects(
      effects: readonly orderSettler.OrderSettlerEffect[],
    ): void {
      for (const effect of effects) {
        switch (effect.kind) {
          case "read":
            leader.tasks.push(() =>
              executeEffects(settler.handle(
                ranks[index]!.stallLeft > 0
                  ? { kind: "deadline" }
                  : { kind: "state", state: readState(index) },
              ))
            );
            break;
          case "send":
            leader.tasks.push(() => {
              const reply = sendOrder(index, { order, orderEpoch });
              executeEffects(settler.handle({ kind: "reply", reply }));
            });
            break;
          case "finish":
            onOutcome(effect.outcome);
        }
      }
    }
    leader.tasks.push(() => executeEffects(settler.start()));
  }

  function feed(leader: Leader, event: switchRound.RoundEvent): void {
    const { round } = leader;
    if (round === undefined) return;
    for (const effect of round.handle(event)) execute(leader, effect);
    leader.lastHeldStep = Math.max(leader.lastHeldStep, round.getHeldStep());
    if (round.isFinished()) leader.round = undefined;
  }

  function execute(leader: Leader, effect: switchRound.RoundEffect): void {
    const { round } = leader;
    const feedRound = (event: switchRound.RoundEvent) => {
      if (leader.round === round) feed(leader, event);
    };
    switch (effect.kind) {
      case "finish":
        if (effect.outcome.kind === "switched") switches += 1;
        return;
      case "read": {
        const { call, rank } = effect;
        leader.tasks.push(() =>
          feedRound(
            ranks[rank]!.stallLeft > 0
              ? { kind: "late", call, rank }
              : { kind: "state", call, state: readState(rank) },
          )
        );
        return;
      }
      case "order": {
        const { call, rank, order } = effect;
        const answer = (outcome: rankOrders.OrderOutcome) =>
          feedRound(
            sampleChance(faults.lostOutcome)
              ? { kind: "late", call, rank }
              : { kind: "outcome", call, rank, outcome },
          );
        if (variant.isSent?.(order) === false) {
          const state = readState(rank);
          leader.tasks.push(() => answer({ kind: "done", state, sendings: 1 }));
          return;
        }
        settleOrder(leader, rank, {
          order,
          onOutcome: (outcome) =>
            answer(variant.replaceOutcome?.(order, outcome) ?? outcome),
        });
      }
    }
  }

  function createRound(leader: Leader): switchRound.SwitchRound {
    return switchRound.createSwitchRound({
      ownRank: leader.rank,
      rankCount: options.rankCount,
      epoch,
      computeLeadPasses: () => leadPasses,
      lastHeldStep: variant.forgetsHolds ? 0 : leader.lastHeldStep,
      createVersion: variant.createVersion ?? leader.createVersion,
      getLeaderRank: variant.getLeaderRank ?? mapVersions.getLeaderRank,
    });
  }

  /**
   * Reads all ranks in sequence, then ends an abandoned hold or starts a switch
   * to a new map.
   */
  function startRound(leader: Leader): void {
    const states: rankOrders.RankState[] = [];
    let next = 0;
    const readNext = () => {
      if (ranks[next]!.stallLeft === 0) states.push(readState(next));
      next += 1;
      if (next < options.rankCount) {
        leader.tasks.push(readNext);
        return;
      }
      if (leader.round !== undefined) return;
      const abandoned = states.find((state) => state.heldStep !== undefined);
      const currentLayers = ranks[0]!.map.layers;
      leader.round = createRound(leader);
      if (abandoned?.heldStep !== undefined) {
        const { rank: heldRank, heldStep } = abandoned;
        feed(leader, {
          kind: "clear",
          heldRank,
          heldStep,
          currentLayers,
        });
        return;
      }
      createdMaps += 1;
      const layers = [[[createdMaps]]];
      feed(leader, { kind: "start", layers, currentLayers, states });
    };
    leader.tasks.push(readNext);
  }

  function beginPass(): void {
    if (ranks.some((rank) => rank.heldStep === step + 1)) return;
    step += 1;
    passes += 1;
    for (const rank of ranks) {
      if (rank.armed?.step !== step) continue;
      rank.map = rank.prepared!;
      rank.prepared = undefined;
      rank.armed = undefined;
    }
    const [first, ...others] = ranks.map(({ map }) =>
      `${map.version}:${JSON.stringify(map.layers)}`
    );
    if (others.some((map) => map !== first)) {
      violation ??= `pass ${step}: ${[first, ...others].join(" ")}`;
    }
  }

  function runLeader(leader: Leader): void {
    if (ranks[leader.rank]!.stallLeft > 0) return;
    if (leader.freezeLeft > 0) {
      leader.freezeLeft -= 1;
      return;
    }
    if (sampleChance(faults.leaderFreeze)) leader.freezeLeft = 60;
    if (sampleChance(faults.leaderRestart)) {
      leader.tasks = [];
      leader.round = undefined;
      leader.lastHeldStep = step + switchRound.maxAheadPasses;
      leader.createVersion = createVersionGenerator(leader.rank);
    }
    if (leader.tasks.length === 0) {
      if (leader.round === undefined && sampleChance(0.3)) startRound(leader);
      return;
    }
    const index = Math.floor(draw() * leader.tasks.length);
    const [task] = leader.tasks.splice(index, 1);
    task?.();
  }

  function startMachineStall(): void {
    const index = Math.floor(draw() * options.rankCount);
    ranks[index]!.stallLeft = stallSteps;
  }

  startGroup();
  for (let count = 0; count < options.steps; count += 1) {
    nowMs += 1;
    const roll = draw();
    const period = Math.floor(count / (options.idlePeriodSteps ?? Infinity));
    if (roll < passShare) {
      if (period % 2 === 0) beginPass();
    } else if (roll < passShare + lateOrderShare) {
      const index = Math.floor(draw() * lateOrders.length);
      lateOrders.splice(index, 1)[0]?.();
    } else {
      runLeader(leaders[Math.floor(draw() * leaders.length)]!);
    }
    for (const rank of ranks) rank.stallLeft = Math.max(0, rank.stallLeft - 1);
    if (sampleChance(faults.machineStall)) startMachineStall();
    if (sampleChance(faults.newEpoch)) {
      epoch += 1;
      startGroup();
    }
    if (violation !== undefined) break;
  }
  return { violation, switches, passes };
}
