/**
 * Follows the groups of ranks for the hub: asks their agents for the state of
 * the groups, over datagrams, and tells which upstreams belong to a group that
 * runs no passes.
 */
import * as groupStates from "@anvilhinge/coordination/dispatch/group_states";
import * as groupWatch from "@anvilhinge/coordination/dispatch/group_watch";
import type * as work from "@anvilhinge/coordination/dispatch/work";
import * as hostPort from "../../adapters/address.ts";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";

export interface GroupFollowerOptions {
  /** Port of the agents' datagrams, the same on all machines. */
  readonly agentPort: number;
  readonly scheduler: scheduler.Scheduler;
  readonly sockets: datagrams.Datagrams;
  readonly logger: logger.Logger;
}

export interface GroupFollower {
  /** Replaces the upstreams whose groups are followed. */
  setUpstreams(upstreams: readonly work.UpstreamSpec[]): void;
  /** Asks the agents whose turn it is; to be called often by the hub. */
  poll(): void;
  handle(message: groupWatch.GroupMessage, senderAddress: string): void;
  /**
   * Lists the ids of the upstreams that can serve no request now. `passMs` is
   * the usual duration of a forward pass.
   */
  listUnavailable(passMs: number): ReadonlySet<string>;
}

/** Creates a follower without upstreams. */
export function createGroupFollower(
  options: GroupFollowerOptions,
): GroupFollower {
  const states = groupStates.createGroupStates({ clock: options.scheduler });
  const watch = groupWatch.createGroupWatch({
    clock: options.scheduler,
    findGroup: states.findGroup,
  });
  let upstreams: readonly work.UpstreamSpec[] = [];
  let loggedIds = "";

  function writeAvailabilityLog(unavailableIds: readonly string[]): void {
    const joinedIds = unavailableIds.join(" ");
    if (joinedIds === loggedIds) return;
    loggedIds = joinedIds;
    options.logger.info("Upstreams of groups without passes changed", {
      count: unavailableIds.length,
      of: upstreams.length,
      ids: unavailableIds,
    });
  }

  return {
    setUpstreams(newUpstreams) {
      upstreams = newUpstreams;
      watch.setRanks(newUpstreams.map(({ address }) => address));
    },
    poll() {
      const message: groupWatch.WatchMessage = { kind: "watch" };
      for (const address of watch.listDue()) {
        const { host } = hostPort.parseAddress(address);
        options.sockets.send(message, `${host}:${options.agentPort}`);
      }
    },
    handle({ report }, senderAddress) {
      states.record(report, senderAddress);
    },
    listUnavailable(passMs) {
      const addresses = states.listUnavailable(passMs);
      const ids = upstreams
        .filter(({ address }) => addresses.has(address))
        .map(({ id }) => id);
      writeAvailabilityLog(ids);
      return new Set(ids);
    },
  };
}
