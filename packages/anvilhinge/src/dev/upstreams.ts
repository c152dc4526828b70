/** Starts the stand-in and the agents of one group on loopback. */
import type * as random from "@anvilhinge/coordination/random";
import * as agent from "../agent/mod.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as objects from "../settings/objects.ts";
import type * as process from "../settings/process.ts";
import * as faults from "../stand_ins/faults.ts";
import * as modelEngine from "../stand_ins/model_engine.ts";
import * as modelEngineHttp from "../stand_ins/model_engine_http.ts";
import * as plainService from "../stand_ins/plain_service.ts";
import * as plainServiceHttp from "../stand_ins/plain_service_http.ts";

/** Platform addresses that the settings require; a local system ignores them. */
export interface PlatformAddresses {
  readonly objectStore: string;
  readonly instanceList: string;
}

/** A running group: its agents, its stand-in and the fault switches. */
export interface RunningGroup {
  readonly name: string;
  readonly agents: readonly agent.RunningAgent[];
  /** Set when the group serves a model. */
  readonly engine?: modelEngine.ModelEngine;
  /** Set when the group serves a plain service. */
  readonly service?: plainService.PlainService;
  /** Fault switch of each rank; a plain service has only one for all ranks. */
  readonly faults: readonly faults.FaultSwitch[];
}

export interface GroupOptions {
  readonly name: string;
  readonly group: objects.Group;
  /** Control addresses of the entries to follow. */
  readonly entries: readonly string[];
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly signal: AbortSignal;
  readonly stepMs: number;
  readonly logLevel: process.LogLevel;
  readonly logStream?: NodeJS.WritableStream;
  readonly spanProcessors?: agent.AgentAdapters["spanProcessors"];
  readonly platform: PlatformAddresses;
  readonly store: objectStore.ObjectStore;
}

interface StandIn {
  readonly engine?: modelEngine.ModelEngine;
  readonly service?: plainService.PlainService;
  /** Base URLs of the stand-ins behind the agents, by rank. */
  readonly urls: readonly string[];
  readonly faults: readonly faults.FaultSwitch[];
}

const listenOptions = { host: "127.0.0.1", port: 0 };

async function startModel(
  options: GroupOptions,
  rankCount: number,
): Promise<StandIn> {
  const engine = modelEngine.createModelEngine({
    scheduler: options.scheduler,
    random: options.random,
    rankCount,
    stepMs: options.stepMs,
  });
  const switches = Array.from({ length: rankCount }, faults.createFaultSwitch);
  const addresses = await Promise.all(
    switches.map((faultSwitch, rank) =>
      modelEngineHttp.createModelEngineHttp({
        engine,
        rank,
        faults: faultSwitch,
        scheduler: options.scheduler,
      }).listen({ ...listenOptions, signal: options.signal })
    ),
  );
  const urls = addresses.map((address) => address.baseUrl);
  return { engine, urls, faults: switches };
}

async function startService(options: GroupOptions): Promise<StandIn> {
  const service = plainService.createPlainService({ clock: options.scheduler });
  const faultSwitch = faults.createFaultSwitch();
  const address = await plainServiceHttp.createPlainServiceHttp({
    service,
    faults: faultSwitch,
    scheduler: options.scheduler,
  }).listen({ ...listenOptions, signal: options.signal });
  return { service, urls: [address.baseUrl], faults: [faultSwitch] };
}

/** Starts the stand-in of a group and an agent for each rank. */
export async function startGroup(options: GroupOptions): Promise<RunningGroup> {
  const { group, name } = options;
  const standIn = group.kind === "model"
    ? await startModel(options, group.ranks.length)
    : await startService(options);
  const agents = await Promise.all(
    group.ranks.map((rank, index) =>
      agent.startAgent({
        id: `${name}-${index}`,
        group: name,
        rank: index,
        address: listenOptions,
        failureDomain: rank.failureDomain,
        region: rank.region,
        entries: options.entries,
        platform: options.platform,
        engine: {
          url: standIn.urls[index] ?? "",
          kind: group.kind,
          checksFencing: true,
        },
        tracing: { exporter: "none" },
        log: { level: options.logLevel },
      }, {
        logStream: options.logStream,
        spanProcessors: options.spanProcessors,
        store: options.store,
      })
    ),
  );
  return { name, agents, ...standIn };
}
