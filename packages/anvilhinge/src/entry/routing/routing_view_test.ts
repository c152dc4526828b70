import * as stream from "node:stream";
import type * as objectStore from "../../ports/object_store.ts";
import type * as routing from "../../settings/routing.ts";
import * as logger from "../../telemetry/logger.ts";
import * as manualScheduler from "../../testing/manual_scheduler.ts";
import type * as routeTable from "./route_table.ts";
import * as routingView from "./routing_view.ts";

interface OpenWatch {
  readonly prefix: string;
  readonly options: objectStore.WatchOptions;
}

/** A store whose answers the test gives by hand. */
function createFakeStore() {
  const objects = new Map<string, objectStore.StoredObject>();
  const watches: OpenWatch[] = [];
  let version = 10;
  let isAway = false;
  let lists = 0;

  function findWatch(prefix: string): OpenWatch | undefined {
    return watches.filter((watch) =>
      watch.prefix === prefix && !watch.options.signal.aborted
    ).at(-1);
  }

  return {
    store: {
      list(prefix: string) {
        lists += 1;
        const outcome: objectStore.ListOutcome = isAway
          ? { kind: "unavailable", message: "away" }
          : {
            kind: "listed",
            version,
            objects: [...objects.values()]
              .filter(({ key }) => key.startsWith(prefix)),
          };
        return Promise.resolve(outcome);
      },
      watch(prefix: string, options: objectStore.WatchOptions) {
        watches.push({ prefix, options });
      },
      read: () => Promise.resolve({ kind: "missing" }),
      write: () => Promise.resolve({ kind: "unavailable", message: "" }),
      remove: () => Promise.resolve({ kind: "unavailable", message: "" }),
    } as objectStore.ObjectStore,
    countLists: () => lists,
    put(key: string, value: unknown) {
      version += 1;
      objects.set(key, { key, value, version });
      return version;
    },
    remove(key: string) {
      version += 1;
      objects.delete(key);
      return version;
    },
    /** Delivers what changed to the watch of a prefix. */
    tell(prefix: string, event: objectStore.WatchEvent) {
      findWatch(prefix)?.options.onEvent(event);
    },
    getConfirmMs: (prefix: string) =>
      findWatch(prefix)?.options.getConfirmIntervalMs?.(),
    setAway(away: boolean) {
      isAway = away;
      if (!away) return;
      for (const prefix of ["config/", "servers/"]) {
        findWatch(prefix)?.options.onEvent({
          kind: "closed",
          message: "away",
          resumeFrom: version,
        });
      }
    },
  };
}

function createSettings(version: number): routing.RoutingSettings {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: [],
  };
}

const source: routingView.RoutingSource = {
  routingPrefix: "config/",
  decodeRouting: ({ value }) =>
    typeof value === "number" ? createSettings(value) : undefined,
  upstreamsPrefix: "servers/",
  decodeUpstream: ({ key, value }) =>
    value === "serving" || value === "leaving"
      ? {
        id: key.slice("servers/".length),
        service: "s",
        address: "10.0.0.1:1",
        failureDomain: "a",
        slots: 1,
        state: value,
        startedAtMs: 1,
      }
      : undefined,
};

async function createView({ isHub = false } = {}) {
  const scheduler = manualScheduler.createManualScheduler();
  const fake = createFakeStore();
  fake.put("config/main", 1);
  fake.put("servers/u1", "serving");
  fake.put("servers/u2", "serving");
  const abort = new AbortController();
  const tables: routeTable.RouteTable[] = [];
  const listed: string[][] = [];
  let ready = 0;
  const view = routingView.startRoutingView({
    source,
    store: fake.store,
    scheduler,
    elapsed: scheduler,
    random: () => 0.5,
    logger: logger.createLogger({
      component: "entry",
      level: "error",
      stream: new stream.PassThrough(),
    }),
    signal: abort.signal,
    isHub: () => isHub,
    onRouting: (table) => void tables.push(table),
    onUpstreams: (upstreams) =>
      void listed.push(upstreams.map(({ id, state }) => `${id} ${state}`)),
    onReady: () => (ready += 1),
  });
  await scheduler.advanceAsync(10);
  return {
    view,
    fake,
    scheduler,
    listVersions: () => tables.map(({ settings }) => settings.version),
    getListed: () => listed.at(-1),
    countReady: () => ready,
  };
}

test("a view is ready once settings and upstreams are known", async () => {
  const { countReady, listVersions, getListed } = await createView();
  expect(countReady()).toBe(1);
  expect(listVersions()).toEqual([1]);
  expect(getListed()).toEqual(["u1 serving", "u2 serving"]);
});

test("a view takes higher versions only", async () => {
  const { fake, listVersions, view } = await createView();
  const version = fake.put("config/main", 5);
  const object = { key: "config/main", value: 5, version };
  fake.tell("config/", { kind: "changed", object });
  fake.tell("config/", {
    kind: "changed",
    object: { ...object, value: 3, version: version - 1 },
  });
  fake.tell("config/", {
    kind: "changed",
    object: { ...object, value: 4, version: version + 1 },
  });
  fake.tell("config/", {
    kind: "changed",
    object: { ...object, value: "no settings", version: version + 2 },
  });
  expect(listVersions()).toEqual([1, 5]);
  expect(view.getTable()?.settings.version).toBe(5);
});

test("both ways of leaving end the use of an upstream", async () => {
  const { fake, getListed } = await createView();
  const version = fake.put("servers/u1", "leaving");
  fake.tell("servers/", {
    kind: "changed",
    object: { key: "servers/u1", value: "leaving", version },
  });
  expect(getListed()).toEqual(["u1 leaving", "u2 serving"]);
  fake.tell("servers/", {
    kind: "removed",
    key: "servers/u2",
    version: fake.remove("servers/u2"),
  });
  expect(getListed()).toEqual(["u1 leaving"]);
});

test("an entry that another writer spoilt names no upstream", async () => {
  const { fake, getListed } = await createView();
  const version = fake.put("servers/u1", { broken: true });
  fake.tell("servers/", {
    kind: "changed",
    object: { key: "servers/u1", value: { broken: true }, version },
  });
  expect(getListed()).toEqual(["u2 serving"]);
});

test("what lapsed while the store was away is gone two seconds after", async () => {
  const { fake, getListed, scheduler } = await createView();
  fake.setAway(true);
  await scheduler.advanceAsync(3_000);
  expect(getListed()).toEqual(["u1 serving", "u2 serving"]);
  fake.remove("servers/u1");
  fake.remove("servers/u2");
  fake.setAway(false);
  // The watch goes on by itself; its history was lost meanwhile.
  await scheduler.advanceAsync(1_500);
  fake.tell("servers/", { kind: "closed", message: "history is gone" });
  await scheduler.advanceAsync(500);
  expect(getListed()).toEqual(["u1 serving", "u2 serving"]);
  fake.tell("servers/", {
    kind: "changed",
    object: {
      key: "servers/u2",
      value: "serving",
      version: fake.put("servers/u2", "serving"),
    },
  });
  await scheduler.advanceAsync(2_500);
  expect(getListed()).toEqual(["u2 serving"]);
});

test("the age is that of the last confirmation", async () => {
  const { fake, scheduler, view } = await createView({ isHub: true });
  expect(view.getAgeMs()).toBeLessThanOrEqual(10);
  await scheduler.advanceAsync(900);
  fake.tell("config/", { kind: "confirmed", asOfMs: scheduler.now() - 200 });
  expect(view.getAgeMs()).toBe(200);
  await scheduler.advanceAsync(5_000);
  expect(view.getAgeMs()).toBe(5_200);
});

test("the hub's news confirm a view that lacks nothing", async () => {
  const { scheduler, view } = await createView();
  await scheduler.advanceAsync(1_000);
  const news = view.readStatus();
  const sentAtMs = scheduler.now() - 50;
  view.applyHubStatus({
    ...news,
    routing: { version: news.routing.version, ageMs: 100 },
  }, sentAtMs);
  expect(view.getAgeMs()).toBe(150);
});

test("news of a version that is missing confirm nothing and end in a list", async () => {
  const { fake, scheduler, view, listVersions } = await createView();
  await scheduler.advanceAsync(1_000);
  const lists = fake.countLists();
  const version = fake.put("config/main", 2);
  const news = view.readStatus();
  const told = { ...news, routing: { version, ageMs: 0 } };
  view.applyHubStatus(told, scheduler.now());
  expect(view.getAgeMs()).toBeGreaterThan(900);
  // The own watch fell silent: nothing comes by it.
  await scheduler.advanceAsync(600);
  expect(fake.countLists()).toBe(lists + 1);
  expect(listVersions()).toEqual([1, 2]);
  view.applyHubStatus(told, scheduler.now());
  expect(view.getAgeMs()).toBeLessThan(10);
});

test("only the hub, or whoever hears nothing, asks the store to confirm", async () => {
  const { fake, scheduler, view } = await createView();
  const tellNews = () => {
    const news = view.readStatus();
    const fresh = { version: news.routing.version, ageMs: 10 };
    const upstreams = { version: news.upstreams.version, ageMs: 10 };
    view.applyHubStatus({ routing: fresh, upstreams }, scheduler.now());
  };
  for (let turn = 0; turn < 10; turn += 1) {
    tellNews();
    await scheduler.advanceAsync(200);
  }
  expect(fake.getConfirmMs("config/")).toBeUndefined();
  await scheduler.advanceAsync(3_000);
  expect(fake.getConfirmMs("config/")).toBe(1_000);
  tellNews();
  await scheduler.advanceAsync(300);
  expect(fake.getConfirmMs("config/")).toBeUndefined();
  const hub = await createView({ isHub: true });
  await hub.scheduler.advanceAsync(500);
  expect(hub.fake.getConfirmMs("config/")).toBe(1_000);
});
