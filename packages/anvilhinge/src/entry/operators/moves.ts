/**
 * Moves groups between halves on request of operators: checks the authorization,
 * writes the assignment record that starts or cancels a move, and reports the
 * outcome. The entry in charge of the group completes the move; see
 * `handover_duty.ts`.
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

/**
 * Request to hand a group over to the half `to`. If the group is moving away from
 * this half, the request cancels the move.
 */
export interface MoveRequest {
  readonly group: string;
  readonly to: string;
}

/** Status and JSON body of an HTTP answer. */
export interface MoveAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

export interface MoveOperations {
  /** Starts or cancels a move. */
  start(
    request: MoveRequest,
    options: { readonly authorization: string; readonly changeId: string },
  ): Promise<MoveAnswer>;
  /** Describes the owner of the group and what a pending move waits for. */
  describe(group: string): Promise<MoveAnswer>;
}

/** Builds an error answer. */
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

/** Creates the operations on moves of one entry. */
export function createMoveOperations(entry: MovesContext): MoveOperations {
  /** Returns the subtrees that the bearer token may change. */
  function listSubtrees(authorization: string): readonly string[] {
    const { operators } = entry.settings;
    const all = operators.flatMap((operator) => operator.subtrees);
    return [...new Set(all)].filter((subtree) =>
      operatorAccess.findOperator(operators, { authorization, subtree }) !==
        undefined
    );
  }

  /**
   * Whether a token for these subtrees may move the group. In the half that owns
   * the group, one of the subtrees must define the group; if no subtree of that
   * half does, any subtree of that half is sufficient.
   */
  function isAllowed(
    subtrees: readonly string[],
    record: handover.AssignmentRecord,
  ): boolean {
    const prefix = `/${record.half}/`;
    const tokenSubtrees = subtrees.filter((subtree) =>
      subtree.startsWith(prefix)
    );
    const definingSubtrees = entry.catalog.listGroupSubtrees(record.group)
      .filter((subtree) => subtree.startsWith(prefix));
    if (definingSubtrees.length === 0) return tokenSubtrees.length > 0;
    return definingSubtrees.some((subtree) => tokenSubtrees.includes(subtree));
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
      return buildMissingError(group);
    }
    return { record, version: outcome.object.version };
  }

  function buildMissingError(group: string): MoveAnswer {
    const conflict = entry.duties.listConflicts().find((candidate) =>
      candidate.group === group
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
    request: MoveRequest,
    options: { readonly authorization: string; readonly changeId: string },
  ): Promise<MoveAnswer> {
    const { changeId } = options;
    const subtrees = listSubtrees(options.authorization);
    const forbidden = buildError(
      403,
      "forbidden",
      `The token may not move group "${request.group}"`,
    );
    if (subtrees.length === 0) return forbidden;
    const stored = await readStored(request.group);
    if ("status" in stored) return stored;
    const { record } = stored;
    if (!isAllowed(subtrees, record)) return forbidden;
    const buildAccepted = (current: handover.AssignmentRecord): MoveAnswer => ({
      status: 200,
      body: { outcome: "accepted", changeId, ...describeRecord(current) },
    });
    if (record.changeIds.includes(changeId)) return buildAccepted(record);
    const plan = handover.planMove(record, { to: request.to, changeId });
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
        if (outcome.kind === "accepted") return buildAccepted(plan.next);
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
        const currentState = current === undefined
          ? "gone"
          : `${current.state} ${current.half} at epoch ${current.epoch}`;
        const message =
          `Somebody else changed the group first; it is now ${currentState}. ` +
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
    const isCurrent = progress?.epoch === record.epoch;
    // Null = no entry in charge could be reached, or it reported another epoch.
    const waitingFor = isCurrent ? progress.waitingFor : null;
    const body = { outcome: "pending", ...describeRecord(record), waitingFor };
    return { status: 200, body };
  }

  return { start: startMove, describe };
}
