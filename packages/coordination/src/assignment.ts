/**
 * Which half owns a group, and since which epoch. The record of a group is kept
 * in the object API; its epoch rises by one with every change of state.
 */

/** Ownership of one group as recorded in the object API. */
export interface Assignment {
  readonly group: string;
  /** Half whose requests the group runs; while leaving, the half it leaves. */
  readonly half: string;
  /** Rises by one with every change of this record. */
  readonly epoch: number;
  readonly state: "serving" | "leaving";
  /** Half that takes the group over; set only while it is leaving. */
  readonly nextHalf?: string;
}

/** Whether work of one half and epoch may start under an assignment. */
export type Admission =
  | { readonly kind: "admitted" }
  /** The group leaves the half that sent the work. */
  | { readonly kind: "leaving" }
  /** The group does not belong to the sender's half yet. */
  | { readonly kind: "not_yet_owned" }
  /** The sender's half never owned this epoch, or its view is old. */
  | { readonly kind: "wrong_epoch" };

/** What the sender of work believes about the group's ownership. */
export interface OwnershipView {
  readonly half: string;
  readonly epoch: number;
}

/** Decides whether work sent under `claim` may start under `assignment`. */
export function checkAdmission(
  assignment: Assignment | undefined,
  claim: OwnershipView,
): Admission {
  if (assignment === undefined) return { kind: "not_yet_owned" };
  if (assignment.state === "leaving") {
    return claim.half === assignment.half
      ? { kind: "leaving" }
      : { kind: "not_yet_owned" };
  }
  const isOwner = claim.half === assignment.half &&
    claim.epoch === assignment.epoch;
  return isOwner ? { kind: "admitted" } : { kind: "wrong_epoch" };
}

/** Returns the newer of two views of one group's assignment. */
export function mergeAssignments(
  known: Assignment | undefined,
  received: Assignment,
): Assignment {
  return known !== undefined && known.epoch >= received.epoch
    ? known
    : received;
}
