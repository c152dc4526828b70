/**
 * The handover duty of one entry. For each group of its half of which the entry
 * is in charge (it holds the lease of the group's duty), it completes moves after
 * all ranks have reported that they are drained, and creates the first record of
 * a group that the settings define. Each step is derived periodically from the
 * current state, so that a lost event delays a step but does not skip it.
 */
import * as handover from "@anvilhinge/coordination/handover";
import * as assignmentCodec from "../../adapters/assignment_codec.ts";
import * as assignmentWriter from "./assignment_writer.ts";
import type * as context from "../context.ts";
import type * as duties from "./duties.ts";
import type * as entryClient from "./entry_client.ts";

export type HandoverContext = Pick<
  context.EntryContext,
  | "settings"
  | "store"
  | "scheduler"
  | "createId"
  | "catalog"
  | "upstreams"
  | "logger"
  | "state"
>;

/** A group that several subtrees define and that has no assignment yet. */
export interface GroupConflict {
  readonly group: string;
  /** Subtrees that define the group, as `/<half>/<team>`. */
  readonly subtrees: readonly string[];
}

export interface HandoverDuty {
  /** Handles a report; false unless this entry is in charge of a pending move. */
  report(received: entryClient.DrainedReport): Promise<boolean>;
  /** Returns the progress of a pending move; undefined if there is none here. */
  getProgress(group: string): entryClient.MoveProgress | undefined;
  listConflicts(): readonly GroupConflict[];
  /** Starts the periodic updates; they stop when the signal aborts. */
  start(): void;
}

export interface HandoverDutyOptions {
  readonly duties: Pick<duties.Duties, "isHolder">;
  readonly signal: AbortSignal;
}

interface Move {
  readonly machine: handover.Handover;
  /** Epoch of the record with the state `leaving`. */
  readonly epoch: number;
}

const updateIntervalMs = 500;

/** Creates the duty; it writes nothing before `start`. */
export function createHandoverDuty(
  entry: HandoverContext,
  options: HandoverDutyOptions,
): HandoverDuty {
  const { store, scheduler } = entry;
  const moves = new Map<string, Move>();
  const groupsInCreation = new Set<string>();
  const pendingLoads = new Map<string, Promise<Move | undefined>>();
  let conflicts: readonly GroupConflict[] = [];

  function countRanks(group: string, half: string): number {
    return entry.catalog.findGroup(group, half)?.ranks.length ?? 0;
  }

  function feed(
    group: string,
    machine: handover.Handover,
    event: handover.HandoverEvent,
  ): void {
    for (const effect of machine.handle(event)) {
      execute(group, machine, effect);
    }
  }

  function execute(
    group: string,
    machine: handover.Handover,
    effect: handover.HandoverEffect,
  ): void {
    const isCurrent = () =>
      moves.get(group)?.machine === machine && !options.signal.aborted;
    switch (effect.kind) {
      case "write":
        void assignmentWriter.writeRecord(entry, {
          record: effect.next,
          version: effect.ifVersion,
        }).then((outcome) => {
          if (outcome.kind === "accepted") {
            const { half, epoch } = effect.next;
            entry.logger.info(
              `Moved group ${group} to ${half}, epoch ${epoch}`,
            );
          }
          if (isCurrent()) feed(group, machine, { kind: "settled", outcome });
        });
        return;
      case "set_timer":
        scheduler.schedule(() => {
          if (isCurrent()) feed(group, machine, { kind: "timer" });
        }, { delayMs: effect.delayMs, signal: options.signal });
        return;
    }
  }

  async function readRecord(
    group: string,
  ): Promise<handover.StoredRecord | undefined> {
    const outcome = await store.read(assignmentCodec.formatKey(group));
    if (outcome.kind !== "found") return undefined;
    const record = assignmentCodec.parseRecord(outcome.object.value);
    if (record === undefined) return undefined;
    return { record, version: outcome.object.version };
  }

  async function loadMove(group: string): Promise<Move | undefined> {
    const stored = await readRecord(group);
    if (stored?.record.state !== "leaving") return undefined;
    const { half, epoch } = stored.record;
    const rankCount = countRanks(group, half);
    if (half !== entry.settings.half || rankCount === 0) return undefined;
    const machine = handover.createHandover({
      rankCount,
      createId: entry.createId,
    });
    const move = { machine, epoch };
    moves.set(group, move);
    feed(group, machine, { kind: "observed", stored });
    return move;
  }

  /**
   * Returns the move at `epoch` or later; reads it from the store if unknown.
   */
  function findMove(group: string, epoch: number): Promise<Move | undefined> {
    const loaded = moves.get(group);
    if (loaded !== undefined && loaded.epoch >= epoch) {
      return Promise.resolve(loaded);
    }
    const pending = pendingLoads.get(group) ??
      loadMove(group).finally(() => pendingLoads.delete(group));
    pendingLoads.set(group, pending);
    return pending;
  }

  function updateMoves(): void {
    const leaving = entry.upstreams.listAssignments().filter((assignment) =>
      assignment.state === "leaving" &&
      assignment.half === entry.settings.half &&
      options.duties.isHolder(assignment.group)
    );
    // A move ends when this entry sees a later record, whoever wrote it, or is
    // no longer in charge; `findMove` loads a later move of the group anew.
    for (const [group, move] of moves) {
      const current = entry.upstreams.findAssignment(group);
      const isOver = current !== undefined && current.epoch > move.epoch;
      if (isOver || !options.duties.isHolder(group)) moves.delete(group);
    }
    for (const { group, epoch, half } of leaving) {
      void findMove(group, epoch).then((move) => {
        const rankCount = countRanks(group, half);
        if (move === undefined || rankCount === 0) return;
        feed(group, move.machine, { kind: "ranks", rankCount });
      });
    }
  }

  async function createRecord(group: string, half: string): Promise<void> {
    groupsInCreation.add(group);
    const changeId = entry.createId();
    const record = handover.buildInitialRecord(group, { half, changeId });
    const outcome = await assignmentWriter.writeRecord(entry, {
      record,
      version: 0,
    });
    groupsInCreation.delete(group);
    if (outcome.kind === "accepted") {
      entry.logger.info(`Assigned the new group ${group} to ${half}`);
    }
  }

  /** Creates first records of groups; lists groups defined more than once. */
  function createMissingRecords(): void {
    const newConflicts: GroupConflict[] = [];
    for (const group of entry.catalog.listGroupNames()) {
      if (entry.upstreams.findAssignment(group) !== undefined) continue;
      const subtrees = entry.catalog.listGroupSubtrees(group);
      if (subtrees.length > 1) {
        newConflicts.push({ group, subtrees });
        entry.logger.warnOnce(
          `conflict ${group}`,
          `Group ${group} is defined under ${subtrees.join(" and ")}; ` +
            "rename it in all but one",
        );
        continue;
      }
      const half = entry.catalog.findDefiningHalf(group);
      const isResponsible = half === entry.settings.half &&
        options.duties.isHolder(group) && !groupsInCreation.has(group);
      if (half !== undefined && isResponsible) void createRecord(group, half);
    }
    conflicts = newConflicts;
  }

  function updateAll(): void {
    if (entry.state.isReady) {
      updateMoves();
      createMissingRecords();
    }
    scheduler.schedule(updateAll, {
      delayMs: updateIntervalMs,
      signal: options.signal,
    });
  }

  return {
    async report(received) {
      const { group, epoch } = received;
      if (!options.duties.isHolder(group)) return false;
      const move = await findMove(group, epoch);
      if (move === undefined) return false;
      feed(group, move.machine, { kind: "drained", report: received });
      return true;
    },
    getProgress(group) {
      const move = moves.get(group);
      const progress = move?.machine.getProgress();
      return move !== undefined && progress?.kind === "pending"
        ? { epoch: move.epoch, waitingFor: progress.waitingFor }
        : undefined;
    },
    listConflicts: () => conflicts,
    start: updateAll,
  };
}
