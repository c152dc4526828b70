/** Composition of the agent beside a rank of a routed service. */
import * as nodeCrypto from "node:crypto";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as hostPort from "../adapters/address.ts";
import * as datagrams from "../adapters/datagrams.ts";
import * as delay from "../adapters/delay.ts";
import * as loopDelay from "../telemetry/loop_delay.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import type * as routingView from "../entry/routing/routing_view.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as rankEngine from "../ports/rank_engine.ts";
import * as reload from "../settings/reload.ts";
import type * as routedProcess from "../settings/routed_process.ts";
import * as routedLogger from "../telemetry/routed_logger.ts";
import * as rankAgent from "./ranks/rank_agent.ts";

/** Adapters of the agent for one platform. */
export interface AgentPlatform {
  createStore(options: objectStore.StoreOptions): objectStore.ObjectStore;
  readonly source: routingView.RoutingSource;
  createRankEngine(
    options: rankEngine.RankEngineOptions,
  ): rankEngine.RankEngine;
}

export interface RoutedAgentOptions {
  readonly settings: routedProcess.RoutedAgentSettings;
  readonly platform: AgentPlatform;
  readonly reload: reload.SettingsReloader<routedProcess.RoutedAgentSettings>;
  /** Stops the agent when it aborts. */
  readonly signal: AbortSignal;
}

/** Read timeout of the engine on the local machine. */
const engineReadTimeoutMs = 60;
/** Short, because lost orders are sent again and repetitions are harmless. */
const engineOrderTimeoutMs = 30;
/** Timeouts of the engine beside another agent. */
const remoteReadTimeoutMs = 200;
const remoteOrderTimeoutMs = 80;
/** Interval between reads of the object store while the view is incomplete. */
const storeRetryIntervalMs = 1_000;
/** Interval between reads of the list of upstreams. */
const storeRefreshIntervalMs = 15_000;

/** Runs the agent until a stop is requested. */
export async function runRoutedAgent(
  { settings, platform, signal: stopSignal, ...options }: RoutedAgentOptions,
): Promise<void> {
  const abort = new AbortController();
  const { signal } = abort;
  const clock = systemScheduler.createSystemScheduler();
  const log = routedLogger.createRoutedLogger({
    component: "agent",
    level: settings.log.level,
    clock,
  });
  const store = platform.createStore({
    address: settings.store,
    scheduler: clock,
    signal,
  });
  // The address at which the other agents reach this agent.
  const ownAddress = hostPort.parseAddress(settings.peers);
  // Entries listen on the same port as agents.
  const entryAddresses = settings.seeds.map((seed) =>
    `${hostPort.parseAddress(seed).host}:${ownAddress.port}`
  );
  let addresses: readonly string[] = [];
  let spec: rankAgent.GroupSpec | undefined;
  // Set once the rank agent exists; earlier messages are dropped.
  let handleMessage: rankAgent.RankAgent["handleMessage"] = () => {};
  const sockets = await datagrams.openDatagrams({
    address: settings.peers,
    signal,
    onFailure: (reason) => log.warnOnce(`datagrams/${reason}`, reason),
    onMessage(message, from) {
      if (rankAgent.isRankMessage(message)) handleMessage(message, from);
    },
  });

  /** Reads the group's spec and the other agents' addresses from the store. */
  async function updateGroupView(): Promise<boolean> {
    const [routingList, upstreams] = await Promise.all([
      spec === undefined
        ? store.list(platform.source.routingPrefix, { allowsStale: true })
        : undefined,
      store.list(platform.source.upstreamsPrefix, { allowsStale: true }),
    ]);
    const routing = routingList?.kind === "listed"
      ? routingList.objects.flatMap((object) =>
        platform.source.decodeRouting(object) ?? []
      )[0]
      : undefined;
    const engineSpec = routing?.services
      .find(({ name }) => name === settings.service)?.engine;
    if (engineSpec?.experts !== undefined) {
      const { experts, slots, reportLagMs } = engineSpec;
      spec ??= { experts, slots, reportLagMs };
    }
    if (upstreams.kind === "unavailable") return false;
    const hosts = upstreams.objects
      .flatMap((object) => platform.source.decodeUpstream(object) ?? [])
      .filter(({ service }) => service === settings.service)
      .map(({ address }) => hostPort.parseAddress(address).host)
      .filter((host) => host !== ownAddress.host);
    // All agents of a service listen on the same port.
    addresses = [...new Set(hosts)].map((host) => `${host}:${ownAddress.port}`);
    return spec !== undefined && addresses.length > 0;
  }

  async function followStore(): Promise<void> {
    while (!signal.aborted) {
      const isComplete = await updateGroupView();
      await delay.waitFor(clock, {
        delayMs: isComplete ? storeRefreshIntervalMs : storeRetryIntervalMs,
        signal,
      });
    }
  }

  log.info("Starts", { id: settings.id, upstream: settings.upstream });
  reload.followSettings({
    settings,
    reload: options.reload,
    logger: log,
    reloadableKeys: [],
    apply: () => {},
  });
  void followStore();
  ({ handleMessage } = rankAgent.startRankAgent({
    engine: platform.createRankEngine({
      address: settings.upstream,
      readTimeoutMs: engineReadTimeoutMs,
      orderTimeoutMs: engineOrderTimeoutMs,
      signal,
    }),
    engineAddress: settings.upstream,
    openEngine: (address) =>
      platform.createRankEngine({
        address,
        readTimeoutMs: remoteReadTimeoutMs,
        orderTimeoutMs: remoteOrderTimeoutMs,
        signal,
      }),
    sockets,
    measureMessage: (message) => datagrams.encodeMessage(message).byteLength,
    scheduler: clock,
    logger: log,
    incarnation: nodeCrypto.randomUUID(),
    isFirstStart: settings.isFirstStart,
    readWallMs: Date.now,
    takeLoopDelayMs: loopDelay.createLoopDelayMeter({ signal }),
    getSpec: () => spec,
    listAddresses: () => addresses,
    listEntries: () => entryAddresses,
    signal,
  }));
  await abortSignal.waitForAbort(stopSignal);
  // There are no requests to finish: entries call the upstream directly.
  log.info("Stopped");
  // A hold that this agent leaves behind is ended by the next leader.
  abort.abort();
}
