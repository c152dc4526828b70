/**
 * Moves of groups between halves as operators ask for them: who may ask, what
 * is written, and how the outcome is told.
 */
import type * as conditionalWrite from "@anvilhinge/coordination/conditional_write";
import * as handover from "@anvilhinge/coordination/handover";
import * as assignmentCodec from "../../adapters/assignment_codec.ts";
import * as assignmentWriter from "../control/assignment_writer.ts";
import type * as context from "../context.ts";
import type * as controlDuties from "../control/control_duties.ts";
import * as operatorAccess from "./operator_access.ts";

export interface MovesContext extends
  Pick<
    context.EntryContext,
    "settings" | "store" | "scheduler" | "catalog"
  > {
  readonly duties: Pick<
    controlDuties.ControlDuties,
    "findProgress" | "listConflicts"
  >;
}

/** Asks for a group to be handed to a half; its present half cancels a move. */
export interface MoveRequest {
  readonly group: string;
  readonly to: string;
}

/** Status and JSON body of an answer over HTTP. */
export interface MoveAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

export interface MoveOperations {
  start(
    order: MoveRequest,
    options: { readonly authorization: string; readonly changeId: string },
  ): Promise<MoveAnswer>;
  /** Tells where the group is, and for a pending move what it waits for. */
  describe(group: string): Promise<MoveAnswer>;
}

/** Builds an answer that names what went wrong. */
export function buildError(
  status: number,
  code: string,
  message: string,
): MoveAnswer {
  return { status, body: { error: { code, message } } };
}

function buildUnavailable(message: string): MoveAnswer {
  return buildError(
    503,
    "unavailable",
    `The object API is away; nothing was changed: ${message}`,
  );
}

function describeRecord(record: handover.AssignmentRecord): MoveAnswer["body"] {
  const { group, half, epoch, state, nextHalf } = record;
  return { group, half, epoch, state, ...nextHalf && { nextHalf } };
}

/** Creates the operations of moves at one entry. */
export function createMoveOperations(entry: MovesContext): MoveOperations {
  /** Returns the subtrees that the token may change. */
  function listSubtrees(authorization: string): readonly string[] {
    const { operators } = entry.settings;
    const all = operators.flatMap((operator) => operator.subtrees);
    return [...new Set(all)].filter((subtree) =>
      operatorAccess.findOperator(operators, { authorization, subtree }) !==
        undefined
    );
  }

  /** A token moves what its subtrees define, or what no own subtree defines. */
  function isAllowed(
    subtrees: readonly string[],
    record: handover.AssignmentRecord,
  ): boolean {
    const prefix = `/${record.half}/`;
    const own = subtrees.filter((subtree) => subtree.startsWith(prefix));
    const defining = entry.catalog.listGroupSubtrees(record.group)
      .filter((subtree) => subtree.startsWith(prefix));
    if (defining.length === 0) return own.length > 0;
    return defining.some((subtree) => own.includes(subtree));
  }

  async function readStored(
    group: string,
  ): Promise<handover.StoredRecord | MoveAnswer> {
    const outcome = await entry.store.read(assignmentCodec.formatKey(group));
    if (outcome.kind === "unavailable") {
      return buildUnavailable(outcome.message);
    }
    const record = outcome.kind === "found"
      ? assignmentCodec.parseRecord(outcome.object.value)
      : undefined;
    if (outcome.kind === "missing" || record === undefined) {
      return refuseMissing(group);
    }
    return { record, version: outcome.object.version };
  }

  function refuseMissing(group: string): MoveAnswer {
    const conflict = entry.duties.listConflicts().find((one) =>
      one.group === group
    );
    if (conflict === undefined) {
      return buildError(404, "not_found", `Group "${group}" has no owner yet`);
    }
    const subtrees = conflict.subtrees.join(" and ");
    return buildError(
      409,
      "defined_twice",
      `Group "${group}" is defined under ${subtrees}; rename it in all but one`,
    );
  }

  async function startMove(
    order: MoveRequest,
    options: { readonly authorization: string; readonly changeId: string },
  ): Promise<MoveAnswer> {
    const { changeId } = options;
    const subtrees = listSubtrees(options.authorization);
    const forbidden = buildError(
      403,
      "forbidden",
      `The token may not move group "${order.group}"`,
    );
    if (subtrees.length === 0) return forbidden;
    const stored = await readStored(order.group);
    if ("status" in stored) return stored;
    const { record } = stored;
    if (!isAllowed(subtrees, record)) return forbidden;
    const accepted = (present: handover.AssignmentRecord): MoveAnswer => ({
      status: 200,
      body: { outcome: "accepted", changeId, ...describeRecord(present) },
    });
    if (record.changeIds.includes(changeId)) return accepted(record);
    const plan = handover.planMove(record, { to: order.to, changeId });
    switch (plan.kind) {
      case "unchanged":
        return {
          status: 200,
          body: { outcome: "unchanged", ...describeRecord(record) },
        };
      case "conflict":
        return buildError(409, "conflict", plan.message);
      case "write": {
        const { version } = stored;
        const next = { record: plan.next, version };
        const outcome = await assignmentWriter.writeRecord(entry, next);
        if (outcome.kind === "accepted") return accepted(plan.next);
        return convertOutcome(outcome, changeId);
      }
    }
  }

  function convertOutcome(
    outcome: Exclude<
      conditionalWrite.SettledOutcome,
      { readonly kind: "accepted" }
    >,
    changeId: string,
  ): MoveAnswer {
    switch (outcome.kind) {
      case "conflict": {
        const current = assignmentCodec.parseRecord(outcome.current?.value);
        const present = current === undefined
          ? "gone"
          : `${current.state} ${current.half} at epoch ${current.epoch}`;
        const message =
          `Somebody else changed the group first; it is now ${present}. ` +
          "Look at it with GET /moves, then ask again if you still want to";
        return {
          status: 409,
          body: {
            error: { code: "conflict", message },
            current: {
              version: outcome.current?.version ?? 0,
              ...current && describeRecord(current),
            },
          },
        };
      }
      case "unavailable":
        return buildUnavailable(outcome.message);
      case "unknown":
        return {
          status: 202,
          body: { outcome: "unknown", changeId, message: outcome.message },
        };
    }
  }

  async function describe(group: string): Promise<MoveAnswer> {
    const stored = await readStored(group);
    if ("status" in stored) return stored;
    const { record } = stored;
    if (record.state === "serving") {
      const body = { outcome: "done", ...describeRecord(record) };
      return { status: 200, body };
    }
    const progress = await entry.duties.findProgress(group);
    const isPresent = progress?.epoch === record.epoch;
    // Null means that the entry in charge could not be asked.
    const waitingFor = isPresent ? progress.waitingFor : null;
    const body = { outcome: "pending", ...describeRecord(record), waitingFor };
    return { status: 200, body };
  }

  return { start: startMove, describe };
}
