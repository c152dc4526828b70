/** Client of an engine's orders: `POST /orders` and `GET /orders`. */
import type * as fencing from "@anvilhinge/coordination/fencing";
import type * as undici from "undici";
import type * as engineOrders from "../ports/engine_orders.ts";
import * as httpClient from "./http_client.ts";

export interface HttpEngineOrdersOptions {
  readonly baseUrl: string;
  /** Timeout after which the outcome of an order is reported as unknown. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Creates a client of one engine. */
export function createHttpEngineOrders(
  options: HttpEngineOrdersOptions,
): engineOrders.EngineOrders {
  const dispatcher = httpClient.createDispatcher();
  const target = httpClient.parseTarget(options.baseUrl);
  options.signal.addEventListener("abort", () => void dispatcher.destroy(), {
    once: true,
  });

  function request(body: string | undefined): Promise<
    undici.Dispatcher.ResponseData
  > {
    return dispatcher.request({
      origin: target.origin,
      path: `${target.basePath}/orders`,
      method: body === undefined ? "GET" : "POST",
      headers: { "content-type": "application/json" },
      body: body ?? null,
      signal: AbortSignal.any([
        options.signal,
        AbortSignal.timeout(options.timeoutMs),
      ]),
    });
  }

  return {
    async execute(order, fencingNumber) {
      try {
        const body = JSON.stringify({ ...order, fencingNumber });
        const response = await request(body);
        const text = await response.body.text();
        return convertAnswer(response.statusCode, text);
      } catch (error) {
        const kind = httpClient.isConnectionRefused(error)
          ? "refused"
          : "unknown";
        return { kind, message: httpClient.describeError(error) };
      }
    },
    async readState() {
      try {
        const response = await request(undefined);
        const json = await response.body.text();
        return response.statusCode === 200 ? { json } : undefined;
      } catch {
        return undefined;
      }
    },
  };
}

/** A client error or 503 means that the engine did not apply the order. */
function convertAnswer(
  status: number,
  text: string,
): fencing.ExecutionOutcome {
  if (status === 200) return { kind: "done" };
  const message = `The engine answered ${status}: ${text.slice(0, 200)}`;
  const isRefusal = status === 503 || (status >= 400 && status < 500);
  return { kind: isRefusal ? "refused" : "unknown", message };
}
