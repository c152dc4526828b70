/** The entry role: composes its components and runs their life cycle. */
import * as nodeCrypto from "node:crypto";
import { performance } from "node:perf_hooks";
import * as gossip from "@anvilhinge/coordination/gossip";
import * as random from "@anvilhinge/coordination/random";
import * as awilix from "awilix";
import Koa from "koa";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as connectServer from "../adapters/connect_server.ts";
import * as delay from "../adapters/delay.ts";
import * as httpServer from "../adapters/http_server.ts";
import * as instanceListHttp from "../adapters/instance_list_http.ts";
import * as objectStoreHttp from "../adapters/object_store_http.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import type * as instanceList from "../ports/instance_list.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as process from "../settings/process.ts";
import * as logger from "../telemetry/logger.ts";
import * as metrics from "../telemetry/metrics.ts";
import * as tracing from "../telemetry/tracing.ts";
import type * as shutdown from "../ports/shutdown.ts";
import * as agentClient from "./session/agent_client.ts";
import * as descriptionCache from "./session/description_cache.ts";
import * as callersHttp from "./callers/callers_http.ts";
import * as catalog from "./choice/catalog.ts";
import * as claimStore from "./session/claim_store.ts";
import type * as context from "./context.ts";
import * as controlDuties from "./control/control_duties.ts";
import * as controlService from "./control/control_service.ts";
import * as movesHttp from "./operators/moves_http.ts";
import * as drainsHttp from "./operators/drains_http.ts";
import * as gossipClient from "./control/gossip_client.ts";
import * as gossipNode from "./control/gossip_node.ts";
import * as gossipService from "./control/gossip_service.ts";
import * as loadWeight from "./choice/load_weight.ts";
import * as operatorsHttp from "./operators/operators_http.ts";
import * as replicaApplier from "./control/replica_applier.ts";
import * as dispatchPolicy from "./choice/dispatch_policy.ts";

/** Adapters that replace those built from the settings. */
export interface EntryAdapters {
  readonly store?: objectStore.ObjectStore;
  readonly instances?: instanceList.InstanceList;
  readonly logStream?: NodeJS.WritableStream;
  /** Additional span processors, for example the recorder of a test. */
  readonly spanProcessors?: tracing.TracingOptions["spanProcessors"];
}

/** A running entry. */
export interface RunningEntry {
  /** Address for callers and operators as `host:port`. */
  readonly address: string;
  readonly controlAddress: string;
  /** Stops gracefully: finishes the requests in progress, then closes. */
  stop(): Promise<void>;
  /** Closes immediately, without finishing the requests in progress. */
  kill(): void;
  /** Returns the number of requests in progress. */
  countOpenRequests(): number;
}

/** Access to the gossip node; has no members or effect before its start. */
interface GossipAccess {
  listMembers: context.EntryContext["listMembers"];
  publishLeaving: () => void;
}

interface Components extends context.EntryContext {
  readonly abort: AbortController;
  readonly instances: instanceList.InstanceList;
  readonly control: controlService.ControlService;
  readonly duties: controlDuties.ControlDuties;
  readonly peerClient: gossipClient.GossipClient;
  readonly gossipAccess: GossipAccess;
}

const weightUpdateIntervalMs = 5_000;
const drainPollIntervalMs = 50;
/** Longest wait during a stop for the outcomes of calls to be recorded. */
const maxOutcomeWaitMs = 5_000;
const platformTimeoutMs = 2_000;

/** Registers the components of an entry in a dependency container. */
function composeComponents(
  settings: process.EntrySettings,
  adapters: EntryAdapters,
): Components {
  const container = awilix.createContainer<Components>({
    injectionMode: awilix.InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    settings: awilix.asValue(settings),
    abort: awilix.asFunction(() => new AbortController()).singleton(),
    scheduler: awilix.asFunction(systemScheduler.createSystemScheduler)
      .singleton(),
    random: awilix.asFunction(() =>
      random.createRandomSource(nodeCrypto.randomInt(2 ** 31))
    ).singleton(),
    createId: awilix.asValue(() => nodeCrypto.randomUUID()),
    store: awilix.asFunction(() =>
      adapters.store ?? objectStoreHttp.createHttpObjectStore({
        baseUrl: settings.platform.objectStore,
        timeoutMs: platformTimeoutMs,
      })
    ).singleton(),
    instances: awilix.asFunction(() =>
      adapters.instances ?? instanceListHttp.createHttpInstanceList({
        baseUrl: settings.platform.instanceList,
        timeoutMs: platformTimeoutMs,
      })
    ).singleton(),
    catalog: awilix.asFunction(catalog.createCatalog).singleton(),
    policy: awilix.asFunction((components: Components) =>
      dispatchPolicy.createDispatchPolicy({
        scheduler: components.scheduler,
        random: components.random,
        logger: components.logger,
        metrics: components.metrics,
        findLimits: (workspace) =>
          components.catalog.findWorkspace(settings.half, workspace)?.settings
            .limits,
        listMembers: components.listMembers,
        nodeId: settings.id,
        location: settings,
        signal: components.abort.signal,
      })
    ).singleton(),
    upstreams: awilix.asFunction(({ policy }: Components) => policy.upstreams)
      .singleton(),
    client: awilix.asFunction(({ abort }: Components) =>
      agentClient.createAgentClient({ signal: abort.signal })
    ).singleton(),
    descriptions: awilix.asFunction(({ scheduler, client }: Components) =>
      descriptionCache.createDescriptionCache({ clock: scheduler, client })
    ).singleton(),
    readWallMs: awilix.asValue(Date.now),
    claims: awilix.asFunction((components: Components) =>
      claimStore.createClaimStore({
        store: components.store,
        scheduler: components.scheduler,
        random: components.random,
        readWallMs: components.readWallMs,
        half: settings.half,
        signal: components.abort.signal,
      })
    ).singleton(),
    control: awilix.asFunction(({ upstreams, duties }: Components) =>
      controlService.createControlService({
        findAssignment: upstreams.findAssignment,
        duties,
      })
    ).singleton(),
    duties: awilix.asFunction((components: Components) =>
      controlDuties.createControlDuties(components, {
        signal: components.abort.signal,
      })
    ).singleton(),
    logger: awilix.asFunction(() =>
      logger.createLogger({
        component: "entry",
        level: settings.log.level,
        stream: adapters.logStream,
      })
    ).singleton(),
    metrics: awilix.asFunction(metrics.createMetrics).singleton(),
    tracing: awilix.asFunction(() =>
      tracing.createTracing({
        role: "entry",
        instanceId: settings.id,
        settings: settings.tracing,
        spanProcessors: adapters.spanProcessors,
      })
    ).singleton(),
    state: awilix.asValue<context.EntryState>({
      isReady: false,
      isLeaving: false,
      isClosed: false,
      openRequests: 0,
    }),
    gossipAccess: awilix.asValue<GossipAccess>({
      listMembers: () => [],
      publishLeaving: () => {},
    }),
    listMembers: awilix.asFunction(({ gossipAccess }: Components) => () =>
      gossipAccess.listMembers()
    ).singleton(),
    peerClient: awilix.asFunction(({ abort }: Components) =>
      gossipClient.createGossipClient({
        half: settings.half,
        timeoutMs: gossip.replyTimeoutMs,
        signal: abort.signal,
      })
    ).singleton(),
  });
  return container.cradle;
}

function createApp(components: Components): Koa {
  const app = new Koa();
  app.on(
    "error",
    (error: Error) =>
      components.logger.warnOnce(
        error.message,
        `Request failed: ${error.message}`,
      ),
  );
  app.use(callersHttp.createCallersRouter(components).routes());
  app.use(operatorsHttp.createOperatorsRouter(components).routes());
  app.use(movesHttp.createMovesRouter(components).routes());
  const drains = drainsHttp.createDrainsRouter({
    entry: components,
    publishLeaving: () => components.gossipAccess.publishLeaving(),
  });
  app.use(drains.routes());
  app.use((koa) => {
    koa.status = 404;
    koa.body = {
      error: {
        code: "not_found",
        message: `No such route: ${koa.method} ${koa.path}`,
      },
    };
  });
  return app;
}

/** Starts gossip with the other entries. */
function startGossip(
  components: Components,
  options: {
    readonly address: string;
    readonly controlAddress: string;
    readonly onReady: () => void;
  },
): gossipNode.GossipNode {
  const { settings } = components;
  const applier = replicaApplier.createReplicaApplier({
    entry: components,
    onAssignment: components.control.publish,
  });
  return gossipNode.startGossipNode({
    ...components,
    self: {
      id: settings.id,
      address: options.address,
      controlAddress: options.controlAddress,
      failureDomain: settings.failureDomain,
      // 0 = not ready; `publishWeight` raises it once the replica is confirmed.
      weight: 0,
    },
    half: settings.half,
    incarnation: Date.now(),
    client: components.peerClient,
    signal: components.abort.signal,
    onApply: applier.apply,
    onReady: options.onReady,
  });
}

/**
 * Publishes the share of workspaces that this entry should get, computed from
 * the utilization of its event loop. The first weight marks the entry as ready:
 * address answers of all entries may list it from then on.
 */
function publishWeight(
  node: gossipNode.GossipNode,
  { scheduler, abort }: Components,
): void {
  let weight = loadWeight.fullWeight;
  let previous = performance.eventLoopUtilization();
  node.setWeight(weight);

  function update(): void {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, previous);
    previous = current;
    const nextWeight = loadWeight.computeWeight(weight, utilization);
    if (nextWeight !== weight) node.setWeight(nextWeight);
    weight = nextWeight;
    scheduleUpdate();
  }

  function scheduleUpdate(): void {
    const { signal } = abort;
    scheduler.schedule(update, { delayMs: weightUpdateIntervalMs, signal });
  }

  scheduleUpdate();
}

/**
 * Starts an entry; resolves when it listens and has confirmed its replica of
 * settings and assignments.
 */
export async function startEntry(
  settings: process.EntrySettings,
  adapters: EntryAdapters = {},
): Promise<RunningEntry> {
  const components = composeComponents(settings, adapters);
  const { abort, state, logger, scheduler } = components;
  const { signal } = abort;
  const address = await httpServer.startHttpServer({
    app: createApp(components),
    ...settings.address,
    signal,
  });
  let node: gossipNode.GossipNode | undefined;
  const gossipRoutes = gossipService.createGossipRoutes({
    half: settings.half,
    handleRequest: (request) => node?.handleRequest(request),
  });
  const controlAddress = await connectServer.startConnectServer({
    routes(router) {
      components.control.routes(router);
      gossipRoutes(router);
    },
    ...settings.controlAddress,
    signal,
    onFailure: (call, message) =>
      logger.warnOnce(call, `Incoming call ${call} failed: ${message}`),
  }).catch((error) => {
    // A server that already listens would keep the process alive.
    abort.abort();
    throw error;
  });
  await new Promise<void>((resolve) => {
    node = startGossip(components, {
      address,
      controlAddress,
      onReady: resolve,
    });
    components.gossipAccess.listMembers = node.listMembers;
    components.gossipAccess.publishLeaving = node.publishLeaving;
  });
  state.isReady = true;
  if (node !== undefined) publishWeight(node, components);
  components.duties.start(controlAddress);
  logger.info(`Serves callers on ${address} and agents on ${controlAddress}`);

  return {
    address,
    controlAddress,
    async stop() {
      state.isLeaving = true;
      node?.publishLeaving();
      logger.info("Stopping: address answers now omit this entry");
      await components.duties.stop();
      // Callers use cached address answers that list this entry until they expire.
      await delay.waitFor(scheduler, { delayMs: settings.addressAnswerTtlMs });
      state.isClosed = true;
      logger.info(
        `Refusing new requests; finishing ${state.openRequests} open requests`,
      );
      while (state.openRequests > 0) {
        await delay.waitFor(scheduler, { delayMs: drainPollIntervalMs });
      }
      const outcomeDeadlineMs = scheduler.now() + maxOutcomeWaitMs;
      while (
        components.claims.countPending() > 0 &&
        scheduler.now() < outcomeDeadlineMs
      ) {
        await delay.waitFor(scheduler, { delayMs: drainPollIntervalMs });
      }
      await components.tracing.stop();
      abort.abort();
      logger.info("Stopped");
    },
    kill: () => abort.abort(),
    countOpenRequests: () => state.openRequests,
  };
}

/** Runs an entry until the signal aborts, then stops the entry gracefully. */
export async function runEntry(
  settings: process.EntrySettings,
  options: shutdown.RunRoleOptions,
): Promise<void> {
  const entry = await startEntry(settings);
  options.registerWorkDescriber?.(() =>
    `${entry.countOpenRequests()} requests`
  );
  await abortSignal.waitForAbort(options.signal);
  await entry.stop();
}
