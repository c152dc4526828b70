/**
 * Confirms the first assignment of an agent. An entry with an old view could
 * tell a restarted agent that a group which is leaving still serves, after the
 * agent's former incarnation reported it drained. So the agent reads the record
 * once from the object API before it admits work. While the object API is away
 * no move can complete, and the entries' word is enough.
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
  /** Takes what an entry told. */
  receive(received: assignment.Assignment): void;
}

/** Creates the gate and starts the read. */
export function createAssignmentGate(
  options: AssignmentGateOptions,
): AssignmentGate {
  const waiting: assignment.Assignment[] = [];
  let isConfirmed = false;

  async function verifyRecord(): Promise<void> {
    const key = assignmentCodec.formatKey(options.group);
    const outcome = await options.store.read(key);
    const record = outcome.kind === "found"
      ? assignmentCodec.parseAssignment(outcome.object.value)
      : undefined;
    isConfirmed = true;
    if (record !== undefined) options.onAssignment(record);
    for (const received of waiting.splice(0)) options.onAssignment(received);
  }

  void verifyRecord();
  return {
    receive(received) {
      if (isConfirmed) options.onAssignment(received);
      else waiting.push(received);
    },
  };
}
