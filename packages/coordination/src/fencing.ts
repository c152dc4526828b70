/**
 * The gate that orders to one engine pass. It compares the term of each order,
 * (epoch of the ownership, fencing number of the lease, sequence number), with
 * the highest that it has accepted, and never accepts a lower one.
 *
 * After a start it knows nothing, so it first learns the floor from the store,
 * and reads back what the engine has in force. It runs one order at a time. For
 * an engine that ignores fencing numbers the gate is the only path: it waits
 * until an order that its predecessor may have left on the way has either taken
 * effect or been given up (`settleMs`) before it reads back.
 *
 * A deterministic state machine; the embedder carries out its effects.
 */

/** Position of an order among all orders to one engine. */
export interface OrderTerm {
  /** Epoch of the ownership under which the order is given. */
  readonly epoch: number;
  /** Fencing number of the lease of whoever gives the order. */
  readonly fencingNumber: number;
  /** Rises with each order that one holder gives. */
  readonly sequence: number;
}

/** Lowest term that is still accepted, without a sequence number. */
export type Floor = Omit<OrderTerm, "sequence">;

export interface FencedOrder<Order> {
  readonly id: string;
  readonly term: OrderTerm;
  readonly order: Order;
}

/** Answer of the engine to an order. */
export type ExecutionOutcome =
  | { readonly kind: "done" }
  /** The engine refused it and has nothing of it in force. */
  | { readonly kind: "refused"; readonly message: string }
  /** The order may have taken effect. */
  | { readonly kind: "unknown"; readonly message: string };

export type OrderAnswer<State> =
  | { readonly kind: "done" }
  /** A higher term was accepted before; the order did not run. */
  | { readonly kind: "fenced"; readonly floor: OrderTerm }
  /** The floor or the engine's state could not be learnt; it did not run. */
  | { readonly kind: "not_ready"; readonly message: string }
  | { readonly kind: "refused"; readonly message: string }
  /** The outcome is not known; `inForce` is what the engine has in force. */
  | {
    readonly kind: "unknown";
    readonly message: string;
    readonly inForce?: State;
  };

export type GateEvent<Order, State> =
  | { readonly kind: "order"; readonly order: FencedOrder<Order> }
  /** Orders of earlier epochs are no longer accepted. */
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
  /** Read the floor from the store; answer with `floor`. */
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
  /** Whether the engine itself refuses lower numbers. */
  readonly checksFencing: boolean;
  /**
   * Longest time that an order which the engine has received can take to come
   * into force, in milliseconds.
   * @default 2000
   */
  readonly settleMs?: number;
  /**
   * Most orders that wait; more are answered `not_ready`.
   * @default 64
   */
  readonly queueLimit?: number;
}

const defaultSettleMs = 2_000;
const defaultQueueLimit = 64;
/** 17 years at 500 writes a second; leaves room for 32768 epochs. */
const versionRange = 2 ** 38;

/** Compares by epoch, then fencing number, then sequence number. */
export function compareTerms(left: OrderTerm, right: OrderTerm): number {
  return left.epoch - right.epoch ||
    left.fencingNumber - right.fencingNumber ||
    left.sequence - right.sequence;
}

/**
 * Computes the one number that engines compare. The fencing numbers of the two
 * owners' leases are unrelated, so that the epoch must weigh more.
 */
export function computeEngineFencingNumber(floor: Floor): number {
  const { epoch, fencingNumber } = floor;
  const composed = epoch * versionRange + fencingNumber;
  if (fencingNumber < versionRange && Number.isSafeInteger(composed)) {
    return composed;
  }
  throw new RangeError(
    `Epoch ${epoch} with fencing number ${fencingNumber} exceeds the range of engine numbers`,
  );
}

/** Creates the gate of one engine; it accepts nothing before the floor is known. */
export function createGate<Order, State>(
  options: GateOptions,
): Gate<Order, State> {
  const settleMs = options.settleMs ?? defaultSettleMs;
  const queueLimit = options.queueLimit ?? defaultQueueLimit;
  const queue: FencedOrder<Order>[] = [];
  let highest: OrderTerm | undefined;
  let highestId = "";
  let stage: "unsettled" | "new" | "ready" = options.checksFencing
    ? "new"
    : "unsettled";
  let lowestEpoch = 0;
  let isBusy = false;
  let running: FencedOrder<Order> | undefined;
  /** Order whose outcome the engine's state must tell. */
  let doubtful: { readonly id: string; readonly message: string } | undefined;
  let effects: GateEffect<Order, State>[] = [];

  function reply(id: string, answer: OrderAnswer<State>): void {
    effects.push({ kind: "answer", id, answer });
  }

  function request(effect: GateEffect<Order, State>): void {
    isBusy = true;
    effects.push(effect);
  }

  function refuseAll(message: string): void {
    for (const { id } of queue.splice(0)) {
      reply(id, { kind: "not_ready", message });
    }
  }

  function isFenced({ id, term }: FencedOrder<Order>): boolean {
    if (highest === undefined || id === highestId) return false;
    return compareTerms(term, highest) <= 0;
  }

  function executeNext(): void {
    const next = queue.shift();
    if (next === undefined) return;
    if (highest !== undefined && isFenced(next)) {
      reply(next.id, { kind: "fenced", floor: highest });
      return executeNext();
    }
    highest = next.term;
    highestId = next.id;
    request({ kind: "execute", order: next });
    running = next;
  }

  function advance(): void {
    if (isBusy || queue.length === 0) return;
    switch (stage) {
      case "unsettled":
        return request({ kind: "wait", delayMs: settleMs });
      case "new":
        return request({ kind: "read_floor" });
      case "ready":
        return executeNext();
    }
  }

  function raiseEpoch(epoch: number): void {
    lowestEpoch = Math.max(lowestEpoch, epoch);
    if (highest === undefined || highest.epoch >= epoch) return;
    highest = { epoch, fencingNumber: 0, sequence: -1 };
  }

  function handleFloor(floor: Floor | undefined): void {
    if (floor === undefined) {
      return refuseAll("The floor could not be read from the store");
    }
    // Below every sequence number, so that the present holder is accepted.
    highest = { ...floor, sequence: -1 };
    raiseEpoch(lowestEpoch);
    request({ kind: "read_state" });
  }

  function handleState(state: State | undefined): void {
    if (doubtful !== undefined) {
      const { id, message } = doubtful;
      doubtful = undefined;
      if (state === undefined) stage = "unsettled";
      return reply(id, { kind: "unknown", message, inForce: state });
    }
    if (state === undefined) {
      return refuseAll("The engine did not tell what it has in force");
    }
    stage = "ready";
  }

  function handleExecuted(outcome: ExecutionOutcome): void {
    const id = running?.id ?? "";
    running = undefined;
    if (outcome.kind !== "unknown") return reply(id, outcome);
    doubtful = { id, message: outcome.message };
    if (options.checksFencing) return request({ kind: "read_state" });
    stage = "unsettled";
    request({ kind: "wait", delayMs: settleMs });
  }

  /** After a wait the state is read, either for a doubtful order or at start. */
  function handleSettled(): void {
    stage = highest === undefined ? "new" : "ready";
    if (doubtful !== undefined) request({ kind: "read_state" });
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
