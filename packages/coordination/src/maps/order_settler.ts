/**
 * Settles one order at one rank: resends the order until the rank's reply or
 * its state shows that the order took effect or no longer can. An order whose
 * reply is lost may take effect seconds later, so repeated and late copies must
 * be harmless; `switch_round.ts` explains why they are. Deterministic state
 * machine: replies and states in, effects out.
 */
import * as rankOrders from "./rank_orders.ts";

export interface OrderSettlerOptions {
  readonly order: rankOrders.RankOrder;
  /** Epoch for which the order is valid. */
  readonly epoch: number;
  /** Number of sends after which the order is abandoned as unsettled. */
  readonly maxSends: number;
}

export type OrderSettlerEvent =
  | { readonly kind: "state"; readonly state: rankOrders.RankState }
  | { readonly kind: "reply"; readonly reply: rankOrders.OrderReply }
  /** The rank's state could not be read. */
  | { readonly kind: "silent" }
  /** The order timed out. */
  | { readonly kind: "deadline" };

export type OrderSettlerEffect =
  /** Read the rank's state; `state` or `silent` follows. */
  | { readonly kind: "read"; readonly afterMs: number }
  /** Send the order; `reply` follows. */
  | { readonly kind: "send" }
  | { readonly kind: "finish"; readonly outcome: rankOrders.OrderOutcome };

export interface OrderSettler {
  start(): readonly OrderSettlerEffect[];
  handle(event: OrderSettlerEvent): readonly OrderSettlerEffect[];
}

/** Interval between reads of a rank that is copying experts. */
const copyPollMs = 15;
/** Delay before the state is read again after a failed read. */
const readRetryMs = 10;

/** Creates the state machine for one order. */
export function createOrderSettler(options: OrderSettlerOptions): OrderSettler {
  const { order, epoch } = options;
  let sendCount = 0;
  let isCopying = false;
  let isFinished = false;

  function finish(
    outcome: rankOrders.OrderOutcome,
  ): readonly OrderSettlerEffect[] {
    isFinished = true;
    return [{ kind: "finish", outcome }];
  }

  function send(): readonly OrderSettlerEffect[] {
    if (sendCount >= options.maxSends) {
      const reason = "no sending took effect";
      return finish({ kind: "unsettled", reason });
    }
    sendCount += 1;
    return [{ kind: "send" }];
  }

  function handleState(
    state: rankOrders.RankState,
  ): readonly OrderSettlerEffect[] {
    if (state.epoch !== epoch || !state.isOpen) {
      const reason = "the group has another epoch or is broken";
      return finish({ kind: "impossible", state, reason });
    }
    if (rankOrders.isOrderSatisfied(order, state)) {
      return finish({ kind: "done", state, sendings: sendCount });
    }
    if (isCopying) return [{ kind: "read", afterMs: copyPollMs }];
    const reason = rankOrders.findObstacle(order, state);
    return reason === undefined
      ? send()
      : finish({ kind: "impossible", state, reason });
  }

  function handleReply(
    reply: rankOrders.OrderReply,
  ): readonly OrderSettlerEffect[] {
    if (reply !== "accepted") return [{ kind: "read", afterMs: 0 }];
    // The rank reports a prepared map only after it has copied the experts.
    if (order.kind === "prepare") {
      isCopying = true;
      return [{ kind: "read", afterMs: copyPollMs }];
    }
    return finish({ kind: "done", state: undefined, sendings: sendCount });
  }

  return {
    start: send,
    handle(event) {
      if (isFinished) return [];
      switch (event.kind) {
        case "state":
          return handleState(event.state);
        case "reply":
          return handleReply(event.reply);
        case "silent":
          return [{ kind: "read", afterMs: readRetryMs }];
        case "deadline":
          return finish({
            kind: "unsettled",
            reason: "the time for the order is over",
          });
      }
    },
  };
}
