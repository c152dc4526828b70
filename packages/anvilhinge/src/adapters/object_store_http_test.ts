import * as undici from "undici";
import type * as ports from "../ports/object_store.ts";
import * as faults from "../stand_ins/faults.ts";
import * as objectApi from "../stand_ins/object_api.ts";
import * as objectApiHttp from "../stand_ins/object_api_http.ts";
import * as objectStoreHttp from "./object_store_http.ts";
import * as systemScheduler from "./system_scheduler.ts";

const scheduler = systemScheduler.createSystemScheduler();
let controller: AbortController;
let dispatcher: undici.Agent;

beforeEach(() => {
  controller = new AbortController();
  dispatcher = new undici.Agent();
});
afterEach(async () => {
  controller.abort();
  await dispatcher.destroy();
});

async function start(timeoutMs = 5_000) {
  const api = objectApi.createObjectApi();
  const faultSwitch = faults.createFaultSwitch();
  const { signal } = controller;
  const { baseUrl } = await objectApiHttp
    .createObjectApiHttp({ api, faults: faultSwitch, scheduler })
    .listen({ host: "127.0.0.1", port: 0, signal });
  const store = objectStoreHttp.createHttpObjectStore({
    baseUrl,
    timeoutMs,
    dispatcher,
  });
  return { api, faultSwitch, baseUrl, store };
}

describe("object store over HTTP", () => {
  test.each(["a/b", "a/../b c", "..", "ö?#%/", "a//b"])(
    "reads, writes and removes the key %s conditionally",
    async (key) => {
      const { api, store } = await start();
      expect(await store.read(key)).toEqual({ kind: "missing" });
      expect(await store.write(key, { n: 1 }, { ifVersion: 0 }))
        .toEqual({ kind: "accepted", version: 1 });
      const object = { key, value: { n: 1 }, version: 1 };
      expect(await store.read(key)).toEqual({ kind: "found", object });
      expect(await store.write(key, 2, { ifVersion: 0 }))
        .toEqual({ kind: "conflict", current: object });
      expect(await store.list(key))
        .toEqual({ kind: "listed", objects: [object], version: 1 });
      expect((await store.remove(key, { ifVersion: 7 })).kind).toBe("conflict");
      expect(await store.remove(key, { ifVersion: 1 }))
        .toEqual({ kind: "accepted", version: 2 });
      expect(api.read(key)).toEqual({ kind: "missing" });
    },
  );

  test("refuses a large value and a write without a condition", async () => {
    const { api, baseUrl, store } = await start();
    const value = "x".repeat(objectApi.valueLimitBytes);
    expect(await store.write("k", value, { ifVersion: 0 })).toMatchObject({
      kind: "unavailable",
      message: expect.stringContaining("413"),
    });
    const options = { dispatcher, method: "PUT", body: "1" } as const;
    const answer = await undici.request(`${baseUrl}/objects/k`, options);
    expect(answer.statusCode).toBe(428);
    await answer.body.dump();
    expect(api.read("k")).toEqual({ kind: "missing" });
  });

  test("distinguishes a write whose answer was lost from a refused write", async () => {
    const { api, faultSwitch, store } = await start();
    faultSwitch.set({ kind: "answer_lost" }, { callCount: 1 });
    expect((await store.write("k", 1, { ifVersion: 0 })).kind).toBe("unknown");
    expect(api.read("k").kind).toBe("found");
    faultSwitch.set({ kind: "down" }, { callCount: 1 });
    expect((await store.write("j", 1, { ifVersion: 0 })).kind)
      .toBe("unavailable");
    faultSwitch.set({ kind: "crash" }, { callCount: 1 });
    expect((await store.read("k")).kind).toBe("unavailable");
    controller.abort();
    expect((await store.write("j", 1, { ifVersion: 0 })).kind)
      .toBe("unavailable");
  });

  test("reports a stalled write as unknown after the timeout", async () => {
    const { faultSwitch, store } = await start(50);
    faultSwitch.set({ kind: "stall" });
    expect((await store.write("k", 1, { ifVersion: 0 })).kind).toBe("unknown");
    expect((await store.list("")).kind).toBe("unavailable");
  });

  test("delivers watch events in order and reports a broken watch", async () => {
    const { api, faultSwitch, store } = await start();
    const events: ports.WatchEvent[] = [];
    api.write("a/1", "ä", { ifVersion: 0 });
    const closed = new Promise<void>((resolve) =>
      store.watch("a/", {
        sinceVersion: 0,
        signal: controller.signal,
        onEvent(event) {
          events.push(event);
          if (event.kind === "closed") resolve();
          if (events.length === 1) api.write("b/1", 0, { ifVersion: 0 });
          if (events.length === 1) api.remove("a/1", { ifVersion: 1 });
          if (events.length === 2) faultSwitch.set({ kind: "crash" });
        },
      })
    );
    await closed;
    expect(events).toEqual([
      { kind: "changed", object: { key: "a/1", value: "ä", version: 1 } },
      { kind: "removed", key: "a/1", version: 3 },
      { kind: "closed", message: expect.any(String) },
    ]);
    expect(api.getCallCounts().watch).toBe(1);
  });

  test("delivers nothing after the watcher has ended the watch", async () => {
    const { api, store } = await start();
    const watchAbort = new AbortController();
    const events: ports.WatchEvent[] = [];
    api.write("a/1", 1, { ifVersion: 0 });
    store.watch("a/", {
      sinceVersion: 0,
      signal: watchAbort.signal,
      onEvent(event) {
        events.push(event);
        watchAbort.abort();
      },
    });
    while (!watchAbort.signal.aborted || api.countWatches() > 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    api.write("a/2", 1, { ifVersion: 0 });
    await store.read("a/2");
    expect(events).toHaveLength(1);
  });
});
