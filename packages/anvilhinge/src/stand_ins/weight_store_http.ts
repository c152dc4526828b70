/**
 * HTTP adapter of the weight store stand-in:
 * `GET /weights/<name>?bytes=` is answered at the time at which a download of
 * that many bytes would complete.
 */
import type * as scheduler from "../ports/scheduler.ts";
import type * as faults from "./faults.ts";
import * as httpServer from "./http_server.ts";
import type * as weightStore from "./weight_store.ts";

export interface WeightStoreHttpOptions {
  readonly store: weightStore.WeightStore;
  readonly faults: faults.FaultSwitch;
  readonly scheduler: scheduler.Scheduler;
}

/** Creates the server of a weight store. */
export function createWeightStoreHttp(
  options: WeightStoreHttpOptions,
): httpServer.StandInServer {
  const handler = (request: httpServer.HttpRequest) => handle(request, options);
  return httpServer.createServer({ ...options, handler });
}

async function handle(
  { method, path, query }: httpServer.HttpRequest,
  { store, scheduler: timers }: WeightStoreHttpOptions,
): Promise<httpServer.HttpAnswer> {
  if (method !== "GET" || !path.startsWith("/weights/")) {
    return httpServer.encodeError(404, `No ${method} ${path} here`);
  }
  const bytes = Number(query.get("bytes") ?? Number.NaN);
  if (!Number.isSafeInteger(bytes) || bytes < 0) {
    const message = "Query parameter bytes must be a whole number from 0 on";
    return httpServer.encodeError(400, message);
  }
  const delayMs = store.scheduleDownload(bytes) - timers.now();
  await new Promise<void>((resolve) => timers.schedule(resolve, { delayMs }));
  return httpServer.encodeJson(200, { bytes });
}
