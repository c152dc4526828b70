/**
 * The entry's view of the routing settings and upstreams in the platform's
 * object store. A view never returns to a lower version of the settings. It
 * records the time at which the store last confirmed it.
 *
 * A store that returns from a copy starts a new era (see `StorePosition`). The
 * view then keeps what it knows beyond the copy: newer settings until the store
 * has them again, and which upstreams have left. Settings older than the view's
 * confirm nothing, as the copy may also lack later settings.
 *
 * Each entry watches the store for changes. Confirmations cost store calls, so
 * only the hub requests them often and distributes them to the other entries.
 * An entry that receives no confirmation for some seconds requests its own.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../../ports/object_store.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as routing from "../../settings/routing.ts";
import type * as logger from "../../telemetry/logger.ts";
import * as departures from "./departures.ts";
import * as followedPrefix from "./followed_prefix.ts";
import * as routeTable from "./route_table.ts";

/** Location and format of the settings and upstreams in the object store. */
export interface RoutingSource {
  readonly routingPrefix: string;
  /** Returns undefined for an object without valid routing settings. */
  decodeRouting(
    object: objectStore.StoredObject,
  ): routing.RoutingSettings | undefined;
  readonly upstreamsPrefix: string;
  /** Returns undefined for an object without a usable upstream. */
  decodeUpstream(
    object: objectStore.StoredObject,
  ): routing.ListedUpstream | undefined;
}

/** Versions and ages of an entry's view, sent to other entries. */
export interface ViewStatus {
  readonly routing: followedPrefix.PrefixStatus;
  readonly upstreams: followedPrefix.PrefixStatus;
  /** Version of the settings in force; 0 before the first settings. */
  readonly settingsVersion: number;
}

export interface RoutingViewOptions {
  readonly source: RoutingSource;
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  /** Clock that also advances while the machine is suspended. */
  readonly elapsed: clock.Clock;
  readonly random: random.RandomSource;
  readonly logger: logger.Logger;
  readonly signal: AbortSignal;
  /** Age of the view up to which keys are accepted, in milliseconds. */
  readonly maxAgeMs: number;
  /** Whether this entry is the hub, which confirms the view for all entries. */
  readonly isHub: () => boolean;
  readonly onRouting: (table: routeTable.RouteTable) => void;
  /** Called with all upstreams after any of them changed. */
  readonly onUpstreams: (
    upstreams: readonly routing.ListedUpstream[],
  ) => void;
  /**
   * Called once, after the upstreams and settings not older than the hub's were
   * first read.
   */
  readonly onReady: () => void;
}

export interface RoutingView {
  getTable(): routeTable.RouteTable | undefined;
  /**
   * Time since the store last confirmed the routing settings, in milliseconds.
   */
  getAgeMs(): number;
  readStatus(): ViewStatus;
  /** Applies a status that the hub sampled after this time of `elapsed`. */
  applyHubStatus(status: ViewStatus, sampledAfterMs: number): void;
  /** Applies the status of an entry that is not the hub. */
  applyMemberStatus(status: ViewStatus): void;
  /**
   * Whether another entry is known to have a newer view, and the store does not
   * deliver the changes to this entry.
   */
  isOutdated(): boolean;
  /** Whether the hub's view contains an upstream; true unless it can't. */
  isKnownToHub(upstreamId: string): boolean;
  /** Whether the hub's view contains upstreams or changes that this one lacks. */
  isHubNewer(): boolean;
}

/**
 * Time after the store is reachable again for which expired records are kept.
 * Upstreams whose records expired while the store was unavailable write them
 * again within two seconds (see the platform's page on discovery).
 */
const expiryGraceMs = 2_200;
/**
 * Time after the store's return from a copy for which a copied record doesn't
 * bring back an upstream that has left. The platform removes such records after
 * some missed heartbeats.
 */
const copiedRecordHoldMs = 10_000;

/** Starts to follow the object store. */
export function startRoutingView(options: RoutingViewOptions): RoutingView {
  const { source, scheduler, signal, logger } = options;
  const upstreams = new Map<string, routing.ListedUpstream>();
  const expired = new Set<string>();
  const departed = departures.createDepartures({ clock: options.elapsed });
  /** Copied records of upstreams that have left, by key. */
  const held = new Map<string, objectStore.StoredObject>();
  /** Positions at which the listed upstreams were first seen, by id. */
  const firstSeen = new Map<string, objectStore.StorePosition>();
  /** Position of the hub's upstreams; undefined before its first status. */
  let hubUpstreams: objectStore.StorePosition | undefined;
  let upstreamsEra: number | undefined;
  let routingEra: number | undefined;
  let table: routeTable.RouteTable | undefined;
  /** Highest store version of settings that were read in this era. */
  let routingVersion = 0;
  /** Highest version of the settings that the store had in this era. */
  let storedSettingsVersion = 0;
  /** Highest version of the settings that the hub had in force. */
  let hubSettingsVersion = 0;
  let hasListedUpstreams = false;
  let isUnavailable = false;
  let availableAtMs = -Infinity;
  let isReady = false;

  function checkReady(): void {
    if (isReady || table === undefined || !hasListedUpstreams) return;
    if (!hasStoreNewestSettings()) return;
    isReady = true;
    options.onReady();
  }

  function getSettingsVersion(): number {
    return table?.settings.version ?? 0;
  }

  /** Whether the store has the newest settings that any entry is known to use. */
  function hasStoreNewestSettings(): boolean {
    return storedSettingsVersion >=
      Math.max(getSettingsVersion(), hubSettingsVersion);
  }

  function applyRoutingList(
    objects: readonly objectStore.StoredObject[],
    era: number,
  ): void {
    const isNewEra = routingEra !== undefined && era !== routingEra;
    routingEra = era;
    if (isNewEra) {
      routingVersion = 0;
      storedSettingsVersion = 0;
    }
    objects.forEach(applyRouting);
    if (!isNewEra) return;
    logger.warn("The object store has returned from a copy", {
      era,
      storedSettingsVersion,
      settingsVersion: getSettingsVersion(),
    });
  }

  function applyRouting(object: objectStore.StoredObject): void {
    if (object.version <= routingVersion) return;
    const settings = source.decodeRouting(object);
    if (settings === undefined) {
      logger.warnOnce(
        `settings/${object.key}/${object.version}`,
        `Ignored ${object.key}: version ${object.version} has no valid settings`,
      );
      return;
    }
    routingVersion = object.version;
    storedSettingsVersion = Math.max(storedSettingsVersion, settings.version);
    if (settings.version < getSettingsVersion()) return;
    table = routeTable.createRouteTable(settings);
    logger.info("Applied routing settings", {
      version: settings.version,
      storeVersion: object.version,
      routes: settings.routes.length,
    });
    options.onRouting(table);
    checkReady();
  }

  function publishUpstreams(): void {
    options.onUpstreams([...upstreams.values()]);
  }

  function applyUpstream(object: objectStore.StoredObject): boolean {
    held.delete(object.key);
    const upstream = source.decodeUpstream(object);
    if (upstream === undefined) {
      logger.warnOnce(
        `upstream/${object.key}`,
        `Ignored ${object.key}: not a usable upstream`,
      );
      return removeUpstream(object.key, "malformed");
    }
    expired.delete(object.key);
    const previous = upstreams.get(object.key);
    upstreams.set(object.key, upstream);
    if (previous?.startedAtMs !== upstream.startedAtMs) {
      const { version } = object;
      firstSeen.set(upstream.id, { era: upstreamsEra ?? 0, version });
    }
    const hasChanged = JSON.stringify(previous) !== JSON.stringify(upstream);
    if (hasChanged) {
      logger.info("Upstream added or changed", {
        upstream: upstream.id,
        state: upstream.state,
        storeVersion: object.version,
      });
    }
    return hasChanged;
  }

  function removeUpstream(
    key: string,
    reason: "malformed" | "removed" | "lapsed",
  ): boolean {
    expired.delete(key);
    const upstream = upstreams.get(key);
    if (upstream === undefined) return false;
    upstreams.delete(key);
    firstSeen.delete(upstream.id);
    if (reason !== "malformed") departed.record(key, upstream.startedAtMs);
    logger.info("Removed an upstream", { upstream: upstream.id, reason });
    return true;
  }

  /**
   * Removes an upstream whose record is missing. After an outage of the store
   * the removal is delayed, as the record may only have expired.
   */
  function expireUpstream(key: string): boolean {
    held.delete(key);
    const graceLeftMs = availableAtMs + expiryGraceMs - scheduler.now();
    if (!upstreams.has(key) || graceLeftMs <= 0) {
      return removeUpstream(key, "removed");
    }
    if (expired.has(key)) return false;
    expired.add(key);
    scheduler.schedule(() => {
      if (!expired.delete(key)) return;
      // The store may have returned once more meanwhile.
      const isGraceOver = availableAtMs + expiryGraceMs <= scheduler.now();
      const hasChanged = isGraceOver
        ? removeUpstream(key, "lapsed")
        : expireUpstream(key);
      if (hasChanged) publishUpstreams();
    }, { delayMs: graceLeftMs, signal });
    return false;
  }

  /** Whether a copied record contradicts what this view knows of its upstream. */
  function isOutdatedCopy(object: objectStore.StoredObject): boolean {
    const upstream = source.decodeUpstream(object);
    if (upstream?.state !== "serving") return false;
    const { startedAtMs } = upstream;
    const known = upstreams.get(object.key);
    return known === undefined
      ? departed.has(object.key, startedAtMs)
      : known.state === "leaving" && known.startedAtMs === startedAtMs;
  }

  /** Holds the records of a new era that contradict later ones of the last. */
  function holdOutdatedCopies(
    objects: readonly objectStore.StoredObject[],
  ): void {
    availableAtMs = scheduler.now();
    held.clear();
    for (const object of objects) {
      if (isOutdatedCopy(object)) held.set(object.key, object);
    }
    const holdEra = upstreamsEra;
    scheduler.schedule(() => {
      if (upstreamsEra !== holdEra || held.size === 0) return;
      const hasChanged = [...held.values()].map(applyUpstream);
      if (hasChanged.includes(true)) publishUpstreams();
    }, { delayMs: copiedRecordHoldMs, signal });
  }

  function applyUpstreamList(
    objects: readonly objectStore.StoredObject[],
    era: number,
  ): void {
    const isNewEra = upstreamsEra !== undefined && era !== upstreamsEra;
    upstreamsEra = era;
    if (isNewEra) holdOutdatedCopies(objects);
    const listed = new Set(objects.map(({ key }) => key));
    let hasChanged = !hasListedUpstreams;
    for (const object of objects) {
      if (held.get(object.key)?.version === object.version) continue;
      hasChanged = applyUpstream(object) || hasChanged;
    }
    for (const key of [...upstreams.keys()]) {
      if (!listed.has(key)) hasChanged = expireUpstream(key) || hasChanged;
    }
    hasListedUpstreams = true;
    if (hasChanged) publishUpstreams();
    checkReady();
  }

  function recordUnavailable(message: string): void {
    if (isUnavailable) return;
    isUnavailable = true;
    logger.warn("Lost contact with the object store", { message });
  }

  function recordAvailable(): void {
    if (!isUnavailable) return;
    isUnavailable = false;
    availableAtMs = scheduler.now();
    logger.info("Regained contact with the object store");
  }

  const sharedOptions = {
    ...options,
    onUnavailable: recordUnavailable,
    onAvailable: recordAvailable,
  };
  const followedRouting = followedPrefix.startFollowing({
    ...sharedOptions,
    prefix: source.routingPrefix,
    isStoreCurrent: hasStoreNewestSettings,
    onList: applyRoutingList,
    onObject: applyRouting,
    onRemoved: () => {},
  });
  const followedUpstreams = followedPrefix.startFollowing({
    ...sharedOptions,
    prefix: source.upstreamsPrefix,
    onList: applyUpstreamList,
    onObject(object) {
      if (applyUpstream(object)) publishUpstreams();
    },
    onRemoved(key) {
      if (expireUpstream(key)) publishUpstreams();
    },
  });

  return {
    getTable: () => table,
    getAgeMs: followedRouting.getAgeMs,
    readStatus: () => ({
      routing: followedRouting.readStatus(),
      upstreams: followedUpstreams.readStatus(),
      settingsVersion: getSettingsVersion(),
    }),
    applyHubStatus(status, sampledAfterMs) {
      hubSettingsVersion = Math.max(hubSettingsVersion, status.settingsVersion);
      followedRouting.applyHubStatus(status.routing, sampledAfterMs);
      followedUpstreams.applyHubStatus(status.upstreams, sampledAfterMs);
      const { era, version } = status.upstreams;
      hubUpstreams = { era, version };
    },
    applyMemberStatus(status) {
      followedRouting.observePosition(status.routing);
      followedUpstreams.observePosition(status.upstreams);
    },
    isOutdated: () =>
      followedRouting.isOutdated() || followedUpstreams.isOutdated(),
    isHubNewer: () =>
      hubUpstreams !== undefined && followedUpstreams.isBehind(hubUpstreams),
    isKnownToHub(upstreamId) {
      const seen = firstSeen.get(upstreamId);
      // Versions of different eras don't show which view is newer.
      return options.isHub() || seen === undefined ||
        seen.era !== hubUpstreams?.era || seen.version <= hubUpstreams.version;
    },
  };
}
