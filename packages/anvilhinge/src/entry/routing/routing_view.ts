/**
 * The entry's view of routing settings and upstreams, as the platform's store
 * has them. A view never goes back to a lower version; it carries the instant
 * at which the store last confirmed it.
 *
 * Each entry follows the store itself, for its changes. Confirming costs calls,
 * so only the hub asks for it often and passes on what it was told; an entry
 * that hears nothing for a while asks itself.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../../ports/object_store.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as routing from "../../settings/routing.ts";
import type * as logger from "../../telemetry/logger.ts";
import * as followedPrefix from "./followed_prefix.ts";
import * as routeTable from "./route_table.ts";

/** Where the settings and upstreams lie in the store, and how they are read. */
export interface RoutingSource {
  readonly routingPrefix: string;
  /** Returns undefined for an object that holds no routing settings. */
  decodeRouting(
    object: objectStore.StoredObject,
  ): routing.RoutingSettings | undefined;
  readonly upstreamsPrefix: string;
  /** Returns undefined for an object that names no upstream to use. */
  decodeUpstream(
    object: objectStore.StoredObject,
  ): routing.ListedUpstream | undefined;
}

/** What the hub tells of its view. */
export interface ViewStatus {
  readonly routing: followedPrefix.PrefixStatus;
  readonly upstreams: followedPrefix.PrefixStatus;
}

export interface RoutingViewOptions {
  readonly source: RoutingSource;
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  /** Counts time in which the machine was suspended too. */
  readonly elapsed: clock.Clock;
  readonly random: random.RandomSource;
  readonly logger: logger.Logger;
  readonly signal: AbortSignal;
  /** Whether this entry confirms the view for the others. */
  readonly isHub: () => boolean;
  readonly onRouting: (table: routeTable.RouteTable) => void;
  /** Called with all upstreams when any of them changed. */
  readonly onUpstreams: (
    upstreams: readonly routing.ListedUpstream[],
  ) => void;
  /** Called once, when settings and upstreams are known. */
  readonly onReady: () => void;
}

export interface RoutingView {
  getTable(): routeTable.RouteTable | undefined;
  /** Time since the store last confirmed the routing settings. */
  getAgeMs(): number;
  readStatus(): ViewStatus;
  /** Takes news of the hub that were true after an instant of `elapsed`. */
  applyHubStatus(news: ViewStatus, trueAfterMs: number): void;
}

/**
 * Upstreams whose entries lapsed while the store was away write them again
 * within two seconds of its return (the platform's page on discovery).
 */
const lapseGraceMs = 2_200;

/** Starts to follow the store. */
export function startRoutingView(options: RoutingViewOptions): RoutingView {
  const { source, scheduler, signal, logger } = options;
  const upstreams = new Map<string, routing.ListedUpstream>();
  const lapsed = new Set<string>();
  let table: routeTable.RouteTable | undefined;
  let routingVersion = 0;
  let hasUpstreams = false;
  let isAway = false;
  let returnedAtMs = -Infinity;
  let isReady = false;

  function checkReady(): void {
    if (isReady || table === undefined || !hasUpstreams) return;
    isReady = true;
    options.onReady();
  }

  function applyRouting(object: objectStore.StoredObject): void {
    if (object.version <= routingVersion) return;
    const settings = source.decodeRouting(object);
    if (settings === undefined) {
      logger.warn("Left out an object that holds no routing settings", {
        key: object.key,
        version: object.version,
      });
      return;
    }
    if (settings.version < (table?.settings.version ?? 0)) return;
    routingVersion = object.version;
    table = routeTable.createRouteTable(settings);
    logger.info("Routing settings are in force", {
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
    const upstream = source.decodeUpstream(object);
    if (upstream === undefined) {
      logger.warnOnce(
        `upstream/${object.key}`,
        `Entry ${object.key} names no upstream to use`,
      );
      return dropUpstream(object.key, "malformed");
    }
    lapsed.delete(object.key);
    const known = upstreams.get(object.key);
    upstreams.set(object.key, upstream);
    const hasChanged = JSON.stringify(known) !== JSON.stringify(upstream);
    if (hasChanged) {
      logger.info("Upstream listed", {
        upstream: upstream.id,
        state: upstream.state,
        storeVersion: object.version,
      });
    }
    return hasChanged;
  }

  function dropUpstream(key: string, reason: string): boolean {
    lapsed.delete(key);
    const upstream = upstreams.get(key);
    if (upstream === undefined) return false;
    upstreams.delete(key);
    logger.info("Upstream gone", { upstream: upstream.id, reason });
    return true;
  }

  /** Takes an entry that is missing; it may only have lapsed in an outage. */
  function missUpstream(key: string): boolean {
    const graceLeftMs = returnedAtMs + lapseGraceMs - scheduler.now();
    if (!upstreams.has(key) || graceLeftMs <= 0) {
      return dropUpstream(key, "removed");
    }
    if (lapsed.has(key)) return false;
    lapsed.add(key);
    scheduler.schedule(() => {
      if (lapsed.has(key) && dropUpstream(key, "lapsed")) publishUpstreams();
    }, { delayMs: graceLeftMs, signal });
    return false;
  }

  function listUpstreams(objects: readonly objectStore.StoredObject[]): void {
    const listed = new Set(objects.map(({ key }) => key));
    let hasChanged = !hasUpstreams;
    for (const object of objects) {
      hasChanged = applyUpstream(object) || hasChanged;
    }
    for (const key of [...upstreams.keys()]) {
      if (!listed.has(key)) hasChanged = missUpstream(key) || hasChanged;
    }
    hasUpstreams = true;
    if (hasChanged) publishUpstreams();
    checkReady();
  }

  function noteAway(message: string): void {
    if (isAway) return;
    isAway = true;
    logger.warn("Lost contact with the store", { message });
  }

  function noteBack(): void {
    if (!isAway) return;
    isAway = false;
    returnedAtMs = scheduler.now();
    logger.info("Regained contact with the store");
  }

  const shared = {
    ...options,
    onUnavailable: noteAway,
    onAvailable: noteBack,
  };
  const followedRouting = followedPrefix.startFollowing({
    ...shared,
    prefix: source.routingPrefix,
    onList: (objects) => objects.forEach(applyRouting),
    onObject: applyRouting,
    onRemoved: () => {},
  });
  const followedUpstreams = followedPrefix.startFollowing({
    ...shared,
    prefix: source.upstreamsPrefix,
    onList: listUpstreams,
    onObject(object) {
      if (applyUpstream(object)) publishUpstreams();
    },
    onRemoved(key) {
      if (missUpstream(key)) publishUpstreams();
    },
  });

  return {
    getTable: () => table,
    getAgeMs: followedRouting.getAgeMs,
    readStatus: () => ({
      routing: followedRouting.readStatus(),
      upstreams: followedUpstreams.readStatus(),
    }),
    applyHubStatus(news, trueAfterMs) {
      followedRouting.applyHubStatus(news.routing, trueAfterMs);
      followedUpstreams.applyHubStatus(news.upstreams, trueAfterMs);
    },
  };
}
