/** The agent role: composes its components and runs their life cycle. */
import * as nodeCrypto from "node:crypto";
import * as random from "@anvilhinge/coordination/random";
import * as awilix from "awilix";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as connectServer from "../adapters/connect_server.ts";
import * as delay from "../adapters/delay.ts";
import * as engineHttp from "../adapters/engine_http.ts";
import * as engineOrdersHttp from "../adapters/engine_orders_http.ts";
import * as objectStoreHttp from "../adapters/object_store_http.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import type * as engine from "../ports/engine.ts";
import type * as shutdown from "../ports/shutdown.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as process from "../settings/process.ts";
import * as logger from "../telemetry/logger.ts";
import * as tracing from "../telemetry/tracing.ts";
import * as assignmentGate from "./assignment_gate.ts";
import * as assignmentFollower from "./assignment_follower.ts";
import * as attempts from "./attempts.ts";
import * as drainedReporter from "./drained_reporter.ts";
import * as entryClient from "./entry_client.ts";
import * as orderService from "./order_service.ts";
import * as orders from "./orders.ts";
import * as overload from "./overload.ts";
import * as service from "./service.ts";

/** Adapters that replace the ones built from the settings. */
export interface AgentAdapters {
  readonly engine?: engine.Engine;
  readonly store?: objectStore.ObjectStore;
  readonly logStream?: NodeJS.WritableStream;
  /** Additional span processors; tests pass a recorder's. */
  readonly spanProcessors?: tracing.TracingOptions["spanProcessors"];
}

/** Handle of a running agent. */
export interface RunningAgent {
  /** Address for entries as `host:port`. */
  readonly address: string;
  /** Refuses new work, finishes the running attempts, then closes. */
  stop(): Promise<void>;
  /** Closes immediately. */
  kill(): void;
  /** Counts the running attempts and the undelivered finished ones. */
  countOpen(): number;
}

interface AgentComponents {
  readonly settings: process.AgentSettings;
  readonly abort: AbortController;
  readonly incarnation: string;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly engine: engine.Engine;
  readonly overloadGate: overload.OverloadGate;
  readonly store: objectStore.ObjectStore;
  readonly attempts: attempts.Attempts;
  readonly orders: orders.Orders;
  readonly service: service.AgentService;
  readonly logger: logger.Logger;
  readonly tracing: tracing.Tracing;
}

const loadIntervalMs = 100;
const expireIntervalMs = 1_000;
const drainPollIntervalMs = 50;
/** Maximum time to wait for the delivery of answers when the agent stops. */
const deliveryTimeoutMs = 10_000;
const storeTimeoutMs = 2_000;
const orderTimeoutMs = 2_000;

/** Composes the components of an agent. */
function composeAgent(
  settings: process.AgentSettings,
  adapters: AgentAdapters,
): AgentComponents {
  const container = awilix.createContainer<AgentComponents>({
    injectionMode: awilix.InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    settings: awilix.asValue(settings),
    abort: awilix.asFunction(() => new AbortController()).singleton(),
    incarnation: awilix.asValue(nodeCrypto.randomUUID()),
    scheduler: awilix.asFunction(systemScheduler.createSystemScheduler)
      .singleton(),
    random: awilix.asFunction(() =>
      random.createRandomSource(nodeCrypto.randomInt(2 ** 31))
    ).singleton(),
    overloadGate: awilix.asFunction((components: AgentComponents) =>
      overload.createOverloadGate(components.engine, {
        clock: components.scheduler,
      })
    ).singleton(),
    engine: awilix.asFunction(({ scheduler, abort }: AgentComponents) =>
      adapters.engine ?? engineHttp.createHttpEngine({
        baseUrl: settings.engine.url,
        loadIntervalMs,
        scheduler,
        signal: abort.signal,
      })
    ).singleton(),
    store: awilix.asFunction(() =>
      adapters.store ?? objectStoreHttp.createHttpObjectStore({
        baseUrl: settings.platform.objectStore,
        timeoutMs: storeTimeoutMs,
      })
    ).singleton(),
    orders: awilix.asFunction((components: AgentComponents) =>
      orders.createOrders({
        group: settings.group,
        checksFencing: settings.engine.checksFencing,
        engine: engineOrdersHttp.createHttpEngineOrders({
          baseUrl: settings.engine.url,
          timeoutMs: orderTimeoutMs,
          signal: components.abort.signal,
        }),
        store: components.store,
        scheduler: components.scheduler,
        signal: components.abort.signal,
        settleMs: orderTimeoutMs,
      })
    ).singleton(),
    attempts: awilix.asFunction((components: AgentComponents) =>
      attempts.createAttempts({
        clock: components.scheduler,
        group: settings.group,
        rank: settings.rank,
        incarnation: components.incarnation,
        readLoad: () => components.engine.readLoad(),
        isOverloaded: components.overloadGate.isOverloaded,
      })
    ).singleton(),
    service: awilix.asFunction((components: AgentComponents) =>
      service.createAgentService({
        attempts: components.attempts,
        engine: components.overloadGate.engine,
        incarnation: components.incarnation,
        clock: components.scheduler,
        tracing: components.tracing,
      })
    ).singleton(),
    logger: awilix.asFunction(() =>
      logger.createLogger({
        component: "agent",
        level: settings.log.level,
        stream: adapters.logStream,
      })
    ).singleton(),
    tracing: awilix.asFunction(() =>
      tracing.createTracing({
        role: "agent",
        instanceId: settings.id,
        settings: settings.tracing,
        spanProcessors: adapters.spanProcessors,
      })
    ).singleton(),
  });
  return container.cradle;
}

/** Cancels orphans and drops expired attempts at intervals. */
function scheduleExpiry(components: AgentComponents): void {
  for (const attemptId of components.attempts.expire()) {
    components.service.cancelEngine(attemptId);
  }
  components.scheduler.schedule(() => scheduleExpiry(components), {
    delayMs: expireIntervalMs,
    signal: components.abort.signal,
  });
}

/** Starts an agent; resolves once it accepts connections. */
export async function startAgent(
  settings: process.AgentSettings,
  adapters: AgentAdapters = {},
): Promise<RunningAgent> {
  const components = composeAgent(settings, adapters);
  const { abort, attempts, logger, scheduler } = components;
  const { signal } = abort;
  const address = await connectServer.startConnectServer({
    routes: (router) => {
      components.service.routes(router);
      const { group, rank } = settings;
      const { orders } = components;
      orderService.registerOrderRoutes(router, { group, rank, orders });
    },
    ...settings.address,
    signal,
    onFailure: (call, message) =>
      logger.warnOnce(call, `Call ${call} failed: ${message}`),
  }).catch((error) => {
    // The timer that reads the engine's load would keep the process alive.
    abort.abort();
    throw error;
  });
  const gate = assignmentGate.createAssignmentGate({
    group: settings.group,
    store: components.store,
    onAssignment(received) {
      attempts.setAssignment(received);
      components.orders.raiseEpoch(received.epoch);
    },
  });
  const commonOptions = {
    group: settings.group,
    rank: settings.rank,
    incarnation: components.incarnation,
    listEntries: () => settings.entries,
    scheduler,
    random: components.random,
    signal,
  };
  drainedReporter.startReporter({
    ...commonOptions,
    attempts,
    send: entryClient.createReportSender({ signal }),
  });
  assignmentFollower.followAssignment({
    ...commonOptions,
    onAssignment: gate.receive,
    onDisconnect: (entry) =>
      logger.warnOnce(entry, `Assignment stream from entry ${entry} ended`),
  });
  scheduleExpiry(components);
  logger.info(
    `Serves rank ${settings.rank} of group ${settings.group} on ${address}`,
  );

  /** Whether entries still read answers or have not fetched all of them. */
  function hasUndeliveredAnswers(): boolean {
    return components.service.countStreams() > 0 ||
      attempts.countUndelivered() > 0;
  }

  return {
    address,
    async stop() {
      attempts.stop();
      logger.info(`Stopping; ${attempts.countRunning()} attempts in flight`);
      while (attempts.countRunning() > 0) {
        await delay.waitFor(scheduler, { delayMs: drainPollIntervalMs });
      }
      const deliverByMs = scheduler.now() + deliveryTimeoutMs;
      while (hasUndeliveredAnswers() && scheduler.now() < deliverByMs) {
        await delay.waitFor(scheduler, { delayMs: drainPollIntervalMs });
      }
      await components.tracing.stop();
      abort.abort();
      logger.info("Stopped");
    },
    kill: () => abort.abort(),
    countOpen: () => attempts.countRunning() + attempts.countUndelivered(),
  };
}

/** Runs an agent until the signal aborts, then stops it gracefully. */
export async function runAgent(
  settings: process.AgentSettings,
  options: shutdown.RunRoleOptions,
): Promise<void> {
  const agent = await startAgent(settings);
  options.registerWorkDescriber?.(() => `${agent.countOpen()} attempts`);
  await abortSignal.waitForAbort(options.signal);
  await agent.stop();
}
