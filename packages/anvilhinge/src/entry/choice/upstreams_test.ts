import * as clock from "@anvilhinge/coordination/clock";
import * as health from "@anvilhinge/coordination/health";
import * as random from "@anvilhinge/coordination/random";
import * as upstreams from "./upstreams.ts";

const groupCount = 6;
const afterEjectionMs = 60_000;
const need = {
  half: "association",
  kind: "model",
  serves: "drafting",
} as const;
const location = { failureDomain: "milan_a", region: "lombardy" };

/** Creates a table; its first `failedCount` upstreams are half-open. */
function createTable(seed: number, failedCount: number) {
  const manualClock = clock.createManualClock();
  const randomSource = random.createRandomSource(seed);
  const upstreamHealth = health.createHealth({
    clock: manualClock,
    random: randomSource,
  });
  const table = upstreams.createUpstreamTable({
    clock: manualClock,
    random: randomSource,
    nodeId: "entry-1",
    location,
    health: upstreamHealth,
  });
  for (let index = 0; index < groupCount; index += 1) {
    const group = `group-${index}`;
    table.setGroup({
      name: group,
      kind: "model",
      serves: "drafting",
      ranks: [{ agent: `127.0.0.1:${index + 1}`, ...location }],
    });
    table.setAssignment({
      group,
      half: "association",
      epoch: 1,
      state: "serving",
    });
  }
  for (let index = 0; index < failedCount; index += 1) {
    for (let failure = 0; failure < 3; failure += 1) {
      upstreamHealth.recordOutcome(`group-${index}/0`, "failed");
    }
  }
  manualClock.advance(afterEjectionMs);
  return table;
}

function chooseId(
  table: upstreams.UpstreamTable,
  attemptedIds: readonly string[],
): string {
  const outcome = table.choose(need, { attemptedIds: new Set(attemptedIds) });
  return outcome.kind === "chosen" ? outcome.upstream.id : outcome.kind;
}

test("a second attempt does not probe a half-open upstream", () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const id = chooseId(createTable(seed, 3), ["group-3/0"]);
    expect(["group-4/0", "group-5/0"]).toContain(id);
  }
});

test("first attempts probe half-open upstreams", () => {
  const ids = new Set(
    Array.from({ length: 40 }, (_, seed) => chooseId(createTable(seed, 3), [])),
  );
  expect([...ids].some((id) => ["group-0/0", "group-1/0"].includes(id)))
    .toBe(true);
});

test("a second attempt uses a half-open upstream if no other is left", () => {
  const attemptedIds = ["group-3/0", "group-4/0", "group-5/0"];
  const id = chooseId(createTable(1, 3), attemptedIds);
  expect(["group-0/0", "group-1/0", "group-2/0"]).toContain(id);
});
