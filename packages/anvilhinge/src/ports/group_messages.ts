/**
 * Messages about groups between the agents of a group and the entries: reports
 * of the group for the hub, and orders that are sent from another machine.
 */
import type * as groupReports from "@anvilhinge/coordination/dispatch/group_reports";
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";

/** Report of a group, from its leader to the entries that it knows. */
export interface GroupMessage {
  readonly kind: "group";
  readonly report: groupReports.GroupReport;
  /** Whether an entry sends the report on to the hub. */
  readonly isForwarded?: boolean;
}

/** An entry has received a report of a group. */
export interface GroupReceivedMessage {
  readonly kind: "group_received";
}

/** Request to send an order once to the engine of an upstream. */
export interface RelayMessage {
  readonly kind: "relay";
  readonly id: string;
  /** Address of the engine as `host:port`. */
  readonly engine: string;
  readonly order: rankOrders.RankOrder;
  readonly epoch: number;
}

/** Answer to a relayed order. */
export interface RelayedMessage {
  readonly kind: "relayed";
  readonly id: string;
  readonly reply: rankOrders.OrderReply;
}
