/**
 * Reads all keys below a prefix of the object API: lists, then watches, and
 * lists again with a randomized delay when the watch ends.
 */
import * as backoff from "@anvilhinge/coordination/backoff";
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../../ports/object_store.ts";
import type * as scheduler from "../../ports/scheduler.ts";

export interface ListOptions {
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly prefix: string;
  /** Ends all reading. */
  readonly signal: AbortSignal;
  /** Called with each complete list and the version that it is good for. */
  readonly onList: (
    objects: readonly objectStore.StoredObject[],
    version: number,
  ) => void;
  /**
   * Called when the store said that nothing newer existed at that instant of
   * the scheduler's clock.
   */
  readonly onConfirmed?: (asOfMs: number) => void;
  /** Called when the store could not be reached. */
  readonly onUnavailable?: (message: string) => void;
  /**
   * Mean wait before the next list, in milliseconds; it doubles with each
   * failure up to 32 times this and is randomized.
   * @default 250
   */
  readonly retryDelayMs?: number;
  /**
   * Doublings after which the wait stops to grow.
   * @default 5
   */
  readonly maxDoublings?: number;
}

export interface FollowOptions extends ListOptions {
  /** Returns the longest time to the next confirmation, in milliseconds. */
  readonly getConfirmIntervalMs?: () => number | undefined;
  /** Time for which events are collected, in milliseconds. */
  readonly batchWindowMs?: number;
  /** Version from which to watch without a list. Default: lists first. */
  readonly startVersion?: number;
  /** Called for each change after a list; changes may repeat. */
  readonly onObject: (object: objectStore.StoredObject) => void;
  readonly onRemoved?: (key: string, version: number) => void;
}

const defaultRetryDelayMs = 250;

interface Retries {
  /** Tells of a failure and runs the task later, each time with more delay. */
  schedule(message: string, task: () => void): void;
  /** Begins anew with the shortest delay. */
  reset(): void;
}

function createRetries(options: ListOptions): Retries {
  let failures = 0;
  return {
    schedule(message, task) {
      options.onUnavailable?.(message);
      const delayMs = backoff.computeRetryDelayMs({
        failures,
        baseMs: options.retryDelayMs ?? defaultRetryDelayMs,
        random: options.random,
        maxDoublings: options.maxDoublings,
      });
      failures += 1;
      const { signal } = options;
      options.scheduler.schedule(task, { delayMs, signal });
    },
    reset() {
      failures = 0;
    },
  };
}

/** Lists the prefix once; tries again until it succeeds. */
export function listPrefix(options: ListOptions): void {
  const retries = createRetries(options);

  async function list(): Promise<void> {
    const asOfMs = options.scheduler.now();
    const outcome = await options.store.list(options.prefix);
    if (options.signal.aborted) return;
    if (outcome.kind === "unavailable") {
      return retries.schedule(outcome.message, () => void list());
    }
    options.onList(outcome.objects, outcome.version);
    options.onConfirmed?.(asOfMs);
  }

  if (!options.signal.aborted) void list();
}

/** Follows the prefix until the signal aborts. */
export function followPrefix(options: FollowOptions): void {
  const { signal } = options;
  /** Watches in a row that ended without a word of the store. */
  const retries = createRetries(options);

  function listAndWatch(): void {
    listPrefix({
      ...options,
      onList(objects, version) {
        retries.reset();
        options.onList(objects, version);
        if (!signal.aborted) startWatch(version);
      },
    });
  }

  function startWatch(sinceVersion: number): void {
    options.store.watch(options.prefix, {
      sinceVersion,
      signal,
      getConfirmIntervalMs: options.getConfirmIntervalMs,
      batchWindowMs: options.batchWindowMs,
      onEvent(event) {
        if (event.kind !== "closed") retries.reset();
        switch (event.kind) {
          case "changed":
            return options.onObject(event.object);
          case "removed":
            return options.onRemoved?.(event.key, event.version);
          case "confirmed":
            return options.onConfirmed?.(event.asOfMs);
          case "closed":
            return retries.schedule(
              event.message,
              () => startFrom(event.resumeFrom),
            );
        }
      },
    });
  }

  /** Watches from a version; lists first without one. */
  function startFrom(version: number | undefined): void {
    if (version === undefined) listAndWatch();
    else startWatch(version);
  }

  startFrom(options.startVersion);
}
