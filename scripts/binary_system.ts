/**
 * Runs entries and agents as processes of the built binary. The stand-ins of
 * the platform and of one model group run in the calling process.
 */
import * as childProcess from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs/promises";
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
  /** Address that serves callers (for entries) or entries (for agents). */
  readonly address: string;
  readonly process: childProcess.ChildProcess;
  /** Returns the standard output and standard error so far. */
  getOutput(): string;
}

export interface BinarySystem {
  readonly entries: readonly BinaryProcess[];
  readonly agents: readonly BinaryProcess[];
  readonly engine: modelEngine.ModelEngine;
  /** Base URL of the engine of each rank, by rank. */
  readonly engineUrls: readonly string[];
  /** Kills the processes that still run and closes the stand-ins. */
  close(): Promise<void>;
}

export interface BinarySystemOptions {
  readonly binary: string;
  /** Folder for the settings files. */
  readonly folder: string;
  /** Duration of a forward pass of the engine without load, in milliseconds. */
  readonly stepMs: number;
}

function startProcess(
  options: BinarySystemOptions,
  { id, role, settings }: {
    readonly id: string;
    readonly role: "entry" | "agent";
    readonly settings: string;
  },
): Omit<BinaryProcess, "address"> {
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
  return { id, process: child, getOutput: () => output };
}

/**
 * Waits until the output matches `pattern`; resolves to the capture groups.
 * Rejects if the process exits first.
 */
async function waitForOutput(
  child: Omit<BinaryProcess, "address">,
  pattern: RegExp,
): Promise<readonly string[]> {
  for (;;) {
    const match = pattern.exec(child.getOutput());
    if (match !== null) return match.slice(1);
    const { exitCode, signalCode } = child.process;
    if (exitCode !== null || signalCode !== null) {
      throw new Error(
        `${child.id} exited before it served: ${child.getOutput()}`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

async function writeInitialSettings(
  api: objectApi.ObjectApi,
  agents: readonly string[],
): Promise<void> {
  const settings: Readonly<Record<string, unknown>> = {
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
  for (const [name, value] of Object.entries(settings)) {
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

/** Starts the stand-ins and the processes; resolves when all of them serve. */
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
  const httpOptions = { faults: faults.createFaultSwitch(), scheduler };
  const store = await objectApiHttp.createObjectApiHttp({ ...httpOptions, api })
    .listen(listen);
  const list = await instanceListHttp.createInstanceListHttp({
    ...httpOptions,
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
  const platform = { objectStore: store.baseUrl, instanceList: list.baseUrl };
  const address = { host, port: 0 };

  async function startWithSettings(
    role: "entry" | "agent",
    settings: Readonly<Record<string, unknown>> & { readonly id: string },
  ): Promise<Omit<BinaryProcess, "address">> {
    const file = nodePath.join(options.folder, `${settings.id}.jsonc`);
    await fs.writeFile(file, JSON.stringify(settings));
    return startProcess(options, { id: settings.id, role, settings: file });
  }

  async function startEntry(index: number) {
    const id = `entry-${index + 1}`;
    const running = await startWithSettings("entry", {
      id,
      half: "association",
      address,
      controlAddress: address,
      failureDomain: "milan_a",
      region: "milan",
      platform,
      addressAnswerTtlMs,
    });
    const pattern = /Serves callers on ([\d.:]+) and agents on ([\d.:]+)/;
    const matches = await waitForOutput(running, pattern);
    const [callerAddress, controlAddress] = matches as [string, string];
    registry.register({
      id,
      role: "entry",
      half: "association",
      address: callerAddress,
      controlAddress,
      failureDomain: "milan_a",
      state: "live",
    });
    return { ...running, address: callerAddress, controlAddress };
  }

  const entries = await Promise.all(
    Array.from({ length: entryCount }, (_, index) => startEntry(index)),
  );

  async function startAgent(rank: number): Promise<BinaryProcess> {
    const running = await startWithSettings("agent", {
      id: `agent-${rank}`,
      group: groupName,
      rank,
      address,
      failureDomain: "milan_a",
      region: "milan",
      entries: entries.map(({ controlAddress }) => controlAddress),
      platform,
      engine: { url: engines[rank]!.baseUrl, kind: "model" },
    });
    const matches = await waitForOutput(running, /Serves rank .* on ([\d.:]+)/);
    return { ...running, address: matches[0]! };
  }

  const agents = await Promise.all(
    Array.from({ length: rankCount }, (_, rank) => startAgent(rank)),
  );
  await writeInitialSettings(api, agents.map((agent) => agent.address));
  return {
    entries,
    agents,
    engine,
    engineUrls: engines.map((server) => server.baseUrl),
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
