/**
 * Interface of the object store that this package needs: reads and conditional
 * writes of single keys. Versions are positive integers that increase across
 * the whole store.
 */

/** Value of one key at one version. */
export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** The store was unreachable, or refused the call before any effect. */
export interface Unavailable {
  readonly kind: "unavailable";
  readonly message: string;
}

export type ReadOutcome =
  | { readonly kind: "found"; readonly object: StoredObject }
  | { readonly kind: "missing" }
  | Unavailable;

export type WriteOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  /** The condition failed; nothing was written. */
  | { readonly kind: "conflict"; readonly current?: StoredObject }
  | Unavailable
  /** The answer was lost; the write may have taken effect, or may do so yet. */
  | { readonly kind: "unknown"; readonly message: string };

/** Client of the object store, passed in by the embedding process. */
export interface VersionedStore {
  read(key: string): Promise<ReadOutcome>;
  /** Writes if the key has version `ifVersion`; 0 = the key must not exist. */
  write(
    key: string,
    value: unknown,
    condition: { readonly ifVersion: number },
  ): Promise<WriteOutcome>;
}

/** Runs a callback after a delay, unless the signal aborts first. */
export type Schedule = (
  callback: () => void,
  options: { readonly delayMs: number; readonly signal?: AbortSignal },
) => void;
