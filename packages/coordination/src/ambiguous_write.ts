/**
 * Settles a conditional write whose answer was lost. The write carries a change
 * id that the object keeps in its history. "Not accepted" is said only when the
 * write can't take effect any more: its condition has failed for good, or a
 * write of our own has raised the version that it depends on (a fence). An
 * object is never removed from the store, only marked as absent, because its
 * history would go with it.
 */

/** One change that an object remembers. */
export interface RecordedChange {
  readonly changeId: string;
  /** Version of the object before the change; 0 = it did not exist. */
  readonly previousVersion: number;
  /** Change that this one fences; it has no other effect. */
  readonly fences?: string;
}

/** An object as it was read. */
export interface ObjectHistory {
  /** 0 = the object does not exist. */
  readonly version: number;
  /** The latest first. */
  readonly changes: readonly RecordedChange[];
}

export interface AmbiguousWrite {
  readonly changeId: string;
  /** Condition of the write; undefined when the asker doesn't know it. */
  readonly ifVersion?: number;
  /**
   * Fences that may be tried before the outcome is left unknown.
   * @default 4
   */
  readonly maxFences?: number;
}

export type Settlement =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "not_accepted"; readonly version: number }
  | { readonly kind: "unknown"; readonly message: string };

export type SettlementEvent =
  | { readonly kind: "read"; readonly present: ObjectHistory }
  | { readonly kind: "fenced"; readonly version: number }
  /** Somebody else changed the object first. */
  | { readonly kind: "fence_conflict" }
  /** The answer to the fence was lost as well. */
  | { readonly kind: "fence_unknown" }
  | { readonly kind: "unavailable"; readonly message: string };

export type SettlementEffect =
  | { readonly kind: "read" }
  /**
   * Write the present content once more under the condition of `ifVersion`,
   * with a change that fences the lost one.
   */
  | { readonly kind: "fence"; readonly ifVersion: number }
  | { readonly kind: "settled"; readonly settlement: Settlement };

export interface SettlementMachine {
  handle(event: SettlementEvent): SettlementEffect;
}

const defaultMaxFences = 4;

/**
 * Returns the version that a change got: the next change names it as its
 * predecessor, the latest has the object's own.
 */
export function findAcceptedVersion(
  present: ObjectHistory,
  changeId: string,
): number | undefined {
  const index = present.changes.findIndex((change) =>
    change.changeId === changeId
  );
  if (index === -1) return undefined;
  return present.changes[index - 1]?.previousVersion ?? present.version;
}

function settle(settlement: Settlement): SettlementEffect {
  return { kind: "settled", settlement };
}

/** Returns whether all changes since the version are remembered. */
function isComplete(present: ObjectHistory, sinceVersion: number): boolean {
  const oldest = present.changes.at(-1);
  if (oldest === undefined) return present.version === sinceVersion;
  return oldest.previousVersion <= sinceVersion;
}

function decide(
  present: ObjectHistory,
  lost: AmbiguousWrite,
): SettlementEffect {
  const version = findAcceptedVersion(present, lost.changeId);
  if (version !== undefined) return settle({ kind: "accepted", version });
  const isFenced = present.changes.some((change) =>
    change.fences === lost.changeId
  );
  if (isFenced) {
    return settle({ kind: "not_accepted", version: present.version });
  }
  // Without its condition the write may date from any version.
  if (!isComplete(present, lost.ifVersion ?? 0)) {
    const message =
      `The object no longer remembers whether it had the change ${lost.changeId}`;
    return settle({ kind: "unknown", message });
  }
  if (lost.ifVersion !== undefined && present.version !== lost.ifVersion) {
    return settle({ kind: "not_accepted", version: present.version });
  }
  return { kind: "fence", ifVersion: present.version };
}

/** Creates the settlement of one lost write; begin with a read. */
export function createSettlement(lost: AmbiguousWrite): SettlementMachine {
  const maxFences = lost.maxFences ?? defaultMaxFences;
  let fences = 0;

  return {
    handle(event) {
      switch (event.kind) {
        case "read": {
          const effect = decide(event.present, lost);
          if (effect.kind !== "fence") return effect;
          fences += 1;
          if (fences <= maxFences) return effect;
          return settle({
            kind: "unknown",
            message: "The object changes faster than the change can be fenced",
          });
        }
        case "fenced":
          return settle({ kind: "not_accepted", version: event.version });
        case "fence_conflict":
        case "fence_unknown":
          return { kind: "read" };
        case "unavailable":
          return settle({ kind: "unknown", message: event.message });
      }
    },
  };
}
