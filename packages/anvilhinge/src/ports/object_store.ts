/**
 * Interface of the external object store (the platform's object API): versioned
 * values under keys, conditional updates and watches. Versions are positive
 * integers that increase across the whole store, so a later write of any key
 * has a higher version.
 */
import type * as versionedStore from "@anvilhinge/coordination/versioned_store";
import type * as scheduler from "./scheduler.ts";

export type StoredObject = versionedStore.StoredObject;
export type Unavailable = versionedStore.Unavailable;
export type ReadOutcome = versionedStore.ReadOutcome;
export type WriteOutcome = versionedStore.WriteOutcome;

/**
 * Point in the history of the store. A store that was restored from a copy
 * starts a new era and assigns versions of the previous era again, so versions
 * are comparable only within one era.
 */
export interface StorePosition {
  readonly era: number;
  readonly version: number;
}

export type ListOutcome =
  | {
    readonly kind: "listed";
    readonly objects: readonly StoredObject[];
    /** Store version of the listing; a watch may start from it. */
    readonly version: number;
    /**
     * Era of the version.
     * @default 0
     */
    readonly era?: number;
  }
  | Unavailable;

/** The version that the key must have for a write; 0 = must not exist. */
export interface WriteCondition {
  readonly ifVersion: number;
}

export type WatchEvent =
  | { readonly kind: "changed"; readonly object: StoredObject }
  | { readonly kind: "removed"; readonly key: string; readonly version: number }
  /** No newer event existed at `asOfMs` on the local clock. */
  | { readonly kind: "confirmed"; readonly asOfMs: number }
  /** The watch ended; the watcher has to start a new watch. */
  | {
    readonly kind: "closed";
    readonly message: string;
    /** Version from which a new watch can resume; undefined = list again. */
    readonly resumeFrom?: number;
  };

export interface WatchOptions {
  /** Only events with a higher version are delivered. */
  readonly sinceVersion: number;
  /**
   * Era of that version; the watch is closed when the store is in another era.
   * @default 0
   */
  readonly era?: number;
  /** Ends the watch without a `closed` event. */
  readonly signal: AbortSignal;
  /**
   * Returns the maximum time to the next `confirmed` event, in milliseconds,
   * for stores that support `confirmed` events; each event costs a call. The
   * store's client chooses the default.
   */
  readonly getConfirmIntervalMs?: () => number | undefined;
  /**
   * Time after an event during which further events are batched, in
   * milliseconds, for stores where each delivery costs a call.
   * @default 0
   */
  readonly batchWindowMs?: number;
  readonly onEvent: (event: WatchEvent) => void;
}

export interface ListOptions {
  /**
   * True if a listing may be seconds old, which some stores provide at a
   * lower cost.
   * @default false
   */
  readonly allowsStale?: boolean;
}

/** Options of a client of a platform's object store. */
export interface StoreOptions {
  /** Address of the store as `host:port`. */
  readonly address: string;
  readonly scheduler: scheduler.Scheduler;
  /** Aborts all calls. */
  readonly signal: AbortSignal;
  /** Called once for each call with its outcome. */
  readonly onCall?: (call: string, outcome: "answered" | "failed") => void;
}

/** Client of the object store. No method throws because of a store fault. */
export interface ObjectStore extends versionedStore.VersionedStore {
  list(prefix: string, options?: ListOptions): Promise<ListOutcome>;
  remove(key: string, condition: WriteCondition): Promise<WriteOutcome>;
  watch(prefix: string, options: WatchOptions): void;
}
