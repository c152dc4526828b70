/**
 * Delays the assignments that a starting agent receives from entries until the
 * agent has read its assignment record from the object store. Otherwise an
 * entry with an outdated view could announce a leaving group as still serving
 * to a restarted agent, although the agent's previous incarnation has already
 * reported that group as drained. While the object store is unavailable, no
 * move can complete, so the assignments from entries suffice.
 */
import type * as assignment from "@anvilhinge/coordination/assignment";
import * as assignmentCodec from "../adapters/assignment_codec.ts";
import type * as objectStore from "../ports/object_store.ts";

export interface AssignmentGateOptions {
  readonly group: string;
  readonly store: Pick<objectStore.ObjectStore, "read">;
  readonly onAssignment: (received: assignment.Assignment) => void;
}

export interface AssignmentGate {
  /** Receives an assignment from an entry. */
  receive(received: assignment.Assignment): void;
}

/** Creates the gate and starts reading the record. */
export function createAssignmentGate(
  options: AssignmentGateOptions,
): AssignmentGate {
  const pending: assignment.Assignment[] = [];
  let hasRead = false;

  async function readRecord(): Promise<void> {
    const key = assignmentCodec.formatKey(options.group);
    const outcome = await options.store.read(key);
    const record = outcome.kind === "found"
      ? assignmentCodec.parseAssignment(outcome.object.value)
      : undefined;
    hasRead = true;
    if (record !== undefined) options.onAssignment(record);
    for (const received of pending.splice(0)) options.onAssignment(received);
  }

  void readRecord();
  return {
    receive(received) {
      if (hasRead) options.onAssignment(received);
      else pending.push(received);
    },
  };
}
