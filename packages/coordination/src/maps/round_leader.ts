/**
 * Leader of the switch rounds in `round_messages.ts` as a state machine:
 * report, answer of the object API or timer in, effects out. Any number of
 * leaders may run concurrently; only conditional writes decide. A switch takes
 * one write that claims an epoch and one that records the decision. The leader
 * sends commits to the ranks only after the second write.
 */
import * as mapSchedule from "./map_schedule.ts";
import type * as roundMessages from "./round_messages.ts";

export interface LeaderOptions {
  /** Id of the leader in the record; generated at each start. */
  readonly leader: string;
  readonly rankCount: number;
  /** Steps from the next step of the most advanced rank to the switch. */
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
  | "committing";

type Reports = readonly (roundMessages.RankReport | undefined)[];

/** State of one leader; plain data. */
export interface LeaderState {
  readonly options: LeaderOptions;
  readonly phase: LeaderPhase;
  /** Number of the call to the object API whose answer is awaited. */
  readonly call: number;
  readonly record: roundMessages.MapRecord | undefined;
  /** Version of the record in the object API, not of a map. */
  readonly version: number;
  /** Map that this round switches to. */
  readonly proposal: mapSchedule.VersionedMap["map"] | undefined;
  /** First step that uses the proposed map. */
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
  /** The condition of the write was not met. */
  | { readonly kind: "conflict"; readonly call: number }
  /** The call definitely had no effect. */
  | { readonly kind: "unavailable"; readonly call: number }
  /** A write may have taken effect or may still do so. */
  | { readonly kind: "unknown"; readonly call: number };

export type LeaderEvent =
  | { readonly kind: "report"; readonly report: roundMessages.RankReport }
  | StoreAnswer
  /** Requests a switch; ignored while a round is in progress. */
  | {
    readonly kind: "propose";
    readonly map: mapSchedule.VersionedMap["map"];
  }
  /** Resends unanswered messages; requests all reports while idle. */
  | { readonly kind: "resend" }
  /** The phase has taken too long. */
  | { readonly kind: "deadline" };

export type RoundOutcome =
  | {
    readonly kind: "switched";
    readonly version: number;
    readonly step: number;
  }
  /** All ranks are on the recorded schedule; no map was proposed. */
  | { readonly kind: "settled" }
  | { readonly kind: "aborted"; readonly reason: string }
  /** A newer epoch has been claimed; this leader ends its round. */
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

/** Phases before the write of the decision: no switch can follow an abort. */
const abortablePhases: readonly LeaderPhase[] = ["staging", "preparing"];

/** Returns the state of a leader that runs no round. */
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
      return readRecord({ ...state, proposal: event.map });
    case "resend":
      return sendPendingMessages(state);
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

function readRecord(state: LeaderState): LeaderResult {
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
        ? claimEpoch(state, answer)
        : { state: { ...state, call: state.call + 1 }, effects: [] };
    case "claiming":
      if (answer.kind !== "written") return readRecord(state);
      return settleRanks({ ...state, version: answer.version });
    case "recording":
      return receiveDecisionAnswer(state, answer);
    default:
      return { state, effects: [] };
  }
}

function claimEpoch(
  state: LeaderState,
  answer: Extract<StoreAnswer, { readonly kind: "read" }>,
): LeaderResult {
  const { leader, initial } = state.options;
  const currentRecord = answer.record;
  const record: roundMessages.MapRecord = {
    epoch: (currentRecord?.epoch ?? 0) + 1,
    leader,
    schedule: currentRecord?.schedule ?? { base: initial },
  };
  const call = state.call + 1;
  return {
    state: { ...state, phase: "claiming", call, record },
    effects: [{ kind: "write", call, record, ifVersion: answer.version }],
  };
}

function settleRanks(state: LeaderState): LeaderResult {
  const settling: LeaderState = { ...state, phase: "settling", reports: [] };
  return { state: settling, effects: sendToIncomplete(settling) };
}

/**
 * Handles the answer to the write of the decision. If the result of the write is
 * unknown, the leader claims another epoch: the claim either finds the decision
 * in the record or fences the write.
 */
function receiveDecisionAnswer(
  state: LeaderState,
  answer: StoreAnswer,
): LeaderResult {
  switch (answer.kind) {
    case "written": {
      const record = composeDecision(state);
      const committing: LeaderState = {
        ...state,
        phase: "committing",
        version: answer.version,
        record,
      };
      return { state: committing, effects: sendToIncomplete(committing) };
    }
    case "unavailable":
      return abortRound(state, "The object API refused the decision");
    case "conflict":
    case "unknown":
    case "read":
      return readRecord({ ...state, proposal: undefined });
  }
}

function composeDecision(state: LeaderState): roundMessages.MapRecord {
  const { record, step } = state;
  if (record === undefined || step === undefined) {
    throw new Error("The decision requires a claimed record and a step");
  }
  const next = { ...composeNextMap(state), fromStep: step };
  const base = mapSchedule.getLatestMap(record.schedule);
  return { ...record, schedule: { base, next } };
}

function composeNextMap(state: LeaderState): mapSchedule.VersionedMap {
  const { record, proposal } = state;
  if (record === undefined || proposal === undefined) {
    throw new Error("The round requires a claimed record and a proposed map");
  }
  const { version } = mapSchedule.getLatestMap(record.schedule);
  return { version: version + 1, map: proposal };
}

/** Notifies the ranks that this epoch's switch will not be recorded. */
function abortRound(state: LeaderState, reason: string): LeaderResult {
  const epoch = state.record!.epoch;
  return {
    state: resetRound(state),
    effects: [
      ...sendToAll(state, { kind: "abort", epoch }),
      { kind: "finish", outcome: { kind: "aborted", reason } },
    ],
  };
}

function resetRound(state: LeaderState): LeaderState {
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

function sendPendingMessages(state: LeaderState): LeaderResult {
  switch (state.phase) {
    case "idle":
      return { state, effects: sendToAll(state, { kind: "ask" }) };
    case "reading": {
      const result = readRecord(state);
      const messages = sendToAll(state, { kind: "ask" });
      return {
        state: { ...result.state, reports: state.reports },
        effects: [...result.effects, ...messages],
      };
    }
    case "claiming":
    case "recording":
      return { state, effects: [] };
    default:
      return { state, effects: sendToIncomplete(state) };
  }
}

/** Sends the phase's message to the ranks that have not completed the phase. */
function sendToIncomplete(state: LeaderState): LeaderEffect[] {
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
      return { kind: "stage", epoch, next: composeNextMap(state) };
    case "preparing":
      return { kind: "prepare", epoch, step: state.step! };
    case "committing":
      return { kind: "commit", epoch };
    default:
      return { kind: "ask" };
  }
}

/** Rank phases that complete a phase of the leader. */
const completingPhases: Readonly<
  Partial<Record<LeaderPhase, readonly roundMessages.RankPhase[]>>
> = {
  settling: ["settled", "staging", "staged", "holding", "prepared"],
  staging: ["staged", "holding", "prepared"],
  preparing: ["prepared"],
  committing: ["committed"],
};

function hasCompleted(state: LeaderState, rank: number): boolean {
  const report = state.reports[rank];
  const phases = completingPhases[state.phase];
  if (report === undefined || phases === undefined) return false;
  if (report.epoch !== state.record?.epoch) return false;
  if (!report.isInstalled || !phases.includes(report.phase)) return false;
  return state.phase !== "staging" || hasPassedLastSwitch(state, report);
}

/**
 * Returns whether a rank is past the last switch. A schedule has room for one
 * switch only, so the next switch waits until all ranks are.
 */
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
    return { state: resetRound(state), effects: [{ kind: "finish", outcome }] };
  }
  if (report.phase === "recovering") return handleRecoveringRank(state, report);
  if (report.epoch !== epoch) return { state, effects: [] };
  if (report.phase === "refused" && abortablePhases.includes(state.phase)) {
    return abortRound(
      state,
      `Rank ${report.rank} could not stage the map or hold the step`,
    );
  }
  return completePhase({
    ...state,
    reports: replaceReport(state.reports, report),
  });
}

/**
 * Handles a report while the leader has no claimed epoch. A rank that an
 * earlier round left unsettled is settled by a new epoch. If another rank has
 * committed that round, a prepared rank receives the commit at once, so that it
 * continues even while the object API is unavailable.
 */
function receiveEarlyReport(
  state: LeaderState,
  report: roundMessages.RankReport,
): LeaderResult {
  const reports = replaceReport(state.reports, report);
  const effects = sendMissedCommits(reports);
  const isUnsettled = report.phase === "recovering"
    ? report.epoch !== undefined
    : report.phase === "holding" || report.phase === "prepared";
  if (state.phase !== "idle" || !isUnsettled) {
    return { state: { ...state, reports }, effects };
  }
  const result = readRecord(state);
  return {
    state: { ...result.state, reports },
    effects: [...effects, ...result.effects],
  };
}

function sendMissedCommits(reports: Reports): LeaderEffect[] {
  const receivedReports = reports.filter((report) => report !== undefined);
  const committedEpochs = new Set(
    receivedReports.filter(({ phase }) => phase === "committed")
      .map(({ epoch }) => epoch),
  );
  return receivedReports
    .filter(({ phase, epoch }) =>
      phase === "prepared" && committedEpochs.has(epoch)
    )
    .map(({ rank, epoch }) => {
      const message = { kind: "commit", epoch: epoch! } as const;
      return { kind: "send", rank, message };
    });
}

/**
 * Handles the report of a restarted rank. A rank that has read the record of
 * this epoch is fenced: it accepts only newer epochs, so the round can't complete
 * and the leader claims a new epoch.
 */
function handleRecoveringRank(
  state: LeaderState,
  report: roundMessages.RankReport,
): LeaderResult {
  const isFenced = report.epoch === state.record!.epoch;
  if (!isFenced || state.phase === "recording") return { state, effects: [] };
  if (state.phase === "committing") {
    return readRecord({ ...state, proposal: undefined });
  }
  if (!abortablePhases.includes(state.phase)) return readRecord(state);
  const reason = `Rank ${report.rank} restarted`;
  const aborted = abortRound(state, reason);
  const reading = readRecord(aborted.state);
  return {
    state: reading.state,
    effects: [...aborted.effects, ...reading.effects],
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
      const highestNextStep = Math.max(
        ...state.reports.map((report) => report!.nextStep),
      );
      const step = highestNextStep + state.options.marginSteps;
      return startPhase({ ...state, phase: "preparing", step });
    }
    case "preparing":
      return writeDecision({ ...state, phase: "recording" });
    case "committing": {
      const { version, fromStep } = state.record!.schedule.next!;
      return finishRound(state, { kind: "switched", version, step: fromStep });
    }
    default:
      return { state, effects: [] };
  }
}

function startPhase(state: LeaderState): LeaderResult {
  return { state, effects: sendToIncomplete(state) };
}

function writeDecision(state: LeaderState): LeaderResult {
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
  return { state: resetRound(state), effects: [{ kind: "finish", outcome }] };
}
