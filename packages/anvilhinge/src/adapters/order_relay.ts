/**
 * Relays orders: sends an order of one process to an engine from the machine of
 * another process, over datagrams.
 */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import type * as groupMessages from "../ports/group_messages.ts";
import type * as rankEngine from "../ports/rank_engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as datagrams from "./datagrams.ts";

export interface OrderRelayOptions {
  readonly sockets: datagrams.Datagrams;
  /** Opens the engine at an address. */
  readonly openEngine: (
    address: string,
  ) => Pick<rankEngine.RankEngine, "sendOrder">;
}

export interface OrderRelay {
  handle(message: groupMessages.RelayMessage, from: string): Promise<void>;
}

/** Creates the side that sends the orders of others to engines. */
export function createOrderRelay(
  { sockets, openEngine }: OrderRelayOptions,
): OrderRelay {
  const engines = new Map<string, ReturnType<typeof openEngine>>();

  function getEngine(address: string): ReturnType<typeof openEngine> {
    const engine = engines.get(address) ?? openEngine(address);
    engines.set(address, engine);
    return engine;
  }

  return {
    // A request that arrives twice is sent twice: repeated orders are harmless.
    async handle({ id, engine, order, epoch }, from) {
      const reply = await getEngine(engine).sendOrder(order, epoch);
      const message: groupMessages.RelayedMessage = {
        kind: "relayed",
        id,
        reply,
      };
      sockets.send(message, from);
    },
  };
}

export type RelayedOrder = Omit<groupMessages.RelayMessage, "kind" | "id">;

export interface RelayClient {
  /**
   * Lets the process at an address send an order; resolves to undefined if that
   * process does not answer in time.
   */
  send(
    address: string,
    order: RelayedOrder,
  ): Promise<rankOrders.OrderReply | undefined>;
  handle(message: groupMessages.RelayedMessage): void;
}

export interface RelayClientOptions {
  readonly sockets: datagrams.Datagrams;
  readonly scheduler: scheduler.Scheduler;
  /** Makes the ids of this process's requests unique. */
  readonly incarnation: string;
}

/** Covers one retransmission and the timeout of the order at the engine. */
const answerTimeoutMs = 150;
const resendIntervalMs = 40;

/** Creates the side that lets other processes send its orders. */
export function createRelayClient(
  { sockets, scheduler, incarnation }: RelayClientOptions,
): RelayClient {
  const pending = new Map<
    string,
    (reply: rankOrders.OrderReply | undefined) => void
  >();
  let count = 0;

  return {
    send(address, order) {
      count += 1;
      const id = `${incarnation}/${count}`;
      const message: groupMessages.RelayMessage = {
        kind: "relay",
        id,
        ...order,
      };
      const abort = new AbortController();
      const { signal } = abort;
      return new Promise((resolve) => {
        function finish(reply: rankOrders.OrderReply | undefined): void {
          abort.abort();
          pending.delete(id);
          resolve(reply);
        }
        pending.set(id, finish);
        sockets.send(message, address);
        scheduler.schedule(() => sockets.send(message, address), {
          delayMs: resendIntervalMs,
          signal,
        });
        scheduler.schedule(() => finish(undefined), {
          delayMs: answerTimeoutMs,
          signal,
        });
      });
    },
    handle: ({ id, reply }) => pending.get(id)?.(reply),
  };
}
