/**
 * Runs the entry's roster, the list of live entries: sends its messages at each
 * tick and passes received messages to it.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as roster from "@anvilhinge/coordination/roster";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";
import type * as routingView from "../routing/routing_view.ts";

/** Details of an entry, sent to the other entries. */
export interface EntryDetails {
  /** Address for callers as `host:port`. */
  readonly callers: string;
  /**
   * Processors' worth of time that the entry may use.
   * @default 0
   */
  readonly capacity?: number;
  readonly failureDomain: string;
  readonly region: string;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
  /**
   * Whether another entry had a newer view lately.
   * @default false
   */
  readonly isOutdated?: boolean;
}

export type EntryMember = roster.MemberInfo<EntryDetails>;
export type RosterMessage = roster.RosterMessage<
  EntryDetails,
  routingView.ViewStatus
>;
type OutgoingMessages = readonly roster.RosterSend<
  EntryDetails,
  routingView.ViewStatus
>[];

export interface RosterNodeOptions {
  readonly self: Omit<EntryMember, "revision">;
  readonly seeds: readonly string[];
  readonly scheduler: scheduler.Scheduler;
  /** Clock that also advances while the machine is suspended. */
  readonly elapsed: clock.Clock;
  /** Returns the status of this entry, which it sends to other entries. */
  readonly readStatus: () => routingView.ViewStatus;
  /** Called with each status received from the hub. */
  readonly onHubStatus: (
    received: roster.ReceivedHubStatus<routingView.ViewStatus>,
  ) => void;
  /** Called with each status received from an entry that is not the hub. */
  readonly onMemberStatus: (status: routingView.ViewStatus) => void;
  /** Whether another entry is known to have a newer view. */
  readonly isViewOutdated: () => boolean;
  readonly sockets: datagrams.Datagrams;
  readonly logger: logger.Logger;
  readonly signal: AbortSignal;
}

export interface RosterNode {
  handle(message: RosterMessage): void;
  setState(state: Pick<EntryDetails, "isReady" | "isLeaving">): void;
  /** Adds addresses of entries that were added to the settings. */
  addSeeds(addresses: readonly string[]): void;
  listLive(): readonly EntryMember[];
  /** Number of live entries whose id is lower than that of this entry. */
  getEntryIndex(): number;
  /**
   * Share of the entries that this entry can reach, of those that were live
   * lately and did not announce that they leave.
   */
  computeReachableShare(): number;
  getHub(): EntryMember;
  isHub(): boolean;
}

/**
 * Time for which an entry that can't be reached counts as alive, as another part of
 * a divided network may still contain it.
 */
const unreachableTtlMs = 30_000;
/**
 * Time for which an entry whose view was outdated is not the hub if others can
 * be. Each change of the hub interrupts the assignment of slots for a moment.
 */
const outdatedHoldMs = 5_000;

/** Starts the roster; it sends its first messages at the first tick. */
export function startRosterNode(options: RosterNodeOptions): RosterNode {
  const { scheduler, signal, logger } = options;
  const machine = roster.createRoster<EntryDetails, routingView.ViewStatus>({
    clock: options.elapsed,
    readStatus: options.readStatus,
    onHubStatus: options.onHubStatus,
    onMemberStatus: options.onMemberStatus,
    self: options.self,
    getTier,
    getCapacity: ({ capacity = 0 }) => capacity,
    seeds: options.seeds,
  });
  let { details } = options.self;
  let outdatedAtMs = -Infinity;
  let loggedHubId: string | undefined;
  let loggedIds = "";

  function send(messages: OutgoingMessages): void {
    for (const { to, message } of messages) options.sockets.send(message, to);
  }

  /** Logs changes of the hub and of the entries that address answers list. */
  function writeMembershipLog(): void {
    const hub = machine.getHub().id;
    if (hub !== loggedHubId) {
      loggedHubId = hub;
      logger.info("Hub changed", { hub, isOwn: machine.isHub() });
    }
    const ids = machine.listLive()
      .filter(({ details: { isReady, isLeaving } }) => isReady && !isLeaving)
      .map(({ id }) => id);
    const joinedIds = [...ids].sort().join(" ");
    if (joinedIds === loggedIds) return;
    loggedIds = joinedIds;
    logger.info("Entries in address answers changed", {
      count: ids.length,
      ids,
    });
  }

  function updateOutdated(): void {
    const nowMs = options.elapsed.now();
    if (options.isViewOutdated()) outdatedAtMs = nowMs;
    const isOutdated = nowMs - outdatedAtMs < outdatedHoldMs;
    if (isOutdated === (details.isOutdated ?? false)) return;
    logger.info("Changed whether this entry's view counts as outdated", {
      isOutdated,
    });
    details = { ...details, isOutdated };
    send(machine.setDetails(details));
  }

  function tick(): void {
    updateOutdated();
    send(machine.tick());
    writeMembershipLog();
    scheduler.schedule(tick, { delayMs: roster.tickMs, signal });
  }

  scheduler.schedule(tick, { delayMs: 0, signal });
  return {
    handle(message) {
      send(machine.handle(message));
    },
    setState(state) {
      details = { ...details, ...state };
      send(machine.setDetails(details));
    },
    addSeeds: machine.addSeeds,
    listLive: machine.listLive,
    getEntryIndex: () =>
      machine.listLive().filter(({ id }) => id < options.self.id).length,
    computeReachableShare() {
      const liveIds = new Set(machine.listLive().map(({ id }) => id));
      const expected = machine.listRecent(unreachableTtlMs)
        .filter(({ id, details }) => liveIds.has(id) || !details.isLeaving);
      return liveIds.size / expected.length;
    },
    getHub: machine.getHub,
    isHub: machine.isHub,
  };
}

/**
 * Returns the tier of an entry for the role of the hub. An entry without a view,
 * or that is about to stop, would assign no slots; one with an outdated view would
 * assign those of upstreams that have left, and none of new ones.
 */
function getTier(
  { isReady, isLeaving, isOutdated = false }: EntryDetails,
): number {
  if (!isReady || isLeaving) return 0;
  return isOutdated ? 1 : 2;
}
