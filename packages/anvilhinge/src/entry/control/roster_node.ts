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
  /** Returns the status that this entry sends while it is the hub. */
  readonly readHubStatus: () => routingView.ViewStatus;
  /** Called with each status received from the hub. */
  readonly onHubStatus: (
    received: roster.ReceivedHubStatus<routingView.ViewStatus>,
  ) => void;
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

/** Starts the roster; it sends its first messages at the first tick. */
export function startRosterNode(options: RosterNodeOptions): RosterNode {
  const { scheduler, signal, logger } = options;
  const machine = roster.createRoster<EntryDetails, routingView.ViewStatus>({
    clock: options.elapsed,
    readHubStatus: options.readHubStatus,
    onHubStatus: options.onHubStatus,
    self: options.self,
    // An entry without a view, or that is about to stop, would assign no slots.
    getCapacity: ({ capacity = 0, isReady, isLeaving }) =>
      isReady && !isLeaving ? capacity : 0,
    seeds: options.seeds,
  });
  let { details } = options.self;
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

  function tick(): void {
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
