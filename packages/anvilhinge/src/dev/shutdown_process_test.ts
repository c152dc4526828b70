import * as childProcess from "node:child_process";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import * as record from "../settings/record.ts";
import * as answer from "../stand_ins/answer.ts";
import * as faults from "../stand_ins/faults.ts";
import * as instanceList from "../stand_ins/instance_list.ts";
import * as instanceListHttp from "../stand_ins/instance_list_http.ts";
import * as modelEngine from "../stand_ins/model_engine.ts";
import * as modelEngineHttp from "../stand_ins/model_engine_http.ts";
import * as objectApi from "../stand_ins/object_api.ts";
import * as objectApiHttp from "../stand_ins/object_api_http.ts";
import * as caller from "./caller.ts";

const mainFile = nodePath.join(__dirname, "../main.ts");
const loopbackAddress = { host: "127.0.0.1", port: 0 };
const abort = new AbortController();
const children: childProcess.ChildProcess[] = [];
let folder: string;

beforeAll(async () => {
  folder = await fs.mkdtemp(nodePath.join(os.tmpdir(), "shutdown-"));
});

afterAll(async () => {
  for (const child of children) child.kill("SIGKILL");
  abort.abort();
  await fs.rm(folder, { recursive: true });
});

interface StartedProcess {
  readonly process: childProcess.ChildProcess;
  /** Capture groups of the log line that shows that the process is ready. */
  readonly captures: readonly string[];
  readonly exited: Promise<number | null>;
  readStderr(): string;
}

/** Starts a role and waits for a log line that matches `pattern`. */
async function startRole(
  role: "entry" | "agent",
  settings: Readonly<Record<string, unknown>>,
  pattern: RegExp,
): Promise<StartedProcess> {
  const file = nodePath.join(folder, `${role}-${children.length}.jsonc`);
  await fs.writeFile(file, JSON.stringify(settings));
  const child = childProcess.spawn(
    process.execPath,
    ["--require", "tsx/cjs", mainFile, role, "--settings", file],
  );
  children.push(child);
  let errors = "";
  child.stderr.on("data", (data) => {
    errors += String(data);
  });
  const exited = new Promise<number | null>((resolve) =>
    child.once("exit", resolve)
  );
  let output = "";
  const captures = await new Promise<readonly string[]>((resolve, reject) => {
    void exited.then(() => reject(new Error(`${role} exited: ${errors}`)));
    child.stdout.on("data", (data) => {
      output += String(data);
      const match = pattern.exec(output);
      if (match !== null) resolve(match.slice(1));
    });
  });
  return { process: child, captures, exited, readStderr: () => errors };
}

async function startPlatform() {
  const scheduler = systemScheduler.createSystemScheduler();
  const api = objectApi.createObjectApi();
  const registry = instanceList.createInstanceRegistry({
    clock: scheduler,
    lagMs: 0,
  });
  const engine = modelEngine.createModelEngine({
    scheduler,
    random: random.createRandomSource(1),
    rankCount: 1,
    stepMs: 20,
  });
  const common = () => ({ scheduler, faults: faults.createFaultSwitch() });
  const listen = { ...loopbackAddress, signal: abort.signal };
  const [store, list, rank] = await Promise.all([
    objectApiHttp.createObjectApiHttp({ ...common(), api }).listen(listen),
    instanceListHttp.createInstanceListHttp({ ...common(), registry })
      .listen(listen),
    modelEngineHttp.createModelEngineHttp({ ...common(), engine, rank: 0 })
      .listen(listen),
  ]);
  const platform = {
    objectStore: store.baseUrl,
    instanceList: list.baseUrl,
  };
  return { api, registry, platform, engineUrl: rank.baseUrl };
}

function startEntryProcess(
  platform: { readonly objectStore: string; readonly instanceList: string },
): Promise<StartedProcess> {
  return startRole("entry", {
    id: "entry-1",
    half: "association",
    address: loopbackAddress,
    controlAddress: loopbackAddress,
    failureDomain: "milan_a",
    region: "lombardy",
    platform,
    addressAnswerTtlMs: 500,
  }, /Serves callers on (\S+) and agents on ([\d.:]+)/);
}

function writeSettings(
  api: objectApi.ObjectApi,
  settings: Readonly<Record<string, unknown>>,
): void {
  for (const [name, value] of Object.entries(settings)) {
    const change = {
      changeId: `change-${name}`,
      author: "test",
      at: "2026-01-01T00:00:00.000Z",
      previousVersion: 0,
    };
    const built = record.buildRecord(undefined, {
      text: JSON.stringify(value),
      change,
    });
    const key = record.formatKey(`/association/drafting/${name}`);
    api.write(key, built, { ifVersion: 0 });
  }
}

test("a SIGTERM to the entry and the agent interrupts no request", async () => {
  const { api, registry, platform, engineUrl } = await startPlatform();
  const entry = await startEntryProcess(platform);
  const [address = "", control = ""] = entry.captures;
  const agent = await startRole("agent", {
    id: "drafting-1-0",
    group: "drafting-1",
    rank: 0,
    address: loopbackAddress,
    failureDomain: "milan_a",
    region: "lombardy",
    entries: [control],
    platform,
    engine: { url: engineUrl, kind: "model" },
  }, /Serves rank 0 of group \S+ on ([\d.:]+)/);
  registry.register({
    id: "entry-1",
    role: "entry",
    half: "association",
    address,
    failureDomain: "milan_a",
    state: "live",
  });
  writeSettings(api, {
    "models/drafting": { maxTokens: 100 },
    "workspaces/milan": {
      models: ["drafting"],
      services: [],
      limits: {
        requestsPerSecond: 60,
        tokensPerSecond: 16_000,
        concurrency: 9,
      },
    },
    "groups/drafting-1": {
      kind: "model",
      model: "drafting",
      expertSlotsPerRank: 64,
      layers: 4,
      experts: 64,
      ranks: [{
        agent: agent.captures[0],
        failureDomain: "milan_a",
        region: "lombardy",
      }],
    },
  });
  api.write("assignments/drafting-1", {
    group: "drafting-1",
    half: "association",
    epoch: 1,
    state: "serving",
  }, { ifVersion: 0 });

  const body = {
    model: "drafting",
    messages: [{ role: "user", content: "a summary" }],
  };
  const workspace = "drafting/milan";
  let outcome: caller.ChatOutcome | undefined;
  let listed: Promise<readonly string[]> | undefined;
  for (let count = 0; count < 100; count += 1) {
    outcome = await caller.sendChat({
      address,
      workspace,
      body,
      onToken() {
        if (listed !== undefined) return;
        entry.process.kill("SIGTERM");
        agent.process.kill("SIGTERM");
        listed = waitUntilUnlisted(address, workspace);
      },
    });
    if (outcome.kind !== "refused") break;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  expect(outcome).toMatchObject({
    kind: "complete",
    tokens: answer.generateTokens(body),
  });
  expect(await listed).toEqual([]);
  expect(await entry.exited).toBe(0);
  expect(await agent.exited).toBe(0);
}, 60_000);

/** Polls until the entry omits itself from its address answers. */
async function waitUntilUnlisted(
  address: string,
  workspace: string,
): Promise<readonly string[]> {
  let addresses: readonly string[] = [address];
  while (addresses.length > 0) {
    addresses = await caller.fetchAddresses(address, workspace);
  }
  return addresses;
}

test(
  "a second SIGTERM ends an entry at once and reports the interrupted requests",
  async () => {
    const { platform } = await startPlatform();
    const entry = await startEntryProcess(platform);
    entry.process.kill("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 100));
    entry.process.kill("SIGTERM");
    expect(await entry.exited).toBe(1);
    expect(entry.readStderr()).toContain("Ends at once and cuts 0 requests");
  },
  60_000,
);
