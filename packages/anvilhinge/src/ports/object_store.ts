/**
 * The platform's object API as the system needs it: versioned values under
 * keys, conditional updates and watches. Versions are positive integers that
 * rise over the whole store, so a later write of any key has a higher version.
 */
import type * as versionedStore from "@anvilhinge/coordination/versioned_store";
import type * as scheduler from "./scheduler.ts";

export type StoredObject = versionedStore.StoredObject;
export type Unavailable = versionedStore.Unavailable;
export type ReadOutcome = versionedStore.ReadOutcome;
export type WriteOutcome = versionedStore.WriteOutcome;

export type ListOutcome =
  | {
    readonly kind: "listed";
    readonly objects: readonly StoredObject[];
    /** Version of the store at the time of the list; a watch may start here. */
    readonly version: number;
  }
  | Unavailable;

/** Condition of a write: the version that the key must have; 0 = must not exist. */
export interface WriteCondition {
  readonly ifVersion: number;
}

export type WatchEvent =
  | { readonly kind: "changed"; readonly object: StoredObject }
  | { readonly kind: "removed"; readonly key: string; readonly version: number }
  /** Nothing newer existed at an instant of the own clock. */
  | { readonly kind: "confirmed"; readonly asOfMs: number }
  /** The watch ended; the watcher starts a new one. */
  | {
    readonly kind: "closed";
    readonly message: string;
    /** Version from which a new watch may go on; undefined = list again. */
    readonly resumeFrom?: number;
  };

export interface WatchOptions {
  /** Only events with a version above this one are delivered. */
  readonly sinceVersion: number;
  /** Ends the watch; no `closed` event is delivered then. */
  readonly signal: AbortSignal;
  /**
   * Returns the longest time to the next confirmation, in milliseconds, where
   * the store confirms; each costs a call. Default: the store's own.
   */
  readonly getConfirmIntervalMs?: () => number | undefined;
  /**
   * Time after an event for which further ones are collected, in milliseconds,
   * where each answer costs a call.
   * @default 0
   */
  readonly batchWindowMs?: number;
  readonly onEvent: (event: WatchEvent) => void;
}

export interface ListOptions {
  /**
   * True when the list may be seconds old, which some stores give for less.
   * @default false
   */
  readonly allowsStale?: boolean;
}

/** What a client of a platform's store needs. */
export interface StoreOptions {
  /** Address of the store as `host:port`. */
  readonly address: string;
  readonly scheduler: scheduler.Scheduler;
  /** Aborts all calls. */
  readonly signal: AbortSignal;
  /** Called once for each call with how it went. */
  readonly onCall?: (call: string, outcome: "answered" | "failed") => void;
}

/** Client of the object API. No method throws for a fault of the store. */
export interface ObjectStore extends versionedStore.VersionedStore {
  list(prefix: string, options?: ListOptions): Promise<ListOutcome>;
  remove(key: string, condition: WriteCondition): Promise<WriteOutcome>;
  watch(prefix: string, options: WatchOptions): void;
}
