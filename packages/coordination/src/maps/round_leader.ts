/**
 * The leader of one group's map rounds as a state machine: report, answer of
 * the object API or timer in, effects out. Any number of leaders may run at
 * once; only conditional writes decide. A switch takes one write to claim an
 * epoch and one to record the decision, which is spread only after that.
 */
import * as mapSchedule from "./map_schedule.ts";
import type * as roundMessages from "./round_messages.ts";

export interface LeaderOptions {
  /** Names the leader in the record; drawn anew at every start. */
  readonly leader: string;
  readonly rankCount: number;
  /** Steps between the furthest rank and the step of a switch. */
  readonly marginSteps: number;
  /** Map of a group that has no record yet. */
  readonly initial: mapSchedule.VersionedMap;
}

export type LeaderPhase =
  | "idle"
  | "reading"
  | "claiming"
  | "settling"
  | "staging"
  | "preparing"
  | "recording"
  | "spreading";

type Reports = readonly (roundMessages.RankReport | undefined)[];

/** State of one leader; plain data. */
export interface LeaderState {
  readonly options: LeaderOptions;
  readonly phase: LeaderPhase;
  /** Number of the call to the object API whose answer is awaited. */
  readonly call: number;
  readonly record: roundMessages.MapRecord | undefined;
  readonly version: number;
  /** Map that is to be switched to in this round. */
  readonly proposal: mapSchedule.VersionedMap["map"] | undefined;
  readonly step: number | undefined;
  /** Latest report of each rank; in a round only those of its epoch. */
  readonly reports: Reports;
}

/** Answer of the object API to one call. */
export type StoreAnswer =
  | {
    readonly kind: "read";
    readonly call: number;
    readonly record: roundMessages.MapRecord | undefined;
    /** 0 when there is no record. */
    readonly version: number;
  }
  | {
    readonly kind: "written";
    readonly call: number;
    readonly version: number;
  }
  /** The condition did not hold. */
  | { readonly kind: "conflict"; readonly call: number }
  /** The call surely had no effect. */
  | { readonly kind: "unavailable"; readonly call: number }
  /** A write may have taken effect, or may yet do so. */
  | { readonly kind: "unknown"; readonly call: number };

export type LeaderEvent =
  | { readonly kind: "report"; readonly report: roundMessages.RankReport }
  | StoreAnswer
  /** Asks for a switch; ignored while a round is in progress. */
  | {
    readonly kind: "propose";
    readonly map: mapSchedule.VersionedMap["map"];
  }
  /** Sends again what has not been answered; asks all ranks while idle. */
  | { readonly kind: "resend" }
  /** The phase has taken too long. */
  | { readonly kind: "deadline" };

export type RoundOutcome =
  | {
    readonly kind: "switched";
    readonly version: number;
    readonly step: number;
  }
  /** All ranks are on the recorded schedule; nothing was proposed. */
  | { readonly kind: "settled" }
  | { readonly kind: "aborted"; readonly reason: string }
  /** A newer epoch is in force; this leader stands back. */
  | { readonly kind: "fenced"; readonly epoch: number };

export type LeaderEffect =
  | { readonly kind: "read"; readonly call: number }
  | {
    readonly kind: "write";
    readonly call: number;
    readonly record: roundMessages.MapRecord;
    readonly ifVersion: number;
  }
  | {
    readonly kind: "send";
    readonly rank: number;
    readonly message: roundMessages.LeaderMessage;
  }
  | { readonly kind: "finish"; readonly outcome: RoundOutcome };

export interface LeaderResult {
  readonly state: LeaderState;
  readonly effects: readonly LeaderEffect[];
}

/** Phases in which no decision was sought yet, so that an abort is a fact. */
const abortablePhases: readonly LeaderPhase[] = ["staging", "preparing"];

/** Returns the state of a leader without a round. */
export function createLeader(options: LeaderOptions): LeaderState {
  return {
    options,
    phase: "idle",
    call: 0,
    record: undefined,
    version: 0,
    proposal: undefined,
    step: undefined,
    reports: [],
  };
}

/** Handles one event. */
export function advanceLeader(
  state: LeaderState,
  event: LeaderEvent,
): LeaderResult {
  switch (event.kind) {
    case "propose":
      if (state.phase !== "idle") return { state, effects: [] };
      return read({ ...state, proposal: event.map });
    case "resend":
      return sendAgain(state);
    case "deadline":
      if (!abortablePhases.includes(state.phase)) return { state, effects: [] };
      return abortRound(state, `Ranks did not answer while ${state.phase}`);
    case "report":
      return receiveReport(state, event.report);
    default:
      return event.call === state.call
        ? receiveAnswer(state, event)
        : { state, effects: [] };
  }
}

function read(state: LeaderState): LeaderResult {
  const call = state.call + 1;
  return {
    state: { ...state, phase: "reading", call, step: undefined, reports: [] },
    effects: [{ kind: "read", call }],
  };
}

function receiveAnswer(state: LeaderState, answer: StoreAnswer): LeaderResult {
  switch (state.phase) {
    case "reading":
      return answer.kind === "read"
        ? claim(state, answer)
        : { state: { ...state, call: state.call + 1 }, effects: [] };
    case "claiming":
      if (answer.kind !== "written") return read(state);
      return settleRanks({ ...state, version: answer.version });
    case "recording":
      return receiveDecision(state, answer);
    default:
      return { state, effects: [] };
  }
}

function claim(
  state: LeaderState,
  answer: Extract<StoreAnswer, { readonly kind: "read" }>,
): LeaderResult {
  const { leader, initial } = state.options;
  const found = answer.record;
  const record: roundMessages.MapRecord = {
    epoch: (found?.epoch ?? 0) + 1,
    leader,
    schedule: found?.schedule ?? { base: initial },
  };
  const call = state.call + 1;
  return {
    state: { ...state, phase: "claiming", call, record },
    effects: [{ kind: "write", call, record, ifVersion: answer.version }],
  };
}

function settleRanks(state: LeaderState): LeaderResult {
  const settling: LeaderState = { ...state, phase: "settling", reports: [] };
  return { state: settling, effects: sendToLate(settling) };
}

/** A decision whose write was lost is found, or fenced, by the next claim. */
function receiveDecision(
  state: LeaderState,
  answer: StoreAnswer,
): LeaderResult {
  switch (answer.kind) {
    case "written": {
      const record = composeDecision(state);
      const spreading: LeaderState = {
        ...state,
        phase: "spreading",
        version: answer.version,
        record,
      };
      return { state: spreading, effects: sendToLate(spreading) };
    }
    case "unavailable":
      return abortRound(state, "The object API refused the decision");
    case "conflict":
    case "unknown":
    case "read":
      return read({ ...state, proposal: undefined });
  }
}

function composeDecision(state: LeaderState): roundMessages.MapRecord {
  const { record, step } = state;
  if (record === undefined || step === undefined) {
    throw new Error("A decision needs a claimed record and a step");
  }
  const next = { ...composeNext(state), fromStep: step };
  const base = mapSchedule.getLatestMap(record.schedule);
  return { ...record, schedule: { base, next } };
}

function composeNext(state: LeaderState): mapSchedule.VersionedMap {
  const { record, proposal } = state;
  if (record === undefined || proposal === undefined) {
    throw new Error("A round needs a claimed record and a proposed map");
  }
  const { version } = mapSchedule.getLatestMap(record.schedule);
  return { version: version + 1, map: proposal };
}

/** Tells the ranks that this epoch's switch will not be recorded. */
function abortRound(state: LeaderState, reason: string): LeaderResult {
  const epoch = state.record!.epoch;
  return {
    state: finish(state),
    effects: [
      ...sendToAll(state, { kind: "abort", epoch }),
      { kind: "finish", outcome: { kind: "aborted", reason } },
    ],
  };
}

function finish(state: LeaderState): LeaderState {
  return {
    ...state,
    phase: "idle",
    call: state.call + 1,
    proposal: undefined,
    step: undefined,
    reports: [],
  };
}

function sendToAll(
  state: LeaderState,
  message: roundMessages.LeaderMessage,
): LeaderEffect[] {
  return Array.from(
    { length: state.options.rankCount },
    (_value, rank) => ({ kind: "send", rank, message }),
  );
}

function sendAgain(state: LeaderState): LeaderResult {
  switch (state.phase) {
    case "idle":
      return { state, effects: sendToAll(state, { kind: "ask" }) };
    case "reading": {
      const result = read(state);
      const asks = sendToAll(state, { kind: "ask" });
      return {
        state: { ...result.state, reports: state.reports },
        effects: [...result.effects, ...asks],
      };
    }
    case "claiming":
    case "recording":
      return { state, effects: [] };
    default:
      return { state, effects: sendToLate(state) };
  }
}

/** Sends the phase's message to the ranks that have not completed it. */
function sendToLate(state: LeaderState): LeaderEffect[] {
  const message = composeMessage(state);
  return sendToAll(state, message).filter((effect) =>
    effect.kind !== "send" || !hasCompleted(state, effect.rank)
  );
}

function composeMessage(state: LeaderState): roundMessages.LeaderMessage {
  const { epoch, schedule } = state.record!;
  switch (state.phase) {
    case "settling":
      return { kind: "settle", epoch, schedule };
    case "staging":
      return { kind: "stage", epoch, next: composeNext(state) };
    case "preparing":
      return { kind: "prepare", epoch, step: state.step! };
    case "spreading":
      return { kind: "commit", epoch };
    default:
      return { kind: "ask" };
  }
}

/** Phases of a rank that complete a phase of the leader. */
const completingPhases: Readonly<
  Partial<Record<LeaderPhase, readonly roundMessages.RankPhase[]>>
> = {
  settling: ["settled", "staging", "staged", "holding", "prepared"],
  staging: ["staged", "holding", "prepared"],
  preparing: ["prepared"],
  spreading: ["committed"],
};

function hasCompleted(state: LeaderState, rank: number): boolean {
  const report = state.reports[rank];
  const phases = completingPhases[state.phase];
  if (report === undefined || phases === undefined) return false;
  if (report.epoch !== state.record?.epoch) return false;
  if (!report.isInstalled || !phases.includes(report.phase)) return false;
  return state.phase !== "staging" || hasPassedLastSwitch(state, report);
}

/** A schedule holds one switch, so the last one must lie behind all ranks. */
function hasPassedLastSwitch(
  state: LeaderState,
  report: roundMessages.RankReport,
): boolean {
  const { next } = state.record!.schedule;
  return next === undefined || report.nextStep >= next.fromStep;
}

function receiveReport(
  state: LeaderState,
  report: roundMessages.RankReport,
): LeaderResult {
  if (["idle", "reading", "claiming"].includes(state.phase)) {
    return receiveEarlyReport(state, report);
  }
  const epoch = state.record!.epoch;
  if (report.epoch !== undefined && report.epoch > epoch) {
    const outcome: RoundOutcome = { kind: "fenced", epoch: report.epoch };
    return { state: finish(state), effects: [{ kind: "finish", outcome }] };
  }
  if (report.phase === "recovering") return receiveRecovering(state, report);
  if (report.epoch !== epoch) return { state, effects: [] };
  if (report.phase === "refused" && abortablePhases.includes(state.phase)) {
    return abortRound(state, `Rank ${report.rank} could not take part`);
  }
  return completePhase({
    ...state,
    reports: replaceReport(state.reports, report),
  });
}

/**
 * Without a claimed epoch. A rank that a round left behind is settled by a new
 * epoch; if another rank knows that the round was decided, it is told at once,
 * so that it goes on although the object API is away.
 */
function receiveEarlyReport(
  state: LeaderState,
  report: roundMessages.RankReport,
): LeaderResult {
  const reports = replaceReport(state.reports, report);
  const effects = spreadDecisions(reports);
  const isWaiting = report.phase === "recovering"
    ? report.epoch !== undefined
    : report.phase === "holding" || report.phase === "prepared";
  if (state.phase !== "idle" || !isWaiting) {
    return { state: { ...state, reports }, effects };
  }
  const result = read(state);
  return {
    state: { ...result.state, reports },
    effects: [...effects, ...result.effects],
  };
}

function spreadDecisions(reports: Reports): LeaderEffect[] {
  const known = reports.filter((report) => report !== undefined);
  const decided = new Set(
    known.filter(({ phase }) => phase === "committed")
      .map(({ epoch }) => epoch),
  );
  return known
    .filter(({ phase, epoch }) => phase === "prepared" && decided.has(epoch))
    .map(({ rank, epoch }) => {
      const message = { kind: "commit", epoch: epoch! } as const;
      return { kind: "send", rank, message };
    });
}

function receiveRecovering(
  state: LeaderState,
  report: roundMessages.RankReport,
): LeaderResult {
  const isFenced = report.epoch === state.record!.epoch;
  if (!isFenced || state.phase === "recording") return { state, effects: [] };
  if (state.phase === "spreading") {
    return read({ ...state, proposal: undefined });
  }
  if (!abortablePhases.includes(state.phase)) return read(state);
  const reason = `Rank ${report.rank} restarted`;
  const aborted = abortRound(state, reason);
  const again = read(aborted.state);
  return {
    state: again.state,
    effects: [...aborted.effects, ...again.effects],
  };
}

function replaceReport(
  reports: Reports,
  report: roundMessages.RankReport,
): Reports {
  const next = [...reports];
  next[report.rank] = report;
  return next;
}

function completePhase(state: LeaderState): LeaderResult {
  const ranks = Array.from(
    { length: state.options.rankCount },
    (_value, rank) => rank,
  );
  if (!ranks.every((rank) => hasCompleted(state, rank))) {
    return { state, effects: [] };
  }
  switch (state.phase) {
    case "settling":
      if (state.proposal === undefined) {
        return finishRound(state, { kind: "settled" });
      }
      return startPhase({ ...state, phase: "staging" });
    case "staging": {
      const reached = Math.max(...state.reports.map((one) => one!.nextStep));
      const step = reached + state.options.marginSteps;
      return startPhase({ ...state, phase: "preparing", step });
    }
    case "preparing":
      return record({ ...state, phase: "recording" });
    case "spreading": {
      const { version, fromStep } = state.record!.schedule.next!;
      return finishRound(state, { kind: "switched", version, step: fromStep });
    }
    default:
      return { state, effects: [] };
  }
}

function startPhase(state: LeaderState): LeaderResult {
  return { state, effects: sendToLate(state) };
}

function record(state: LeaderState): LeaderResult {
  const call = state.call + 1;
  const decision = composeDecision(state);
  const ifVersion = state.version;
  return {
    state: { ...state, call },
    effects: [{ kind: "write", call, record: decision, ifVersion }],
  };
}

function finishRound(
  state: LeaderState,
  outcome: RoundOutcome,
): LeaderResult {
  return { state: finish(state), effects: [{ kind: "finish", outcome }] };
}
