/**
 * The store that the parts of this package rely on, reduced to two calls:
 * reads and conditional writes of single keys. Versions are positive integers
 * that rise over the whole store.
 */

/** Value of one key at one version. */
export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** The store could not be asked, or refused before any effect. */
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
  /** The condition did not hold; nothing was written. */
  | { readonly kind: "conflict"; readonly current?: StoredObject }
  | Unavailable
  /** The answer was lost: the write may have taken effect, or may yet do so. */
  | { readonly kind: "unknown"; readonly message: string };

/** The calls to the store, passed in by whoever embeds a part. */
export interface VersionedStore {
  read(key: string): Promise<ReadOutcome>;
  /** Writes if the key has version `ifVersion`; 0 = it must not exist. */
  write(
    key: string,
    value: unknown,
    condition: { readonly ifVersion: number },
  ): Promise<WriteOutcome>;
}

/** Runs a callback after a delay, unless the signal aborts before. */
export type Schedule = (
  callback: () => void,
  options: { readonly delayMs: number; readonly signal?: AbortSignal },
) => void;
