/**
 * Link of an entry to the agents of groups: passes their reports to the hub, and
 * sends orders for them, so that a machine of the group need not send them.
 */
import type * as groupReports from "@anvilhinge/coordination/dispatch/group_reports";
import type * as datagrams from "../../adapters/datagrams.ts";
import * as orderRelay from "../../adapters/order_relay.ts";
import type * as groupMessages from "../../ports/group_messages.ts";
import type * as slotCoordinator from "./slot_coordinator.ts";

export type GroupLinkMessage =
  | groupMessages.GroupMessage
  | groupMessages.RelayMessage;

export interface GroupLinkOptions
  extends Pick<orderRelay.OrderRelayOptions, "openEngine"> {
  readonly members: Pick<slotCoordinator.EntryMembership, "getHub" | "isHub">;
  readonly groups: groupReports.GroupReports;
  readonly sockets: datagrams.Datagrams;
}

export interface GroupLink {
  handle(message: GroupLinkMessage, from: string): void;
}

/** Creates the link of one entry. */
export function createGroupLink(options: GroupLinkOptions): GroupLink {
  const { members, groups, sockets } = options;
  const relay = orderRelay.createOrderRelay(options);

  function receiveReport(
    { report, isForwarded }: groupMessages.GroupMessage,
    from: string,
  ): void {
    groups.record(report);
    if (isForwarded) return;
    const received: groupMessages.GroupReceivedMessage = {
      kind: "group_received",
    };
    sockets.send(received, from);
    if (members.isHub()) return;
    const forwarded: groupMessages.GroupMessage = {
      kind: "group",
      report,
      isForwarded: true,
    };
    sockets.send(forwarded, members.getHub().address);
  }

  return {
    handle(message, from) {
      if (message.kind === "group") receiveReport(message, from);
      else void relay.handle(message, from);
    },
  };
}
