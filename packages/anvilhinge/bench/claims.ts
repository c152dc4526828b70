/**
 * Measures claims on a manual clock: writes of the object API for each claim,
 * bytes written, and the latency that a claim adds to its call. Each claim is
 * settled after the call; entries share the claims evenly.
 */
import * as claimShard from "@anvilhinge/coordination/claim_shard";
import type * as claims from "@anvilhinge/coordination/claims";
import * as random from "@anvilhinge/coordination/random";
import * as histogram from "hdr-histogram-js";
import * as claimStore from "../src/entry/session/claim_store.ts";
import type * as objectStore from "../src/ports/object_store.ts";
import type * as scheduler from "../src/ports/scheduler.ts";
import * as eventQueue from "./simulated_scheduler.ts";

const half = "association";
const seed = 20_261_203;
const durationMs = 10_000;
const callMs = 50;
const settleMs = 5_000;
/** One-way delay to the store in milliseconds. */
const storeLatencyMs = 2;
const rates: readonly number[] = [10, 100, 1_000];
const entryCounts: readonly number[] = [3, 21];

interface Result {
  readonly claims: number;
  readonly refused: number;
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

/** Creates a store of shards that answers after the delay and counts calls. */
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

async function measure(rate: number, entryCount: number): Promise<Result> {
  const timers = eventQueue.createSimulatedScheduler();
  const { store, counts } = createStore(timers);
  const draw = random.createRandomSource(seed);
  const entries = Array.from(
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
  const count = rate * durationMs / 1_000;
  let refused = 0;

  async function claimOne(index: number): Promise<void> {
    const entry = entries[index % entryCount] as claimStore.ClaimStore;
    const claim = createClaim(index);
    const startedMs = timers.now();
    const result = await entry.submit({ kind: "claim", claim });
    if (result.kind !== "claimed") {
      refused += 1;
      return;
    }
    latencies.recordValue(Math.round(timers.now() - startedMs));
    const { workspace, requestId, attemptId } = claim;
    timers.schedule(() =>
      void entry.submit({
        kind: "settle",
        name: { workspace, requestId },
        attemptId,
        state: {
          kind: "finished",
          answer: { status: 201, headers: [], body: "0".repeat(200) },
        },
      }), { delayMs: callMs });
  }

  for (let index = 0; index < count; index += 1) {
    const delayMs = draw() * durationMs;
    timers.schedule(() => void claimOne(index), { delayMs });
  }
  await timers.run(durationMs + settleMs);
  const seconds = durationMs / 1_000;
  return {
    claims: count,
    refused,
    writesPerClaim: counts.writes / count,
    writesPerSecond: counts.writes / seconds,
    callsPerSecond: (counts.writes + counts.reads) / seconds,
    bytesPerSecond: counts.bytes / seconds,
    p50Ms: latencies.getValueAtPercentile(50),
    p99Ms: latencies.getValueAtPercentile(99),
  };
}

async function runBench(): Promise<void> {
  console.log(
    `seed ${seed}, ${durationMs / 1_000} s, store ${
      2 * storeLatencyMs
    } ms a call`,
  );
  for (const entryCount of entryCounts) {
    for (const rate of rates) {
      const result = await measure(rate, entryCount);
      console.log([
        `${entryCount} entries, ${rate} claims/s:`,
        `${result.writesPerClaim.toFixed(2)} writes/claim,`,
        `${result.writesPerSecond.toFixed(0)} writes/s,`,
        `${result.callsPerSecond.toFixed(0)} calls/s,`,
        `${(result.bytesPerSecond / 1_024).toFixed(0)} KB/s written,`,
        `added latency p50 ${result.p50Ms} ms, p99 ${result.p99Ms} ms,`,
        `${result.refused} of ${result.claims} refused`,
      ].join(" "));
    }
  }
}

void runBench();
