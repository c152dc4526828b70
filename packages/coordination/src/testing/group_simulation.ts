/**
 * A group of ranks that obeys orders as engines do, with leaders that switch
 * its map: replies get lost, orders are carried out late, leaders freeze and
 * start anew. Every step is drawn from a seed.
 */
import * as mapVersions from "../maps/map_versions.ts";
import * as orderSettler from "../maps/order_settler.ts";
import * as rankOrders from "../maps/rank_orders.ts";
import * as switchRound from "../maps/switch_round.ts";
import * as random from "../random.ts";

/** Faults as probabilities of each message or step. */
export interface GroupFaults {
  readonly lateOrder: number;
  readonly lostReply: number;
  readonly lostOutcome: number;
  readonly leaderFreeze: number;
  readonly leaderRestart: number;
  readonly newEpoch: number;
  /** A machine stands still: its leader and its rank's answers to all. */
  readonly standstill: number;
}

/** Unsafe changes that the checks must find. */
export interface ProtocolVariant {
  /** Outcome of an order, in place of the true one. */
  readonly replaceOutcome?: (
    order: rankOrders.RankOrder,
    outcome: rankOrders.OrderOutcome,
  ) => rankOrders.OrderOutcome;
  /** Whether an order is sent at all; one that is not counts as done. */
  readonly isSent?: (order: rankOrders.RankOrder) => boolean;
  readonly createVersion?: (known: number) => number;
  readonly getLeaderRank?: (version: number) => number;
  /** True when a leader may hold one pass twice. */
  readonly forgetsHolds?: boolean;
}

export interface GroupSimulationOptions {
  readonly seed: number;
  readonly rankCount: number;
  readonly leaderCount: number;
  readonly steps: number;
  readonly faults: GroupFaults;
  /**
   * Share of the steps that begin a pass; low for a group that is nearly idle.
   * @default 0.12
   */
  readonly passShare?: number;
  /**
   * Steps after which a busy group turns idle, and an idle one busy; an idle
   * group begins no passes. Default: always busy.
   */
  readonly idlePeriodSteps?: number;
  /**
   * Share of the steps that carry a late order out.
   * @default 0.04
   */
  readonly lateTaskShare?: number;
  readonly variant?: ProtocolVariant;
}

export interface GroupSimulationResult {
  /** What broke the promise; undefined when nothing did. */
  readonly violation: string | undefined;
  readonly switches: number;
  readonly passes: number;
}

interface Rank {
  sequence: number;
  map: { readonly version: number; readonly layers: rankOrders.MapLayers };
  prepared:
    | { readonly version: number; readonly layers: rankOrders.MapLayers }
    | undefined;
  highest: number;
  armed: rankOrders.ArmedSwitch | undefined;
  held: number | undefined;
  /** Steps of the run for which its machine stands still. */
  stillFor: number;
}

type Task = () => void;

interface Leader {
  readonly rank: number;
  createVersion: mapVersions.CreateMapVersion;
  tasks: Task[];
  round: switchRound.SwitchRound | undefined;
  lastHeldStep: number;
  /** Steps of the run for which it does nothing. */
  frozenFor: number;
}

const emptyMap: rankOrders.MapLayers = [[[0]]];
const maxSendings = 4;
const leadPasses = 2;
const standstillSteps = 200;
const defaultPassShare = 0.12;
const defaultLateTaskShare = 0.04;

/** Runs one group; returns what was seen. */
export function runGroupSimulation(
  options: GroupSimulationOptions,
): GroupSimulationResult {
  const draw = random.createRandomSource(options.seed);
  const { faults, variant = {}, passShare = defaultPassShare } = options;
  const lateTaskShare = options.lateTaskShare ?? defaultLateTaskShare;
  const lateTasks: Task[] = [];
  let nowMs = 0;
  const leaders: Leader[] = Array.from(
    { length: options.leaderCount },
    (_, rank) => ({
      rank,
      createVersion: createVersions(rank),
      tasks: [],
      round: undefined,
      lastHeldStep: 0,
      frozenFor: 0,
    }),
  );
  let epoch = 1;
  let step = 0;
  let passes = 0;
  let switches = 0;
  let drawnMaps = 0;
  let violation: string | undefined;
  let ranks: Rank[] = [];

  function createVersions(rank: number): mapVersions.CreateMapVersion {
    return mapVersions.createMapVersionGenerator({
      rank,
      readWallMs: () => nowMs,
    });
  }

  function openGroup(): void {
    ranks = Array.from({ length: options.rankCount }, () => ({
      sequence: 0,
      map: { version: 0, layers: emptyMap },
      prepared: undefined,
      highest: 0,
      armed: undefined,
      held: undefined,
      stillFor: 0,
    }));
  }

  function isLikely(share: number): boolean {
    return draw() < share;
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
      heldStep: rank.held,
    };
  }

  /** Carries an order out, as engines were seen to do. */
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
        if (order.version <= rank.highest || rank.armed !== undefined) {
          return "refused";
        }
        rank.prepared = { version: order.version, layers: order.layers };
        rank.highest = order.version;
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
        if (rank.held !== undefined && rank.held !== order.step) {
          return "refused";
        }
        rank.held = order.step;
        return "accepted";
      case "go":
        if (rank.held === order.step) rank.held = undefined;
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
    if (ranks[index]!.stillFor > 0) return "unknown";
    if (isLikely(faults.lateOrder)) {
      lateTasks.push(() => applyOrder(index, order, orderEpoch));
      return "unknown";
    }
    const reply = applyOrder(index, order, orderEpoch);
    return isLikely(faults.lostReply) ? "unknown" : reply;
  }

  /** Settles an order as the rank's agent would, one step a task. */
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
      maxSendAttempts: maxSendings,
    });
    function carryOut(
      effects: readonly orderSettler.OrderSettlerEffect[],
    ): void {
      for (const effect of effects) {
        switch (effect.kind) {
          case "read":
            leader.tasks.push(() =>
              carryOut(settler.handle(
                ranks[index]!.stillFor > 0
                  ? { kind: "deadline" }
                  : { kind: "state", state: readState(index) },
              ))
            );
            break;
          case "send":
            leader.tasks.push(() => {
              const reply = sendOrder(index, { order, orderEpoch });
              carryOut(settler.handle({ kind: "reply", reply }));
            });
            break;
          case "finish":
            onOutcome(effect.outcome);
        }
      }
    }
    leader.tasks.push(() => carryOut(settler.start()));
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
    const feedSame = (event: switchRound.RoundEvent) => {
      if (leader.round === round) feed(leader, event);
    };
    switch (effect.kind) {
      case "finish":
        if (effect.outcome.kind === "switched") switches += 1;
        return;
      case "read": {
        const { call, rank } = effect;
        leader.tasks.push(() =>
          feedSame(
            ranks[rank]!.stillFor > 0
              ? { kind: "late", call, rank }
              : { kind: "state", call, state: readState(rank) },
          )
        );
        return;
      }
      case "order": {
        const { call, rank, order } = effect;
        const answer = (outcome: rankOrders.OrderOutcome) =>
          feedSame(
            isLikely(faults.lostOutcome)
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

  /** Reads all ranks one after the other, then starts what is needed. */
  function startRound(leader: Leader): void {
    const states: rankOrders.RankState[] = [];
    let next = 0;
    const readNext = () => {
      if (ranks[next]!.stillFor === 0) states.push(readState(next));
      next += 1;
      if (next < options.rankCount) {
        leader.tasks.push(readNext);
        return;
      }
      if (leader.round !== undefined) return;
      const held = states.find((state) => state.heldStep !== undefined);
      const inForce = ranks[0]!.map.layers;
      leader.round = createRound(leader);
      if (held?.heldStep !== undefined) {
        const { rank: heldRank, heldStep } = held;
        feed(leader, {
          kind: "clear",
          heldRank,
          heldStep,
          currentLayers: inForce,
        });
        return;
      }
      drawnMaps += 1;
      const layers = [[[drawnMaps]]];
      feed(leader, { kind: "start", layers, currentLayers: inForce, states });
    };
    leader.tasks.push(readNext);
  }

  function beginPass(): void {
    if (ranks.some((rank) => rank.held === step + 1)) return;
    step += 1;
    passes += 1;
    for (const rank of ranks) {
      if (rank.armed?.step !== step) continue;
      rank.map = rank.prepared!;
      rank.prepared = undefined;
      rank.armed = undefined;
    }
    const [first, ...rest] = ranks.map(({ map }) =>
      `${map.version}:${JSON.stringify(map.layers)}`
    );
    if (rest.some((map) => map !== first)) {
      violation ??= `pass ${step}: ${[first, ...rest].join(" ")}`;
    }
  }

  function runLeader(leader: Leader): void {
    if (ranks[leader.rank]!.stillFor > 0) return;
    if (leader.frozenFor > 0) {
      leader.frozenFor -= 1;
      return;
    }
    if (isLikely(faults.leaderFreeze)) leader.frozenFor = 60;
    if (isLikely(faults.leaderRestart)) {
      leader.tasks = [];
      leader.round = undefined;
      leader.lastHeldStep = step + switchRound.maxAheadPasses;
      leader.createVersion = createVersions(leader.rank);
    }
    if (leader.tasks.length === 0) {
      if (leader.round === undefined && isLikely(0.3)) startRound(leader);
      return;
    }
    const index = Math.floor(draw() * leader.tasks.length);
    const [task] = leader.tasks.splice(index, 1);
    task?.();
  }

  function stopMachine(): void {
    const index = Math.floor(draw() * options.rankCount);
    ranks[index]!.stillFor = standstillSteps;
  }

  openGroup();
  for (let count = 0; count < options.steps; count += 1) {
    nowMs += 1;
    const chance = draw();
    const turn = Math.floor(count / (options.idlePeriodSteps ?? Infinity));
    if (chance < passShare) {
      if (turn % 2 === 0) beginPass();
    } else if (chance < passShare + lateTaskShare) {
      const index = Math.floor(draw() * lateTasks.length);
      lateTasks.splice(index, 1)[0]?.();
    } else {
      runLeader(leaders[Math.floor(draw() * leaders.length)]!);
    }
    for (const rank of ranks) rank.stillFor = Math.max(0, rank.stillFor - 1);
    if (isLikely(faults.standstill)) stopMachine();
    if (isLikely(faults.newEpoch)) {
      epoch += 1;
      openGroup();
    }
    if (violation !== undefined) break;
  }
  return { violation, switches, passes };
}
