/**
 * The entry role for routed services: callers connect to the entry directly, and
 * the entry calls upstreams directly, without agents. Composes the components
 * and runs their life cycle.
 */
import { setMaxListeners } from "node:events";
import * as http from "node:http";
import type * as random from "@anvilhinge/coordination/random";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as hostPort from "../adapters/address.ts";
import * as connectionDrain from "../adapters/connection_drain.ts";
import * as datagrams from "../adapters/datagrams.ts";
import * as delay from "../adapters/delay.ts";
import * as directClient from "../adapters/direct_client.ts";
import * as elapsedClock from "../adapters/elapsed_clock.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import type * as callerDialect from "../ports/caller_dialect.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as rankEngine from "../ports/rank_engine.ts";
import type * as upstreamDialect from "../ports/upstream_dialect.ts";
import * as reload from "../settings/reload.ts";
import type * as routedProcess from "../settings/routed_process.ts";
import * as routedLogger from "../telemetry/routed_logger.ts";
import * as metrics from "../telemetry/metrics.ts";
import * as routedHttp from "./callers/routed_http.ts";
import type * as groupLink from "./choice/group_link.ts";
import type * as slotCoordinator from "./choice/slot_coordinator.ts";
import * as routedPolicy from "./choice/routed_policy.ts";
import * as rosterNode from "./control/roster_node.ts";
import * as routedMetrics from "./operators/routed_metrics.ts";
import * as routingView from "./routing/routing_view.ts";

/** Addresses of entries to which a caller may connect. */
export interface AddressAnswer {
  /** Addresses as `host:port`. */
  readonly addresses: readonly string[];
  /** Time for which the caller may cache the answer. */
  readonly ttlMs: number;
}

/** Status of the entry for the endpoints that the platform's adapters serve. */
export interface EntryStatus {
  isReady(): boolean;
  /** Returns undefined if no known entry is ready. */
  findAddresses(
    caller: { readonly failureDomain: string },
  ): AddressAnswer | undefined;
}

/** Adapters that connect the entry to a platform. */
export interface RoutedPlatform {
  createStore(options: objectStore.StoreOptions): objectStore.ObjectStore;
  readonly source: routingView.RoutingSource;
  readonly callerDialect: callerDialect.CallerDialect;
  readonly upstreamDialect: upstreamDialect.UpstreamDialect;
  createRankEngine(
    options: rankEngine.RankEngineOptions,
  ): rankEngine.RankEngine;
  createReadinessHandler(status: EntryStatus): http.RequestListener;
  createDirectoryHandler(status: EntryStatus): http.RequestListener;
}

export interface RoutedEntryOptions {
  readonly settings: routedProcess.RoutedEntrySettings;
  readonly platform: RoutedPlatform;
  readonly reload: reload.SettingsReloader<routedProcess.RoutedEntrySettings>;
  /** Its sequence determines the choice between equal upstreams. */
  readonly random: random.RandomSource;
  /** Starts a graceful stop when it aborts. */
  readonly signal: AbortSignal;
}

/**
 * Part of the revocation bound for which keys are accepted after they were last
 * confirmed.
 */
const maxKeyAgeShare = 0.88;
/** TTL of an address answer, the shortest time for which callers cache it. */
const addressTtlMs = 1_500;
/** Some callers cache an address answer for three times as long. */
const addressCacheFactor = 3;
/** Time before the forced end of the process, reserved for closing servers. */
const stopReserveMs = 400;
const drainPollIntervalMs = 20;
/** Timeout of orders that the entry sends to an engine for an agent. */
const engineTimeoutMs = 80;
const maxHeaderBytes = 64 * 1024;

type Message =
  | rosterNode.RosterMessage
  | slotCoordinator.DispatchMessage
  | groupLink.GroupLinkMessage;

const messageKinds: readonly unknown[] = [
  "hello",
  "roster",
  "work",
  "decisions",
  "group",
  "relay",
] satisfies readonly Message["kind"][];

function isMessage(message: unknown): message is Message {
  const kind = (message as { readonly kind?: unknown } | null)?.kind;
  return messageKinds.includes(kind);
}

/** Lists the datagram addresses of the seed entries in the settings. */
function listPeers(
  { peers, seeds }: routedProcess.RoutedEntrySettings,
): readonly string[] {
  const { port } = hostPort.parseAddress(peers);
  return seeds.map((seed) => `${hostPort.parseAddress(seed).host}:${port}`);
}

/** Computes the processors' worth of time that the entry may use. */
function computeCapacity(
  { processor }: routedProcess.RoutedEntrySettings,
): number {
  return processor === undefined ? 0 : processor.share * processor.cores;
}

function listen(
  server: http.Server,
  address: string,
): Promise<void> {
  const { host, port } = hostPort.parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve());
  });
}

/** Runs the entry until the signal aborts; resolves when it has stopped. */
export async function runRoutedEntry(
  { settings, platform, signal, ...options }: RoutedEntryOptions,
): Promise<void> {
  const maxKeyAgeMs = maxKeyAgeShare * settings.bounds.revocationMs;
  const abort = new AbortController();
  // Each timer and open call listens to the signal until it ends.
  setMaxListeners(0, abort.signal);
  const clock = systemScheduler.createSystemScheduler();
  const elapsed = elapsedClock.createElapsedClock({
    clock,
    readWallMs: Date.now,
  });
  const log = routedLogger.createRoutedLogger({
    component: "entry",
    level: settings.log.level,
    clock,
  });
  log.info("Starts", { id: settings.id });
  const state: routedHttp.RoutedState = {
    isLeaving: false,
    isClosed: false,
    stopAtMs: undefined,
    openRequests: 0,
  };
  let isReady = false;
  const registry = metrics.createMetrics();
  const entryMetrics = routedMetrics.createRoutedMetrics(registry, {
    countOpenRequests: () => state.openRequests,
    getViewVersion: () => view.getTable()?.settings.version ?? 0,
    getViewAgeMs: () => view.getAgeMs(),
    countLiveEntries: () => roster.listLive().length,
    isHub: () => roster.isHub(),
    countRetriesLeft: () => policy.countRetriesLeft(),
    describePools: () => policy.describePools(),
    countLimitedUpstreams: () => policy.countLimitedUpstreams(),
    countDroppedLines: log.countDropped,
    getEventLoopDelayMs: routedMetrics.createEventLoopMonitor({
      signal: abort.signal,
    }),
  });
  // Set once the roster and the policy exist; earlier messages are dropped.
  let handleMessage: (message: Message, from: string) => void = () => {};
  const sockets = await datagrams.openDatagrams({
    address: settings.peers,
    signal: abort.signal,
    onFailure: (reason) => log.warnOnce(`datagrams/${reason}`, reason),
    onMessage(message, from) {
      if (isMessage(message)) handleMessage(message, from);
    },
  });
  const roster = rosterNode.startRosterNode({
    self: {
      id: settings.id,
      address: settings.peers,
      incarnation: Date.now(),
      details: {
        callers: settings.callers,
        capacity: computeCapacity(settings),
        failureDomain: settings.failureDomain,
        region: settings.region,
        isReady: false,
        isLeaving: false,
      },
    },
    seeds: listPeers(settings),
    scheduler: clock,
    elapsed,
    readStatus: () => view.readStatus(),
    onHubStatus: ({ news, sampledAfterMs }) =>
      view.applyHubStatus(news, sampledAfterMs),
    onMemberStatus: (news) => view.applyMemberStatus(news),
    isViewOutdated: () => view.isOutdated(),
    sockets,
    logger: log,
    signal: abort.signal,
  });
  const policy = routedPolicy.createRoutedPolicy({
    entryId: settings.id,
    failureDomain: settings.failureDomain,
    members: {
      getHub: roster.getHub,
      isHub: roster.isHub,
      countEntries: () => roster.listLive().length,
      getEntryIndex: roster.getEntryIndex,
      computeReachableShare: roster.computeReachableShare,
    },
    retries: {
      share: settings.bounds.retryShare,
      extra: settings.bounds.retryExtra,
      windowMs: settings.bounds.retryWindowMs,
    },
    scheduler: clock,
    elapsed,
    isKnownToHub: (upstreamId) => view.isKnownToHub(upstreamId),
    isHubNewer: () => view.isHubNewer(),
    random: options.random,
    logger: log,
    metrics: entryMetrics,
    sockets,
    openEngine: (address) =>
      platform.createRankEngine({
        address,
        readTimeoutMs: engineTimeoutMs,
        orderTimeoutMs: engineTimeoutMs,
        signal: abort.signal,
      }),
    signal: abort.signal,
  });
  let setReady: () => void = () => {};
  const viewReady = new Promise<void>((resolve) => (setReady = resolve));
  const view = routingView.startRoutingView({
    source: platform.source,
    store: platform.createStore({
      address: settings.store,
      scheduler: clock,
      signal: abort.signal,
      onCall: entryMetrics.recordStoreCall,
    }),
    scheduler: clock,
    elapsed,
    random: options.random,
    logger: log,
    signal: abort.signal,
    maxAgeMs: maxKeyAgeMs,
    isHub: roster.isHub,
    onRouting({ settings: currentSettings }) {
      const { limits } = currentSettings;
      policy.setRouting(currentSettings);
      callerServer.keepAliveTimeout = limits.idleTimeoutMs;
      callerServer.headersTimeout = limits.headerTimeoutMs;
    },
    onUpstreams: policy.setUpstreams,
    onReady: setReady,
  });
  const handler = routedHttp.createRoutedHandler({
    dialect: platform.callerDialect,
    view,
    policy,
    client: directClient.createDirectClient({
      dialect: platform.upstreamDialect,
      clock,
      onRateLimit: policy.recordRateLimit,
    }),
    scheduler: clock,
    random: options.random,
    logger: log,
    metrics: entryMetrics,
    state,
    maxKeyAgeMs,
  });
  const callerServer = http.createServer(
    { maxHeaderSize: maxHeaderBytes, requestTimeout: 0 },
    handler.handleRequest,
  );
  const callerConnections = connectionDrain.createConnectionDrain(callerServer);
  const status: EntryStatus = {
    isReady: () => isReady && !state.isLeaving,
    findAddresses() {
      const addresses = roster.listLive().map(({ details }) => details)
        .filter((details) => details.isReady && !details.isLeaving)
        .map((details) => details.callers);
      return addresses.length === 0
        ? undefined
        : { addresses, ttlMs: addressTtlMs };
    },
  };
  const readinessServer = http.createServer(
    platform.createReadinessHandler(status),
  );
  const metricsServer = routedMetrics.createMetricsServer(registry);
  const directoryServer = http.createServer(
    platform.createDirectoryHandler(status),
  );

  /** Refuses waiting requests as soon as the time left is too short. */
  function watchLateRequests(): void {
    handler.refuseLateRequests();
    clock.schedule(watchLateRequests, {
      delayMs: drainPollIntervalMs,
      signal: abort.signal,
    });
  }

  async function stop(): Promise<void> {
    const stopAtMs = clock.now() + settings.bounds.stopMs - stopReserveMs;
    state.isLeaving = true;
    state.stopAtMs = stopAtMs;
    watchLateRequests();
    roster.setState({ isReady, isLeaving: true });
    log.info("Stopping: address answers now omit this entry");
    // Callers use cached address answers that list this entry until they expire.
    // At most half of the time limit is spent on that, as open requests need the
    // other half.
    const addressCacheMs = Math.min(
      addressCacheFactor * addressTtlMs,
      settings.bounds.stopMs / 2,
    );
    await delay.waitFor(clock, { delayMs: addressCacheMs });
    state.isClosed = true;
    callerConnections.closeIdle();
    log.info("Refusing new requests; finishing the open requests", {
      open: state.openRequests,
    });
    while (state.openRequests > 0 && clock.now() < stopAtMs) {
      await delay.waitFor(clock, { delayMs: drainPollIntervalMs });
    }
    // Requests that are still open are cut off by closing their connections.
    log.info("Stopped", { open: state.openRequests });
    abort.abort();
    for (
      const server of [
        callerServer,
        readinessServer,
        directoryServer,
        metricsServer,
      ]
    ) {
      server.close();
      server.closeAllConnections();
    }
  }

  handleMessage = (message, from) => {
    switch (message.kind) {
      case "hello":
      case "roster":
        return roster.handle(message);
      case "work":
      case "decisions":
        return policy.handleMessage(message, from);
      case "group":
      case "relay":
        return policy.handleGroupMessage(message, from);
    }
  };
  reload.followSettings({
    settings,
    reload: options.reload,
    logger: log,
    reloadableKeys: ["seeds"],
    // Seeds that the new settings lack stay in use until a restart.
    apply: (changed) => roster.addSeeds(listPeers(changed)),
  });
  await Promise.all([
    listen(readinessServer, settings.readiness),
    listen(directoryServer, settings.directory),
    listen(metricsServer, settings.metrics),
  ]);
  await viewReady;
  await listen(callerServer, settings.callers);
  isReady = true;
  roster.setState({ isReady, isLeaving: false });
  log.info("Serves callers", { address: settings.callers });
  await abortSignal.waitForAbort(signal);
  await stop();
}
