import * as fs from "node:fs";
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import type * as versionedStore from "@anvilhinge/coordination/versioned_store";
import * as simulation from "../src/testing/simulation.ts";
import * as singleJob from "./single_job.ts";

const leaseDurationMs = 4_000;
const page = nodePath.join(__dirname, "../../../docs/EMBEDDING.md");

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

test("one node runs the job; after its death another takes it over", async () => {
  const time = createTime();
  const store = createStore();
  const log: string[] = [];
  const aborts = [0, 1].map((place) => {
    const abort = new AbortController();
    let count = 0;
    singleJob.runSingleJob({
      node: `node-${place}`,
      place,
      store,
      clock: time,
      schedule: time.schedule,
      random: random.createRandomSource(place + 1),
      createId: () => `${place}-${count++}`,
      signal: abort.signal,
      startJob: (number) => log.push(`node-${place} starts with ${number}`),
      stopJob: () => log.push(`node-${place} stops`),
    });
    return abort;
  });
  await time.run(leaseDurationMs);
  expect(log).toEqual(["node-0 starts with 1"]);
  aborts[0]!.abort();
  await time.run(3 * leaseDurationMs);
  expect(log).toHaveLength(2);
  const number = Number(/^node-1 starts with (\d+)$/.exec(log[1]!)?.[1]);
  expect(number).toBeGreaterThan(1);
  aborts[1]!.abort();
});

test("the page shows the example as it is", () => {
  const source = fs.readFileSync(
    nodePath.join(__dirname, "single_job.ts"),
    "utf8",
  );
  expect(fs.readFileSync(page, "utf8")).toContain(`\`\`\`ts\n${source}\`\`\``);
});

/** Virtual time in small steps; promises settle between them. */
function createTime() {
  const stepMs = 50;
  const virtual = simulation.createSimulation();
  return {
    now: () => virtual.now(),
    schedule: virtual.schedule,
    async run(durationMs: number): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
        virtual.advance(stepMs);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}
