/** Composition of the agent beside a rank of a routed service. */
import * as nodeCrypto from "node:crypto";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as hostPort from "../adapters/address.ts";
import * as datagrams from "../adapters/datagrams.ts";
import * as delay from "../adapters/delay.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import type * as routingView from "../entry/routing/routing_view.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as rankEngine from "../ports/rank_engine.ts";
import * as reload from "../settings/reload.ts";
import type * as routedProcess from "../settings/routed_process.ts";
import * as routedLogger from "../telemetry/routed_logger.ts";
import * as rankAgent from "./ranks/rank_agent.ts";

/** Adapters between the agent and one platform. */
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
  readonly reload: reload.SettingsReload<routedProcess.RoutedAgentSettings>;
  /** Asks for a graceful stop. */
  readonly signal: AbortSignal;
}

/** Longest wait for the engine on the own machine. */
const engineTimeoutMs = 60;
/** Orders take effect or get lost; a repetition is harmless. */
const engineOrderTimeoutMs = 30;
/** Longest wait for the engine beside another agent. */
const distantTimeoutMs = 200;
/** Time between two reads of the store while something is unknown. */
const storeRetryMs = 1_000;
/** Time between two reads of the list of upstreams. */
const storeRefreshMs = 15_000;

/** Runs the agent until it is asked to stop. */
export async function runRoutedAgent(
  { settings, platform, signal: asked, ...options }: RoutedAgentOptions,
): Promise<void> {
  const abort = new AbortController();
  const { signal } = abort;
  const clock = systemScheduler.createSystemScheduler();
  const log = routedLogger.createRoutedLogger({
    part: "agent",
    level: settings.log.level,
    clock,
  });
  const store = platform.createStore({
    address: settings.store,
    scheduler: clock,
    signal,
  });
  const own = hostPort.parseAddress(settings.peers);
  let addresses: readonly string[] = [];
  let spec: rankAgent.GroupSpec | undefined;
  let handleMessage: rankAgent.RankAgent["handleMessage"] = () => {};
  const sockets = await datagrams.openDatagrams({
    address: settings.peers,
    signal,
    onFailure: (reason) => log.warnOnce(`datagrams/${reason}`, reason),
    onMessage(message, from) {
      if (rankAgent.isRankMessage(message)) handleMessage(message, from);
    },
  });

  /** Learns the group's engines and where the other agents listen. */
  async function readStore(): Promise<boolean> {
    const [routingList, upstreams] = await Promise.all([
      spec === undefined
        ? store.list(platform.source.routingPrefix, { allowsStale: true })
        : undefined,
      store.list(platform.source.upstreamsPrefix, { allowsStale: true }),
    ]);
    const found = routingList?.kind === "listed"
      ? routingList.objects.flatMap((object) =>
        platform.source.decodeRouting(object) ?? []
      )[0]
      : undefined;
    const engineSpec = found?.services
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
      .filter((host) => host !== own.host);
    addresses = [...new Set(hosts)].map((host) => `${host}:${own.port}`);
    return spec !== undefined && addresses.length > 0;
  }

  async function followStore(): Promise<void> {
    while (!signal.aborted) {
      const isKnown = await readStore();
      await delay.waitFor(clock, {
        delayMs: isKnown ? storeRefreshMs : storeRetryMs,
        signal,
      });
    }
  }

  log.info("Starts", { id: settings.id, upstream: settings.upstream });
  reload.followSettings({
    settings,
    reload: options.reload,
    logger: log,
    applied: [],
    apply: () => {},
  });
  void followStore();
  ({ handleMessage } = rankAgent.startRankAgent({
    engine: platform.createRankEngine({
      address: settings.upstream,
      readTimeoutMs: engineTimeoutMs,
      orderTimeoutMs: engineOrderTimeoutMs,
      signal,
    }),
    engineAddress: settings.upstream,
    openEngine: (address) =>
      platform.createRankEngine({
        address,
        readTimeoutMs: distantTimeoutMs,
        orderTimeoutMs: distantTimeoutMs,
        signal,
      }),
    sockets,
    scheduler: clock,
    logger: log,
    incarnation: nodeCrypto.randomUUID(),
    isFirstStart: settings.isFirstStart,
    readWallMs: Date.now,
    getSpec: () => spec,
    listAddresses: () => addresses,
    signal,
  }));
  await abortSignal.waitForAbort(asked);
  log.info("Stopped");
  abort.abort();
}
