import * as clock from "@anvilhinge/coordination/clock";
import * as health from "@anvilhinge/coordination/health";
import * as random from "@anvilhinge/coordination/random";
import * as upstreams from "./upstreams.ts";

const rankCount = 6;
const afterEjectionMs = 60_000;
const need = {
  half: "association",
  kind: "model",
  serves: "drafting",
} as const;
const location = { failureDomain: "milan_a", region: "lombardy" };

/** Creates a table whose first `failed` ranks are half-open. */
function createTable(seed: number, failed: number) {
  const manual = clock.createManualClock();
  const source = random.createRandomSource(seed);
  const checked = health.createHealth({ clock: manual, random: source });
  const table = upstreams.createUpstreamTable({
    clock: manual,
    random: source,
    nodeId: "entry-1",
    location,
    health: checked,
  });
  for (let rank = 0; rank < rankCount; rank += 1) {
    const group = `group-${rank}`;
    table.setGroup({
      name: group,
      kind: "model",
      serves: "drafting",
      ranks: [{ agent: `127.0.0.1:${rank + 1}`, ...location }],
    });
    table.setAssignment({
      group,
      half: "association",
      epoch: 1,
      state: "serving",
    });
  }
  for (let rank = 0; rank < failed; rank += 1) {
    for (let failure = 0; failure < 3; failure += 1) {
      checked.recordOutcome(`group-${rank}/0`, "failed");
    }
  }
  manual.advance(afterEjectionMs);
  return table;
}

function chooseId(
  table: upstreams.UpstreamTable,
  tried: readonly string[],
): string {
  const outcome = table.choose(need, { tried: new Set(tried) });
  return outcome.kind === "chosen" ? outcome.upstream.id : outcome.kind;
}

test("a second attempt is no probe of a half-open upstream", () => {
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

test("a second attempt takes a half-open upstream when no other is left", () => {
  const tried = ["group-3/0", "group-4/0", "group-5/0"];
  const id = chooseId(createTable(1, 3), tried);
  expect(["group-0/0", "group-1/0", "group-2/0"]).toContain(id);
});
