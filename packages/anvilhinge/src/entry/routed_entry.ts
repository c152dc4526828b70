/**
 * An entry before routed services: callers connect to it directly, and it calls
 * upstreams directly. Composes the parts and runs their life cycle.
 */
import * as nodeCrypto from "node:crypto";
import * as http from "node:http";
import * as random from "@anvilhinge/coordination/random";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as hostPort from "../adapters/address.ts";
import * as datagrams from "../adapters/datagrams.ts";
import * as delay from "../adapters/delay.ts";
import * as directClient from "../adapters/direct_client.ts";
import * as elapsedClock from "../adapters/elapsed_clock.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import type * as callerDialect from "../ports/caller_dialect.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as upstreamDialect from "../ports/upstream_dialect.ts";
import * as reload from "../settings/reload.ts";
import type * as routedProcess from "../settings/routed_process.ts";
import * as routedLogger from "../telemetry/routed_logger.ts";
import * as metrics from "../telemetry/metrics.ts";
import * as routedHttp from "./callers/routed_http.ts";
import type * as slotCoordinator from "./choice/slot_coordinator.ts";
import * as routedPolicy from "./choice/routed_policy.ts";
import * as rosterNode from "./control/roster_node.ts";
import * as routedMetrics from "./operators/routed_metrics.ts";
import * as routingView from "./routing/routing_view.ts";

/** Where callers that ask should connect. */
export interface AddressAnswer {
  /** Addresses as `host:port`. */
  readonly addresses: readonly string[];
  readonly ttlMs: number;
}

/** What the platform's adapters need of the entry. */
export interface EntryStatus {
  isReady(): boolean;
  /** Returns undefined while no entry is known to be ready. */
  findAddresses(
    caller: { readonly failureDomain: string },
  ): AddressAnswer | undefined;
}

/** Adapters between the entry and one platform. */
export interface RoutedPlatform {
  createStore(options: objectStore.StoreOptions): objectStore.ObjectStore;
  readonly source: routingView.RoutingSource;
  readonly callerDialect: callerDialect.CallerDialect;
  readonly upstreamDialect: upstreamDialect.UpstreamDialect;
  createReadinessHandler(points: EntryStatus): http.RequestListener;
  createDirectoryHandler(points: EntryStatus): http.RequestListener;
}

export interface RoutedEntryOptions {
  readonly settings: routedProcess.RoutedEntrySettings;
  readonly platform: RoutedPlatform;
  readonly reload: reload.SettingsReloader<routedProcess.RoutedEntrySettings>;
  /** Asks for a graceful stop. */
  readonly signal: AbortSignal;
}

/** Share of the revocation bound at which keys are no longer trusted. */
const keyAgeShare = 0.88;
/** Shortest time that callers keep an address answer; some keep it thrice. */
const addressTtlMs = 1_500;
const addressKeepFactor = 3;
/** Time kept back at a stop to end in order. */
const stopSlackMs = 400;
const drainPollMs = 20;
const maxHeaderBytes = 64 * 1024;

type Message = rosterNode.RosterMessage | slotCoordinator.DispatchMessage;

const messageKinds: readonly unknown[] = [
  "hello",
  "roster",
  "work",
  "decisions",
] satisfies readonly Message["kind"][];

function isMessage(message: unknown): message is Message {
  const kind = (message as { readonly kind?: unknown } | null)?.kind;
  return messageKinds.includes(kind);
}

/** Addresses for datagrams of the entries that the settings name. */
function listPeers(
  { peers, seeds }: routedProcess.RoutedEntrySettings,
): readonly string[] {
  const { port } = hostPort.parseAddress(peers);
  return seeds.map((seed) => `${hostPort.parseAddress(seed).host}:${port}`);
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

/** Runs the entry until it is asked to stop; resolves when it has stopped. */
export async function runRoutedEntry(
  { settings, platform, signal, ...options }: RoutedEntryOptions,
): Promise<void> {
  const abort = new AbortController();
  const clock = systemScheduler.createSystemScheduler();
  const elapsed = elapsedClock.createElapsedClock({
    clock,
    readWallMs: Date.now,
  });
  const randomSource = random.createRandomSource(
    nodeCrypto.randomInt(2 ** 31),
  );
  const log = routedLogger.createRoutedLogger({
    component: "entry",
    level: settings.log.level,
    clock,
  });
  log.info("Starts", { id: settings.id });
  const state: routedHttp.RoutedState = {
    isLeaving: false,
    isClosed: false,
    openRequests: 0,
  };
  let isReady = false;
  const registry = metrics.createMetrics();
  const counts = routedMetrics.createRoutedMetrics(registry, {
    countOpenRequests: () => state.openRequests,
    getViewVersion: () => view.getTable()?.settings.version ?? 0,
    getViewAgeMs: () => view.getAgeMs(),
    countLiveEntries: () => roster.listLive().length,
    isHub: () => roster.isHub(),
    countRetriesLeft: () => policy.countRetriesLeft(),
    describePools: () => policy.describePools(),
    countDroppedLines: log.countDropped,
    getEventLoopDelayMs: routedMetrics.createEventLoopMonitor({
      signal: abort.signal,
    }),
  });
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
        failureDomain: settings.failureDomain,
        region: settings.region,
        isReady: false,
        isLeaving: false,
      },
    },
    seeds: listPeers(settings),
    scheduler: clock,
    elapsed,
    readHubStatus: () => view.readStatus(),
    onHubStatus: ({ news, sampledAfterMs: trueAfterMs }) =>
      view.applyHubStatus(news, trueAfterMs),
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
    },
    retries: {
      share: settings.bounds.retryShare,
      extra: settings.bounds.retryExtra,
      windowMs: settings.bounds.retryWindowMs,
    },
    scheduler: clock,
    random: randomSource,
    logger: log,
    metrics: counts,
    sockets,
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
      onCall: counts.recordStoreCall,
    }),
    scheduler: clock,
    elapsed,
    random: randomSource,
    logger: log,
    signal: abort.signal,
    isHub: roster.isHub,
    onRouting({ settings: inForce }) {
      const { limits } = inForce;
      policy.setRouting(inForce);
      callers.keepAliveTimeout = limits.idleTimeoutMs;
      callers.headersTimeout = limits.headerTimeoutMs;
    },
    onUpstreams: policy.setUpstreams,
    onReady: setReady,
  });
  const callers = http.createServer(
    { maxHeaderSize: maxHeaderBytes, requestTimeout: 0 },
    routedHttp.createRoutedHandler({
      dialect: platform.callerDialect,
      view,
      policy,
      client: directClient.createDirectClient({
        dialect: platform.upstreamDialect,
      }),
      scheduler: clock,
      random: randomSource,
      logger: log,
      metrics: counts,
      state,
      maxKeyAgeMs: keyAgeShare * settings.bounds.revocationMs,
    }),
  );
  const points: EntryStatus = {
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
  const readiness = http.createServer(platform.createReadinessHandler(points));
  const shown = routedMetrics.createMetricsServer(registry);
  const directory = http.createServer(platform.createDirectoryHandler(points));

  async function stop(): Promise<void> {
    const askedAtMs = clock.now();
    const endAtMs = askedAtMs + settings.bounds.stopMs - stopSlackMs;
    state.isLeaving = true;
    roster.setState({ isReady, isLeaving: true });
    log.info("Stops being handed out");
    const keptMs = Math.min(
      addressKeepFactor * addressTtlMs,
      settings.bounds.stopMs / 2,
    );
    await delay.waitFor(clock, { delayMs: keptMs });
    state.isClosed = true;
    callers.close();
    callers.closeIdleConnections();
    log.info("Takes no new requests", { open: state.openRequests });
    while (state.openRequests > 0 && clock.now() < endAtMs) {
      await delay.waitFor(clock, { delayMs: drainPollMs });
    }
    log.info("Stopped", { open: state.openRequests });
    abort.abort();
    for (const server of [callers, readiness, directory, shown]) {
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
    }
  };
  reload.followSettings({
    settings,
    reload: options.reload,
    logger: log,
    reloadableKeys: ["seeds"],
    apply: (changed) => roster.addSeeds(listPeers(changed)),
  });
  await Promise.all([
    listen(readiness, settings.readiness),
    listen(directory, settings.directory),
    listen(shown, settings.metrics),
  ]);
  await viewReady;
  await listen(callers, settings.callers);
  isReady = true;
  roster.setState({ isReady, isLeaving: false });
  log.info("Serves callers", { address: settings.callers });
  await abortSignal.waitForAbort(signal);
  await stop();
}
