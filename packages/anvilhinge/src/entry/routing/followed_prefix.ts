/**
 * Follows one prefix of the store and knows how old its view is: confirmed by
 * the store itself or, for less, by what the hub was told.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../../ports/object_store.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import * as storeFollower from "../control/store_follower.ts";

/** What an entry tells of its view of one prefix. */
export interface PrefixStatus {
  /** Highest version of an object that it knows. */
  readonly version: number;
  /** Time since the store confirmed the view; undefined = never. */
  readonly ageMs: number | undefined;
}

export interface FollowedPrefixOptions {
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  /** Counts time in which the machine was suspended too. */
  readonly elapsed: clock.Clock;
  readonly random: random.RandomSource;
  readonly signal: AbortSignal;
  readonly prefix: string;
  readonly isHub: () => boolean;
  readonly onList: (objects: readonly objectStore.StoredObject[]) => void;
  readonly onObject: (object: objectStore.StoredObject) => void;
  readonly onRemoved: (key: string) => void;
  readonly onUnavailable: (message: string) => void;
  readonly onAvailable: () => void;
}

export interface FollowedPrefix {
  getAgeMs(): number;
  readStatus(): PrefixStatus;
  applyHubStatus(news: PrefixStatus, trueAfterMs: number): void;
}

/** Mean first wait after a failed call; doubles to a second. */
const retryDelayMs = 150;
const retryDoublings = 3;
/** Time between confirmations for an entry that confirms for itself or others. */
const confirmMs = 1_000;
/** The same after a failed call: what waits for the store waits no longer. */
const awayConfirmMs = 100;
/** Age above which an entry no longer relies on the hub to confirm. */
const alonenessMs = 2_500;
/** Time in which a change that the hub knows should have come by the watch. */
const behindMs = 300;
const checkMs = 250;
/** Changes come in bursts; all bounds on them are seconds. */
const collectMs = 250;

/** Starts to follow the prefix. */
export function startFollowing(
  options: FollowedPrefixOptions,
): FollowedPrefix {
  const { scheduler, elapsed, signal } = options;
  let following = new AbortController();
  let isConfirming = true;
  let isAway = false;
  /** Highest version that the own list or watch has covered. */
  let coveredVersion = 0;
  let objectVersion = 0;
  let confirmedAtMs = -Infinity;
  let behindSinceMs: number | undefined;

  function getAgeMs(): number {
    return elapsed.now() - confirmedAtMs;
  }

  function recordVersion(version: number): void {
    objectVersion = Math.max(objectVersion, version);
    coveredVersion = Math.max(coveredVersion, version);
  }

  function chooseConfirmMs(): number | undefined {
    if (!isConfirming) return undefined;
    return isAway ? awayConfirmMs : confirmMs;
  }

  /** Follows anew: from a version, or from a list of all. */
  function follow(startVersion?: number): void {
    following.abort();
    following = new AbortController();
    behindSinceMs = undefined;
    storeFollower.followPrefix({
      store: options.store,
      scheduler,
      random: options.random,
      prefix: options.prefix,
      signal: AbortSignal.any([signal, following.signal]),
      retryDelayMs,
      maxDoublings: retryDoublings,
      getConfirmMs: chooseConfirmMs,
      collectMs,
      startVersion,
      onUnavailable(message) {
        isAway = true;
        options.onUnavailable(message);
      },
      onList(objects, version) {
        isAway = false;
        options.onAvailable();
        coveredVersion = Math.max(coveredVersion, version);
        for (const object of objects) recordVersion(object.version);
        options.onList(objects);
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
        isAway = false;
        options.onAvailable();
        // The instant is one of the scheduler's clock; the age is what counts.
        const ageMs = scheduler.now() - asOfMs;
        confirmedAtMs = Math.max(confirmedAtMs, elapsed.now() - ageMs);
      },
    });
  }

  /** Chooses who confirms the view, and replaces a watch that fell silent. */
  function check(): void {
    const isNeeded = options.isHub() || getAgeMs() > alonenessMs;
    const isBehind = behindSinceMs !== undefined &&
      elapsed.now() - behindSinceMs > behindMs;
    const wasConfirming = isConfirming;
    isConfirming = isNeeded;
    if (isBehind) follow();
    else if (isNeeded && !wasConfirming) follow(coveredVersion);
    scheduler.schedule(check, { delayMs: checkMs, signal });
  }

  follow();
  scheduler.schedule(check, { delayMs: checkMs, signal });
  return {
    getAgeMs,
    readStatus() {
      const ageMs = getAgeMs();
      return {
        version: objectVersion,
        ageMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : undefined,
      };
    },
    applyHubStatus({ version, ageMs }, trueAfterMs) {
      if (version > coveredVersion) {
        behindSinceMs ??= elapsed.now();
        return;
      }
      behindSinceMs = undefined;
      if (ageMs === undefined) return;
      confirmedAtMs = Math.max(confirmedAtMs, trueAfterMs - ageMs);
    },
  };
}
