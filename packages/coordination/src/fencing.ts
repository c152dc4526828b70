/**
 * Fencing gate that all orders to one engine pass through. It compares the term
 * of each order (epoch of the ownership, fencing number of the lease, sequence
 * number) with the highest accepted term and never accepts a lower term.
 *
 * A new gate has no state, so it first reads the floor (the lowest term that is
 * still accepted) from the object store, then reads back what the engine has in
 * force. It runs one order at a time. If the engine ignores fencing numbers,
 * the gate must be the only path to it, and before reading back it waits until
 * an order that its predecessor may have left in flight has either taken effect
 * or been abandoned (`settleMs`).
 *
 * Deterministic state machine; the embedder executes its effects.
 */

/** Position of an order among all orders to one engine. */
export interface OrderTerm {
  /** Epoch of the ownership under which the order is given. */
  readonly epoch: number;
  /** Fencing number of the lease whose holder gives the order. */
  readonly fencingNumber: number;
  /** Increases with each order of a holder. */
  readonly sequence: number;
}

/** Lowest term that is still accepted, without its sequence number. */
export type Floor = Omit<OrderTerm, "sequence">;

export interface FencedOrder<Order> {
  readonly id: string;
  readonly term: OrderTerm;
  readonly order: Order;
}

/** Outcome of an order at the engine. */
export type ExecutionOutcome =
  | { readonly kind: "done" }
  /** The engine refused the order; no part of the order is in force. */
  | { readonly kind: "refused"; readonly message: string }
  /** The order may have taken effect. */
  | { readonly kind: "unknown"; readonly message: string };

export type OrderAnswer<State> =
  | { readonly kind: "done" }
  /** A higher term was accepted earlier; the order did not run. */
  | { readonly kind: "fenced"; readonly floor: OrderTerm }
  /** The floor or the engine's state is unavailable; the order did not run. */
  | { readonly kind: "not_ready"; readonly message: string }
  | { readonly kind: "refused"; readonly message: string }
  /** The outcome is unknown; `inForce` is what the engine has in force. */
  | {
    readonly kind: "unknown";
    readonly message: string;
    readonly inForce?: State;
  };

export type GateEvent<Order, State> =
  | { readonly kind: "order"; readonly order: FencedOrder<Order> }
  /** From now on, orders of earlier epochs are not accepted. */
  | { readonly kind: "epoch"; readonly epoch: number }
  | { readonly kind: "settled" }
  | { readonly kind: "floor"; readonly floor: Floor | undefined }
  | {
    readonly kind: "state";
    /** Undefined when the engine did not answer. */
    readonly state: State | undefined;
  }
  | { readonly kind: "executed"; readonly outcome: ExecutionOutcome };

export type GateEffect<Order, State> =
  /** Answer with `settled` after the delay. */
  | { readonly kind: "wait"; readonly delayMs: number }
  /** Read the floor from the object store; answer with `floor`. */
  | { readonly kind: "read_floor" }
  /** Read what the engine has in force; answer with `state`. */
  | { readonly kind: "read_state" }
  /** Send the order to the engine; answer with `executed`. */
  | { readonly kind: "execute"; readonly order: FencedOrder<Order> }
  | {
    readonly kind: "answer";
    readonly id: string;
    readonly answer: OrderAnswer<State>;
  };

export interface Gate<Order, State> {
  handle(event: GateEvent<Order, State>): readonly GateEffect<Order, State>[];
}

export interface GateOptions {
  /** Whether the engine itself refuses lower fencing numbers. */
  readonly checksFencing: boolean;
  /**
   * Maximum time until an order that the engine has received is in force, in
   * milliseconds.
   * @default 2000
   */
  readonly settleMs?: number;
  /**
   * Maximum number of queued orders; further ones are answered `not_ready`.
   * @default 64
   */
  readonly queueLimit?: number;
}

const defaultSettleMs = 2_000;
const defaultQueueLimit = 64;
/** Lasts 17 years at 500 writes per second; leaves room for 32768 epochs. */
const fencingNumberRange = 2 ** 38;

/** Compares by epoch, then fencing number, then sequence number. */
export function compareTerms(left: OrderTerm, right: OrderTerm): number {
  return left.epoch - right.epoch ||
    left.fencingNumber - right.fencingNumber ||
    left.sequence - right.sequence;
}

/**
 * Computes the single number that engines compare. The epoch takes precedence,
 * because the fencing numbers of two owners' leases are unrelated.
 */
export function computeEngineFencingNumber(floor: Floor): number {
  const { epoch, fencingNumber } = floor;
  const combined = epoch * fencingNumberRange + fencingNumber;
  if (fencingNumber < fencingNumberRange && Number.isSafeInteger(combined)) {
    return combined;
  }
  throw new RangeError(
    `Epoch ${epoch} with fencing number ${fencingNumber} exceeds the range of engine numbers`,
  );
}

/** Creates the gate of one engine; it runs no order before it has the floor. */
export function createGate<Order, State>(
  options: GateOptions,
): Gate<Order, State> {
  const settleMs = options.settleMs ?? defaultSettleMs;
  const queueLimit = options.queueLimit ?? defaultQueueLimit;
  const queue: FencedOrder<Order>[] = [];
  let highestTerm: OrderTerm | undefined;
  let highestOrderId = "";
  /**
   * `unsettled`: an earlier order may still take effect; `new`: the gate has no
   * floor; `ready`: orders may run.
   */
  let stage: "unsettled" | "new" | "ready" = options.checksFencing
    ? "new"
    : "unsettled";
  let minEpoch = 0;
  let isBusy = false;
  let runningOrder: FencedOrder<Order> | undefined;
  /** Order with an unknown outcome; answered once the state has been read. */
  let openOrder: { readonly id: string; readonly message: string } | undefined;
  let effects: GateEffect<Order, State>[] = [];

  function reply(id: string, answer: OrderAnswer<State>): void {
    effects.push({ kind: "answer", id, answer });
  }

  function requestEffect(effect: GateEffect<Order, State>): void {
    isBusy = true;
    effects.push(effect);
  }

  function refuseQueued(message: string): void {
    for (const { id } of queue.splice(0)) {
      reply(id, { kind: "not_ready", message });
    }
  }

  /** A repeat of the latest order is not fenced and runs again. */
  function isFenced({ id, term }: FencedOrder<Order>): boolean {
    if (highestTerm === undefined || id === highestOrderId) return false;
    return compareTerms(term, highestTerm) <= 0;
  }

  function executeNext(): void {
    const nextOrder = queue.shift();
    if (nextOrder === undefined) return;
    if (highestTerm !== undefined && isFenced(nextOrder)) {
      reply(nextOrder.id, { kind: "fenced", floor: highestTerm });
      return executeNext();
    }
    highestTerm = nextOrder.term;
    highestOrderId = nextOrder.id;
    requestEffect({ kind: "execute", order: nextOrder });
    runningOrder = nextOrder;
  }

  function advance(): void {
    if (isBusy || queue.length === 0) return;
    switch (stage) {
      case "unsettled":
        return requestEffect({ kind: "wait", delayMs: settleMs });
      case "new":
        return requestEffect({ kind: "read_floor" });
      case "ready":
        return executeNext();
    }
  }

  function raiseEpoch(epoch: number): void {
    minEpoch = Math.max(minEpoch, epoch);
    if (highestTerm === undefined || highestTerm.epoch >= epoch) return;
    highestTerm = { epoch, fencingNumber: 0, sequence: -1 };
  }

  function handleFloor(floor: Floor | undefined): void {
    if (floor === undefined) {
      return refuseQueued("The floor could not be read from the store");
    }
    // Below every sequence number, so that the current holder's orders pass.
    highestTerm = { ...floor, sequence: -1 };
    raiseEpoch(minEpoch);
    requestEffect({ kind: "read_state" });
  }

  function handleState(state: State | undefined): void {
    if (openOrder !== undefined) {
      const { id, message } = openOrder;
      openOrder = undefined;
      if (state === undefined) stage = "unsettled";
      return reply(id, { kind: "unknown", message, inForce: state });
    }
    if (state === undefined) {
      return refuseQueued("The engine did not tell what it has in force");
    }
    stage = "ready";
  }

  function handleExecuted(outcome: ExecutionOutcome): void {
    const id = runningOrder?.id ?? "";
    runningOrder = undefined;
    if (outcome.kind !== "unknown") return reply(id, outcome);
    openOrder = { id, message: outcome.message };
    if (options.checksFencing) return requestEffect({ kind: "read_state" });
    stage = "unsettled";
    requestEffect({ kind: "wait", delayMs: settleMs });
  }

  /** Continues after the wait at the start or after an unknown outcome. */
  function handleSettled(): void {
    stage = highestTerm === undefined ? "new" : "ready";
    if (openOrder !== undefined) requestEffect({ kind: "read_state" });
  }

  function enqueue(order: FencedOrder<Order>): void {
    if (queue.length < queueLimit) {
      queue.push(order);
      return;
    }
    const message = `${queueLimit} orders wait already`;
    reply(order.id, { kind: "not_ready", message });
  }

  function dispatch(event: GateEvent<Order, State>): void {
    if (event.kind === "order") return enqueue(event.order);
    if (event.kind === "epoch") return raiseEpoch(event.epoch);
    isBusy = false;
    switch (event.kind) {
      case "settled":
        return handleSettled();
      case "floor":
        return handleFloor(event.floor);
      case "state":
        return handleState(event.state);
      case "executed":
        return handleExecuted(event.outcome);
    }
  }

  return {
    handle(event) {
      effects = [];
      dispatch(event);
      advance();
      return effects;
    },
  };
}
