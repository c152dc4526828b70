/**
 * Model of the switch rounds in `round_messages.ts` for model checking: one
 * immutable state for the leaders, ranks, engines, network and object API, and
 * the actions that are possible in it. A sent message may be delivered at any
 * time or never; a duplicate is a delivery after which the message stays in the
 * network.
 */
import * as nodeCrypto from "node:crypto";
import * as mapSchedule from "../maps/map_schedule.ts";
import * as roundLeader from "../maps/round_leader.ts";
import type * as roundMessages from "../maps/round_messages.ts";
import * as roundRank from "../maps/round_rank.ts";

/** A message in the network. */
type Packet =
  | {
    readonly to: "rank";
    readonly leader: number;
    readonly rank: number;
    readonly message: roundMessages.LeaderMessage;
  }
  | {
    readonly to: "leader";
    readonly leader: number;
    readonly report: roundMessages.RankReport;
  };

interface PendingWrite {
  readonly leader: number;
  readonly call: number;
  readonly record: roundMessages.MapRecord;
  readonly ifVersion: number;
  /** Undefined until the object API has applied or rejected the write. */
  readonly answer: roundLeader.StoreAnswer | undefined;
}

/** Remaining number of actions of each limited kind. */
export interface ActionBudgets {
  /** Restarts of a rank's agent together with its engine. */
  readonly restarts: number;
  /** Restarts of an agent alone; its engine keeps running. */
  readonly agentRestarts: number;
  /** Number of switches that each leader may still propose. */
  readonly proposals: readonly number[];
  readonly lostAnswers: number;
  readonly deadlines: number;
  readonly resends: number;
  readonly duplicates: number;
}

export interface ModelState {
  readonly leaders: readonly roundLeader.LeaderState[];
  readonly ranks: readonly roundRank.RankState[];
  readonly gates: readonly mapSchedule.StepGate[];
  readonly nextSteps: readonly number[];
  readonly record: roundMessages.MapRecord | undefined;
  readonly version: number;
  readonly packets: readonly Packet[];
  readonly writes: readonly PendingWrite[];
  readonly budgets: ActionBudgets;
  /** Map version of each step, as used by the first rank that ran it. */
  readonly usedVersions: readonly number[];
  /** Set after two ranks used different maps in one step. */
  readonly violation: string | undefined;
}

export type Action =
  | { readonly kind: "deliver"; readonly packet: Packet }
  | { readonly kind: "duplicate"; readonly packet: Packet }
  | { readonly kind: "step"; readonly rank: number }
  | { readonly kind: "finish_staging"; readonly rank: number }
  | { readonly kind: "read_record"; readonly rank: number }
  | { readonly kind: "restart_rank"; readonly rank: number }
  | { readonly kind: "restart_agent"; readonly rank: number }
  | { readonly kind: "propose"; readonly leader: number }
  | { readonly kind: "resend"; readonly leader: number }
  | { readonly kind: "deadline"; readonly leader: number }
  | { readonly kind: "answer_read"; readonly leader: number }
  | { readonly kind: "lose_answer"; readonly leader: number }
  | { readonly kind: "apply_write"; readonly write: PendingWrite }
  | { readonly kind: "answer_write"; readonly write: PendingWrite };

export interface ModelOptions {
  readonly rankCount: number;
  readonly marginSteps: number;
  /** Ranks run no step from this number on; bounds the state space. */
  readonly stepLimit: number;
  /** Whether a rank starts a step only after all ranks ran the step before. */
  readonly hasBarrier: boolean;
  readonly budgets: ActionBudgets;
  /**
   * Starts without a record in the object API and with closed gates.
   * @default false
   */
  readonly startsCold?: boolean;
  /** @default roundRank.advanceRank */
  readonly advanceRank?: typeof roundRank.advanceRank;
  /** @default roundLeader.advanceLeader */
  readonly advanceLeader?: typeof roundLeader.advanceLeader;
}

export interface RoundModel {
  readonly initial: ModelState;
  listActions(state: ModelState): readonly Action[];
  apply(state: ModelState, action: Action): ModelState;
}

const emptyMap = { layers: [] };

/**
 * Creates the model of one group; its ranks start with a recorded map unless
 * `startsCold` is set.
 */
export function createRoundModel(options: ModelOptions): RoundModel {
  const advanceRank = options.advanceRank ?? roundRank.advanceRank;
  const advanceLeader = options.advanceLeader ?? roundLeader.advanceLeader;
  const ranks = Array.from({ length: options.rankCount }, (_v, rank) => rank);

  const coldState: ModelState = {
    leaders: options.budgets.proposals.map((_count, leader) =>
      roundLeader.createLeader({
        leader: `leader-${leader}`,
        rankCount: options.rankCount,
        marginSteps: options.marginSteps,
        initial: { version: 0, map: emptyMap },
      })
    ),
    ranks: ranks.map((rank) => roundRank.startRank(rank).state),
    gates: ranks.map(() => mapSchedule.closedGate),
    nextSteps: ranks.map(() => 0),
    record: undefined,
    version: 0,
    packets: [],
    writes: [],
    budgets: options.budgets,
    usedVersions: [],
    violation: undefined,
  };

  function settleRanks(state: ModelState): ModelState {
    const base = { version: 0, map: emptyMap };
    const record = { epoch: 1, leader: "first", schedule: { base } };
    const settled = ranks.reduce((next, rank) => {
      const read = feedRank(next, rank, { kind: "record_read", epoch: 0 });
      const { epoch, schedule } = record;
      return feedRank(read, rank, { kind: "settle", epoch, schedule });
    }, state);
    return { ...settled, record, version: 1, packets: [] };
  }

  /**
   * Feeds an event to a rank and executes its effects, except `read_record` and
   * `stage`: separate actions complete these.
   */
  function feedRank(
    state: ModelState,
    rank: number,
    event: roundRank.RankEvent,
    leader?: number,
  ): ModelState {
    const result = advanceRank(state.ranks[rank]!, event);
    let next: ModelState = {
      ...state,
      ranks: state.ranks.with(rank, result.state),
    };
    for (const effect of result.effects) {
      switch (effect.kind) {
        case "reply":
          next = sendReport(next, rank, leader);
          break;
        case "install": {
          const gate = mapSchedule.installSchedule(effect.schedule);
          next = { ...next, gates: next.gates.with(rank, gate) };
          const { epoch } = effect;
          next = feedRank(next, rank, { kind: "installed", epoch }, leader);
          break;
        }
        case "hold":
          next = holdEngine(next, rank, effect, leader);
          break;
        case "read_record":
        case "stage":
          break;
      }
    }
    return next;
  }

  function holdEngine(
    state: ModelState,
    rank: number,
    { epoch, step }: { readonly epoch: number; readonly step: number },
    leader?: number,
  ): ModelState {
    const nextStep = state.nextSteps[rank]!;
    const held = mapSchedule.holdBeforeStep(state.gates[rank]!, {
      step,
      nextStep,
    });
    if (held.kind === "missed") {
      return feedRank(state, rank, { kind: "hold_missed", epoch }, leader);
    }
    const gated = { ...state, gates: state.gates.with(rank, held.gate) };
    return feedRank(gated, rank, { kind: "held", epoch }, leader);
  }

  /** Sends the report of a rank to `leader`, or to all leaders without it. */
  function sendReport(
    state: ModelState,
    rank: number,
    leader?: number,
  ): ModelState {
    const report = roundRank.buildReport(
      state.ranks[rank]!,
      state.nextSteps[rank]!,
    );
    const targets = leader === undefined
      ? state.leaders.map((_state, index) => index)
      : [leader];
    return targets.reduce(
      (next, target) => send(next, { to: "leader", leader: target, report }),
      state,
    );
  }

  function send(state: ModelState, packet: Packet): ModelState {
    const key = getKey(packet);
    if (state.packets.some((sent) => getKey(sent) === key)) return state;
    return { ...state, packets: [...state.packets, packet] };
  }

  function feedLeader(
    state: ModelState,
    leader: number,
    event: roundLeader.LeaderEvent,
  ): ModelState {
    const result = advanceLeader(state.leaders[leader]!, event);
    let next: ModelState = {
      ...state,
      leaders: state.leaders.with(leader, result.state),
    };
    for (const effect of result.effects) {
      if (effect.kind === "send") {
        const { rank, message } = effect;
        next = send(next, { to: "rank", leader, rank, message });
      }
      if (effect.kind === "write") {
        const { call, record, ifVersion } = effect;
        const write = { leader, call, record, ifVersion, answer: undefined };
        next = { ...next, writes: [...next.writes, write] };
      }
    }
    return next;
  }

  function deliver(state: ModelState, packet: Packet): ModelState {
    if (packet.to === "rank") {
      return feedRank(state, packet.rank, packet.message, packet.leader);
    }
    const event = { kind: "report", report: packet.report } as const;
    return feedLeader(state, packet.leader, event);
  }

  function runStep(state: ModelState, rank: number): ModelState {
    const step = state.nextSteps[rank]!;
    const map = mapSchedule.admitStep(state.gates[rank]!, step)!;
    const expected = state.usedVersions[step] ?? map.version;
    const violation = expected === map.version
      ? state.violation
      : `Rank ${rank} used map ${map.version} in step ${step}; another ` +
        `rank used map ${expected}`;
    return {
      ...state,
      nextSteps: state.nextSteps.with(rank, step + 1),
      usedVersions: Object.assign([...state.usedVersions], {
        [step]: expected,
      }),
      violation,
    };
  }

  function isStepPossible(state: ModelState, rank: number): boolean {
    const step = state.nextSteps[rank]!;
    if (step >= options.stepLimit) return false;
    const slowest = Math.min(...state.nextSteps);
    if (options.hasBarrier && step > slowest) return false;
    return mapSchedule.admitStep(state.gates[rank]!, step) !== undefined;
  }

  function applyWrite(state: ModelState, write: PendingWrite): ModelState {
    const isAccepted = write.ifVersion === state.version;
    const { call } = write;
    const version = state.version + 1;
    const answer: roundLeader.StoreAnswer = isAccepted
      ? { kind: "written", call, version }
      : { kind: "conflict", call };
    const writes = state.writes.map((pending) =>
      pending === write ? { ...pending, answer } : pending
    );
    return isAccepted
      ? { ...state, writes, record: write.record, version }
      : { ...state, writes };
  }

  function listRankActions(state: ModelState, rank: number): Action[] {
    const { phase, epoch } = state.ranks[rank]!;
    const actions: Action[] = [];
    if (isStepPossible(state, rank)) actions.push({ kind: "step", rank });
    if (phase === "staging") actions.push({ kind: "finish_staging", rank });
    const isReading = phase === "recovering" && epoch === undefined;
    if (isReading) actions.push({ kind: "read_record", rank });
    if (isReading) return actions;
    const { restarts, agentRestarts } = state.budgets;
    if (restarts > 0) actions.push({ kind: "restart_rank", rank });
    if (agentRestarts > 0) actions.push({ kind: "restart_agent", rank });
    return actions;
  }

  function listLeaderActions(state: ModelState, leader: number): Action[] {
    const { phase } = state.leaders[leader]!;
    const { budgets } = state;
    const actions: Action[] = [];
    if (budgets.resends > 0) actions.push({ kind: "resend", leader });
    if (phase === "idle" && budgets.proposals[leader]! > 0) {
      actions.push({ kind: "propose", leader });
    }
    if (phase === "reading") actions.push({ kind: "answer_read", leader });
    const isWriting = phase === "claiming" || phase === "recording";
    if (isWriting && budgets.lostAnswers > 0) {
      actions.push({ kind: "lose_answer", leader });
    }
    const isWaiting = phase === "staging" || phase === "preparing";
    if (isWaiting && budgets.deadlines > 0) {
      actions.push({ kind: "deadline", leader });
    }
    return actions;
  }

  return {
    initial: options.startsCold === true ? coldState : settleRanks(coldState),
    listActions(state) {
      const actions = ranks.flatMap((rank) => listRankActions(state, rank));
      state.leaders.forEach((_state, leader) =>
        actions.push(...listLeaderActions(state, leader))
      );
      for (const packet of state.packets) {
        actions.push({ kind: "deliver", packet });
        if (state.budgets.duplicates > 0) {
          actions.push({ kind: "duplicate", packet });
        }
      }
      for (const write of state.writes) {
        const kind = write.answer === undefined
          ? "apply_write"
          : "answer_write";
        actions.push({ kind, write });
      }
      return actions;
    },
    apply(state, action) {
      const { budgets } = state;
      switch (action.kind) {
        case "deliver": {
          const { packet } = action;
          const packets = state.packets.filter((sent) => sent !== packet);
          return deliver({ ...state, packets }, packet);
        }
        case "duplicate": {
          const duplicates = budgets.duplicates - 1;
          const next = { ...state, budgets: { ...budgets, duplicates } };
          return deliver(next, action.packet);
        }
        case "step":
          return runStep(state, action.rank);
        case "finish_staging": {
          const epoch = state.ranks[action.rank]!.epoch!;
          return feedRank(state, action.rank, { kind: "staged", epoch });
        }
        case "read_record": {
          const epoch = state.record?.epoch ?? 0;
          return feedRank(state, action.rank, { kind: "record_read", epoch });
        }
        case "restart_rank":
        case "restart_agent": {
          const { rank } = action;
          const isAgent = action.kind === "restart_agent";
          const name = isAgent ? "agentRestarts" : "restarts";
          const gate = isAgent ? state.gates[rank]! : mapSchedule.closedGate;
          return {
            ...state,
            ranks: state.ranks.with(rank, roundRank.startRank(rank).state),
            gates: state.gates.with(rank, gate),
            budgets: { ...budgets, [name]: budgets[name] - 1 },
          };
        }
        case "propose": {
          const { leader } = action;
          const remaining = budgets.proposals[leader]! - 1;
          const proposals = budgets.proposals.with(leader, remaining);
          const event = { kind: "propose", map: emptyMap } as const;
          const next = { ...state, budgets: { ...budgets, proposals } };
          return feedLeader(next, leader, event);
        }
        case "resend": {
          const resends = budgets.resends - 1;
          const next = { ...state, budgets: { ...budgets, resends } };
          return feedLeader(next, action.leader, { kind: "resend" });
        }
        case "deadline": {
          const deadlines = budgets.deadlines - 1;
          const next = { ...state, budgets: { ...budgets, deadlines } };
          return feedLeader(next, action.leader, { kind: "deadline" });
        }
        case "answer_read": {
          const { call } = state.leaders[action.leader]!;
          const { record, version } = state;
          const event = { kind: "read", call, record, version } as const;
          return feedLeader(state, action.leader, event);
        }
        case "lose_answer": {
          const { call } = state.leaders[action.leader]!;
          const lostAnswers = budgets.lostAnswers - 1;
          const next = { ...state, budgets: { ...budgets, lostAnswers } };
          return feedLeader(next, action.leader, { kind: "unknown", call });
        }
        case "apply_write":
          return applyWrite(state, action.write);
        case "answer_write": {
          const { leader, answer } = action.write;
          const writes = state.writes.filter((write) => write !== action.write);
          return feedLeader({ ...state, writes }, leader, answer!);
        }
      }
    },
  };
}

/**
 * Applies the first possible action that `isAllowed` accepts until `isReached`
 * holds.
 */
export function driveModel(
  model: RoundModel,
  options: {
    readonly from: ModelState;
    readonly isAllowed: (action: Action) => boolean;
    readonly isReached: (state: ModelState) => boolean;
  },
): ModelState {
  let state = options.from;
  while (!options.isReached(state)) {
    const action = model.listActions(state).find(options.isAllowed);
    if (action === undefined) throw new Error("No allowed action is possible");
    state = model.apply(state, action);
  }
  return state;
}

export interface Exploration {
  readonly stateCount: number;
  /** False if a violation or `stateLimit` ended the exploration. */
  readonly isComplete: boolean;
  readonly violation: string | undefined;
  /** Highest map version that any rank used. */
  readonly highestVersion: number;
}

/**
 * Visits every reachable state; states that differ only in the order of the
 * ranks count as a single state.
 */
export function exploreModel(
  model: RoundModel,
  options: { readonly from: ModelState; readonly stateLimit: number },
): Exploration {
  const visited = new Set([hashState(options.from)]);
  const queue = [options.from];
  let highestVersion = 0;
  // Breadth-first search finds a violation on a shortest path.
  for (const state of queue) {
    for (const action of model.listActions(state)) {
      const next = model.apply(state, action);
      const hash = hashState(next);
      if (visited.has(hash)) continue;
      visited.add(hash);
      highestVersion = Math.max(highestVersion, ...next.usedVersions);
      const { violation } = next;
      const stateCount = visited.size;
      if (violation !== undefined || stateCount >= options.stateLimit) {
        return { stateCount, isComplete: false, violation, highestVersion };
      }
      queue.push(next);
    }
  }
  return {
    stateCount: visited.size,
    isComplete: true,
    violation: undefined,
    highestVersion,
  };
}

/** Returns a short hash of the state key, to save memory. */
function hashState(state: ModelState): string {
  return nodeCrypto.hash("md5", getStateKey(state), "base64");
}

const keyCache = new WeakMap<object, string>();

/** Returns the JSON text of an immutable value; cached by identity. */
export function getKey(value: object): string {
  let key = keyCache.get(value);
  if (key === undefined) {
    key = JSON.stringify(value);
    keyCache.set(value, key);
  }
  return key;
}

const anonymousKeyCache = new WeakMap<object, string>();
const rankNumberPattern = /"rank":\d+,?/;

/** Returns the key of a value without the rank number in it. */
function getAnonymousKey(value: object): string {
  let key = anonymousKeyCache.get(value);
  if (key === undefined) {
    key = getKey(value).replace(rankNumberPattern, "");
    anonymousKeyCache.set(value, key);
  }
  return key;
}

function getRankKey(state: ModelState, rank: number): string {
  const packets = state.packets
    .filter((packet) => getPacketRank(packet) === rank)
    .map(getAnonymousKey)
    .sort();
  const reports = state.leaders.map(({ reports }) =>
    getAnonymousKey(reports[rank] ?? {})
  );
  return [
    getAnonymousKey(state.ranks[rank]!),
    getKey(state.gates[rank]!),
    state.nextSteps[rank],
    ...reports,
    ...packets,
  ].join("|");
}

function getPacketRank(packet: Packet): number {
  return packet.to === "rank" ? packet.rank : packet.report.rank;
}

/** Returns a key that does not depend on the order of the ranks. */
export function getStateKey(state: ModelState): string {
  const leaders = state.leaders.map((leader) =>
    `${leader.phase} ${leader.call} ${leader.version} ${leader.step} ` +
    `${leader.proposal !== undefined} ${getKey(leader.record ?? {})}`
  );
  const ranks = state.ranks.map((_rank, rank) => getRankKey(state, rank));
  return [
    ...leaders,
    ...ranks.sort(),
    state.usedVersions.join(),
    state.version,
    getKey(state.record ?? {}),
    ...state.writes.map(getKey).sort(),
    getKey(state.budgets),
  ].join("|");
}
