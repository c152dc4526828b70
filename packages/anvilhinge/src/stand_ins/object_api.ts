/**
 * Core of the object API stand-in, which simulates the external object store:
 * versioned values under keys, conditional updates, and watches that replay an
 * event log of limited length.
 */
import type * as objectStore from "../ports/object_store.ts";

/** Size limit of a value, measured as UTF-8 JSON. */
export const valueLimitBytes = 1024 * 1024;

const defaultEventLimit = 10_000;

export interface ObjectApiOptions {
  /**
   * Minimum number of events kept for watches that start in the past. The log
   * is trimmed to it after growing to twice as many.
   * @default 10000
   */
  readonly eventLimit?: number;
}

export type ApiReadOutcome = Exclude<
  objectStore.ReadOutcome,
  objectStore.Unavailable
>;

export type ApiListOutcome = Exclude<
  objectStore.ListOutcome,
  objectStore.Unavailable
>;

export type ApiWriteOutcome =
  | Extract<
    objectStore.WriteOutcome,
    { readonly kind: "accepted" | "conflict" }
  >
  /** The value is larger than `valueLimitBytes`; nothing was written. */
  | { readonly kind: "too_large"; readonly message: string };

/** Number of calls by kind since the start; a watch counts as one call. */
export interface CallCounts {
  readonly read: number;
  readonly list: number;
  readonly write: number;
  readonly remove: number;
  readonly watch: number;
}

/** Object store that is always available. */
export interface ObjectApi {
  read(key: string): ApiReadOutcome;
  list(prefix: string): ApiListOutcome;
  write(
    key: string,
    value: unknown,
    condition: objectStore.WriteCondition,
  ): ApiWriteOutcome;
  remove(
    key: string,
    condition: objectStore.WriteCondition,
  ): ApiWriteOutcome;
  /**
   * Delivers each event synchronously, within the write that causes it.
   * `onEvent` must not write, or the event of its write would reach other
   * watches first; the local store and the HTTP adapter therefore queue events.
   */
  watch(prefix: string, options: objectStore.WatchOptions): void;
  /** Ends all watches with a `closed` event. */
  closeWatches(message: string): void;
  getCallCounts(): CallCounts;
  countWatches(): number;
}

type ChangeEvent = Exclude<
  objectStore.WatchEvent,
  { readonly kind: "closed" | "confirmed" }
>;

interface Watcher {
  readonly prefix: string;
  readonly options: objectStore.WatchOptions;
}

/** Creates an empty store. */
export function createObjectApi(options: ObjectApiOptions = {}): ObjectApi {
  const eventLimit = options.eventLimit ?? defaultEventLimit;
  const objects = new Map<string, objectStore.StoredObject>();
  const watchers = new Set<Watcher>();
  const counts = { read: 0, list: 0, write: 0, remove: 0, watch: 0 };
  let events: ChangeEvent[] = [];
  let version = 0;
  /** Version of the newest event that was dropped from the log. */
  let droppedVersion = 0;

  function publish(event: ChangeEvent): void {
    events.push(event);
    if (events.length > 2 * eventLimit) trimEvents();
    for (const watcher of [...watchers]) deliver(watcher, event);
  }

  function trimEvents(): void {
    const dropped = events.slice(0, -eventLimit);
    droppedVersion = getVersion(dropped[dropped.length - 1]);
    events = events.slice(-eventLimit);
  }

  return {
    read(key) {
      counts.read += 1;
      const object = objects.get(key);
      return object === undefined
        ? { kind: "missing" }
        : { kind: "found", object };
    },

    list(prefix) {
      counts.list += 1;
      const matching = [...objects.values()]
        .filter((object) => object.key.startsWith(prefix))
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return { kind: "listed", objects: matching, version };
    },

    write(key, value, { ifVersion }) {
      counts.write += 1;
      const text = JSON.stringify(value);
      const sizeBytes = Buffer.byteLength(text);
      if (sizeBytes > valueLimitBytes) return refuseOversized(key, sizeBytes);
      const current = objects.get(key);
      if ((current?.version ?? 0) !== ifVersion) {
        return { kind: "conflict", current };
      }
      version += 1;
      const object = { key, value: parseFrozen(text), version };
      objects.set(key, object);
      publish({ kind: "changed", object });
      return { kind: "accepted", version: object.version };
    },

    remove(key, { ifVersion }) {
      counts.remove += 1;
      const current = objects.get(key);
      if (current === undefined || current.version !== ifVersion) {
        return { kind: "conflict", current };
      }
      version += 1;
      objects.delete(key);
      const event = { kind: "removed", key, version } as const;
      publish(event);
      return { kind: "accepted", version: event.version };
    },

    watch(prefix, watchOptions) {
      counts.watch += 1;
      const { sinceVersion, signal, onEvent } = watchOptions;
      if (signal.aborted) return;
      if (sinceVersion < droppedVersion) {
        const message =
          `Events after version ${sinceVersion} are no longer kept; list again`;
        onEvent({ kind: "closed", message });
        return;
      }
      const watcher = { prefix, options: watchOptions };
      for (const event of [...events]) deliver(watcher, event);
      watchers.add(watcher);
      const end = () => watchers.delete(watcher);
      signal.addEventListener("abort", end, { once: true });
    },

    closeWatches(message) {
      const closedWatchers = [...watchers];
      watchers.clear();
      for (const watcher of closedWatchers) {
        watcher.options.onEvent({ kind: "closed", message });
      }
    },

    getCallCounts: () => ({ ...counts }),
    countWatches: () => watchers.size,
  };
}

function deliver({ prefix, options }: Watcher, event: ChangeEvent): void {
  const key = event.kind === "changed" ? event.object.key : event.key;
  if (options.signal.aborted || !key.startsWith(prefix)) return;
  if (getVersion(event) > options.sinceVersion) options.onEvent(event);
}

function getVersion(event: ChangeEvent | undefined): number {
  if (event === undefined) return 0;
  return event.kind === "changed" ? event.object.version : event.version;
}

function refuseOversized(key: string, sizeBytes: number): ApiWriteOutcome {
  const message = `Value of "${key}" has ${sizeBytes} bytes, more than the ` +
    `limit of ${valueLimitBytes}; split it over several keys`;
  return { kind: "too_large", message };
}

/** Parses a frozen copy, so that no caller can change the stored value. */
function parseFrozen(text: string): unknown {
  return JSON.parse(text, (_name, value) => Object.freeze(value));
}
