/**
 * Follows one prefix of the object store and tracks the age of its view. The
 * view is confirmed by the store or, to save store calls, by the hub's status.
 * Other entries report the versions of their views; a view that lacks what
 * another contains is read again, and is outdated while that does not help.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../../ports/object_store.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import * as storeFollower from "../control/store_follower.ts";

/** Version and age of an entry's view of one prefix, as sent to other entries. */
export interface PrefixStatus {
  /** Era of the store that the version belongs to. */
  readonly era: number;
  /** Highest object version in the view. */
  readonly version: number;
  /**
   * Time since the store confirmed the view, in milliseconds.
   * Undefined before the first confirmation.
   */
  readonly ageMs: number | undefined;
}

export interface FollowedPrefixOptions {
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  /** Clock that also advances while the machine is suspended. */
  readonly elapsed: clock.Clock;
  readonly random: random.RandomSource;
  readonly signal: AbortSignal;
  readonly prefix: string;
  /** Age up to which the view is used, in milliseconds. */
  readonly maxAgeMs: number;
  readonly isHub: () => boolean;
  /**
   * Whether the store has everything that the view contains. If it doesn't, as
   * after its return from a copy, its answers don't confirm the view.
   * @default () => true
   */
  readonly isStoreCurrent?: () => boolean;
  /** Called with each list; later changes belong to the same era. */
  readonly onList: (
    objects: readonly objectStore.StoredObject[],
    era: number,
  ) => void;
  readonly onObject: (object: objectStore.StoredObject) => void;
  readonly onRemoved: (key: string) => void;
  readonly onUnavailable: (message: string) => void;
  readonly onAvailable: () => void;
}

export interface FollowedPrefix {
  getAgeMs(): number;
  readStatus(): PrefixStatus;
  /** Applies a status that the hub sampled after this time of `elapsed`. */
  applyHubStatus(status: PrefixStatus, sampledAfterMs: number): void;
  /** Whether this view certainly lacks what the position covers. */
  isBehind(position: objectStore.StorePosition): boolean;
  /** Applies the position of another entry's view. */
  observePosition(position: objectStore.StorePosition): void;
  /**
   * Whether another entry's view is known to contain changes that the store has
   * not delivered to this entry for some time.
   */
  isOutdated(): boolean;
}

/** Mean delay after the first failed call; it doubles up to about a second. */
const retryDelayMs = 150;
const maxRetryDoublings = 3;
/**
 * Longest interval between confirmations that this entry requests from the store,
 * and the most of the maximum age that it may be.
 */
const longestConfirmIntervalMs = 1_000;
const maxConfirmShare = 0.25;
/**
 * Interval between confirmations after a failed call. It is short, so that work
 * that waits for the store continues as soon as the store is available.
 */
const unavailableConfirmIntervalMs = 100;
/**
 * Part of the maximum age above which an entry requests confirmations itself. The
 * remainder covers a confirmation and its retries.
 */
const hubConfirmedShare = 0.55;
/**
 * Time in which the watch should deliver a change that another view contains.
 * Afterwards the watch is assumed to be broken and is replaced.
 */
const watchLagTimeoutMs = 300;
/**
 * Time after which a view that lacks such a change is outdated. It covers the
 * watch, and a list from a store whose answers take some hundred milliseconds.
 */
const outdatedAfterMs = 1_000;
const checkIntervalMs = 250;
/**
 * Window in which changes are batched, because they come in bursts. The delay
 * is acceptable, as all deadlines for applying a change are at least seconds.
 */
const batchWindowMs = 250;

/** Starts to follow the prefix. */
export function startFollowing(
  options: FollowedPrefixOptions,
): FollowedPrefix {
  const { scheduler, elapsed, signal, maxAgeMs } = options;
  const isStoreCurrent = options.isStoreCurrent ?? (() => true);
  const confirmIntervalMs = Math.min(
    longestConfirmIntervalMs,
    maxConfirmShare * maxAgeMs,
  );
  let watchAbort = new AbortController();
  let isRequestingConfirmations = true;
  let isUnavailable = false;
  /** Era of the lists and the watch of this entry. */
  let era = 0;
  /** Highest version covered by the lists and the watch of this entry. */
  let coveredVersion = 0;
  /** Highest object version in the view. */
  let objectVersion = 0;
  let confirmedAtMs = -Infinity;
  /** Newest position of another entry's view since the last list. */
  let newestPosition: objectStore.StorePosition | undefined;
  /**
   * Position of another entry's view that this view has yet to reach, and the
   * time since which. While changes come all the time, some view is always newer.
   */
  let awaited:
    | { readonly position: objectStore.StorePosition; readonly sinceMs: number }
    | undefined;
  /** Whether the prefix is being listed in place of a watch. */
  let isListing = false;

  function getAgeMs(): number {
    return elapsed.now() - confirmedAtMs;
  }

  function recordVersion(version: number): void {
    objectVersion = Math.max(objectVersion, version);
    coveredVersion = Math.max(coveredVersion, version);
  }

  function computeConfirmIntervalMs(): number | undefined {
    if (!isRequestingConfirmations) return undefined;
    return isUnavailable ? unavailableConfirmIntervalMs : confirmIntervalMs;
  }

  function isBehind(position: objectStore.StorePosition): boolean {
    return position.era === era
      ? position.version > coveredVersion
      : position.era > era;
  }

  function observePosition(position: objectStore.StorePosition): void {
    if (!isBehind(position)) return;
    const isNewest = newestPosition === undefined ||
      position.era > newestPosition.era ||
      (position.era === newestPosition.era &&
        position.version > newestPosition.version);
    if (isNewest) newestPosition = { ...position };
    updateAwaited();
  }

  /** Awaits the newest position once this view has reached the awaited one. */
  function updateAwaited(): void {
    if (awaited !== undefined && isBehind(awaited.position)) return;
    awaited = newestPosition !== undefined && isBehind(newestPosition)
      ? { position: newestPosition, sinceMs: elapsed.now() }
      : undefined;
  }

  /** Returns how long this view has lacked a change that another contains. */
  function getLagMs(): number {
    updateAwaited();
    return awaited === undefined ? 0 : elapsed.now() - awaited.sinceMs;
  }

  /** Starts the versions anew; those of another era aren't comparable. */
  function enterEra(nextEra: number): void {
    if (nextEra === era) return;
    era = nextEra;
    coveredVersion = 0;
    objectVersion = 0;
  }

  /** Replaces the watch. Without a start position, lists the prefix first. */
  function follow(startFrom?: objectStore.StorePosition): void {
    watchAbort.abort();
    watchAbort = new AbortController();
    isListing = startFrom === undefined;
    storeFollower.followPrefix({
      store: options.store,
      scheduler,
      random: options.random,
      prefix: options.prefix,
      signal: AbortSignal.any([signal, watchAbort.signal]),
      retryDelayMs,
      maxDoublings: maxRetryDoublings,
      getConfirmIntervalMs: computeConfirmIntervalMs,
      batchWindowMs,
      startFrom,
      onUnavailable(message) {
        isUnavailable = true;
        options.onUnavailable(message);
      },
      onList(objects, version, listEra) {
        isUnavailable = false;
        options.onAvailable();
        enterEra(listEra);
        coveredVersion = Math.max(coveredVersion, version);
        for (const object of objects) recordVersion(object.version);
        isListing = false;
        // No view can be newer than the store's answer.
        newestPosition = undefined;
        awaited = undefined;
        options.onList(objects, era);
      },
      onObject(object) {
        recordVersion(object.version);
        options.onObject(object);
      },
      onRemoved(key, version) {
        recordVersion(version);
        options.onRemoved(key);
      },
      onConfirmed(asOfMs) {
        isUnavailable = false;
        options.onAvailable();
        if (!isStoreCurrent()) return;
        // Converts `asOfMs` from the scheduler's clock to `elapsed` by its age.
        const ageMs = scheduler.now() - asOfMs;
        confirmedAtMs = Math.max(confirmedAtMs, elapsed.now() - ageMs);
      },
    });
  }

  /** Decides who confirms the view, and replaces a watch that lags behind. */
  function check(): void {
    const isRequestNeeded = options.isHub() ||
      getAgeMs() > hubConfirmedShare * maxAgeMs;
    const isWatchBehind = !isListing && getLagMs() > watchLagTimeoutMs;
    const wasRequesting = isRequestingConfirmations;
    isRequestingConfirmations = isRequestNeeded;
    if (isWatchBehind) follow();
    // A pending watch call would wait longer than the new confirmation interval.
    else if (isRequestNeeded && !wasRequesting && !isListing) {
      follow({ era, version: coveredVersion });
    }
    scheduler.schedule(check, { delayMs: checkIntervalMs, signal });
  }

  follow();
  scheduler.schedule(check, { delayMs: checkIntervalMs, signal });
  return {
    getAgeMs,
    readStatus() {
      const ageMs = getAgeMs();
      return {
        era,
        version: objectVersion,
        ageMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : undefined,
      };
    },
    applyHubStatus({ era: hubEra, version, ageMs }, sampledAfterMs) {
      const position = { era: hubEra, version };
      if (isBehind(position)) return observePosition(position);
      if (hubEra < era || ageMs === undefined || !isStoreCurrent()) return;
      confirmedAtMs = Math.max(confirmedAtMs, sampledAfterMs - ageMs);
    },
    isBehind,
    observePosition,
    isOutdated: () => getLagMs() > outdatedAfterMs,
  };
}
