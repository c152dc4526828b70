/**
 * Handover of a group between halves:
 *
 *     serving(A, e) -> leaving(A to B, e+1) -> serving(B, e+2)
 *                                         \-> serving(A, e+2), when cancelled
 *
 * Each step is one conditional write of the group's record, so that of all who
 * race for a step one wins. B is admitted nowhere before e+2, and e+2 is written
 * only after each rank has reported that it knows e+1 and that nothing admitted
 * under an earlier epoch runs any more. A rank that does not report keeps the
 * move pending.
 *
 * More than one node may believe to be in charge of the last step. That is
 * harmless: a report for e+1 stays true until the record changes, and the write
 * is conditional on the very version that the reports are about.
 */
import type * as assignment from "./assignment.ts";

/** The stored record: an assignment and the writes that led to it. */
export interface AssignmentRecord extends assignment.Assignment {
  /** Ids of the latest changes, the newest first. */
  readonly changeIds: readonly string[];
}

/** A record and its version in the store. */
export interface StoredRecord {
  readonly record: AssignmentRecord;
  readonly version: number;
}

const changeIdLimit = 8;

/** What an operator asks for. */
export interface MoveRequest {
  /** Half that shall have the group; its present half cancels a move. */
  readonly to: string;
  readonly changeId: string;
}

export type MovePlan =
  | { readonly kind: "write"; readonly next: AssignmentRecord }
  /** The group is there or on its way there. */
  | { readonly kind: "unchanged" }
  /** The group is on its way to a third half; cancel that move first. */
  | { readonly kind: "conflict"; readonly message: string };

/** Builds the first record of a group. */
export function buildInitialRecord(
  group: string,
  options: { readonly half: string; readonly changeId: string },
): AssignmentRecord {
  const { half, changeId } = options;
  return { group, half, epoch: 1, state: "serving", changeIds: [changeId] };
}

function buildNext(
  record: AssignmentRecord,
  changeId: string,
): Pick<AssignmentRecord, "group" | "epoch" | "changeIds"> {
  const changeIds = [changeId, ...record.changeIds].slice(0, changeIdLimit);
  return { group: record.group, epoch: record.epoch + 1, changeIds };
}

/** Plans the write that starts, cancels or leaves alone a move. */
export function planMove(
  record: AssignmentRecord,
  { to, changeId }: MoveRequest,
): MovePlan {
  const next = buildNext(record, changeId);
  if (record.state === "serving") {
    if (to === record.half) return { kind: "unchanged" };
    return {
      kind: "write",
      next: { ...next, half: record.half, state: "leaving", nextHalf: to },
    };
  }
  if (to === record.nextHalf) return { kind: "unchanged" };
  if (to === record.half) {
    return { kind: "write", next: { ...next, half: to, state: "serving" } };
  }
  const message = `Group "${record.group}" is leaving ${record.half} for ` +
    `${record.nextHalf}; cancel that move first`;
  return { kind: "conflict", message };
}

/** A rank's report that it has nothing of an older epoch left. */
export interface DrainedReport {
  readonly rank: number;
  /** Epoch of the leaving record that the rank's agent knows. */
  readonly epoch: number;
}

export type HandoverEvent =
  | { readonly kind: "observed"; readonly stored: StoredRecord }
  | { readonly kind: "drained"; readonly report: DrainedReport }
  /** The settings of the group changed; all ranks from 0 must report. */
  | { readonly kind: "ranks"; readonly rankCount: number }
  /** Outcome of the write of this machine. */
  | { readonly kind: "settled"; readonly outcome: CompletionOutcome }
  | { readonly kind: "timer" };

export type CompletionOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "conflict" }
  | { readonly kind: "unavailable" }
  | { readonly kind: "unknown" };

export type HandoverEffect =
  | {
    readonly kind: "write";
    readonly next: AssignmentRecord;
    readonly ifVersion: number;
  }
  | { readonly kind: "set_timer"; readonly delayMs: number };

/** Progress as operators see it. */
export type HandoverProgress =
  | { readonly kind: "none" }
  | {
    readonly kind: "pending";
    /** Ranks that have not reported yet. */
    readonly waitingFor: readonly number[];
  };

/** The part of one group's handover that whoever is in charge of it runs. */
export interface Handover {
  handle(event: HandoverEvent): readonly HandoverEffect[];
  getProgress(): HandoverProgress;
}

export interface HandoverOptions {
  readonly rankCount: number;
  readonly createId: () => string;
  /** @default 500 */
  readonly retryDelayMs?: number;
}

const defaultRetryDelayMs = 500;

/** Creates the machine; it knows nothing before it has observed a record. */
export function createHandover(options: HandoverOptions): Handover {
  const retryDelayMs = options.retryDelayMs ?? defaultRetryDelayMs;
  const drained = new Set<number>();
  let rankCount = options.rankCount;
  let known: StoredRecord | undefined;
  let writing: AssignmentRecord | undefined;

  function observe(stored: StoredRecord): void {
    if (known !== undefined && stored.version <= known.version) return;
    known = stored;
    drained.clear();
    writing = undefined;
  }

  function addReport({ rank, epoch }: DrainedReport): void {
    const record = known?.record;
    if (record?.state === "leaving" && record.epoch === epoch) {
      drained.add(rank);
    }
  }

  function listMissing(): readonly number[] {
    const ranks = Array.from({ length: rankCount }, (_, rank) => rank);
    return ranks.filter((rank) => !drained.has(rank));
  }

  function complete(): readonly HandoverEffect[] {
    const record = known?.record;
    if (known === undefined || record?.state !== "leaving") return [];
    if (writing !== undefined || listMissing().length > 0) return [];
    writing = {
      ...buildNext(record, options.createId()),
      half: record.nextHalf ?? "",
      state: "serving",
    };
    return [{ kind: "write", next: writing, ifVersion: known.version }];
  }

  function handleSettled(
    outcome: CompletionOutcome,
  ): readonly HandoverEffect[] {
    const next = writing;
    if (next === undefined) return [];
    switch (outcome.kind) {
      case "accepted":
        observe({ record: next, version: outcome.version });
        return [];
      case "conflict":
        // Somebody else was first; the record that won is observed later.
        return [];
      case "unavailable":
      case "unknown":
        return [{ kind: "set_timer", delayMs: retryDelayMs }];
    }
  }

  function retry(): readonly HandoverEffect[] {
    if (writing === undefined || known === undefined) return complete();
    // The same value again: whichever of the writes lands first wins.
    return [{ kind: "write", next: writing, ifVersion: known.version }];
  }

  return {
    handle(event) {
      switch (event.kind) {
        case "observed":
          observe(event.stored);
          return complete();
        case "drained":
          addReport(event.report);
          return complete();
        case "ranks":
          rankCount = event.rankCount;
          return complete();
        case "settled":
          return handleSettled(event.outcome);
        case "timer":
          return retry();
      }
    },
    getProgress() {
      if (known?.record.state !== "leaving") return { kind: "none" };
      return { kind: "pending", waitingFor: listMissing() };
    },
  };
}
