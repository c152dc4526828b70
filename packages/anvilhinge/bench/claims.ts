/**
 * Measures claims in simulated time: object store writes per claim, bytes
 * written, and the latency that a claim adds to its call. Each claim is settled
 * after the call. The claims are distributed evenly over the entries.
 */
import * as claimShard from "@anvilhinge/coordination/claim_shard";
import type * as claims from "@anvilhinge/coordination/claims";
import * as random from "@anvilhinge/coordination/random";
import * as histogram from "hdr-histogram-js";
import * as claimStore from "../src/entry/session/claim_store.ts";
import type * as objectStore from "../src/ports/object_store.ts";
import type * as scheduler from "../src/ports/scheduler.ts";
import * as simulatedScheduler from "./simulated_scheduler.ts";

const half = "association";
const seed = 20_261_203;
const durationMs = 10_000;
/** Duration of the call that a claim protects. */
const callMs = 50;
/** Time after the last claim in which pending operations complete. */
const settleMs = 5_000;
/** One-way network latency to the object store. */
const storeLatencyMs = 2;
/** Claims per second over all entries. */
const claimRates: readonly number[] = [10, 100, 1_000];
const entryCounts: readonly number[] = [3, 21];

interface BenchResult {
  readonly claimCount: number;
  readonly refusedCount: number;
  readonly writesPerClaim: number;
  readonly callsPerSecond: number;
  readonly writesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface CountingStore {
  readonly store: objectStore.ObjectStore;
  readonly counts: { reads: number; writes: number; bytes: number };
}

/** Creates an object store for claim shards with latency and call counters. */
function createStore(timers: scheduler.Scheduler): CountingStore {
  const counts = { reads: 0, writes: 0, bytes: 0 };
  const objects = new Map<string, objectStore.StoredObject>();
  let version = 0;

  function runCall<Outcome>(execute: () => Outcome): Promise<Outcome> {
    return new Promise((resolve) =>
      timers.schedule(() => {
        const outcome = execute();
        timers.schedule(() => resolve(outcome), { delayMs: storeLatencyMs });
      }, { delayMs: storeLatencyMs })
    );
  }

  function read(key: string): objectStore.ReadOutcome {
    counts.reads += 1;
    const object = objects.get(key);
    return object === undefined
      ? { kind: "missing" }
      : { kind: "found", object };
  }

  function write(
    key: string,
    value: unknown,
    { ifVersion }: objectStore.WriteCondition,
  ): objectStore.WriteOutcome {
    counts.writes += 1;
    counts.bytes += claimShard.measureShard(value as claimShard.ClaimShard);
    const current = objects.get(key);
    if ((current?.version ?? 0) !== ifVersion) return { kind: "conflict" };
    version += 1;
    objects.set(key, { key, value, version });
    return { kind: "accepted", version };
  }

  const store: Pick<objectStore.ObjectStore, "read" | "write"> = {
    read: (key) => runCall(() => read(key)),
    write: (key, value, condition) =>
      runCall(() => write(key, value, condition)),
  };
  return { store: store as objectStore.ObjectStore, counts };
}

function createClaim(index: number): claims.NewClaim {
  return {
    workspace: `drafting/workspace-${index % 10}`,
    requestId: `key-${String(index).padStart(40, "0")}`,
    attemptId: `attempt-${String(index).padStart(28, "0")}`,
    upstream: {
      id: "registry-1/0",
      group: "registry-1",
      rank: 0,
      address: "10.0.0.1:7000",
      half,
      epoch: 1,
    },
    incarnation: "0".repeat(36),
    startByMs: 1_000_000.5,
    digest: "0".repeat(64),
  };
}

async function measureClaims(
  rate: number,
  entryCount: number,
): Promise<BenchResult> {
  const timers = simulatedScheduler.createSimulatedScheduler();
  const { store, counts } = createStore(timers);
  const source = random.createRandomSource(seed);
  const claimStores = Array.from(
    { length: entryCount },
    (_, index) =>
      claimStore.createClaimStore({
        store,
        scheduler: timers,
        random: random.createRandomSource(seed + index),
        readWallMs: timers.now,
        half,
      }),
  );
  const latencies = histogram.build({ numberOfSignificantValueDigits: 3 });
  const claimCount = rate * durationMs / 1_000;
  let refusedCount = 0;

  async function submitClaim(index: number): Promise<void> {
    const entryClaimStore =
      claimStores[index % entryCount] as claimStore.ClaimStore;
    const claim = createClaim(index);
    const submittedAtMs = timers.now();
    const result = await entryClaimStore.submit({ kind: "claim", claim });
    if (result.kind !== "claimed") {
      refusedCount += 1;
      return;
    }
    latencies.recordValue(Math.round(timers.now() - submittedAtMs));
    const { workspace, requestId, attemptId } = claim;
    timers.schedule(() =>
      void entryClaimStore.submit({
        kind: "settle",
        name: { workspace, requestId },
        attemptId,
        state: {
          kind: "finished",
          answer: { status: 201, headers: [], body: "0".repeat(200) },
        },
      }), { delayMs: callMs });
  }

  for (let index = 0; index < claimCount; index += 1) {
    const delayMs = source() * durationMs;
    timers.schedule(() => void submitClaim(index), { delayMs });
  }
  await timers.run(durationMs + settleMs);
  const seconds = durationMs / 1_000;
  return {
    claimCount,
    refusedCount,
    writesPerClaim: counts.writes / claimCount,
    writesPerSecond: counts.writes / seconds,
    callsPerSecond: (counts.writes + counts.reads) / seconds,
    bytesPerSecond: counts.bytes / seconds,
    p50Ms: latencies.getValueAtPercentile(50),
    p99Ms: latencies.getValueAtPercentile(99),
  };
}

async function runBench(): Promise<void> {
  console.log(
    `seed ${seed}, ${durationMs / 1_000} s, object store ${
      2 * storeLatencyMs
    } ms per call`,
  );
  for (const entryCount of entryCounts) {
    for (const rate of claimRates) {
      const result = await measureClaims(rate, entryCount);
      console.log([
        `${entryCount} entries, ${rate} claims/s:`,
        `${result.writesPerClaim.toFixed(2)} writes/claim,`,
        `${result.writesPerSecond.toFixed(0)} writes/s,`,
        `${result.callsPerSecond.toFixed(0)} calls/s,`,
        `${(result.bytesPerSecond / 1_024).toFixed(0)} KB/s written,`,
        `added latency p50 ${result.p50Ms} ms, p99 ${result.p99Ms} ms,`,
        `${result.refusedCount} of ${result.claimCount} claims refused`,
      ].join(" "));
    }
  }
}

void runBench();
