/**
 * The whole system on loopback, in one process on one event loop: stand-ins for
 * the platform, the entries of each half, and all groups of the settings.
 */
import type * as random from "@anvilhinge/coordination/random";
import type * as assignment from "@anvilhinge/coordination/assignment";
import * as jsonc from "jsonc-parser";
import * as assignmentCodec from "../adapters/assignment_codec.ts";
import * as entry from "../entry/mod.ts";
import type * as instanceList from "../ports/instance_list.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as names from "../settings/names.ts";
import * as objects from "../settings/objects.ts";
import type * as process from "../settings/process.ts";
import * as record from "../settings/record.ts";
import * as faults from "../stand_ins/faults.ts";
import * as localObjectStore from "../stand_ins/local_object_store.ts";
import * as objectApi from "../stand_ins/object_api.ts";
import * as upstreams from "./upstreams.ts";

export interface SystemOptions {
  readonly objects: readonly objects.SettingsObject[];
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  /** Kills all entries and agents and closes the stand-ins when aborted. */
  readonly signal: AbortSignal;
  /**
   * Number of entries of each half.
   * @default 3
   */
  readonly entriesPerHalf?: number;
  /**
   * Duration of an engine step without load, in milliseconds.
   * @default 20
   */
  readonly stepMs?: number;
  /** @default "warn" */
  readonly logLevel?: process.LogLevel;
  readonly logStream?: NodeJS.WritableStream;
  readonly operators?: process.EntrySettings["operators"];
  /** @default 1000 */
  readonly addressAnswerTtlMs?: number;
  /** Processors that receive the spans of all entries and agents. */
  readonly spanProcessors?: entry.EntryAdapters["spanProcessors"];
}

/** An entry and the half that it serves. */
export interface SystemEntry extends entry.RunningEntry {
  readonly id: string;
  readonly half: names.Half;
  readonly failureDomain: string;
}

export interface RunningSystem {
  readonly entries: readonly SystemEntry[];
  readonly groups: readonly upstreams.RunningGroup[];
  readonly api: objectApi.ObjectApi;
  readonly store: objectStore.ObjectStore;
  /** Faults of the object API. */
  readonly storeFaults: faults.FaultSwitch;
  stop(): Promise<void>;
}

const defaultEntriesPerHalf = 3;
const defaultStepMs = 20;
const defaultTtlMs = 1_000;
const maxFailureDomains = 3;
/** Never contacted: the object store and instance list run in this process. */
const unusedPlatform: upstreams.PlatformAddresses = {
  objectStore: "http://127.0.0.1:1",
  instanceList: "http://127.0.0.1:1",
};

function listHalves(
  settingsObjects: readonly objects.SettingsObject[],
): readonly names.Half[] {
  return [...new Set(settingsObjects.map((object) => object.path.half))].sort();
}

/** Lists failure domains of the ranks of a half, for its entries. */
function listFailureDomains(
  settingsObjects: readonly objects.SettingsObject[],
  half: names.Half,
): readonly { readonly failureDomain: string; readonly region: string }[] {
  const ranks = settingsObjects.flatMap(({ path, content }) =>
    path.half === half && content.kind === "groups" ? content.value.ranks : []
  );
  const byName = new Map(ranks.map((rank) => [rank.failureDomain, rank]));
  return [...byName.values()].slice(0, maxFailureDomains);
}

function startEntries(
  options: SystemOptions,
  adapters: entry.EntryAdapters,
): Promise<readonly SystemEntry[]> {
  const count = options.entriesPerHalf ?? defaultEntriesPerHalf;
  const entryPlans = listHalves(options.objects).flatMap((half) => {
    const domains = listFailureDomains(options.objects, half);
    return Array.from({ length: count }, (_, index) => {
      const domain = domains[index % domains.length];
      return { half, id: `${half}-entry-${index + 1}`, domain };
    });
  });
  return Promise.all(entryPlans.map(async ({ half, id, domain }) => {
    const failureDomain = domain?.failureDomain ?? "local";
    const running = await entry.startEntry({
      id,
      half,
      address: { host: "127.0.0.1", port: 0 },
      controlAddress: { host: "127.0.0.1", port: 0 },
      failureDomain,
      region: domain?.region ?? "local",
      platform: unusedPlatform,
      addressAnswerTtlMs: options.addressAnswerTtlMs ?? defaultTtlMs,
      requestBodyLimitBytes: 4 * 1024 * 1024,
      tracing: { exporter: "none" },
      log: { level: options.logLevel ?? "warn" },
      operators: options.operators ?? [],
    }, adapters);
    return { ...running, id, half, failureDomain };
  }));
}

/** Replaces the agent addresses in the settings text of a group. */
function replaceAgents(
  text: string,
  agents: readonly { readonly address: string }[],
): string {
  return agents.reduce((changed, agent, rank) => {
    const path = ["ranks", rank, "agent"];
    const edits = jsonc.modify(changed, path, agent.address, {});
    return jsonc.applyEdits(changed, edits);
  }, text);
}

function buildRecord(text: string): record.SettingsRecord {
  const change = {
    changeId: "initial-settings",
    author: "dev",
    at: new Date().toISOString(),
    previousVersion: 0,
  };
  return record.buildRecord(undefined, { text, change });
}

async function writeObject(
  store: objectStore.ObjectStore,
  object: objects.SettingsObject,
  group: upstreams.RunningGroup | undefined,
): Promise<void> {
  const path = objects.formatSettingsPath(object.path);
  const text = group === undefined
    ? object.document.text
    : replaceAgents(object.document.text, group.agents);
  const condition = { ifVersion: 0 };
  await store.write(record.formatKey(path), buildRecord(text), condition);
  if (group === undefined) return;
  const initial: assignment.Assignment = {
    group: object.path.name,
    half: object.path.half,
    epoch: 1,
    state: "serving",
  };
  const key = `${assignmentCodec.assignmentPrefix}${object.path.name}`;
  await store.write(key, initial, condition);
}

function createInstanceList(
  listEntries: () => readonly SystemEntry[],
): instanceList.InstanceList {
  return {
    list: () =>
      Promise.resolve({
        kind: "listed",
        instances: listEntries().map((running) => ({
          id: running.id,
          role: "entry",
          half: running.half,
          address: running.address,
          controlAddress: running.controlAddress,
          failureDomain: running.failureDomain,
          state: "live",
        })),
      }),
  };
}

/** Starts the system; resolves when the object store holds the settings. */
export async function startSystem(
  options: SystemOptions,
): Promise<RunningSystem> {
  const api = objectApi.createObjectApi();
  const storeFaults = faults.createFaultSwitch();
  const store = localObjectStore.createLocalObjectStore(api, {
    faults: storeFaults,
    scheduler: options.scheduler,
  });
  let entries: readonly SystemEntry[] = [];
  entries = await startEntries(options, {
    store,
    instances: createInstanceList(() => entries),
    logStream: options.logStream,
    spanProcessors: options.spanProcessors,
  });
  const groups: upstreams.RunningGroup[] = [];
  for (const object of options.objects) {
    if (object.content.kind !== "groups") continue;
    groups.push(
      await upstreams.startGroup({
        name: object.path.name,
        group: object.content.value,
        entries: entries.map((running) => running.controlAddress),
        scheduler: options.scheduler,
        random: options.random,
        signal: options.signal,
        stepMs: options.stepMs ?? defaultStepMs,
        logLevel: options.logLevel ?? "warn",
        logStream: options.logStream,
        spanProcessors: options.spanProcessors,
        platform: unusedPlatform,
        store,
      }),
    );
  }
  for (const object of options.objects) {
    const group = object.path.kind === "groups"
      ? groups.find((running) => running.name === object.path.name)
      : undefined;
    await writeObject(store, object, group);
  }

  function killAll(): void {
    for (const running of entries) running.kill();
    for (const group of groups) {
      for (const agent of group.agents) agent.kill();
    }
  }

  options.signal.addEventListener("abort", killAll, { once: true });
  return {
    entries,
    groups,
    api,
    store,
    storeFaults,
    async stop() {
      await Promise.all(entries.map((running) => running.stop()));
      await Promise.all(
        groups.flatMap((group) => group.agents.map((agent) => agent.stop())),
      );
    },
  };
}
