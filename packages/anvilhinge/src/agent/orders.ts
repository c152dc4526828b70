/**
 * Passes orders to the engine beside the agent through the fencing gate, whose
 * effects are executed here. The gate's floor, the lowest term that it accepts,
 * is read from the object store: the epoch from the group's assignment, the
 * fencing number from the lease that covers the duty to control the group. The
 * orders of switch rounds (`ranks/`) don't pass through this gate; their epoch
 * is that of the group's engines.
 */
import * as fencing from "@anvilhinge/coordination/fencing";
import * as leaseRecord from "@anvilhinge/coordination/lease_record";
import * as assignmentCodec from "../adapters/assignment_codec.ts";
import * as leaseKey from "../adapters/lease_key.ts";
import type * as engineOrders from "../ports/engine_orders.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";

export type Order = fencing.FencedOrder<engineOrders.EngineOrder>;
export type OrderAnswer = fencing.OrderAnswer<engineOrders.EngineState>;

export interface OrdersOptions {
  readonly group: string;
  readonly checksFencing: boolean;
  readonly engine: engineOrders.EngineOrders;
  readonly store: Pick<objectStore.ObjectStore, "read">;
  readonly scheduler: scheduler.Scheduler;
  readonly signal: AbortSignal;
  /** Maximum time until a received order is in force, in milliseconds. */
  readonly settleMs?: number;
}

export interface Orders {
  /** Resolves once the order ran, was refused, or has an unknown outcome. */
  submit(order: Order): Promise<OrderAnswer>;
  /** Refuses all further orders of earlier epochs. */
  raiseEpoch(epoch: number): void;
}

type Event = fencing.GateEvent<
  engineOrders.EngineOrder,
  engineOrders.EngineState
>;
type Effect = fencing.GateEffect<
  engineOrders.EngineOrder,
  engineOrders.EngineState
>;

/** Reads the lowest accepted term; undefined if it can't be read. */
export async function readFloor(
  store: Pick<objectStore.ObjectStore, "read">,
  group: string,
): Promise<fencing.Floor | undefined> {
  const assignmentRead = await store.read(assignmentCodec.formatKey(group));
  if (assignmentRead.kind !== "found") return undefined;
  const record = assignmentCodec.parseAssignment(assignmentRead.object.value);
  if (record === undefined) return undefined;
  const key = leaseKey.formatDutyLeaseKey(record.half, group);
  const leaseRead = await store.read(key);
  if (leaseRead.kind !== "found") return undefined;
  const { value, version } = leaseRead.object;
  const lease = leaseRecord.parseLeaseRecord(value);
  if (lease === undefined) return undefined;
  const fencingNumber = leaseRecord.getFencingNumber(lease, version);
  return { epoch: record.epoch, fencingNumber };
}

/** Creates the order path of one agent. */
export function createOrders(options: OrdersOptions): Orders {
  const { engine, scheduler } = options;
  const gate = fencing.createGate<
    engineOrders.EngineOrder,
    engineOrders.EngineState
  >({ checksFencing: options.checksFencing, settleMs: options.settleMs });
  /** Callbacks by order id; an order that was submitted again has several. */
  const pendingCallbacks = new Map<string, ((answer: OrderAnswer) => void)[]>();

  async function execute(effect: Effect): Promise<void> {
    switch (effect.kind) {
      case "wait":
        return scheduler.schedule(() => feed({ kind: "settled" }), {
          delayMs: effect.delayMs,
          signal: options.signal,
        });
      case "read_floor": {
        const floor = await readFloor(options.store, options.group);
        return feed({ kind: "floor", floor });
      }
      case "read_state":
        return feed({ kind: "state", state: await engine.readState() });
      case "execute": {
        const { term, order } = effect.order;
        const engineNumber = fencing.computeEngineFencingNumber(term);
        const outcome = await engine.execute(order, engineNumber);
        return feed({ kind: "executed", outcome });
      }
      case "answer": {
        const callbacks = pendingCallbacks.get(effect.id) ?? [];
        const callback = callbacks.shift();
        if (callbacks.length === 0) pendingCallbacks.delete(effect.id);
        callback?.(effect.answer);
        return;
      }
    }
  }

  function feed(event: Event): void {
    if (options.signal.aborted) return;
    for (const effect of gate.handle(event)) void execute(effect);
  }

  return {
    submit: (order) =>
      new Promise((resolve) => {
        const callbacks = pendingCallbacks.get(order.id) ?? [];
        pendingCallbacks.set(order.id, [...callbacks, resolve]);
        feed({ kind: "order", order });
      }),
    raiseEpoch: (epoch) => feed({ kind: "epoch", epoch }),
  };
}
