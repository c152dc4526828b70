/**
 * Obtains slots of upstreams with engines for the requests of one entry. The
 * hub is the entry that assigns slots for all entries. This entry requests
 * slots from the hub over datagrams, or acts as the hub itself. While no hub
 * answers, it uses its own share of the slots.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as random from "@anvilhinge/coordination/random";
import type * as groupReports from "@anvilhinge/coordination/dispatch/group_reports";
import type * as rateLimits from "@anvilhinge/coordination/dispatch/rate_limits";
import type * as work from "@anvilhinge/coordination/dispatch/work";
import * as workClient from "@anvilhinge/coordination/dispatch/work_client";
import * as workHub from "@anvilhinge/coordination/dispatch/work_hub";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";

/** The hub, and the number of entries that share the slots. */
export interface EntryMembership {
  getHub(): { readonly id: string; readonly address: string };
  isHub(): boolean;
  countEntries(): number;
  /** Position of this entry among them, in an order that all share. */
  getEntryIndex(): number;
  /** Share of the entries that this entry can reach, from 0 to 1. */
  computeReachableShare(): number;
}

export interface SlotCoordinatorOptions {
  readonly entryId: string;
  readonly failureDomain: string;
  readonly members: EntryMembership;
  readonly scheduler: scheduler.Scheduler;
  /** Includes the time for which the machine is suspended. */
  readonly elapsed: clock.Clock;
  /** See `WorkClientOptions`. */
  readonly isKnownToHub?: (upstreamId: string) => boolean;
  readonly random: random.RandomSource;
  readonly sockets: datagrams.Datagrams;
  readonly logger: logger.Logger;
  /** Table of this entry, exchanged with the hub. */
  readonly rateLimits: rateLimits.RateLimits;
  /** Reports of the groups of upstreams; none by default. */
  readonly groups?: groupReports.GroupReports;
  readonly signal: AbortSignal;
  readonly onEvent: (event: workClient.WorkEvent) => void;
}

export type DispatchMessage =
  | { readonly kind: "work"; readonly state: work.WorkState }
  | { readonly kind: "decisions"; readonly decisions: work.Decisions };

export interface SlotCoordinator {
  setUpstreams(
    upstreams: readonly work.UpstreamSpec[],
    pools: readonly work.PoolSpec[],
  ): void;
  recordGap(pool: string, gapMs: number): void;
  recordFirstPart(pool: string, afterMs: number): void;
  requestSlot(request: workClient.SlotRequest): void;
  recordStart(request: work.RunningRequest): void;
  drop(key: string): void;
  handle(message: DispatchMessage, senderAddress: string): void;
  /** Reports a changed rate limit to the hub at once. */
  reportRateLimit(): void;
  /** Whether the hub has answered recently. */
  hasHub(): boolean;
  describe(): readonly workHub.PoolLoad[];
}

/** Interval between states sent to the hub while a request waits for a slot. */
const waitingIntervalMs = 25;
/** Interval between states sent to the hub while no request waits. */
const idleIntervalMs = 250;
/** Minimum interval between two decisions of the hub. */
const decisionIntervalMs = 4;
const logIntervalMs = 1_000;
/**
 * Time for which a new hub assigns no slots, because only the states of the
 * entries show which slots are in use. It drops the states that arrive in this
 * time; each entry sends its next state after `idleIntervalMs` at the latest.
 */
const hubWarmUpMs = 300;

/** Starts the coordinator of one entry. */
export function startSlotCoordinator(
  options: SlotCoordinatorOptions,
): SlotCoordinator {
  const { scheduler, signal, members } = options;
  const client = workClient.createWorkClient({
    clock: scheduler,
    elapsed: options.elapsed,
    isKnownToHub: options.isKnownToHub,
    random: options.random,
    entryId: options.entryId,
    failureDomain: options.failureDomain,
    countEntries: members.countEntries,
    getEntryIndex: members.getEntryIndex,
    rateLimits: options.rateLimits,
  });
  const hub = workHub.createWorkHub({
    clock: scheduler,
    random: options.random,
    rateLimits: options.rateLimits,
    groups: options.groups,
    readReachableShare: members.computeReachableShare,
  });
  /** Addresses of the entries that sent their state to this hub, by id. */
  const addresses = new Map<string, string>();
  let hubSinceMs: number | undefined;
  let loggedAtMs = -Infinity;
  let isReportScheduled = false;
  let isDecisionScheduled = false;
  let decidedAtMs = -Infinity;
  let stateSentAtMs = -Infinity;
  /** Hub that the last state was sent to. */
  let reportedHubId: string | undefined;

  function emit(events: readonly workClient.WorkEvent[]): void {
    for (const event of events) options.onEvent(event);
  }

  /**
   * Whether this entry is the hub and has warmed up. A hub without other
   * entries needs no warm-up.
   */
  function isActiveHub(): boolean {
    if (!members.isHub()) {
      hubSinceMs = undefined;
      return false;
    }
    if (hubSinceMs === undefined) {
      hubSinceMs = scheduler.now();
      hub.takeOver();
    }
    const hasWarmedUp = scheduler.now() - hubSinceMs >= hubWarmUpMs;
    return hasWarmedUp || members.countEntries() === 1;
  }

  function deliver(byEntry: ReadonlyMap<string, work.Decisions>): void {
    for (const [entryId, decisions] of byEntry) {
      if (entryId === options.entryId) {
        emit(client.receive(decisions));
        continue;
      }
      const address = addresses.get(entryId);
      const message: DispatchMessage = { kind: "decisions", decisions };
      if (address !== undefined) options.sockets.send(message, address);
    }
  }

  function recordAtHub(state: work.WorkState): void {
    hub.record(state);
    scheduleDecisions();
  }

  /**
   * Schedules one decision on all states that arrive until then: a decision takes
   * much longer than recording a state.
   */
  function scheduleDecisions(): void {
    if (isDecisionScheduled) return;
    isDecisionScheduled = true;
    const elapsedMs = scheduler.now() - decidedAtMs;
    scheduler.schedule(decide, {
      delayMs: Math.max(0, decisionIntervalMs - elapsedMs),
      signal,
    });
  }

  function decide(): void {
    isDecisionScheduled = false;
    if (!isActiveHub()) return;
    decidedAtMs = scheduler.now();
    deliver(hub.decide());
  }

  function reportState(): void {
    isReportScheduled = false;
    stateSentAtMs = scheduler.now();
    reportedHubId = members.getHub().id;
    const state = client.buildState();
    if (isActiveHub()) return recordAtHub(state);
    if (members.isHub()) return;
    const message: DispatchMessage = { kind: "work", state };
    options.sockets.send(message, members.getHub().address);
  }

  /**
   * Schedules one report for all changes of the current event loop iteration.
   */
  function scheduleReport(): void {
    if (isReportScheduled) return;
    isReportScheduled = true;
    scheduler.schedule(reportState, { delayMs: 0, signal });
  }

  /**
   * Logs the load at the hub, so that operators see why requests are refused.
   */
  function writeLoadLog(): void {
    if (!isActiveHub() || scheduler.now() - loggedAtMs < logIntervalMs) return;
    loggedAtMs = scheduler.now();
    options.logger.info("Load of the pools", { pools: hub.describe() });
  }

  function tick(): void {
    writeLoadLog();
    emit(client.tick());
    const isWaiting = client.hasWaiting();
    const intervalMs = isWaiting ? waitingIntervalMs : idleIntervalMs;
    const isDue = scheduler.now() - stateSentAtMs >= intervalMs;
    if (isDue || members.getHub().id !== reportedHubId) reportState();
    if (isActiveHub()) scheduleDecisions();
    scheduler.schedule(tick, { delayMs: waitingIntervalMs, signal });
  }

  tick();
  return {
    setUpstreams(upstreams, pools) {
      client.setUpstreams(upstreams);
      hub.setUpstreams(upstreams, pools);
    },
    recordGap: client.recordGap,
    recordFirstPart: client.recordFirstPart,
    requestSlot(request) {
      client.requestSlot(request);
      scheduleReport();
    },
    recordStart(request) {
      // The hub counts a granted slot as used until the next report.
      client.recordStart(request);
    },
    drop(key) {
      client.drop(key);
      scheduleReport();
    },
    handle(message, senderAddress) {
      if (message.kind === "decisions") {
        return emit(client.receive(message.decisions));
      }
      addresses.set(message.state.entryId, senderAddress);
      if (isActiveHub()) return recordAtHub(message.state);
      // A hub that warms up learns the rate limits before it grants slots.
      if (message.state.rateLimits !== undefined) {
        options.rateLimits.merge(message.state.rateLimits);
      }
    },
    reportRateLimit: scheduleReport,
    hasHub: client.hasHub,
    describe: hub.describe,
  };
}
