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

/** A store whose contents and watch events are set by the test. */
function createFakeStore() {
  const objects = new Map<string, objectStore.StoredObject>();
  const watches: OpenWatch[] = [];
  let version = 10;
  let era = 1;
  let isUnavailable = false;
  let listCalls = 0;

  function findWatch(prefix: string): OpenWatch | undefined {
    return watches.filter((watch) =>
      watch.prefix === prefix && !watch.options.signal.aborted
    ).at(-1);
  }

  return {
    store: {
      list(prefix: string) {
        listCalls += 1;
        const outcome: objectStore.ListOutcome = isUnavailable
          ? { kind: "unavailable", message: "unavailable" }
          : {
            kind: "listed",
            version,
            era,
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
    countListCalls: () => listCalls,
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
    /** Starts the next era with these objects, each at a version of its own. */
    returnFromCopy(copy: Readonly<Record<string, unknown>>, atVersion = 11) {
      era += 1;
      version = atVersion;
      objects.clear();
      for (const [key, value] of Object.entries(copy)) this.put(key, value);
      for (const prefix of ["config/", "servers/"]) {
        findWatch(prefix)?.options.onEvent({
          kind: "closed",
          message: "new era",
        });
      }
    },
    /** Delivers an event to the open watch of a prefix. */
    emit(prefix: string, event: objectStore.WatchEvent) {
      findWatch(prefix)?.options.onEvent(event);
    },
    getConfirmIntervalMs: (prefix: string) =>
      findWatch(prefix)?.options.getConfirmIntervalMs?.(),
    setUnavailable(value: boolean) {
      isUnavailable = value;
      if (!value) return;
      for (const prefix of ["config/", "servers/"]) {
        findWatch(prefix)?.options.onEvent({
          kind: "closed",
          message: "unavailable",
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

async function createView(
  { isHub = false, maxAgeMs = 4_400, hubSettingsVersion = 0 } = {},
) {
  const scheduler = manualScheduler.createManualScheduler();
  const fake = createFakeStore();
  fake.put("config/main", 1);
  fake.put("servers/u1", "serving");
  fake.put("servers/u2", "serving");
  const abort = new AbortController();
  const tables: routeTable.RouteTable[] = [];
  const upstreamLists: string[][] = [];
  let readyCalls = 0;
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
    maxAgeMs,
    isHub: () => isHub,
    onRouting: (table) => void tables.push(table),
    onUpstreams: (upstreams) =>
      void upstreamLists.push(
        upstreams.map(({ id, state }) => `${id} ${state}`),
      ),
    onReady: () => (readyCalls += 1),
  });
  view.applyHubStatus(
    { ...view.readStatus(), settingsVersion: hubSettingsVersion },
    scheduler.now(),
  );
  await scheduler.advanceAsync(10);
  return {
    view,
    fake,
    scheduler,
    listVersions: () => tables.map(({ settings }) => settings.version),
    getUpstreams: () => upstreamLists.at(-1),
    countReadyCalls: () => readyCalls,
  };
}

test("a view is ready after settings and upstreams were read", async () => {
  const { countReadyCalls, listVersions, getUpstreams } = await createView();
  expect(countReadyCalls()).toBe(1);
  expect(listVersions()).toEqual([1]);
  expect(getUpstreams()).toEqual(["u1 serving", "u2 serving"]);
});

test("a view applies only higher versions", async () => {
  const { fake, listVersions, view } = await createView();
  const version = fake.put("config/main", 5);
  const object = { key: "config/main", value: 5, version };
  fake.emit("config/", { kind: "changed", object });
  fake.emit("config/", {
    kind: "changed",
    object: { ...object, value: 3, version: version - 1 },
  });
  fake.emit("config/", {
    kind: "changed",
    object: { ...object, value: 4, version: version + 1 },
  });
  fake.emit("config/", {
    kind: "changed",
    object: { ...object, value: "no settings", version: version + 2 },
  });
  expect(listVersions()).toEqual([1, 5]);
  expect(view.getTable()?.settings.version).toBe(5);
});

test("an upstream is updated when its state changes and removed with its record", async () => {
  const { fake, getUpstreams } = await createView();
  const version = fake.put("servers/u1", "leaving");
  fake.emit("servers/", {
    kind: "changed",
    object: { key: "servers/u1", value: "leaving", version },
  });
  expect(getUpstreams()).toEqual(["u1 leaving", "u2 serving"]);
  fake.emit("servers/", {
    kind: "removed",
    key: "servers/u2",
    version: fake.remove("servers/u2"),
  });
  expect(getUpstreams()).toEqual(["u1 leaving"]);
});

test("a malformed record removes its upstream", async () => {
  const { fake, getUpstreams } = await createView();
  const version = fake.put("servers/u1", { broken: true });
  fake.emit("servers/", {
    kind: "changed",
    object: { key: "servers/u1", value: { broken: true }, version },
  });
  expect(getUpstreams()).toEqual(["u2 serving"]);
});

test("records that expired during a store outage are removed two seconds after it", async () => {
  const { fake, getUpstreams, scheduler } = await createView();
  fake.setUnavailable(true);
  await scheduler.advanceAsync(3_000);
  expect(getUpstreams()).toEqual(["u1 serving", "u2 serving"]);
  fake.remove("servers/u1");
  fake.remove("servers/u2");
  fake.setUnavailable(false);
  // The watch resumes, but the store has lost the history of the outage.
  await scheduler.advanceAsync(1_500);
  fake.emit("servers/", { kind: "closed", message: "history has expired" });
  await scheduler.advanceAsync(500);
  expect(getUpstreams()).toEqual(["u1 serving", "u2 serving"]);
  fake.emit("servers/", {
    kind: "changed",
    object: {
      key: "servers/u2",
      value: "serving",
      version: fake.put("servers/u2", "serving"),
    },
  });
  await scheduler.advanceAsync(2_500);
  expect(getUpstreams()).toEqual(["u2 serving"]);
});

test("the age is the time since the last confirmation", async () => {
  const { fake, scheduler, view } = await createView({ isHub: true });
  expect(view.getAgeMs()).toBeLessThanOrEqual(10);
  await scheduler.advanceAsync(900);
  fake.emit("config/", { kind: "confirmed", asOfMs: scheduler.now() - 200 });
  expect(view.getAgeMs()).toBe(200);
  await scheduler.advanceAsync(5_000);
  expect(view.getAgeMs()).toBe(5_200);
});

test("the hub's status confirms a view that has all versions", async () => {
  const { scheduler, view } = await createView();
  await scheduler.advanceAsync(1_000);
  const ownStatus = view.readStatus();
  const sentAtMs = scheduler.now() - 50;
  view.applyHubStatus({
    ...ownStatus,
    routing: { ...ownStatus.routing, ageMs: 100 },
  }, sentAtMs);
  expect(view.getAgeMs()).toBe(150);
});

test("a hub status with a version that the view lacks causes a list, not a confirmation", async () => {
  const { fake, scheduler, view, listVersions } = await createView();
  await scheduler.advanceAsync(1_000);
  const listCalls = fake.countListCalls();
  const version = fake.put("config/main", 2);
  const ownStatus = view.readStatus();
  const hubStatus = {
    ...ownStatus,
    routing: { ...ownStatus.routing, version, ageMs: 0 },
  };
  view.applyHubStatus(hubStatus, scheduler.now());
  expect(view.getAgeMs()).toBeGreaterThan(900);
  // The watch of this entry is stalled: it delivers no events.
  await scheduler.advanceAsync(600);
  expect(fake.countListCalls()).toBe(listCalls + 1);
  expect(listVersions()).toEqual([1, 2]);
  view.applyHubStatus(hubStatus, scheduler.now());
  expect(view.getAgeMs()).toBeLessThan(10);
});

describe("when another entry has a newer view", () => {
  async function createBehind() {
    const created = await createView({ isHub: true });
    const { fake, view } = created;
    // The watch doesn't deliver this change.
    fake.setUnavailable(true);
    const version = fake.put("servers/u3", "serving");
    const status = view.readStatus();
    const newer = { ...status, upstreams: { ...status.upstreams, version } };
    view.applyMemberStatus(newer);
    return { ...created, newer };
  }

  test("the view is outdated after a second, until the store answers", async () => {
    const { fake, scheduler, view } = await createBehind();
    await scheduler.advanceAsync(900);
    expect(view.isOutdated()).toBe(false);
    await scheduler.advanceAsync(200);
    expect(view.isOutdated()).toBe(true);
    fake.setUnavailable(false);
    await scheduler.advanceAsync(2_000);
    expect(view.isOutdated()).toBe(false);
  });

  test("the prefix is listed instead of watched", async () => {
    const { fake, scheduler, getUpstreams, view } = await createBehind();
    fake.setUnavailable(false);
    await scheduler.advanceAsync(900);
    expect(getUpstreams()).toContain("u3 serving");
    expect(view.isOutdated()).toBe(false);
  });

  // Guards against a hub that gives up its role because others are always ahead.
  test("a view that trails constant changes by less is not outdated", async () => {
    const { fake, scheduler, view } = await createView({ isHub: true });
    const listCalls = fake.countListCalls();
    for (let change = 0; change < 30; change += 1) {
      const value = change % 2 === 0 ? "serving" : "leaving";
      const version = fake.put("servers/u2", value);
      const status = view.readStatus();
      const upstreams = { ...status.upstreams, version };
      view.applyMemberStatus({ ...status, upstreams });
      // The watch delivers the change only after others have seen the next one.
      scheduler.schedule(() =>
        fake.emit("servers/", {
          kind: "changed",
          object: { key: "servers/u2", value, version },
        }), { delayMs: 150 });
      await scheduler.advanceAsync(100);
      expect(view.isOutdated()).toBe(false);
    }
    expect(fake.countListCalls()).toBe(listCalls);
  });

  test("a status of an older view changes nothing", async () => {
    const { scheduler, view, newer } = await createBehind();
    const { upstreams } = newer;
    const older = { ...upstreams, version: upstreams.version - 2 };
    view.applyMemberStatus({ ...newer, upstreams: older });
    await scheduler.advanceAsync(1_100);
    expect(view.isOutdated()).toBe(true);
  });

  test("a view of an earlier era is outdated", async () => {
    const { fake, scheduler, view } = await createView({ isHub: true });
    fake.setUnavailable(true);
    const status = view.readStatus();
    const { era, version } = status.upstreams;
    const upstreams = { era: era + 1, version: version - 1, ageMs: 0 };
    view.applyMemberStatus({ ...status, upstreams });
    await scheduler.advanceAsync(1_100);
    expect(view.isOutdated()).toBe(true);
  });
});

test("an upstream is unknown to a hub whose view is older than its first record", async () => {
  const { fake, view, scheduler } = await createView();
  const hubStatus = view.readStatus();
  view.applyHubStatus(hubStatus, scheduler.now());
  let version = 0;
  for (const [key, value] of [["u2", "leaving"], ["u3", "serving"]]) {
    version = fake.put(`servers/${key}`, value);
    const object = { key: `servers/${key}`, value, version };
    fake.emit("servers/", { kind: "changed", object });
  }
  // A later record of an upstream doesn't make it unknown.
  expect(["u2", "u3"].map(view.isKnownToHub)).toEqual([true, false]);
  const upstreams = { ...hubStatus.upstreams, version };
  view.applyHubStatus({ ...hubStatus, upstreams }, scheduler.now());
  expect(view.isKnownToHub("u3")).toBe(true);
});

test("only the hub, or an entry that receives no hub status, requests confirmations", async () => {
  const { fake, scheduler, view } = await createView();
  const applyFreshStatus = () => {
    const ownStatus = view.readStatus();
    view.applyHubStatus({
      ...ownStatus,
      routing: { ...ownStatus.routing, ageMs: 10 },
      upstreams: { ...ownStatus.upstreams, ageMs: 10 },
    }, scheduler.now());
  };
  for (let tick = 0; tick < 10; tick += 1) {
    applyFreshStatus();
    await scheduler.advanceAsync(200);
  }
  expect(fake.getConfirmIntervalMs("config/")).toBeUndefined();
  await scheduler.advanceAsync(3_000);
  expect(fake.getConfirmIntervalMs("config/")).toBe(1_000);
  applyFreshStatus();
  await scheduler.advanceAsync(300);
  expect(fake.getConfirmIntervalMs("config/")).toBeUndefined();
  const hub = await createView({ isHub: true });
  await hub.scheduler.advanceAsync(500);
  expect(hub.fake.getConfirmIntervalMs("config/")).toBe(1_000);
});

test.each([900, 1_760, 4_400, 26_000])(
  "without a hub, a view is confirmed before it is %d ms old",
  async (maxAgeMs) => {
    const { fake, scheduler, view } = await createView({ maxAgeMs });
    await scheduler.advanceAsync(0.85 * maxAgeMs);
    expect(view.getAgeMs()).toBeLessThan(maxAgeMs);
    const intervalMs = fake.getConfirmIntervalMs("config/");
    expect(intervalMs).toBeGreaterThan(0);
    expect(intervalMs).toBeLessThanOrEqual(0.25 * maxAgeMs);
  },
);

describe("after the store has returned from a copy", () => {
  const both = { "servers/u1": "serving", "servers/u2": "serving" };

  /** Writes settings and delivers the change to the watch. */
  function putSettings(
    fake: ReturnType<typeof createFakeStore>,
    value: number,
  ): void {
    const version = fake.put("config/main", value);
    const object = { key: "config/main", value, version };
    fake.emit("config/", { kind: "changed", object });
  }

  // Guards against new settings being dropped as outdated by their store version.
  test("settings with a version below those of the previous era are applied", async () => {
    const { fake, listVersions, scheduler } = await createView();
    for (const value of [5, 9]) putSettings(fake, value);
    fake.returnFromCopy({ ...both, "config/main": 5 }, 3);
    await scheduler.advanceAsync(500);
    expect(listVersions()).toEqual([1, 5, 9]);
    for (const value of [9, 12]) putSettings(fake, value);
    expect(listVersions().at(-1)).toBe(12);
  });

  // Guards against revoked keys of the copy being accepted as confirmed.
  test.each([3, 40])(
    "older settings at store version %d are neither applied nor confirmed",
    async (atVersion) => {
      const { fake, listVersions, scheduler, view } = await createView();
      putSettings(fake, 9);
      fake.returnFromCopy({ ...both, "config/main": 7 }, atVersion);
      await scheduler.advanceAsync(3_000);
      fake.emit("config/", { kind: "confirmed", asOfMs: scheduler.now() });
      expect(listVersions()).toEqual([1, 9]);
      expect(view.getAgeMs()).toBeGreaterThanOrEqual(3_000);
      putSettings(fake, 9);
      fake.emit("config/", { kind: "confirmed", asOfMs: scheduler.now() });
      expect(view.getAgeMs()).toBe(0);
    },
  );

  // Guards against an outdated hub, or an entry that knows only the copy.
  test("a hub status of an earlier era doesn't confirm; one of a later era causes a list", async () => {
    const { fake, scheduler, view } = await createView();
    const before = view.readStatus();
    fake.returnFromCopy({ ...both, "config/main": 1 });
    await scheduler.advanceAsync(500);
    const after = view.readStatus();
    expect(after.routing.era).toBe(before.routing.era + 1);
    await scheduler.advanceAsync(900);
    const confirm = (status: routingView.ViewStatus) => {
      const routing = { ...status.routing, ageMs: 0 };
      view.applyHubStatus({ ...status, routing }, scheduler.now());
    };
    confirm(before);
    expect(view.getAgeMs()).toBeGreaterThan(800);
    const listCalls = fake.countListCalls();
    const era = after.routing.era + 1;
    confirm({ ...after, routing: { ...after.routing, era } });
    expect(view.getAgeMs()).toBeGreaterThan(800);
    await scheduler.advanceAsync(600);
    expect(fake.countListCalls()).toBeGreaterThan(listCalls);
  });

  test("an entry that knows only the copy isn't confirmed while the hub has newer settings", async () => {
    const { fake, scheduler, view } = await createView();
    await scheduler.advanceAsync(900);
    view.applyHubStatus(
      { ...view.readStatus(), settingsVersion: 4 },
      scheduler.now(),
    );
    fake.emit("config/", { kind: "confirmed", asOfMs: scheduler.now() });
    expect(view.getAgeMs()).toBeGreaterThanOrEqual(900);
    putSettings(fake, 4);
    fake.emit("config/", { kind: "confirmed", asOfMs: scheduler.now() });
    expect(view.getAgeMs()).toBe(0);
  });

  // Guards against a new entry that serves by the settings of the copy.
  test("an entry that starts is ready once it has the settings of the hub", async () => {
    const { countReadyCalls, fake, scheduler } = await createView({
      hubSettingsVersion: 4,
    });
    await scheduler.advanceAsync(1_000);
    expect(countReadyCalls()).toBe(0);
    putSettings(fake, 4);
    expect(countReadyCalls()).toBe(1);
  });

  // Guards against sending to upstreams whose departure the copy lacks.
  test("a copied record doesn't bring back an upstream that has left", async () => {
    const { fake, getUpstreams, scheduler } = await createView();
    const leaving = { key: "servers/u1", value: "leaving" };
    fake.emit("servers/", {
      kind: "changed",
      object: { ...leaving, version: fake.put("servers/u1", "leaving") },
    });
    fake.emit("servers/", {
      kind: "removed",
      key: "servers/u2",
      version: fake.remove("servers/u2"),
    });
    fake.returnFromCopy({ ...both, "config/main": 1 });
    await scheduler.advanceAsync(3_000);
    expect(getUpstreams()).toEqual(["u1 leaving"]);
    const key = "servers/u2";
    const version = fake.put(key, "serving");
    const object = { key, value: "serving", version };
    fake.emit("servers/", { kind: "changed", object });
    expect(getUpstreams()).toEqual(["u1 leaving", "u2 serving"]);
    // A record that stays is in use again.
    await scheduler.advanceAsync(10_000);
    expect(getUpstreams()).toEqual(["u1 serving", "u2 serving"]);
  });

  test("records that the copy lacks are removed two seconds after the last return", async () => {
    const { fake, getUpstreams, scheduler } = await createView();
    const copy = { "config/main": 1, "servers/u1": "serving" };
    fake.returnFromCopy(copy);
    await scheduler.advanceAsync(1_500);
    fake.returnFromCopy(copy);
    await scheduler.advanceAsync(1_500);
    expect(getUpstreams()).toEqual(["u1 serving", "u2 serving"]);
    await scheduler.advanceAsync(1_500);
    expect(getUpstreams()).toEqual(["u1 serving"]);
  });
});
