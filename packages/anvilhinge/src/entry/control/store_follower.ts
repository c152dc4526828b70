/**
 * Reads all keys below a prefix of the object store: lists them, then watches
 * for changes. After the watch ends, it is resumed, or the prefix is listed
 * again, with a randomized delay.
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
  /** Stops all reads. */
  readonly signal: AbortSignal;
  /** Called with each complete list and the store position that it reflects. */
  readonly onList: (
    objects: readonly objectStore.StoredObject[],
    version: number,
    era: number,
  ) => void;
  /**
   * Called when the store has confirmed that no newer change existed at
   * `asOfMs`, a time of the scheduler's clock.
   */
  readonly onConfirmed?: (asOfMs: number) => void;
  /** Called when the store was unavailable or the watch ended. */
  readonly onUnavailable?: (message: string) => void;
  /**
   * Mean delay before the first retry, in milliseconds. The delay is randomized
   * and doubles with each failure, by default up to 32 times this value.
   * @default 250
   */
  readonly retryDelayMs?: number;
  /**
   * Number of doublings after which the delay no longer grows.
   * @default 5
   */
  readonly maxDoublings?: number;
}

export interface FollowOptions extends ListOptions {
  /** Returns the longest time between two confirmations, in milliseconds. */
  readonly getConfirmIntervalMs?: () => number | undefined;
  /** Time for which events are batched, in milliseconds. */
  readonly batchWindowMs?: number;
  /** Position from which to watch without a list. Default: list first. */
  readonly startFrom?: objectStore.StorePosition;
  /** Called for each change after a list; a change may be repeated. */
  readonly onObject: (object: objectStore.StoredObject) => void;
  readonly onRemoved?: (key: string, version: number) => void;
}

const defaultRetryDelayMs = 250;

interface RetryScheduler {
  /** Reports a failure and schedules the task with an exponential delay. */
  schedule(message: string, task: () => void): void;
  /** Resets the delay to its minimum after a success. */
  reset(): void;
}

function createRetryScheduler(options: ListOptions): RetryScheduler {
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

/** Lists the prefix once; retries until it succeeds. */
export function listPrefix(options: ListOptions): void {
  const retries = createRetryScheduler(options);

  async function list(): Promise<void> {
    const asOfMs = options.scheduler.now();
    const outcome = await options.store.list(options.prefix);
    if (options.signal.aborted) return;
    if (outcome.kind === "unavailable") {
      return retries.schedule(outcome.message, () => void list());
    }
    options.onList(outcome.objects, outcome.version, outcome.era ?? 0);
    options.onConfirmed?.(asOfMs);
  }

  if (!options.signal.aborted) void list();
}

/** Follows the prefix until the signal aborts. */
export function followPrefix(options: FollowOptions): void {
  const { signal } = options;
  // The delay grows with consecutive watches that ended without an event.
  const retries = createRetryScheduler(options);

  function listAndWatch(): void {
    listPrefix({
      ...options,
      onList(objects, version, era) {
        retries.reset();
        options.onList(objects, version, era);
        if (!signal.aborted) startWatch({ era, version });
      },
    });
  }

  function startWatch(
    { era, version }: objectStore.StorePosition,
  ): void {
    options.store.watch(options.prefix, {
      sinceVersion: version,
      era,
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
              () => startFrom(era, event.resumeFrom),
            );
        }
      },
    });
  }

  /** Starts to watch from a version. Without a version, lists first. */
  function startFrom(era: number, version: number | undefined): void {
    if (version === undefined) listAndWatch();
    else startWatch({ era, version });
  }

  startFrom(options.startFrom?.era ?? 0, options.startFrom?.version);
}
