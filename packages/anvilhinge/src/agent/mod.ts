/** The agent role: composes its parts and runs its life cycle. */
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
  /** Further takers of spans; tests pass a recorder's. */
  readonly spanProcessors?: tracing.TracingOptions["spanProcessors"];
}

/** An agent that is running. */
export interface RunningAgent {
  /** Address for entries as `host:port`. */
  readonly address: string;
  /** Refuses new work, finishes what runs, then closes. */
  stop(): Promise<void>;
  /** Closes at once. */
  kill(): void;
  /** Attempts that run, and finished ones that no entry has taken. */
  countOpen(): number;
}

interface Parts {
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
const drainPollMs = 50;
/** Longest wait at a stop for answers to be taken. */
const takeWaitMs = 10_000;
const platformTimeoutMs = 2_000;
const orderTimeoutMs = 2_000;

/** Registers the parts of an agent. */
function composeParts(
  settings: process.AgentSettings,
  adapters: AgentAdapters,
): Parts {
  const container = awilix.createContainer<Parts>({
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
    overloadGate: awilix.asFunction((parts: Parts) =>
      overload.createOverloadGate(parts.engine, { clock: parts.scheduler })
    ).singleton(),
    engine: awilix.asFunction(({ scheduler, abort }: Parts) =>
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
        timeoutMs: platformTimeoutMs,
      })
    ).singleton(),
    orders: awilix.asFunction((parts: Parts) =>
      orders.createOrders({
        group: settings.group,
        checksFencing: settings.engine.checksFencing,
        engine: engineOrdersHttp.createHttpEngineOrders({
          baseUrl: settings.engine.url,
          timeoutMs: orderTimeoutMs,
          signal: parts.abort.signal,
        }),
        store: parts.store,
        scheduler: parts.scheduler,
        signal: parts.abort.signal,
        settleMs: orderTimeoutMs,
      })
    ).singleton(),
    attempts: awilix.asFunction((parts: Parts) =>
      attempts.createAttempts({
        clock: parts.scheduler,
        group: settings.group,
        rank: settings.rank,
        incarnation: parts.incarnation,
        readLoad: () => parts.engine.readLoad(),
        isOverloaded: parts.overloadGate.isOverloaded,
      })
    ).singleton(),
    service: awilix.asFunction((parts: Parts) =>
      service.createAgentService({
        attempts: parts.attempts,
        engine: parts.overloadGate.engine,
        incarnation: parts.incarnation,
        clock: parts.scheduler,
        tracing: parts.tracing,
      })
    ).singleton(),
    logger: awilix.asFunction(() =>
      logger.createLogger({
        part: "agent",
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

/** Cancels orphans and drops old frames at intervals. */
function expireRegularly(parts: Parts): void {
  for (const attemptId of parts.attempts.expire()) {
    parts.service.cancelEngine(attemptId);
  }
  parts.scheduler.schedule(() => expireRegularly(parts), {
    delayMs: expireIntervalMs,
    signal: parts.abort.signal,
  });
}

/** Starts an agent; resolves when it listens. */
export async function startAgent(
  settings: process.AgentSettings,
  adapters: AgentAdapters = {},
): Promise<RunningAgent> {
  const parts = composeParts(settings, adapters);
  const { abort, attempts, logger, scheduler } = parts;
  const { signal } = abort;
  const address = await connectServer.startConnectServer({
    routes: (router) => {
      parts.service.routes(router);
      const { group, rank } = settings;
      const { orders } = parts;
      orderService.registerOrderRoutes(router, { group, rank, orders });
    },
    ...settings.address,
    signal,
    onFailure: (call, message) =>
      logger.warnOnce(call, `Call ${call} failed: ${message}`),
  }).catch((error) => {
    // The reading of the engine's load would keep the process alive.
    abort.abort();
    throw error;
  });
  const gate = assignmentGate.createAssignmentGate({
    group: settings.group,
    store: parts.store,
    onAssignment(received) {
      attempts.setAssignment(received);
      parts.orders.raiseEpoch(received.epoch);
    },
  });
  const following = {
    group: settings.group,
    rank: settings.rank,
    incarnation: parts.incarnation,
    listEntries: () => settings.entries,
    scheduler,
    random: parts.random,
    signal,
  };
  drainedReporter.startReporter({
    ...following,
    attempts,
    send: entryClient.createReportSender({ signal }),
  });
  assignmentFollower.followAssignment({
    ...following,
    onAssignment: gate.receive,
    onDisconnect: (lost) => logger.warnOnce(lost, `Lost the entry at ${lost}`),
  });
  expireRegularly(parts);
  logger.info(
    `Serves rank ${settings.rank} of group ${settings.group} on ${address}`,
  );

  /** Whether an entry still reads an answer, or has yet to come for one. */
  function hasReaders(): boolean {
    return parts.service.countStreams() > 0 || attempts.countUndelivered() > 0;
  }

  return {
    address,
    async stop() {
      attempts.stop();
      logger.info(`Finishes ${attempts.countRunning()} attempts`);
      while (attempts.countRunning() > 0) {
        await delay.waitFor(scheduler, { delayMs: drainPollMs });
      }
      const takeByMs = scheduler.now() + takeWaitMs;
      while (hasReaders() && scheduler.now() < takeByMs) {
        await delay.waitFor(scheduler, { delayMs: drainPollMs });
      }
      await parts.tracing.stop();
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
  options.onWork?.(() => `${agent.countOpen()} attempts`);
  await abortSignal.waitForAbort(options.signal);
  await agent.stop();
}
