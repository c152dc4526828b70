/** The entry role: composes its parts and runs its life cycle. */
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

/** Adapters that replace the ones built from the settings. */
export interface EntryAdapters {
  readonly store?: objectStore.ObjectStore;
  readonly instances?: instanceList.InstanceList;
  readonly logStream?: NodeJS.WritableStream;
  /** Further takers of spans; tests pass a recorder's. */
  readonly spanProcessors?: tracing.TracingOptions["spanProcessors"];
}

/** An entry that is running. */
export interface RunningEntry {
  /** Callers' and operators' address as `host:port`. */
  readonly address: string;
  readonly controlAddress: string;
  /** Finishes the requests in progress, then closes. */
  stop(): Promise<void>;
  /** Closes at once. */
  kill(): void;
  /** Requests in progress. */
  countOpenRequests(): number;
}

/** Members as the gossip node sees them; empty until it is started. */
interface MembersView {
  list: context.EntryContext["listMembers"];
  publishLeaving: () => void;
}

interface Parts extends context.EntryContext {
  readonly abort: AbortController;
  readonly instances: instanceList.InstanceList;
  readonly control: controlService.ControlService;
  readonly duties: controlDuties.ControlDuties;
  readonly peers: gossipClient.GossipClient;
  readonly membersView: MembersView;
}

const weightIntervalMs = 5_000;
const drainPollMs = 50;
/** Longest wait at a stop for outcomes to be recorded. */
const recordWaitMs = 5_000;
const platformTimeoutMs = 2_000;

/** Registers the parts of an entry. */
function composeParts(
  settings: process.EntrySettings,
  adapters: EntryAdapters,
): Parts {
  const container = awilix.createContainer<Parts>({
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
    policy: awilix.asFunction((parts: Parts) =>
      dispatchPolicy.createDispatchPolicy({
        scheduler: parts.scheduler,
        random: parts.random,
        logger: parts.logger,
        metrics: parts.metrics,
        findLimits: (workspace) =>
          parts.catalog.findWorkspace(settings.half, workspace)?.settings
            .limits,
        listMembers: parts.listMembers,
        nodeId: settings.id,
        location: settings,
        signal: parts.abort.signal,
      })
    ).singleton(),
    upstreams: awilix.asFunction(({ policy }: Parts) => policy.upstreams)
      .singleton(),
    client: awilix.asFunction(({ abort }: Parts) =>
      agentClient.createAgentClient({ signal: abort.signal })
    ).singleton(),
    descriptions: awilix.asFunction(({ scheduler, client }: Parts) =>
      descriptionCache.createDescriptionCache({ clock: scheduler, client })
    ).singleton(),
    readWallMs: awilix.asValue(Date.now),
    claims: awilix.asFunction((parts: Parts) =>
      claimStore.createClaimStore({
        store: parts.store,
        scheduler: parts.scheduler,
        random: parts.random,
        readWallMs: parts.readWallMs,
        half: settings.half,
        signal: parts.abort.signal,
      })
    ).singleton(),
    control: awilix.asFunction(({ upstreams, duties }: Parts) =>
      controlService.createControlService({
        findAssignment: upstreams.findAssignment,
        duties,
      })
    ).singleton(),
    duties: awilix.asFunction((parts: Parts) =>
      controlDuties.createControlDuties(parts, { signal: parts.abort.signal })
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
    membersView: awilix.asValue<MembersView>({
      list: () => [],
      publishLeaving: () => {},
    }),
    listMembers: awilix.asFunction(({ membersView }: Parts) => () =>
      membersView.list()
    ).singleton(),
    peers: awilix.asFunction(({ abort }: Parts) =>
      gossipClient.createGossipClient({
        half: settings.half,
        timeoutMs: gossip.replyTimeoutMs,
        signal: abort.signal,
      })
    ).singleton(),
  });
  return container.cradle;
}

function createApp(parts: Parts): Koa {
  const app = new Koa();
  app.on(
    "error",
    (error: Error) =>
      parts.logger.warnOnce(error.message, `Request failed: ${error.message}`),
  );
  app.use(callersHttp.createCallersRouter(parts).routes());
  app.use(operatorsHttp.createOperatorsRouter(parts).routes());
  app.use(movesHttp.createMovesRouter(parts).routes());
  const drains = drainsHttp.createDrainsRouter({
    entry: parts,
    publishLeaving: () => parts.membersView.publishLeaving(),
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

/** Starts the exchange with the other entries. */
function startNode(
  parts: Parts,
  options: {
    readonly address: string;
    readonly controlAddress: string;
    readonly onReady: () => void;
  },
): gossipNode.GossipNode {
  const { settings } = parts;
  const entryView = replicaApplier.createReplicaApplier({
    entry: parts,
    onAssignment: parts.control.publish,
  });
  return gossipNode.startGossipNode({
    ...parts,
    self: {
      id: settings.id,
      address: options.address,
      controlAddress: options.controlAddress,
      failureDomain: settings.failureDomain,
      // Raised when the view is confirmed.
      weight: 0,
    },
    half: settings.half,
    incarnation: Date.now(),
    client: parts.peers,
    signal: parts.abort.signal,
    onApply: entryView.apply,
    onReady: options.onReady,
  });
}

/** Tells the others which share of workspaces this entry should get. */
function reportWeight(
  node: gossipNode.GossipNode,
  { scheduler, abort }: Parts,
): void {
  let weight = loadWeight.fullWeight;
  let last = performance.eventLoopUtilization();
  node.setWeight(weight);

  function update(): void {
    const present = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(present, last);
    last = present;
    const next = loadWeight.computeWeight(weight, utilization);
    if (next !== weight) node.setWeight(next);
    weight = next;
    scheduleUpdate();
  }

  function scheduleUpdate(): void {
    const { signal } = abort;
    scheduler.schedule(update, { delayMs: weightIntervalMs, signal });
  }

  scheduleUpdate();
}

/** Starts an entry; resolves when it listens and has confirmed its view. */
export async function startEntry(
  settings: process.EntrySettings,
  adapters: EntryAdapters = {},
): Promise<RunningEntry> {
  const parts = composeParts(settings, adapters);
  const { abort, state, logger, scheduler } = parts;
  const { signal } = abort;
  const address = await httpServer.startHttpServer({
    app: createApp(parts),
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
      parts.control.routes(router);
      gossipRoutes(router);
    },
    ...settings.controlAddress,
    signal,
    onFailure: (call, message) =>
      logger.warnOnce(call, `Call ${call} failed: ${message}`),
  }).catch((error) => {
    // What listens already would keep the process alive.
    abort.abort();
    throw error;
  });
  await new Promise<void>((resolve) => {
    node = startNode(parts, { address, controlAddress, onReady: resolve });
    parts.membersView.list = node.listMembers;
    parts.membersView.publishLeaving = node.publishLeaving;
  });
  state.isReady = true;
  if (node !== undefined) reportWeight(node, parts);
  parts.duties.start(controlAddress);
  logger.info(`Serves callers on ${address} and agents on ${controlAddress}`);

  return {
    address,
    controlAddress,
    async stop() {
      state.isLeaving = true;
      node?.publishLeaving();
      logger.info("Stops being handed out");
      await parts.duties.stop();
      await delay.waitFor(scheduler, { delayMs: settings.addressAnswerTtlMs });
      state.isClosed = true;
      logger.info(`Finishes ${state.openRequests} requests`);
      while (state.openRequests > 0) {
        await delay.waitFor(scheduler, { delayMs: drainPollMs });
      }
      const recordByMs = scheduler.now() + recordWaitMs;
      while (parts.claims.countPending() > 0 && scheduler.now() < recordByMs) {
        await delay.waitFor(scheduler, { delayMs: drainPollMs });
      }
      await parts.tracing.stop();
      abort.abort();
      logger.info("Stopped");
    },
    kill: () => abort.abort(),
    countOpenRequests: () => state.openRequests,
  };
}

/** Runs an entry until the signal aborts, then stops it gracefully. */
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
