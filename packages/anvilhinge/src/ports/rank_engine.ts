/** What an agent asks of the engine beside which it runs, one rank of a group. */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";

/** What an engine says of itself. */
export interface RankReport {
  readonly group: string;
  /** Ranks of the group. */
  readonly size: number;
  readonly state: rankOrders.RankState;
  /** Requests that it works on. */
  readonly running: number;
  /** Requests that wait for it. */
  readonly waiting: number;
  /** Wall-clock instant of the engine's start. */
  readonly startedAtMs: number;
}

/** How often the rank's requests chose each expert since the engine started. */
export interface ExpertCounts {
  readonly epoch: number;
  /** Counts of all layers in one row, layer by layer. */
  readonly counts: readonly number[];
}

/** Experts that the rank holds by the map in force. */
export interface HeldExperts {
  readonly epoch: number;
  readonly version: number;
  /** By layer. */
  readonly experts: readonly (readonly number[])[];
}

/** Reads resolve to undefined when the engine does not answer. */
export interface RankEngine {
  readReport(): Promise<RankReport | undefined>;
  readCounts(): Promise<ExpertCounts | undefined>;
  readExperts(): Promise<HeldExperts | undefined>;
  sendOrder(
    order: rankOrders.RankOrder,
    epoch: number,
  ): Promise<rankOrders.OrderReply>;
}

/** What a client of one rank's engine needs. */
export interface RankEngineOptions {
  /** Address of the engine as `host:port`. */
  readonly address: string;
  /** Longest wait for an answer to a read, in milliseconds. */
  readonly readTimeoutMs: number;
  /** The same for an order. */
  readonly orderTimeoutMs: number;
  readonly signal: AbortSignal;
}
