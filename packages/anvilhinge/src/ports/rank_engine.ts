/** Interface between an agent and an engine, which runs one rank of a group. */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";

/** Status that an engine reports. */
export interface RankReport {
  readonly group: string;
  /** Number of ranks in the group. */
  readonly size: number;
  readonly state: rankOrders.RankState;
  /** Number of requests that are running. */
  readonly running: number;
  /** Number of requests that are queued. */
  readonly waiting: number;
  /** Time for a unit of work relative to a sound rank; above 1 = slow. */
  readonly pace: number;
  /** Wall-clock time at which the engine started. */
  readonly startedAtMs: number;
}

/** How often the rank's requests selected each expert since engine start. */
export interface ExpertCounts {
  readonly epoch: number;
  /** Counts of all layers, concatenated in layer order. */
  readonly counts: readonly number[];
}

/** Experts that the rank holds according to the active expert map. */
export interface HeldExperts {
  readonly epoch: number;
  readonly version: number;
  /** Expert numbers, indexed by layer. */
  readonly experts: readonly (readonly number[])[];
}

export interface ReadOptions {
  /**
   * Whether an engine that sends an earlier answer once more must not have it
   * taken for this one. It may cost a connection.
   * @default false
   */
  readonly isDecisive?: boolean;
}

/**
 * Engine of one rank; a read without an answer resolves to undefined. The reply to
 * an order other than `prepare` is never that to an earlier one.
 */
export interface RankEngine {
  readReport(options?: ReadOptions): Promise<RankReport | undefined>;
  readCounts(): Promise<ExpertCounts | undefined>;
  readExperts(): Promise<HeldExperts | undefined>;
  sendOrder(
    order: rankOrders.RankOrder,
    epoch: number,
  ): Promise<rankOrders.OrderReply>;
}

/** Options of a client of one rank's engine. */
export interface RankEngineOptions {
  /** Address of the engine as `host:port`. */
  readonly address: string;
  /** Timeout of a read, in milliseconds. */
  readonly readTimeoutMs: number;
  /** Timeout of one send of an order, in milliseconds. */
  readonly orderTimeoutMs: number;
  readonly signal: AbortSignal;
}
