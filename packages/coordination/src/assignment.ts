/**
 * Ownership of a group by a half, and the epoch since which the half owns it.
 * The record of a group is stored in the object store; its epoch increases by
 * one with every state change.
 */

/** Ownership of one group as recorded in the object store. */
export interface Assignment {
  readonly group: string;
  /** Half whose requests the group runs, or the half that it is leaving. */
  readonly half: string;
  /** Increases by one with every change of this record. */
  readonly epoch: number;
  readonly state: "serving" | "leaving";
  /** Half that takes over the group; set only in state `leaving`. */
  readonly nextHalf?: string;
}

/** Whether work from a half and epoch may start under an assignment. */
export type Admission =
  | { readonly kind: "admitted" }
  /** The group is leaving the half that sent the work. */
  | { readonly kind: "leaving" }
  /** The sender's half does not own the group yet. */
  | { readonly kind: "not_yet_owned" }
  /** The half does not own the group at this epoch, so the view is stale. */
  | { readonly kind: "wrong_epoch" };

/** Ownership of a group in the view of the sender of work. */
export interface OwnershipView {
  readonly half: string;
  readonly epoch: number;
}

/** Decides whether work sent under `view` may start under `assignment`. */
export function checkAdmission(
  assignment: Assignment | undefined,
  view: OwnershipView,
): Admission {
  if (assignment === undefined) return { kind: "not_yet_owned" };
  if (assignment.state === "leaving") {
    return view.half === assignment.half
      ? { kind: "leaving" }
      : { kind: "not_yet_owned" };
  }
  const isOwner = view.half === assignment.half &&
    view.epoch === assignment.epoch;
  return isOwner ? { kind: "admitted" } : { kind: "wrong_epoch" };
}

/** Returns the newer of two assignments of a group, by epoch. */
export function mergeAssignments(
  current: Assignment | undefined,
  received: Assignment,
): Assignment {
  return current !== undefined && current.epoch >= received.epoch
    ? current
    : received;
}
