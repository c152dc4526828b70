/**
 * Rank side of the switch rounds in `round_messages.ts` as a state machine:
 * message or engine event in, effects out.
 *
 * Rules that make a switch safe:
 * - A rank that reported `prepared` does not run the promised step until it
 *   receives the decision or is settled by a newer epoch.
 * - After a restart a rank reads the record and accepts only epochs above the
 *   recorded epoch. A promise that the restart erased belongs to the recorded
 *   epoch or an older one, and the claim of a newer epoch fences its decision.
 */
import * as mapSchedule from "./map_schedule.ts";
import type * as roundMessages from "./round_messages.ts";

/** State of one rank; plain data. */
export interface RankState {
  readonly rank: number;
  readonly phase: roundMessages.RankPhase;
  readonly epoch: number | undefined;
  readonly schedule: mapSchedule.MapSchedule | undefined;
  /** Map of the switch of this epoch. */
  readonly staged: mapSchedule.VersionedMap | undefined;
  /** Step before which the rank holds for the decision. */
  readonly step: number | undefined;
  /** Whether the engine has confirmed the schedule. */
  readonly isInstalled: boolean;
}

export type RankEvent =
  | roundMessages.LeaderMessage
  /** The record was read; epoch 0 without a record. */
  | { readonly kind: "record_read"; readonly epoch: number }
  | { readonly kind: "staged"; readonly epoch: number }
  | { readonly kind: "stage_failed"; readonly epoch: number }
  | { readonly kind: "held"; readonly epoch: number }
  | { readonly kind: "hold_missed"; readonly epoch: number }
  | { readonly kind: "installed"; readonly epoch: number }
  /** The engine lost its state. */
  | { readonly kind: "engine_restarted" };

export type RankEffect =
  | { readonly kind: "read_record" }
  /**
   * Load the weights of a map's experts; `staged` or `stage_failed` follows.
   */
  | {
    readonly kind: "stage";
    readonly epoch: number;
    readonly next: mapSchedule.VersionedMap;
  }
  /** Hold the engine before a step; `held` or `hold_missed` follows. */
  | { readonly kind: "hold"; readonly epoch: number; readonly step: number }
  /** Replace the engine's schedule and end its hold; `installed` follows. */
  | {
    readonly kind: "install";
    readonly epoch: number;
    readonly schedule: mapSchedule.MapSchedule;
  }
  /** Send the current report to the sender of the message. */
  | { readonly kind: "reply" };

export interface RankResult {
  readonly state: RankState;
  readonly effects: readonly RankEffect[];
}

const reply: RankEffect = { kind: "reply" };

/** Returns the initial state of a rank and the first effects. */
export function startRank(rank: number): RankResult {
  const state: RankState = {
    rank,
    phase: "recovering",
    epoch: undefined,
    schedule: undefined,
    staged: undefined,
    step: undefined,
    isInstalled: false,
  };
  return { state, effects: [{ kind: "read_record" }] };
}

/** Builds the report of a rank to a leader. */
export function buildReport(
  state: RankState,
  nextStep: number,
): roundMessages.RankReport {
  const { rank, phase, epoch, isInstalled } = state;
  return { rank, phase, epoch, isInstalled, nextStep };
}

/** Handles one event. */
export function advanceRank(state: RankState, event: RankEvent): RankResult {
  switch (event.kind) {
    case "ask":
      return { state, effects: [reply] };
    case "settle":
      return handleSettle(state, event);
    case "record_read":
      return handleRecordRead(state, event.epoch);
    case "engine_restarted":
      return startRank(state.rank);
    default:
      return event.epoch === state.epoch
        ? handleRoundEvent(state, event)
        : { state, effects: isLeaderMessage(event) ? [reply] : [] };
  }
}

type RoundEvent = Exclude<
  RankEvent,
  { readonly kind: "ask" | "settle" | "record_read" | "engine_restarted" }
>;

function isLeaderMessage({ kind }: RoundEvent): boolean {
  return kind === "stage" || kind === "prepare" || kind === "commit" ||
    kind === "abort";
}

function handleRecordRead(state: RankState, epoch: number): RankResult {
  const isAwaitingRecord = state.phase === "recovering" &&
    state.epoch === undefined;
  if (!isAwaitingRecord) return { state, effects: [] };
  return { state: { ...state, epoch }, effects: [] };
}

function handleSettle(
  state: RankState,
  { epoch, schedule }: {
    readonly epoch: number;
    readonly schedule: mapSchedule.MapSchedule;
  },
): RankResult {
  const isNewer = state.epoch !== undefined && epoch > state.epoch;
  if (!isNewer) return { state, effects: [reply] };
  return installSchedule({
    ...state,
    phase: "settled",
    epoch,
    staged: undefined,
    step: undefined,
  }, schedule);
}

function installSchedule(
  state: RankState,
  schedule: mapSchedule.MapSchedule,
): RankResult {
  return {
    state: { ...state, schedule, isInstalled: false },
    effects: [{ kind: "install", epoch: state.epoch!, schedule }],
  };
}

/** Handles an event that belongs to the current epoch of the rank. */
function handleRoundEvent(state: RankState, event: RoundEvent): RankResult {
  switch (event.kind) {
    case "stage": {
      if (state.phase !== "settled") return { state, effects: [reply] };
      const { epoch, next } = event;
      return {
        state: { ...state, phase: "staging", staged: next },
        effects: [{ kind: "stage", epoch, next }],
      };
    }
    case "prepare": {
      if (state.phase !== "staged") return { state, effects: [reply] };
      const { epoch, step } = event;
      return {
        state: { ...state, phase: "holding", step },
        effects: [{ kind: "hold", epoch, step }],
      };
    }
    case "commit":
      return applyCommit(state);
    case "abort":
      return applyAbort(state);
    case "staged":
      return updatePhase(state, { from: "staging", to: "staged" });
    case "stage_failed":
      return updatePhase(state, { from: "staging", to: "refused" });
    case "held":
      return updatePhase(state, { from: "holding", to: "prepared" });
    case "hold_missed":
      return updatePhase(state, { from: "holding", to: "refused" });
    case "installed":
      if (state.phase === "recovering") return { state, effects: [] };
      return { state: { ...state, isInstalled: true }, effects: [reply] };
  }
}

function updatePhase(
  state: RankState,
  { from, to }: {
    readonly from: roundMessages.RankPhase;
    readonly to: roundMessages.RankPhase;
  },
): RankResult {
  if (state.phase !== from) return { state, effects: [] };
  return { state: { ...state, phase: to }, effects: [reply] };
}

function applyCommit(state: RankState): RankResult {
  const { schedule, staged, step } = state;
  if (state.phase !== "prepared") return { state, effects: [reply] };
  if (schedule === undefined || staged === undefined || step === undefined) {
    throw new Error(`Rank ${state.rank} is prepared without a map or a step`);
  }
  return installSchedule({ ...state, phase: "committed" }, {
    base: mapSchedule.getLatestMap(schedule),
    next: { ...staged, fromStep: step },
  });
}

function applyAbort(state: RankState): RankResult {
  const { phase, schedule } = state;
  const isDone = phase === "recovering" || phase === "committed" ||
    phase === "aborted";
  if (isDone || schedule === undefined) return { state, effects: [reply] };
  return installSchedule({ ...state, phase: "aborted" }, schedule);
}
