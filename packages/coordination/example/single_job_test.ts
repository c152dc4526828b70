import * as fs from "node:fs";
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import type * as versionedStore from "@anvilhinge/coordination/versioned_store";
import * as simulation from "../src/testing/simulation.ts";
import * as singleJob from "./single_job.ts";

const leaseDurationMs = 4_000;
const embeddingPage = nodePath.join(__dirname, "../../../docs/EMBEDDING.md");

function createStore(): versionedStore.VersionedStore {
  const objects = new Map<string, versionedStore.StoredObject>();
  let version = 0;
  return {
    read: (key) => {
      const object = objects.get(key);
      return Promise.resolve(
        object === undefined ? { kind: "missing" } : { kind: "found", object },
      );
    },
    write(key, value, { ifVersion }) {
      const current = objects.get(key);
      if ((current?.version ?? 0) !== ifVersion) {
        return Promise.resolve({ kind: "conflict", current });
      }
      version += 1;
      objects.set(key, { key, value, version });
      return Promise.resolve({ kind: "accepted", version });
    },
  };
}

test("one node runs the job; when it stops, another node takes over", async () => {
  const simulatedTime = createSimulatedTime();
  const store = createStore();
  const log: string[] = [];
  const aborts = [0, 1].map((candidateIndex) => {
    const abort = new AbortController();
    let idCount = 0;
    singleJob.runSingleJob({
      nodeId: `node-${candidateIndex}`,
      candidateIndex,
      store,
      clock: simulatedTime,
      schedule: simulatedTime.schedule,
      random: random.createRandomSource(candidateIndex + 1),
      createId: () => `${candidateIndex}-${idCount++}`,
      signal: abort.signal,
      startJob: (fencingNumber) =>
        log.push(`node-${candidateIndex} starts with ${fencingNumber}`),
      stopJob: () => log.push(`node-${candidateIndex} stops`),
    });
    return abort;
  });
  await simulatedTime.run(leaseDurationMs);
  expect(log).toEqual(["node-0 starts with 1"]);
  aborts[0]!.abort();
  await simulatedTime.run(3 * leaseDurationMs);
  expect(log).toHaveLength(2);
  const fencingNumber = Number(/^node-1 starts with (\d+)$/.exec(log[1]!)?.[1]);
  expect(fencingNumber).toBeGreaterThan(1);
  aborts[1]!.abort();
});

test("the embedding page contains the source of the example", () => {
  const source = fs.readFileSync(
    nodePath.join(__dirname, "single_job.ts"),
    "utf8",
  );
  expect(fs.readFileSync(embeddingPage, "utf8")).toContain(
    `\`\`\`ts\n${source}\`\`\``,
  );
});

/** Simulated time that advances in small steps; promises settle in between. */
function createSimulatedTime() {
  const stepMs = 50;
  const simulated = simulation.createSimulation();
  return {
    now: () => simulated.now(),
    schedule: simulated.schedule,
    async run(durationMs: number): Promise<void> {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        simulated.advance(stepMs);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}
