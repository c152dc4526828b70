/**
 * Test harness for complete handovers: the entries of two halves and the agents
 * of one group on manual time. Leases, control duties, moves, attempt tables and
 * drained reporters are real; only the network, the engines and the object store
 * are simulated.
 */
import * as nodeCrypto from "node:crypto";
import type * as assignment from "@anvilhinge/coordination/assignment";
import * as health from "@anvilhinge/coordination/health";
import * as random from "@anvilhinge/coordination/random";
import * as assignmentCodec from "../adapters/assignment_codec.ts";
import * as assignmentGate from "../agent/assignment_gate.ts";
import * as attempts from "../agent/attempts.ts";
import * as drainedReporter from "../agent/drained_reporter.ts";
import * as catalog from "../entry/choice/catalog.ts";
import * as controlDuties from "../entry/control/control_duties.ts";
import * as moves from "../entry/operators/moves.ts";
import * as storeFollower from "../entry/control/store_follower.ts";
import * as upstreams from "../entry/choice/upstreams.ts";
import type * as frames from "../ports/frames.ts";
import type * as objectStore from "../ports/object_store.ts";
import * as objects from "../settings/objects.ts";
import * as faults from "../stand_ins/faults.ts";
import * as localObjectStore from "../stand_ins/local_object_store.ts";
import * as objectApi from "../stand_ins/object_api.ts";
import * as logger from "../telemetry/logger.ts";
import * as manualScheduler from "./manual_scheduler.ts";

export const group = "drafting-1";

const rankCount = 2;
/** Interval at which each entry sends an attempt to each agent. */
const loadIntervalMs = 100;
const noLoad = { running: 0, queued: 0, stepUs: 0 };
const groupText = JSON.stringify({
  kind: "model",
  model: "drafting",
  ranks: Array.from({ length: rankCount }, (_, rank) => ({
    agent: `127.0.0.1:${7000 + rank}`,
    failureDomain: "milan-1",
    region: "milan",
  })),
  expertSlotsPerRank: 8,
  layers: 2,
  experts: 16,
});

/** Returns the Authorization header of the operator of a half. */
export function formatAuthorization(half: string): string {
  return `Bearer token-of-${half}`;
}

function hashToken(half: string): string {
  const token = formatAuthorization(half).replace("Bearer ", "");
  return nodeCrypto.createHash("sha256").update(token).digest("hex");
}

/** Statistics of the attempts sent by the entries. */
export interface AttemptStats {
  started: number;
  ended: number;
  /** Attempts that started and failed, less those lost in planned restarts. */
  interrupted: number;
  /** Number of refusals by reason; a refused attempt may run elsewhere. */
  readonly refused: Record<string, number>;
  /** Number of admissions by half and epoch. */
  readonly admitted: Record<string, number>;
  readonly violations: string[];
}

/**
 * Creates the harness and waits for the first assignment. A fault in
 * `writeFaults` applies to the next write of the state and half in its key, such
 * as "leaving association".
 */
export async function createHandoverHarness(seed = 1) {
  const scheduler = manualScheduler.createManualScheduler();
  const randomSource = random.createRandomSource(seed);
  const api = objectApi.createObjectApi();
  const storeFaults = faults.createFaultSwitch();
  const localStore = localObjectStore.createLocalObjectStore(api, {
    faults: storeFaults,
    scheduler,
  });
  const writeFaults = new Map<string, faults.Fault>();
  /** All assignments written so far, oldest first. */
  const history: assignment.Assignment[] = [];
  const stats: AttemptStats = {
    started: 0,
    ended: 0,
    interrupted: 0,
    refused: {},
    admitted: {},
    violations: [],
  };
  const abort = new AbortController();
  let nextId = 0;
  const createId = () => `id-${String(nextId++).padStart(8, "0")}`;

  /** Object store that applies `writeFaults`. */
  const store: objectStore.ObjectStore = {
    ...localStore,
    write(key, value, condition) {
      const record = assignmentCodec.parseAssignment(value);
      const name = record === undefined ? "" : `${record.state} ${record.half}`;
      const fault = writeFaults.get(name);
      writeFaults.delete(name);
      const currentFault = storeFaults.get();
      if (fault === undefined) return localStore.write(key, value, condition);
      storeFaults.set(fault, { callCount: 1 });
      const outcome = localStore.write(key, value, condition);
      storeFaults.set(currentFault);
      return outcome;
    },
  };
  api.watch(assignmentCodec.assignmentPrefix, {
    sinceVersion: 0,
    signal: abort.signal,
    onEvent(event) {
      if (event.kind !== "changed") return;
      const record = assignmentCodec.parseAssignment(event.object.value);
      if (record !== undefined) history.push(record);
    },
  });
  // An operator of a half may change only the subtree of the half's team.
  const subtrees = {
    association: "/association/drafting",
    water_board: "/water_board/drawings",
  } as const;
  type Half = keyof typeof subtrees;
  const entries = (["association", "water_board"] as const).flatMap((half) =>
    [1, 2].map((number) => createEntry(half, `${half}-entry-${number}`))
  );

  function createEntry(half: Half, id: string) {
    const killAbort = new AbortController();
    const signal = AbortSignal.any([abort.signal, killAbort.signal]);
    const followers = new Set<(received: assignment.Assignment) => void>();
    const groupCatalog = catalog.createCatalog();
    const path = `/association/drafting/groups/${group}`;
    const parsed = objects.checkObject(path, groupText);
    if (parsed.kind === "invalid") throw new Error("Invalid group settings");
    groupCatalog.setObject(parsed.settings);
    const table = upstreams.createUpstreamTable({
      clock: scheduler,
      random: randomSource,
      nodeId: id,
      location: { failureDomain: "local", region: "local" },
      health: health.createHealth({ clock: scheduler, random: randomSource }),
    });
    const state = {
      isReady: true,
      isLeaving: false,
      isClosed: false,
      openRequests: 0,
    };
    let isStale = false;
    const context = {
      settings: {
        id,
        half,
        address: { host: "127.0.0.1", port: 0 },
        controlAddress: { host: "127.0.0.1", port: 0 },
        failureDomain: "local",
        region: "local",
        platform: { objectStore: "http://x", instanceList: "http://x" },
        addressAnswerTtlMs: 1_000,
        requestBodyLimitBytes: 1,
        tracing: { exporter: "none" as const },
        log: { level: "error" as const },
        operators: [{
          name: `${half}-operator`,
          tokenSha256: hashToken(half),
          subtrees: [subtrees[half]],
        }],
      },
      store,
      scheduler,
      random: randomSource,
      createId,
      catalog: groupCatalog,
      upstreams: table,
      logger: logger.createLogger({ component: "entry", level: "error" }),
      state,
      listMembers: () =>
        entries.filter((entry) => entry.half === half && !entry.isDead()).map((
          entry,
        ) => ({
          id: entry.id,
          address: entry.id,
          failureDomain: "local",
          state: "live" as const,
        })),
    };
    const duties = controlDuties.createControlDuties(context, {
      signal,
      client: {
        forwardReport: (address, report) =>
          findEntry(address)?.duties.report({ ...report, forwarded: true }) ??
            Promise.resolve(false),
        getMove: (address, name) =>
          Promise.resolve(findEntry(address)?.duties.getOwnProgress(name)),
      },
    });
    function applyObject(object: objectStore.StoredObject): void {
      const received = assignmentCodec.parseAssignment(object.value);
      if (received === undefined || isStale) return;
      table.setAssignment(received);
      for (const notify of followers) notify(received);
    }

    storeFollower.followPrefix({
      store,
      scheduler,
      random: randomSource,
      prefix: assignmentCodec.assignmentPrefix,
      signal,
      onList: (listed) => listed.forEach(applyObject),
      onObject: applyObject,
    });
    duties.start(id);
    return {
      id,
      half,
      table,
      duties,
      followers,
      moves: moves.createMoveOperations({ ...context, duties }),
      isDead: () => killAbort.signal.aborted,
      kill: () => killAbort.abort(),
      /** While true, the entry ignores new assignments. */
      setStale(value: boolean) {
        isStale = value;
      },
    };
  }

  function findEntry(id: string) {
    return entries.find((entry) => entry.id === id && !entry.isDead());
  }

  function createAgent(rank: number) {
    let processAbort = new AbortController();
    let incarnation = "";
    let table = startTable();
    let isReachable = true;

    function startTable(assignmentSources = entries): attempts.Attempts {
      incarnation = createId();
      const { signal } = processAbort;
      const started = attempts.createAttempts({
        clock: scheduler,
        group,
        rank,
        incarnation,
        readLoad: () => noLoad,
      });
      const gate = assignmentGate.createAssignmentGate({
        group,
        store,
        onAssignment: started.setAssignment,
      });
      for (const entry of assignmentSources) {
        const receive = (received: assignment.Assignment) => {
          if (isReachable && !signal.aborted) gate.receive(received);
        };
        entry.followers.add(receive);
        const current = entry.table.findAssignment(group);
        if (current !== undefined) receive(current);
      }
      drainedReporter.startReporter({
        group,
        rank,
        incarnation,
        attempts: started,
        listEntries: () => entries.map((entry) => entry.id),
        send: (id, report) =>
          isReachable
            ? findEntry(id)?.duties.report({ ...report, forwarded: false }) ??
              Promise.resolve(false)
            : Promise.resolve(false),
        scheduler,
        random: randomSource,
        signal: AbortSignal.any([abort.signal, signal]),
      });
      return started;
    }

    return {
      rank,
      getTable: () => table,
      getIncarnation: () => incarnation,
      /** While false, the agent gets no assignments and its reports are lost. */
      setReachable(value: boolean) {
        isReachable = value;
        if (!value) return;
        for (const entry of entries) {
          const current = entry.table.findAssignment(group);
          if (current !== undefined) table.setAssignment(current);
        }
      },
      /**
       * Kills the agent with its running attempts. The new agent receives
       * assignments only from `assignmentSources`.
       */
      restart(assignmentSources = entries) {
        processAbort.abort();
        const lostAttempts = table.countRunning();
        stats.interrupted -= lostAttempts;
        stats.ended += lostAttempts;
        processAbort = new AbortController();
        table = startTable(assignmentSources);
      },
    };
  }

  const agents = Array.from(
    { length: rankCount },
    (_, rank) => createAgent(rank),
  );
  /** Half of each running attempt, by attempt id. */
  const halfByAttempt = new Map<string, string>();

  function admit(attempt: frames.Attempt): void {
    const key = `${attempt.half} ${attempt.epoch}`;
    stats.started += 1;
    stats.admitted[key] = (stats.admitted[key] ?? 0) + 1;
    const wasServing = history.some((record) =>
      record.half === attempt.half && record.epoch === attempt.epoch &&
      record.state === "serving"
    );
    if (!wasServing) stats.violations.push(`Admitted, never served: ${key}`);
    halfByAttempt.set(attempt.attemptId, attempt.half);
    if (new Set(halfByAttempt.values()).size > 1) {
      stats.violations.push("Attempts of two halves ran concurrently");
    }
  }

  /** Sends an attempt with the epoch of the entry's view, outdated or not. */
  function sendAttempt(
    entry: typeof entries[number],
    agent: ReturnType<typeof createAgent>,
  ): void {
    const view = entry.table.findAssignment(group);
    if (view === undefined) return;
    const table = agent.getTable();
    const attempt: frames.Attempt = {
      requestId: createId(),
      attemptId: createId(),
      workspace: "drafting/milan",
      half: entry.half,
      epoch: view.epoch,
      group,
      rank: agent.rank,
      priority: 1,
      deadlineMs: 10_000,
      incarnation: agent.getIncarnation(),
      startByMs: scheduler.now() + 10_000,
      isRepeatable: true,
      work: { kind: "model", model: "drafting", body: new Uint8Array() },
    };
    const before = table.getAssignment();
    const outcome = table.offer(attempt, (frame) => {
      if (frame.body.kind === "end") stats.ended += 1;
      if (frame.body.kind === "failed") stats.interrupted += 1;
      if (frame.body.kind === "refused") {
        const { reason } = frame.body;
        stats.refused[reason] = (stats.refused[reason] ?? 0) + 1;
      }
    });
    if (outcome.kind !== "start") return;
    if (before?.state === "leaving") {
      stats.violations.push(
        "An attempt was admitted while the group was leaving its half",
      );
    }
    admit(attempt);
    scheduler.schedule(() => {
      halfByAttempt.delete(attempt.attemptId);
      table.receiveEvent(attempt.attemptId, { kind: "end" });
    }, { delayMs: 200 + 800 * randomSource() });
  }

  function sendLoad(): void {
    for (const entry of entries) {
      if (entry.isDead()) continue;
      for (const agent of agents) sendAttempt(entry, agent);
    }
    scheduler.schedule(sendLoad, {
      delayMs: loadIntervalMs,
      signal: abort.signal,
    });
  }

  function getAssignment(): assignment.Assignment | undefined {
    return history.at(-1);
  }

  /** Advances the time until the condition holds, but at most `limitMs`. */
  async function advanceUntil(
    isConditionMet: () => boolean,
    limitMs: number,
  ): Promise<boolean> {
    for (let elapsedMs = 0; elapsedMs < limitMs; elapsedMs += 50) {
      if (isConditionMet()) return true;
      await scheduler.advanceAsync(50);
    }
    return isConditionMet();
  }

  sendLoad();
  await advanceUntil(() => getAssignment() !== undefined, 20_000);
  await scheduler.advanceAsync(1_000);
  const listEntries = (half: Half) =>
    entries.filter((entry) => entry.half === half);
  return {
    scheduler,
    storeFaults,
    writeFaults,
    stats,
    agents,
    entries,
    listEntries,
    history,
    getAssignment,
    advanceUntil,
    getHolder: (half: Half) =>
      listEntries(half).find((entry) =>
        !entry.isDead() && entry.duties.isHolder(group)
      ),
    /** Requests a move from an entry of the operator's half. */
    move(to: string, { operatorHalf: by = "association", entryIndex: at = 0 }: {
      readonly operatorHalf?: Half;
      readonly entryIndex?: number;
    } = {}) {
      const options = {
        authorization: formatAuthorization(by),
        changeId: createId(),
      };
      const entry = listEntries(by)[at] as typeof entries[number];
      return entry.moves.start({ group, to }, options);
    },
    stop: () => abort.abort(),
  };
}

export type HandoverHarness = Awaited<ReturnType<typeof createHandoverHarness>>;
