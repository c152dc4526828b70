/**
 * The entry's way to places at upstreams with engines: asks the hub over
 * datagrams, is the hub itself when its turn comes, and goes by its own share
 * while no hub answers.
 */
import type * as random from "@anvilhinge/coordination/random";
import type * as work from "@anvilhinge/coordination/dispatch/work";
import * as workClient from "@anvilhinge/coordination/dispatch/work_client";
import * as workHub from "@anvilhinge/coordination/dispatch/work_hub";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";

/** Where the hub is and who shares the places. */
export interface EntryMembership {
  getHub(): { readonly id: string; readonly address: string };
  isHub(): boolean;
  countEntries(): number;
}

export interface SlotCoordinatorOptions {
  readonly entryId: string;
  readonly failureDomain: string;
  readonly members: EntryMembership;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly sockets: datagrams.Datagrams;
  readonly logger: logger.Logger;
  readonly signal: AbortSignal;
  readonly onEvent: (event: workClient.WorkEvent) => void;
}

export type DispatchMessage =
  | { readonly kind: "work"; readonly state: work.WorkState }
  | { readonly kind: "decisions"; readonly decisions: work.Decisions };

export interface SlotCoordinator {
  setUpstreams(
    places: readonly work.UpstreamSpec[],
    specs: readonly work.PoolSpec[],
  ): void;
  recordPause(pool: string, pauseMs: number): void;
  requestSlot(asked: workClient.SlotRequest): void;
  recordStart(running: work.RunningRequest): void;
  drop(key: string): void;
  handle(message: DispatchMessage, from: string): void;
  describe(): readonly workHub.PoolLoad[];
}

/** Time between two states while a request waits. */
const waitingIntervalMs = 25;
/** Time between two states otherwise. */
const idleIntervalMs = 250;
const showIntervalMs = 1_000;
/** Time in which a new hub learns what runs before it decides. */
const learningMs = 300;

/** Starts the dispatch of one entry. */
export function startSlotCoordinator(
  options: SlotCoordinatorOptions,
): SlotCoordinator {
  const { scheduler, signal, members } = options;
  const client = workClient.createWorkClient({
    clock: scheduler,
    random: options.random,
    entryId: options.entryId,
    failureDomain: options.failureDomain,
    countEntries: members.countEntries,
  });
  const hub = workHub.createWorkHub({
    clock: scheduler,
    random: options.random,
  });
  /** Addresses of the entries that sent their states, by id. */
  const addresses = new Map<string, string>();
  let hubSinceMs: number | undefined;
  let shownAtMs = -Infinity;
  let isReportDue = false;
  let sentAtMs = -Infinity;

  function emit(events: readonly workClient.WorkEvent[]): void {
    for (const event of events) options.onEvent(event);
  }

  /** Whether this entry is the hub and knows enough to decide. */
  function isDeciding(): boolean {
    if (!members.isHub()) {
      hubSinceMs = undefined;
      return false;
    }
    hubSinceMs ??= scheduler.now();
    const hasLearnt = scheduler.now() - hubSinceMs >= learningMs;
    return hasLearnt || members.countEntries() === 1;
  }

  function deliver(decided: ReadonlyMap<string, work.Decisions>): void {
    for (const [entryId, decisions] of decided) {
      if (entryId === options.entryId) {
        emit(client.receive(decisions));
        continue;
      }
      const address = addresses.get(entryId);
      const message: DispatchMessage = { kind: "decisions", decisions };
      if (address !== undefined) options.sockets.send(message, address);
    }
  }

  function report(): void {
    isReportDue = false;
    sentAtMs = scheduler.now();
    const state = client.buildState();
    if (isDeciding()) return deliver(hub.receive(state));
    if (members.isHub()) return;
    const message: DispatchMessage = { kind: "work", state };
    options.sockets.send(message, members.getHub().address);
  }

  /** Reports soon, so that changes of one moment travel together. */
  function scheduleReport(): void {
    if (isReportDue) return;
    isReportDue = true;
    scheduler.schedule(report, { delayMs: 0, signal });
  }

  /** Logs what the hub knows, for whoever asks why requests were refused. */
  function showLoad(): void {
    if (!isDeciding() || scheduler.now() - shownAtMs < showIntervalMs) return;
    shownAtMs = scheduler.now();
    options.logger.info("Load of the pools", { pools: hub.describe() });
  }

  function tick(): void {
    showLoad();
    emit(client.tick());
    const isWaiting = client.hasWaiting();
    const interval = isWaiting ? waitingIntervalMs : idleIntervalMs;
    if (scheduler.now() - sentAtMs >= interval) report();
    if (isDeciding()) deliver(hub.decide());
    scheduler.schedule(tick, { delayMs: waitingIntervalMs, signal });
  }

  tick();
  return {
    setUpstreams(places, specs) {
      client.setUpstreams(places);
      hub.setUpstreams(places, specs);
    },
    recordPause: client.recordPause,
    requestSlot(asked) {
      client.requestSlot(asked);
      scheduleReport();
    },
    recordStart(running) {
      client.recordStart(running);
    },
    drop(key) {
      client.drop(key);
      scheduleReport();
    },
    handle(message, from) {
      if (message.kind === "decisions") {
        return emit(client.receive(message.decisions));
      }
      addresses.set(message.state.entryId, from);
      if (isDeciding()) deliver(hub.receive(message.state));
    },
    describe: hub.describe,
  };
}
