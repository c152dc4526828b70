import * as undici from "undici";
import * as manualScheduler from "../testing/manual_scheduler.ts";
import * as faults from "./faults.ts";
import * as weightStore from "./weight_store.ts";
import * as weightStoreHttp from "./weight_store_http.ts";

test("answers a download over HTTP when all bytes have arrived", async () => {
  const controller = new AbortController();
  const scheduler = manualScheduler.createManualScheduler();
  const { baseUrl } = await weightStoreHttp.createWeightStoreHttp({
    store: weightStore.createWeightStore({
      clock: scheduler,
      bytesPerSecond: 1_000,
    }),
    faults: faults.createFaultSwitch(),
    scheduler,
  }).listen({ host: "127.0.0.1", port: 0, signal: controller.signal });
  const dispatcher = new undici.Agent();
  let answeredMs = Infinity;
  const answer = undici
    .request(`${baseUrl}/weights/m?bytes=2000`, { dispatcher })
    .then(async ({ body }) => {
      answeredMs = scheduler.now();
      return await body.json();
    });
  while (scheduler.countTimers() === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await scheduler.advanceAsync(1_999);
  expect(scheduler.countTimers()).toBe(1);
  scheduler.advance(1);
  expect(await answer).toEqual({ bytes: 2_000 });
  expect(answeredMs).toBe(2_000);
  const rejected = await undici.request(`${baseUrl}/weights/m`, { dispatcher });
  expect(rejected.statusCode).toBe(400);
  await rejected.body.dump();
  controller.abort();
  await dispatcher.destroy();
});
