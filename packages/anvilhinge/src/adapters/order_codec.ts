/** Converts orders and their answers between wire and agent formats. */
import type * as fencing from "@anvilhinge/coordination/fencing";
import * as protobuf from "@bufbuild/protobuf";
import * as ordersPb from "../gen/anvilhinge/v1/orders_pb.ts";
import type * as engineOrders from "../ports/engine_orders.ts";

type Order = fencing.FencedOrder<engineOrders.EngineOrder>;
type Answer = fencing.OrderAnswer<engineOrders.EngineState>;

/** Decodes a request; undefined if it contains no order of a known kind. */
export function decodeOrder(wire: ordersPb.OrderRequest): Order | undefined {
  const order = decodeBody(wire.order);
  if (order === undefined) return undefined;
  const term = {
    epoch: wire.epoch,
    fencingNumber: Number(wire.fencingNumber),
    sequence: Number(wire.sequence),
  };
  return { id: wire.id, term, order };
}

function decodeBody(
  body: ordersPb.OrderRequest["order"],
): engineOrders.EngineOrder | undefined {
  switch (body.case) {
    case "installMap": {
      const { version, holders } = body.value;
      const ranks = holders.map((expert) => expert.ranks);
      return { kind: "install_map", version, holders: ranks };
    }
    case "loadModel": {
      const { model, version } = body.value;
      return { kind: "load_model", model, version };
    }
    case "setRole":
      return { kind: "set_role", role: body.value.role };
    case undefined:
      return undefined;
  }
}

/** Encodes an order to a rank of a group. */
export function encodeOrder(
  { id, term, order }: Order,
  target: { readonly group: string; readonly rank: number },
): ordersPb.OrderRequest {
  return protobuf.create(ordersPb.OrderRequestSchema, {
    id,
    ...target,
    epoch: term.epoch,
    fencingNumber: BigInt(term.fencingNumber),
    sequence: BigInt(term.sequence),
    order: encodeBody(order),
  });
}

function encodeBody(
  order: engineOrders.EngineOrder,
): protobuf.MessageInitShape<typeof ordersPb.OrderRequestSchema>["order"] {
  switch (order.kind) {
    case "install_map": {
      const holders = order.holders.map((ranks) => ({ ranks: [...ranks] }));
      return { case: "installMap", value: { version: order.version, holders } };
    }
    case "load_model":
      return { case: "loadModel", value: order };
    case "set_role":
      return { case: "setRole", value: order };
  }
}

/** Encodes the answer to an order. */
export function encodeAnswer(answer: Answer): ordersPb.OrderResponse {
  const { OrderOutcome } = ordersPb;
  function create(
    outcome: ordersPb.OrderOutcome,
    message = "",
    inForceJson = "",
  ): ordersPb.OrderResponse {
    return protobuf.create(ordersPb.OrderResponseSchema, {
      outcome,
      message,
      inForceJson,
    });
  }
  switch (answer.kind) {
    case "done":
      return create(OrderOutcome.DONE);
    case "fenced": {
      const { epoch, fencingNumber, sequence } = answer.floor;
      const message = `An order of epoch ${epoch}, fencing number ` +
        `${fencingNumber}, sequence number ${sequence} was accepted before`;
      return create(OrderOutcome.FENCED, message);
    }
    case "not_ready":
      return create(OrderOutcome.NOT_READY, answer.message);
    case "refused":
      return create(OrderOutcome.REFUSED, answer.message);
    case "unknown":
      return create(
        OrderOutcome.UNKNOWN,
        answer.message,
        answer.inForce?.json,
      );
  }
}
