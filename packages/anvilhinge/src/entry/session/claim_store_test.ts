import * as claims from "@anvilhinge/coordination/claims";
import * as random from "@anvilhinge/coordination/random";
import * as faults from "../../stand_ins/faults.ts";
import * as localObjectStore from "../../stand_ins/local_object_store.ts";
import * as objectApi from "../../stand_ins/object_api.ts";
import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as claimStore from "./claim_store.ts";

const half = "association";

function createHarness() {
  const scheduler = manualScheduler.createManualScheduler();
  const api = objectApi.createObjectApi();
  const storeFaults = faults.createFaultSwitch();
  const store = localObjectStore.createLocalObjectStore(api, {
    faults: storeFaults,
    scheduler,
  });
  const createEntryStore = () =>
    claimStore.createClaimStore({
      store,
      scheduler,
      random: random.createRandomSource(1),
      readWallMs: scheduler.now,
      half,
      shardCount: 1,
    });
  return { scheduler, api, storeFaults, createEntryStore };
}

function createClaim(attemptId: string, requestId = "r1"): claims.NewClaim {
  return {
    workspace: "w",
    requestId,
    attemptId,
    upstream: {
      id: "g/0",
      group: "g",
      rank: 0,
      address: "10.0.0.1:1",
      half,
      epoch: 1,
    },
    incarnation: "i1",
    startByMs: 5_000,
    digest: "d1",
  };
}

function submitClaim(
  store: claimStore.ClaimStore,
  attemptId: string,
  requestId?: string,
): Promise<claims.ClaimResult> {
  const claim = createClaim(attemptId, requestId);
  return store.submit({ kind: "claim", claim });
}

test("only one of two entries that claim a call concurrently succeeds", async () => {
  const { scheduler, createEntryStore } = createHarness();
  const outcome = Promise.all([
    submitClaim(createEntryStore(), "a1"),
    submitClaim(createEntryStore(), "a2"),
  ]);
  await scheduler.advanceAsync(1_000);
  expect((await outcome).map((result) => result.kind).sort()).toEqual([
    "claimed",
    "exists",
  ]);
});

test("concurrent claims are batched into one write", async () => {
  const { scheduler, api, createEntryStore } = createHarness();
  const store = createEntryStore();
  const outcome = Promise.all(
    Array.from(
      { length: 100 },
      (_, index) => submitClaim(store, `a${index}`, `r${index}`),
    ),
  );
  await scheduler.advanceAsync(1_000);
  expect(new Set((await outcome).map((result) => result.kind))).toEqual(
    new Set(["claimed"]),
  );
  expect(api.getCallCounts().write).toBeLessThanOrEqual(2);
});

test("a claim during an outage of the object store fails immediately and is not stored", async () => {
  const { scheduler, storeFaults, createEntryStore } = createHarness();
  const store = createEntryStore();
  storeFaults.set({ kind: "down" });
  const result = submitClaim(store, "a1");
  await scheduler.advanceAsync(0);
  expect(await result).toMatchObject({ kind: "unavailable" });
  storeFaults.set({ kind: "none" });
  const name = { workspace: "w", requestId: "r1" };
  const found = store.submit({ kind: "find", name });
  await scheduler.advanceAsync(2_000);
  expect(await found).toEqual({ kind: "missing" });
});

test("a write whose response was lost is resolved by reading the shard", async () => {
  const { scheduler, storeFaults, api, createEntryStore } = createHarness();
  const store = createEntryStore();
  await Promise.all([submitClaim(store, "a0", "r0")]);
  await scheduler.advanceAsync(1_000);
  storeFaults.set({ kind: "answer_lost" }, { callCount: 1 });
  const result = submitClaim(store, "a1");
  await scheduler.advanceAsync(1_000);
  expect(await result).toEqual({ kind: "claimed" });
  expect(api.getCallCounts().write).toBe(2);
});

test("a delayed write cannot restore a claim that was settled as not run", async () => {
  const { scheduler, storeFaults, createEntryStore } = createHarness();
  const store = createEntryStore();
  await submitClaim(store, "a0", "r0");
  await scheduler.advanceAsync(1_000);
  // The write is reported as failed and takes effect later; the store is
  // unavailable when the shard is read back.
  storeFaults.set({ kind: "late", delayMs: 60_000 }, { callCount: 1 });
  storeFaults.subscribe((fault) => {
    if (fault.kind === "none") storeFaults.set({ kind: "down" });
  });
  const claimResult = submitClaim(store, "a1");
  await scheduler.advanceAsync(100);
  expect(await claimResult).toMatchObject({ kind: "unavailable" });
  const settled = store.submit({
    kind: "settle",
    name: { workspace: "w", requestId: "r1" },
    attemptId: "a1",
    state: { kind: "not_run" },
    claim: createClaim("a1"),
  });
  await scheduler.advanceAsync(5_000);
  storeFaults.set({ kind: "slow", delayMs: 1 });
  await scheduler.advanceAsync(5_000);
  expect(await settled).toEqual({ kind: "settled" });
  await scheduler.advanceAsync(60_000);
  const name = { workspace: "w", requestId: "r1" };
  const found = findClaim(createEntryStore(), name);
  await scheduler.advanceAsync(1_000);
  expect(await found).toMatchObject({
    claim: { attemptId: "a1", state: { kind: "not_run" } },
  });
});

function findClaim(
  store: claimStore.ClaimStore,
  name: claims.ClaimName,
): Promise<claims.ClaimResult> {
  return store.submit({ kind: "find", name });
}

test("a settle operation is retried until the object store is available again", async () => {
  const { scheduler, storeFaults, createEntryStore } = createHarness();
  const store = createEntryStore();
  await submitClaim(store, "a1");
  storeFaults.set({ kind: "down" });
  const name = { workspace: "w", requestId: "r1" };
  const answer = { status: 201, headers: [] };
  const settled = store.submit({
    kind: "settle",
    name,
    attemptId: "a1",
    state: { kind: "finished", answer },
  });
  await scheduler.advanceAsync(30_000);
  expect(store.countPending()).toBe(1);
  storeFaults.set({ kind: "none" });
  await scheduler.advanceAsync(3_000);
  await settled;
  const found = createEntryStore().submit({ kind: "find", name });
  await scheduler.advanceAsync(1_000);
  expect(await found).toMatchObject({ claim: { state: { answer } } });
});
