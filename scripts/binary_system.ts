/**
 * Runs entries and agents as processes of the built binary, against stand-ins
 * of the platform and of one model group in this process.
 */
import * as childProcess from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import * as assignmentCodec from "../packages/anvilhinge/src/adapters/assignment_codec.ts";
import * as systemScheduler from "../packages/anvilhinge/src/adapters/system_scheduler.ts";
import * as record from "../packages/anvilhinge/src/settings/record.ts";
import * as faults from "../packages/anvilhinge/src/stand_ins/faults.ts";
import * as instanceList from "../packages/anvilhinge/src/stand_ins/instance_list.ts";
import * as instanceListHttp from "../packages/anvilhinge/src/stand_ins/instance_list_http.ts";
import * as modelEngine from "../packages/anvilhinge/src/stand_ins/model_engine.ts";
import * as modelEngineHttp from "../packages/anvilhinge/src/stand_ins/model_engine_http.ts";
import * as objectApi from "../packages/anvilhinge/src/stand_ins/object_api.ts";
import * as objectApiHttp from "../packages/anvilhinge/src/stand_ins/object_api_http.ts";

const host = "127.0.0.1";
const teamPath = "/association/drafting";
const groupName = "drafting-1";
const rankCount = 4;
const entryCount = 3;
const addressAnswerTtlMs = 200;

/** One process of the binary. */
export interface BinaryProcess {
  readonly id: string;
  /** Address for callers (entries) or for entries (agents). */
  readonly address: string;
  readonly process: childProcess.ChildProcess;
  /** Standard output and error so far. */
  readOutput(): string;
}

export interface BinarySystem {
  readonly entries: readonly BinaryProcess[];
  readonly agents: readonly BinaryProcess[];
  readonly engine: modelEngine.ModelEngine;
  /** Base URL of each rank's engine. */
  readonly engineUrls: readonly string[];
  /** Kills what still runs and closes the stand-ins. */
  close(): Promise<void>;
}

export interface BinarySystemOptions {
  readonly binary: string;
  /** Folder for the settings files. */
  readonly folder: string;
  /** Duration of an engine step without load, in milliseconds. */
  readonly stepMs: number;
}

/** Finds ports that are free now; the system chooses them. */
async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = net.createServer().listen(0, host);
      await once(server, "listening");
      return server;
    }),
  );
  const ports = servers.map((server) =>
    (server.address() as net.AddressInfo).port
  );
  for (const server of servers) server.close();
  return ports;
}

function startProcess(
  options: BinarySystemOptions,
  { id, role, address, settings }: {
    readonly id: string;
    readonly role: "entry" | "agent";
    readonly address: string;
    readonly settings: string;
  },
): BinaryProcess {
  const child = childProcess.spawn(
    options.binary,
    [role, "--settings", settings],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  let output = "";
  for (const stream of [child.stdout, child.stderr]) {
    stream.setEncoding("utf8").on("data", (text) => {
      output += text;
    });
  }
  return { id, address, process: child, readOutput: () => output };
}

/** Resolves when the process has written a line with `text`. */
export async function waitForOutput(
  running: BinaryProcess,
  text: string,
): Promise<void> {
  while (!running.readOutput().includes(text)) {
    if (running.process.exitCode !== null) {
      throw new Error(`${running.id} ended: ${running.readOutput()}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

async function writeInitialSettings(
  api: objectApi.ObjectApi,
  agents: readonly string[],
): Promise<void> {
  const texts: Readonly<Record<string, unknown>> = {
    "models/drafting": { maxTokens: 4096, timeoutMs: 60_000 },
    "workspaces/milan": {
      models: ["drafting"],
      limits: {
        requestsPerSecond: 1000,
        tokensPerSecond: 100_000,
        concurrency: 500,
      },
    },
    [`groups/${groupName}`]: {
      kind: "model",
      model: "drafting",
      ranks: agents.map((agent) => ({
        agent,
        failureDomain: "milan_a",
        region: "milan",
      })),
      expertSlotsPerRank: 20,
      layers: 4,
      experts: 64,
    },
  };
  const change = {
    changeId: "initial-settings",
    author: "test",
    at: "2026-01-01T00:00:00.000Z",
    previousVersion: 0,
  };
  for (const [name, value] of Object.entries(texts)) {
    const text = JSON.stringify(value);
    const key = record.formatKey(`${teamPath}/${name}`);
    const stored = record.buildRecord(undefined, { text, change });
    await api.write(key, stored, { ifVersion: 0 });
  }
  await api.write(`${assignmentCodec.assignmentPrefix}${groupName}`, {
    group: groupName,
    half: "association",
    epoch: 1,
    state: "serving",
  }, { ifVersion: 0 });
}

/** Starts everything; resolves when all processes serve. */
export async function startBinarySystem(
  options: BinarySystemOptions,
): Promise<BinarySystem> {
  const abort = new AbortController();
  const scheduler = systemScheduler.createSystemScheduler();
  const listen = { host, port: 0, signal: abort.signal };
  const api = objectApi.createObjectApi();
  const registry = instanceList.createInstanceRegistry({
    clock: scheduler,
    lagMs: 0,
  });
  const engine = modelEngine.createModelEngine({
    scheduler,
    random: random.createRandomSource(1),
    rankCount,
    stepMs: options.stepMs,
  });
  const common = { faults: faults.createFaultSwitch(), scheduler };
  const store = await objectApiHttp.createObjectApiHttp({ ...common, api })
    .listen(listen);
  const list = await instanceListHttp.createInstanceListHttp({
    ...common,
    registry,
  }).listen(listen);
  const engines = await Promise.all(
    Array.from(
      { length: rankCount },
      (_, rank) =>
        modelEngineHttp.createModelEngineHttp({
          engine,
          rank,
          faults: faults.createFaultSwitch(),
          scheduler,
        }).listen(listen),
    ),
  );
  const ports = await findFreePorts(entryCount * 2 + rankCount);
  const entryPorts = ports.slice(0, entryCount);
  const controlPorts = ports.slice(entryCount, entryCount * 2);
  const agentPorts = ports.slice(entryCount * 2);
  const platform = { objectStore: store.baseUrl, instanceList: list.baseUrl };
  await writeInitialSettings(api, agentPorts.map((port) => `${host}:${port}`));

  async function start(
    role: "entry" | "agent",
    settings: Readonly<Record<string, unknown>> & {
      readonly id: string;
      readonly address: { readonly host: string; readonly port: number };
    },
  ): Promise<BinaryProcess> {
    const file = nodePath.join(options.folder, `${settings.id}.jsonc`);
    await fs.writeFile(file, JSON.stringify(settings));
    const address = `${host}:${settings.address.port}`;
    return startProcess(options, {
      id: settings.id,
      role,
      address,
      settings: file,
    });
  }

  const entries = await Promise.all(entryPorts.map((port, index) => {
    const id = `entry-${index + 1}`;
    const controlPort = controlPorts[index]!;
    registry.register({
      id,
      role: "entry",
      half: "association",
      address: `${host}:${port}`,
      failureDomain: "milan_a",
      state: "live",
    });
    return start("entry", {
      id,
      half: "association",
      address: { host, port },
      controlAddress: { host, port: controlPort },
      failureDomain: "milan_a",
      region: "milan",
      platform,
      addressAnswerTtlMs,
    });
  }));
  const agents = await Promise.all(
    agentPorts.map((port, rank) =>
      start("agent", {
        id: `agent-${rank}`,
        group: groupName,
        rank,
        address: { host, port },
        failureDomain: "milan_a",
        region: "milan",
        entries: controlPorts.map((controlPort) => `${host}:${controlPort}`),
        platform,
        engine: { url: engines[rank]!.baseUrl, kind: "model" },
      })
    ),
  );
  await Promise.all(
    [...entries, ...agents].map((running) => waitForOutput(running, "Serves")),
  );
  return {
    entries,
    agents,
    engine,
    engineUrls: engines.map((address) => address.baseUrl),
    async close() {
      for (const { process } of [...entries, ...agents]) {
        if (process.exitCode !== null || process.signalCode !== null) continue;
        process.kill("SIGKILL");
        await once(process, "exit");
      }
      abort.abort();
    },
  };
}
