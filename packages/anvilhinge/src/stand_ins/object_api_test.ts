import * as manualScheduler from "../testing/manual_scheduler.ts";
import type * as objectStore from "../ports/object_store.ts";
import * as faults from "./faults.ts";
import * as localObjectStore from "./local_object_store.ts";
import * as objectApi from "./object_api.ts";

function watchAll(
  store: Pick<objectStore.ObjectStore, "watch">,
  sinceVersion = 0,
) {
  const events: objectStore.WatchEvent[] = [];
  const controller = new AbortController();
  const onEvent = (event: objectStore.WatchEvent) => events.push(event);
  store.watch("a/", { sinceVersion, signal: controller.signal, onEvent });
  return { events, controller };
}

function createLocal() {
  const api = objectApi.createObjectApi();
  const scheduler = manualScheduler.createManualScheduler();
  const faultSwitch = faults.createFaultSwitch();
  const options = { faults: faultSwitch, scheduler };
  const store = localObjectStore.createLocalObjectStore(api, options);
  return { api, scheduler, faultSwitch, store };
}

describe("object API", () => {
  test("applies a write only when its version condition holds", () => {
    const api = objectApi.createObjectApi();
    expect(api.write("a/1", { n: 1 }, { ifVersion: 0 }))
      .toEqual({ kind: "accepted", version: 1 });
    expect(api.write("a/2", 2, { ifVersion: 0 }))
      .toEqual({ kind: "accepted", version: 2 });
    expect(api.write("a/1", { n: 9 }, { ifVersion: 0 })).toEqual({
      kind: "conflict",
      current: { key: "a/1", value: { n: 1 }, version: 1 },
    });
    expect(api.remove("a/1", { ifVersion: 2 }).kind).toBe("conflict");
    expect(api.remove("a/1", { ifVersion: 1 }))
      .toEqual({ kind: "accepted", version: 3 });
    expect(api.read("a/1")).toEqual({ kind: "missing" });
    expect(api.write("a/1", 1, { ifVersion: 1 }))
      .toEqual({ kind: "conflict", current: undefined });
    expect(api.list("a/")).toEqual({
      kind: "listed",
      objects: [{ key: "a/2", value: 2, version: 2 }],
      version: 3,
    });
    expect(api.getCallCounts())
      .toEqual({ read: 1, list: 1, write: 4, remove: 2, watch: 0 });
  });

  test("refuses a value larger than 1 MiB", () => {
    const api = objectApi.createObjectApi();
    const fits = "x".repeat(objectApi.valueLimitBytes - 2);
    expect(api.write("a", fits, { ifVersion: 0 }).kind).toBe("accepted");
    expect(api.write("b", fits + "x", { ifVersion: 0 }).kind).toBe("too_large");
    expect(api.read("b")).toEqual({ kind: "missing" });
  });

  test("replays kept events to a watch and closes a watch that needs dropped events", () => {
    const api = objectApi.createObjectApi({ eventLimit: 2 });
    for (let index = 1; index <= 5; index += 1) {
      api.write(`a/${index}`, index, { ifVersion: 0 });
    }
    const recent = watchAll(api, 3);
    const old = watchAll(api, 0);
    api.write("b/1", 0, { ifVersion: 0 });
    api.remove("a/5", { ifVersion: 5 });
    recent.controller.abort();
    api.write("a/9", 9, { ifVersion: 0 });
    expect(recent.events).toEqual([
      { kind: "changed", object: { key: "a/4", value: 4, version: 4 } },
      { kind: "changed", object: { key: "a/5", value: 5, version: 5 } },
      { kind: "removed", key: "a/5", version: 7 },
    ]);
    expect(old.events.map((event) => event.kind)).toEqual(["closed"]);
    expect(api.getCallCounts().watch).toBe(2);
    expect(api.countWatches()).toBe(0);
  });
});

test("delivers only events after the version that a watch starts from", () => {
  const api = objectApi.createObjectApi();
  for (let index = 1; index <= 3; index += 1) {
    api.write(`a/${index}`, index, { ifVersion: 0 });
  }
  const { events } = watchAll(api, 2);
  expect(events)
    .toEqual([{
      kind: "changed",
      object: { key: "a/3", value: 3, version: 3 },
    }]);
});

describe("local object store", () => {
  test("reports an executed write as unknown when its answer is lost", async () => {
    const { api, faultSwitch, store } = createLocal();
    faultSwitch.set({ kind: "answer_lost" }, { callCount: 1 });
    expect((await store.write("k", 1, { ifVersion: 0 })).kind).toBe("unknown");
    expect(api.read("k").kind).toBe("found");
    expect((await store.read("k")).kind).toBe("found");
  });

  test("checks the condition of a late write when it is executed", async () => {
    const { scheduler, faultSwitch, store } = createLocal();
    const late = { kind: "late", delayMs: 50 } as const;
    faultSwitch.set(late, { callCount: 2 });
    expect((await store.write("k", 1, { ifVersion: 0 })).kind).toBe("unknown");
    expect((await store.write("j", 1, { ifVersion: 0 })).kind).toBe("unknown");
    expect((await store.write("k", 2, { ifVersion: 0 })).kind).toBe("accepted");
    scheduler.advance(49);
    expect(await store.read("j")).toEqual({ kind: "missing" });
    scheduler.advance(1);
    expect(await store.read("j")).toMatchObject({ object: { value: 1 } });
    expect(await store.read("k")).toMatchObject({ object: { value: 2 } });
  });

  test("applies a duplicated write once", async () => {
    const { api, faultSwitch, store } = createLocal();
    faultSwitch.set({ kind: "duplicated" });
    expect(await store.write("k", 1, { ifVersion: 0 }))
      .toEqual({ kind: "accepted", version: 1 });
    expect(api.getCallCounts().write).toBe(2);
    expect(api.read("k")).toMatchObject({ object: { version: 1 } });
  });

  test("times out a stalled call without executing it", async () => {
    const { api, scheduler, faultSwitch, store } = createLocal();
    faultSwitch.set({ kind: "stall" }, { callCount: 1 });
    const outcome = store.write("k", 1, { ifVersion: 0 });
    scheduler.advance(1_000);
    expect((await outcome).kind).toBe("unknown");
    expect(api.read("k").kind).toBe("missing");
  });

  test("delays events during a stall and closes watches during an outage", async () => {
    const { scheduler, faultSwitch, store } = createLocal();
    const watch = watchAll(store);
    await store.write("a/1", 1, { ifVersion: 0 });
    expect(watch.events).toEqual([]);
    faultSwitch.set({ kind: "stall" });
    scheduler.advance(10);
    expect(watch.events).toEqual([]);
    faultSwitch.set({ kind: "none" });
    scheduler.advance(0);
    expect(watch.events.map((event) => event.kind)).toEqual(["changed"]);
    faultSwitch.set({ kind: "down" });
    scheduler.advance(0);
    expect(watch.events.map((event) => event.kind))
      .toEqual(["changed", "closed"]);
    expect((await store.read("a/1")).kind).toBe("unavailable");
    expect((await store.write("a/2", 1, { ifVersion: 0 })).kind)
      .toBe("unavailable");
  });
});
