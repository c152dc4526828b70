import type * as objectStore from "../../ports/object_store.ts";
import * as objects from "../../settings/objects.ts";
import * as record from "../../settings/record.ts";
import * as faults from "../../stand_ins/faults.ts";
import * as localObjectStore from "../../stand_ins/local_object_store.ts";
import * as objectApi from "../../stand_ins/object_api.ts";
import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as catalog from "../choice/catalog.ts";
import * as settingsChange from "./settings_change.ts";

const modelPath = "/association/drafting/models/drafting";
const servicePath = "/association/drafting/services/registry";
const groupPath = "/association/drafting/groups/registry-1";
const groupText = JSON.stringify({
  kind: "service",
  service: "registry",
  ranks: [{ agent: "10.0.0.1:1", failureDomain: "milan-1", region: "milan" }],
});
const changeId = "change-0001";
const lateWriteDelayMs = 60_000;

function createSetup() {
  const api = objectApi.createObjectApi();
  const scheduler = manualScheduler.createManualScheduler();
  const faultSwitch = faults.createFaultSwitch();
  const local = localObjectStore.createLocalObjectStore(api, {
    faults: faultSwitch,
    scheduler,
  });
  const plannedFaults = new Map<number, faults.Fault>();
  let calls = 0;
  let ids = 0;

  /** Activates the fault that is planned for the current call, if any. */
  function applyPlan(): void {
    const fault = plannedFaults.get(calls);
    if (fault !== undefined) faultSwitch.set(fault, { callCount: 1 });
    calls += 1;
  }

  const store: objectStore.ObjectStore = {
    read: (key) => (applyPlan(), local.read(key)),
    list: (prefix) => (applyPlan(), local.list(prefix)),
    write: (key, value, condition) => (
      applyPlan(), local.write(key, value, condition)
    ),
    remove: (key, condition) => (applyPlan(), local.remove(key, condition)),
    watch: local.watch,
  };
  const options: settingsChange.ChangeOptions = {
    store,
    catalog: catalog.createCatalog(),
    createId: () => `id-${ids++}`,
    formatNow: () => "2026-01-01T00:00:00Z",
  };

  /** Advances the manual time until the promise settles. */
  async function complete<T>(promise: Promise<T>): Promise<T> {
    let isDone = false;
    const tracked = promise.finally(() => {
      isDone = true;
    });
    while (!isDone) await scheduler.advanceAsync(100);
    return await tracked;
  }

  function apply(
    path: string,
    text: string,
    change: Partial<settingsChange.SettingsChange> = {},
  ) {
    const checked = objects.checkObject(path, text);
    if (checked.kind === "invalid") throw new Error("Invalid test settings");
    return complete(settingsChange.applyChange({
      object: checked.settings,
      author: "ada",
      changeId,
      ifVersion: 0,
      ...change,
    }, options));
  }

  function readRecord(path: string) {
    const outcome = api.read(record.formatKey(path));
    return outcome.kind === "found"
      ? record.parseRecord(outcome.object.value)
      : undefined;
  }

  return {
    api,
    scheduler,
    apply,
    readRecord,
    options,
    settle: (lost: settingsChange.AmbiguousChange) =>
      complete(settingsChange.settleChange(lost, options)),
    /** Plans faults by the number of the call, counted from now. */
    plan(faultsByCall: Readonly<Record<number, faults.Fault>>) {
      calls = 0;
      plannedFaults.clear();
      for (const [call, fault] of Object.entries(faultsByCall)) {
        plannedFaults.set(Number(call), fault);
      }
    },
  };
}

function buildModel(maxTokens: number): string {
  return JSON.stringify({ maxTokens });
}

const allFaults: readonly faults.Fault[] = [
  { kind: "down" },
  { kind: "answer_lost" },
  { kind: "late", delayMs: lateWriteDelayMs },
  { kind: "late", delayMs: 0 },
  { kind: "duplicated" },
  { kind: "stall" },
];

/** Calls to the object store: 0 list, 1 write, 2 read, 3 fence, 4 read, 5 fence. */
const faultPairs = allFaults.flatMap((first) =>
  [0, 1, 2, 3].flatMap((firstCall) =>
    allFaults.flatMap((second) =>
      [1, 2, 3, 4, 5].filter((call) => call > firstCall).map((secondCall) => ({
        [firstCall]: first,
        [secondCall]: second,
      }))
    )
  )
);

describe.each([
  { name: "a new object", isNew: true },
  { name: "an existing object", isNew: false },
])(
  "a change of $name takes effect if and only if the answer is accepted, with faults at any two calls",
  ({ isNew }) => {
    test.each(faultPairs.map((plan) => ({ plan, text: JSON.stringify(plan) })))(
      "$text",
      async ({ plan }) => {
        const setup = createSetup();
        let ifVersion = 0;
        if (!isNew) {
          const first = await setup.apply(modelPath, buildModel(1), {
            changeId: "change-0000",
          });
          ifVersion = first.kind === "accepted" ? first.version : -1;
        }
        setup.plan(plan);
        const outcome = await setup.apply(modelPath, buildModel(2), {
          ifVersion,
        });
        setup.plan({});
        const lost = { path: modelPath, changeId };
        const answer = outcome.kind === "unknown"
          ? await setup.settle(lost)
          : outcome;
        await setup.scheduler.advanceAsync(2 * lateWriteDelayMs);
        const changes = setup.readRecord(modelPath)?.changes ?? [];
        const isInHistory = changes.some((change) =>
          change.changeId === changeId
        );
        expect(["accepted", "not_accepted", "unavailable"])
          .toContain(answer.kind);
        expect(isInHistory).toBe(answer.kind === "accepted");
        const text = setup.readRecord(modelPath)?.text;
        if (isInHistory) expect(text).toBe(buildModel(2));
        else expect(text ?? "").toBe(isNew ? text ?? "" : buildModel(1));
      },
    );
  },
);

test("a delayed write that arrives after the answer has no effect", async () => {
  const setup = createSetup();
  setup.plan({ 1: { kind: "late", delayMs: lateWriteDelayMs } });
  const outcome = await setup.apply(modelPath, buildModel(1));
  expect(outcome.kind).toBe("not_accepted");
  await setup.scheduler.advanceAsync(2 * lateWriteDelayMs);
  expect(setup.readRecord(modelPath)).toMatchObject({ isAbsent: true });
  // The fence leaves a version behind, but the object can still be created.
  const again = await setup.apply(modelPath, buildModel(2), {
    changeId: "change-0002",
  });
  expect(again.kind).toBe("accepted");
  expect(setup.readRecord(modelPath)?.isAbsent).toBeUndefined();
});

test("a delayed write that arrives before the fence is accepted", async () => {
  const setup = createSetup();
  // The fence is delayed as well, so that the write arrives before the fence.
  setup.plan({
    1: { kind: "late", delayMs: 500 },
    3: { kind: "slow", delayMs: 1_000 },
  });
  const outcome = await setup.apply(modelPath, buildModel(1));
  expect(outcome).toEqual({ kind: "accepted", version: 1 });
});

test("a change that is submitted twice takes effect once", async () => {
  const setup = createSetup();
  const first = await setup.apply(modelPath, buildModel(1));
  expect(await setup.apply(modelPath, buildModel(1))).toEqual(first);
  expect(await setup.apply(modelPath, buildModel(2)))
    .toEqual({ kind: "repeated_id" });
  expect(setup.readRecord(modelPath)?.changes).toHaveLength(1);
});

test("a change stays accepted after later changes", async () => {
  const setup = createSetup();
  await setup.apply(modelPath, buildModel(1));
  let ifVersion = 1;
  for (let index = 0; index < 3; index += 1) {
    const next = await setup.apply(modelPath, buildModel(index + 2), {
      changeId: `later-000${index}`,
      ifVersion,
    });
    ifVersion = next.kind === "accepted" ? next.version : -1;
  }
  expect(await setup.settle({ path: modelPath, changeId }))
    .toEqual({ kind: "accepted", version: 1 });
});

test("the outcome of a change is unknown after the history has dropped the change", async () => {
  const setup = createSetup();
  let ifVersion = 0;
  for (let index = 0; index <= record.maxHistoryChanges; index += 1) {
    const next = await setup.apply(modelPath, buildModel(index + 1), {
      changeId: `change-1${index}-x`,
      ifVersion,
    });
    ifVersion = next.kind === "accepted" ? next.version : -1;
  }
  const lost = { path: modelPath, changeId: "change-10-x" };
  expect((await setup.settle(lost)).kind).toBe("unknown");
  // A change whose known condition the history still covers can be ruled out.
  expect(await setup.settle({ path: modelPath, changeId, ifVersion: 5 }))
    .toMatchObject({ kind: "not_accepted" });
});

test("the loser of two concurrent changes gets the version of the winner", async () => {
  const setup = createSetup();
  const [first, second] = await Promise.all([
    setup.apply(modelPath, buildModel(1), { changeId: "change-000a" }),
    setup.apply(modelPath, buildModel(2), { changeId: "change-000b" }),
  ]);
  expect(first).toEqual({ kind: "accepted", version: 1 });
  expect(second).toEqual({ kind: "conflict", version: 1 });
});

describe("references", () => {
  test("to missing objects are refused with path and line", async () => {
    const setup = createSetup();
    const outcome = await setup.apply(groupPath, groupText);
    expect(outcome).toMatchObject({
      kind: "invalid",
      problems: [{
        path: "service",
        line: 1,
        message: `${servicePath} does not exist`,
      }],
    });
  });

  test("are checked within the subtree only", async () => {
    const setup = createSetup();
    // The subtree of the other half has the service and an invalid object.
    await setup.apply(servicePath.replace("association", "water_board"), "{}");
    setup.api.write("settings/water_board/drafting/models/broken", {}, {
      ifVersion: 0,
    });
    expect((await setup.apply(groupPath, groupText)).kind).toBe("invalid");
    await setup.apply(servicePath, "{}");
    expect((await setup.apply(groupPath, groupText)).kind).toBe("accepted");
  });

  test("an agent of a subtree may serve only one rank", async () => {
    const setup = createSetup();
    await setup.apply(servicePath, "{}");
    await setup.apply(groupPath, groupText);
    const other = groupPath.replace("registry-1", "registry-2");
    expect(await setup.apply(other, groupText)).toMatchObject({
      kind: "invalid",
      problems: [{ path: "ranks[0].agent" }],
    });
  });
});

test("only one of two teams that claim a group name concurrently gets it", async () => {
  const setup = createSetup();
  const otherPath = groupPath.replace("drafting", "archive");
  await setup.apply(servicePath, "{}");
  await setup.apply(servicePath.replace("drafting", "archive"), "{}");
  const outcomes = await Promise.all([
    setup.apply(groupPath, groupText, { changeId: "change-000a" }),
    setup.apply(otherPath, groupText, { changeId: "change-000b" }),
  ]);
  expect(outcomes.map(({ kind }) => kind)).toEqual(["accepted", "name_taken"]);
  expect(outcomes[1]).toMatchObject({ path: groupPath });
});

test.each(allFaults)(
  "a group can be created after the fault $kind in its name reservation",
  async (fault) => {
    const setup = createSetup();
    await setup.apply(servicePath, "{}");
    setup.plan({ 1: fault });
    const outcome = await setup.apply(groupPath, groupText);
    await setup.scheduler.advanceAsync(2 * lateWriteDelayMs);
    const isAccepted = outcome.kind === "accepted";
    expect(setup.readRecord(groupPath) !== undefined).toBe(isAccepted);
    setup.plan({});
    const again = await setup.apply(groupPath, groupText);
    expect(again.kind).toBe("accepted");
  },
);
