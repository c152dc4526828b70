/**
 * Handover of a group between halves:
 *
 *     serving(A, e) -> leaving(A to B, e+1) -> serving(B, e+2)
 *                                         \-> serving(A, e+2), when cancelled
 *
 * A and B are the halves, e is an epoch. Each step is one conditional write of
 * the group's record, so that only one of several concurrent writers wins. No
 * rank admits work of B before e+2, and e+2 is written only after each rank has
 * reported that it has received e+1 and that no work admitted under an earlier
 * epoch is still running. A rank that does not report keeps the move pending.
 *
 * Several nodes may assume that they are in charge of the last step. This is
 * harmless: a report for e+1 stays valid until the record changes, and the
 * write is conditional on the record version that the reports refer to.
 */
import type * as assignment from "./assignment.ts";

/** The stored record: an assignment and the ids of its latest changes. */
export interface AssignmentRecord extends assignment.Assignment {
  /** Ids of the latest changes, newest first. */
  readonly changeIds: readonly string[];
}

/** A record and its version in the object store. */
export interface StoredRecord {
  readonly record: AssignmentRecord;
  readonly version: number;
}

const maxChangeIds = 8;

/** A request by an operator to move a group. */
export interface MoveRequest {
  /** Half to move the group to; its current half cancels a pending move. */
  readonly to: string;
  readonly changeId: string;
}

export type MovePlan =
  | { readonly kind: "write"; readonly next: AssignmentRecord }
  /** The half owns the group, or a move to it is pending. */
  | { readonly kind: "unchanged" }
  /** A move to a third half is pending and must be cancelled first. */
  | { readonly kind: "conflict"; readonly message: string };

/** Builds the first record of a group. */
export function buildInitialRecord(
  group: string,
  options: { readonly half: string; readonly changeId: string },
): AssignmentRecord {
  const { half, changeId } = options;
  return { group, half, epoch: 1, state: "serving", changeIds: [changeId] };
}

function buildNextFields(
  record: AssignmentRecord,
  changeId: string,
): Pick<AssignmentRecord, "group" | "epoch" | "changeIds"> {
  const changeIds = [changeId, ...record.changeIds].slice(0, maxChangeIds);
  return { group: record.group, epoch: record.epoch + 1, changeIds };
}

/** Plans the write that starts or cancels a move, if one is needed. */
export function planMove(
  record: AssignmentRecord,
  { to, changeId }: MoveRequest,
): MovePlan {
  const next = buildNextFields(record, changeId);
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

/** Report of a rank that no work of an earlier epoch is still running. */
export interface DrainedReport {
  readonly rank: number;
  /** Epoch of the latest `leaving` record at the agent of the rank. */
  readonly epoch: number;
}

export type HandoverEvent =
  | { readonly kind: "observed"; readonly stored: StoredRecord }
  | { readonly kind: "drained"; readonly report: DrainedReport }
  /** The settings changed; all ranks from 0 to `rankCount - 1` must report. */
  | { readonly kind: "ranks"; readonly rankCount: number }
  /** Outcome of the write that this machine requested. */
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

/** Progress of a handover, for operators. */
export type HandoverProgress =
  | { readonly kind: "none" }
  | {
    readonly kind: "pending";
    /** Ranks that have not reported yet. */
    readonly waitingFor: readonly number[];
  };

/** State machine for a group's handover; runs on the node in charge of it. */
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

/** Creates the state machine; it waits for the first observed record. */
export function createHandover(options: HandoverOptions): Handover {
  const retryDelayMs = options.retryDelayMs ?? defaultRetryDelayMs;
  const drainedRanks = new Set<number>();
  let rankCount = options.rankCount;
  let latest: StoredRecord | undefined;
  let pendingRecord: AssignmentRecord | undefined;

  function observe(stored: StoredRecord): void {
    if (latest !== undefined && stored.version <= latest.version) return;
    latest = stored;
    drainedRanks.clear();
    pendingRecord = undefined;
  }

  function addReport({ rank, epoch }: DrainedReport): void {
    const record = latest?.record;
    if (record?.state === "leaving" && record.epoch === epoch) {
      drainedRanks.add(rank);
    }
  }

  function listPendingRanks(): readonly number[] {
    const ranks = Array.from({ length: rankCount }, (_, rank) => rank);
    return ranks.filter((rank) => !drainedRanks.has(rank));
  }

  /** Writes the last step of the move if all ranks have reported. */
  function complete(): readonly HandoverEffect[] {
    const record = latest?.record;
    if (latest === undefined || record?.state !== "leaving") return [];
    if (pendingRecord !== undefined || listPendingRanks().length > 0) return [];
    pendingRecord = {
      ...buildNextFields(record, options.createId()),
      half: record.nextHalf ?? "",
      state: "serving",
    };
    return [{ kind: "write", next: pendingRecord, ifVersion: latest.version }];
  }

  function handleSettled(
    outcome: CompletionOutcome,
  ): readonly HandoverEffect[] {
    const next = pendingRecord;
    if (next === undefined) return [];
    switch (outcome.kind) {
      case "accepted":
        observe({ record: next, version: outcome.version });
        return [];
      case "conflict":
        // Another writer was first. The machine writes no more until its embedder
        // feeds it the other record or replaces the machine.
        return [];
      case "unavailable":
      case "unknown":
        return [{ kind: "set_timer", delayMs: retryDelayMs }];
    }
  }

  function retry(): readonly HandoverEffect[] {
    if (pendingRecord === undefined || latest === undefined) return complete();
    // Repeats the identical write: whichever copy takes effect first wins.
    return [{ kind: "write", next: pendingRecord, ifVersion: latest.version }];
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
      if (latest?.record.state !== "leaving") return { kind: "none" };
      return { kind: "pending", waitingFor: listPendingRanks() };
    },
  };
}
