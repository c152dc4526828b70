/**
 * Brings one order at one rank to an end that is known: sends it until the rank
 * says that it took effect, or its own report shows that it did or can't any
 * more. An order whose answer is lost may be carried out seconds later, so
 * sendings must be harmless whenever they arrive; see `switch_round.ts`.
 * Deterministic: replies and states in, effects out.
 */
import * as rankOrders from "./rank_orders.ts";

export interface OrderSettlerOptions {
  readonly order: rankOrders.RankOrder;
  /** Epoch in which the order is given. */
  readonly epoch: number;
  /** Sendings after which the order is given up. */
  readonly maxSendAttempts: number;
}

export type OrderSettlerEvent =
  | { readonly kind: "state"; readonly state: rankOrders.RankState }
  | { readonly kind: "reply"; readonly reply: rankOrders.OrderReply }
  /** The rank's state can't be read. */
  | { readonly kind: "silent" }
  /** The time for the order is over. */
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

/** Time between two looks at a rank that copies experts. */
const copyPollMs = 15;
const retryReadMs = 10;

/** Creates the machine for one order. */
export function createOrderSettler(options: OrderSettlerOptions): OrderSettler {
  const { order, epoch } = options;
  let sendings = 0;
  let isCopying = false;
  let isFinished = false;

  function finish(
    outcome: rankOrders.OrderOutcome,
  ): readonly OrderSettlerEffect[] {
    isFinished = true;
    return [{ kind: "finish", outcome }];
  }

  function send(): readonly OrderSettlerEffect[] {
    if (sendings >= options.maxSendAttempts) {
      const reason = "no sending took effect";
      return finish({ kind: "unsettled", reason });
    }
    sendings += 1;
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
      return finish({ kind: "done", state, sendings });
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
    // The rank shows a prepared map only once it has copied it.
    if (order.kind === "prepare") {
      isCopying = true;
      return [{ kind: "read", afterMs: copyPollMs }];
    }
    return finish({ kind: "done", state: undefined, sendings });
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
          return [{ kind: "read", afterMs: retryReadMs }];
        case "deadline":
          return finish({
            kind: "unsettled",
            reason: "the time for the order is over",
          });
      }
    },
  };
}
