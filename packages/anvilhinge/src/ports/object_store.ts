/**
 * The platform's object API as the system needs it: versioned values under
 * keys, conditional updates and watches. Versions are positive integers that
 * rise over the whole store, so a later write of any key has a higher version.
 */

/** Value of one key at one version. */
export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** The store could not be asked or did not answer; a read has no effect. */
export interface Unavailable {
  readonly kind: "unavailable";
  readonly message: string;
}

export type ReadOutcome =
  | { readonly kind: "found"; readonly object: StoredObject }
  | { readonly kind: "missing" }
  | Unavailable;

export type ListOutcome =
  | {
    readonly kind: "listed";
    readonly objects: readonly StoredObject[];
    /** Version of the store at the time of the list; a watch may start here. */
    readonly version: number;
  }
  | Unavailable;

export type WriteOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  /** The condition did not hold; nothing was written. */
  | { readonly kind: "conflict"; readonly current?: StoredObject }
  /** The store refused before any effect. */
  | Unavailable
  /** The answer was lost: the write may have taken effect, or may yet do so. */
  | { readonly kind: "unknown"; readonly message: string };

/** Condition of a write: the version that the key must have; 0 = must not exist. */
export interface WriteCondition {
  readonly ifVersion: number;
}

export type WatchEvent =
  | { readonly kind: "changed"; readonly object: StoredObject }
  | { readonly kind: "removed"; readonly key: string; readonly version: number }
  /** The watch ended; the watcher lists again and starts a new one. */
  | { readonly kind: "closed"; readonly message: string };

export interface WatchOptions {
  /** Only events with a version above this one are delivered. */
  readonly sinceVersion: number;
  /** Ends the watch; no `closed` event is delivered then. */
  readonly signal: AbortSignal;
  readonly onEvent: (event: WatchEvent) => void;
}

/** Client of the object API. No method throws for a fault of the store. */
export interface ObjectStore {
  read(key: string): Promise<ReadOutcome>;
  list(prefix: string): Promise<ListOutcome>;
  write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteOutcome>;
  remove(key: string, condition: WriteCondition): Promise<WriteOutcome>;
  watch(prefix: string, options: WatchOptions): void;
}
