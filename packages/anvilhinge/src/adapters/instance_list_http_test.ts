import * as undici from "undici";
import type * as ports from "../ports/instance_list.ts";
import * as faults from "../stand_ins/faults.ts";
import * as instanceList from "../stand_ins/instance_list.ts";
import * as instanceListHttp from "../stand_ins/instance_list_http.ts";
import * as manualScheduler from "../testing/manual_scheduler.ts";
import * as adapter from "./instance_list_http.ts";

const instance: ports.Instance = {
  id: "a/1",
  role: "agent",
  half: "association",
  address: "127.0.0.1:1",
  failureDomain: "d1",
  state: "live",
};

test("the stand-in lists instances after the configured lag", async () => {
  const scheduler = manualScheduler.createManualScheduler();
  const registry = instanceList.createInstanceRegistry({
    clock: scheduler,
    lagMs: 100,
  });
  const faultSwitch = faults.createFaultSwitch();
  const localList = instanceList.createLocalInstanceList(registry, {
    faults: faultSwitch,
  });
  registry.register(instance);
  scheduler.advance(50);
  registry.markLeaving("a/1");
  scheduler.advance(49);
  expect(registry.list()).toEqual([]);
  scheduler.advance(1);
  expect(registry.list()).toEqual([instance]);
  registry.remove("a/1");
  scheduler.advance(50);
  expect(registry.list()).toEqual([{ ...instance, state: "leaving" }]);
  scheduler.advance(50);
  expect(await localList.list()).toEqual({ kind: "listed", instances: [] });
  faultSwitch.set({ kind: "down" });
  expect((await localList.list()).kind).toBe("unavailable");
});

test("lists instances that were registered over HTTP", async () => {
  const controller = new AbortController();
  const { signal } = controller;
  const scheduler = manualScheduler.createManualScheduler();
  const registry = instanceList.createInstanceRegistry({
    clock: scheduler,
    lagMs: 0,
  });
  const faultSwitch = faults.createFaultSwitch();
  const { baseUrl } = await instanceListHttp
    .createInstanceListHttp({ registry, faults: faultSwitch, scheduler })
    .listen({ host: "127.0.0.1", port: 0, signal });
  const dispatcher = new undici.Agent();
  const call = (method: "PUT" | "POST" | "DELETE", path: string, body = "") =>
    undici.request(baseUrl + path, { dispatcher, method, body });
  const client = adapter.createHttpInstanceList({
    baseUrl,
    timeoutMs: 5_000,
    dispatcher,
  });

  await call("PUT", "/instances/a%2F1", JSON.stringify(instance));
  expect(await client.list())
    .toEqual({ kind: "listed", instances: [instance] });
  await call("POST", "/instances/a%2F1/leave");
  expect(await client.list())
    .toMatchObject({ instances: [{ id: "a/1", state: "leaving" }] });
  await call("DELETE", "/instances/a%2F1");
  expect(await client.list()).toEqual({ kind: "listed", instances: [] });
  expect((await call("PUT", "/instances/b", "{}")).statusCode).toBe(400);
  faultSwitch.set({ kind: "crash" });
  expect((await client.list()).kind).toBe("unavailable");
  controller.abort();
  await dispatcher.destroy();
});
