/**
 * Determines the outcome of a conditional write whose answer was lost. The
 * write carries a change id that the object keeps in its history. The outcome
 * is `not_accepted` only when the write can no longer take effect: its
 * condition has failed permanently, because the object has a higher version. If
 * the version has not changed, this process raises it with a write that has no
 * other effect (a fence). An object is never removed from the object store,
 * only marked as absent: removal would delete its history.
 */

/** One change in the history of an object. */
export interface RecordedChange {
  readonly changeId: string;
  /** Version of the object before the change; 0 = it did not exist. */
  readonly previousVersion: number;
  /** Id of the change that this change fences; a fence has no other effect. */
  readonly fences?: string;
}

/** Version and recent changes of an object, as read from the object store. */
export interface ObjectHistory {
  /** 0 = the object does not exist. */
  readonly version: number;
  /** The latest first; older changes may have been dropped. */
  readonly changes: readonly RecordedChange[];
}

/** A write whose answer was lost. */
export interface AmbiguousWrite {
  readonly changeId: string;
  /** Condition of the write; undefined if the client does not have it. */
  readonly ifVersion?: number;
  /**
   * Fences that are attempted before the outcome is reported as unknown.
   * @default 4
   */
  readonly maxFences?: number;
}

export type Settlement =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "not_accepted"; readonly version: number }
  | { readonly kind: "unknown"; readonly message: string };

export type SettlementEvent =
  | { readonly kind: "read"; readonly history: ObjectHistory }
  | { readonly kind: "fenced"; readonly version: number }
  /** Another writer changed the object first. */
  | { readonly kind: "fence_conflict" }
  /** The answer to the fence was lost too. */
  | { readonly kind: "fence_unknown" }
  | { readonly kind: "unavailable"; readonly message: string };

export type SettlementEffect =
  | { readonly kind: "read" }
  /**
   * Write the current content again on condition of `ifVersion`, with a change
   * that fences the ambiguous write.
   */
  | { readonly kind: "fence"; readonly ifVersion: number }
  | { readonly kind: "settled"; readonly settlement: Settlement };

export interface SettlementMachine {
  handle(event: SettlementEvent): SettlementEffect;
}

const defaultMaxFences = 4;

/**
 * Returns the version that a change produced, or undefined if the history lacks
 * the change. The next change records that version as `previousVersion`; the
 * latest change produced the version of the object.
 */
export function findAcceptedVersion(
  history: ObjectHistory,
  changeId: string,
): number | undefined {
  const index = history.changes.findIndex((change) =>
    change.changeId === changeId
  );
  if (index === -1) return undefined;
  return history.changes[index - 1]?.previousVersion ?? history.version;
}

function settle(settlement: Settlement): SettlementEffect {
  return { kind: "settled", settlement };
}

/** Returns whether the history has all changes since the version. */
function isHistoryComplete(
  history: ObjectHistory,
  sinceVersion: number,
): boolean {
  const oldestChange = history.changes.at(-1);
  if (oldestChange === undefined) return history.version === sinceVersion;
  return oldestChange.previousVersion <= sinceVersion;
}

/** Settles the write by the history, or requests a fence. */
function decide(
  history: ObjectHistory,
  write: AmbiguousWrite,
): SettlementEffect {
  const version = findAcceptedVersion(history, write.changeId);
  if (version !== undefined) return settle({ kind: "accepted", version });
  const isFenced = history.changes.some((change) =>
    change.fences === write.changeId
  );
  if (isFenced) {
    return settle({ kind: "not_accepted", version: history.version });
  }
  // If the condition is not available, the write may depend on any version.
  if (!isHistoryComplete(history, write.ifVersion ?? 0)) {
    const message =
      `The object no longer remembers whether it had the change ${write.changeId}`;
    return settle({ kind: "unknown", message });
  }
  if (write.ifVersion !== undefined && history.version !== write.ifVersion) {
    return settle({ kind: "not_accepted", version: history.version });
  }
  return { kind: "fence", ifVersion: history.version };
}

/** Creates the state machine for one write; the first event must be a read. */
export function createSettlement(write: AmbiguousWrite): SettlementMachine {
  const maxFences = write.maxFences ?? defaultMaxFences;
  let fenceCount = 0;

  return {
    handle(event) {
      switch (event.kind) {
        case "read": {
          const effect = decide(event.history, write);
          if (effect.kind !== "fence") return effect;
          fenceCount += 1;
          if (fenceCount <= maxFences) return effect;
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
