/** Order service of the agent with connect-es; a thin layer over `orders`. */
import type * as connect from "@connectrpc/connect";
import * as orderCodec from "../adapters/order_codec.ts";
import * as ordersPb from "../gen/anvilhinge/v1/orders_pb.ts";
import type * as orders from "./orders.ts";

export interface OrderServiceOptions {
  readonly group: string;
  readonly rank: number;
  readonly orders: Pick<orders.Orders, "submit">;
}

/** Registers the routes of the order service. */
export function registerOrderRoutes(
  router: connect.ConnectRouter,
  options: OrderServiceOptions,
): void {
  router.service(ordersPb.OrderService, {
    async order(request) {
      const { group, rank } = options;
      if (request.group !== group || request.rank !== rank) {
        const message = `This is rank ${rank} of group ${group}`;
        return { outcome: ordersPb.OrderOutcome.REFUSED, message };
      }
      const order = orderCodec.decodeOrder(request);
      if (order === undefined) {
        const message = `Order "${request.id}" names nothing to do`;
        return { outcome: ordersPb.OrderOutcome.REFUSED, message };
      }
      return orderCodec.encodeAnswer(await options.orders.submit(order));
    },
  });
}
