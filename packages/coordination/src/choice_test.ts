import * as choice from "./choice.ts";
import * as clock from "./clock.ts";
import * as prefixAffinity from "./prefix_affinity.ts";
import * as random from "./random.ts";
import * as subset from "./subset.ts";

const location = { failureDomain: "d0", region: "r0" };
const noIds: ReadonlySet<string> = new Set();

function createMembers(count: number, ranksPerGroup = 4): choice.Upstream[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `g${Math.floor(index / ranksPerGroup)}/${index % ranksPerGroup}`,
    group: `g${Math.floor(index / ranksPerGroup)}`,
    failureDomain: `d${index % 4}`,
    region: `r${index % 4 >> 1}`,
  }));
}

function createChooser(options: Partial<choice.ChooserOptions> = {}) {
  const manual = clock.createManualClock();
  const chooser = choice.createChooser<choice.Upstream>({
    clock: manual,
    random: random.createRandomSource(7),
    nodeId: "n1",
    location,
    minSubsetSize: 8,
    ...options,
  });
  return { chooser, manual };
}

function countChosen(
  chooser: choice.Chooser<choice.Upstream>,
  options: choice.ChooseOptions = { attemptedIds: noIds },
): Map<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < 400; index += 1) {
    const outcome = chooser.choose("model", options);
    if (outcome.kind !== "chosen") throw new Error(outcome.kind);
    const { id } = outcome.upstream;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

describe("the subset of a node", () => {
  test("prefers the node's failure domain, then its region", () => {
    const ordered = subset.orderMembers(createMembers(40), {
      nodeId: "n1",
      location,
    });
    const distances = ordered.map((member) =>
      subset.measureByRegion(location, member)
    );
    expect(distances).toEqual([...distances].sort());
    expect(distances.filter((distance) => distance === 0)).toHaveLength(10);
  });

  test("differs between nodes and keeps its other members when one leaves", () => {
    const members = createMembers(400);
    const order = (nodeId: string, from: readonly choice.Upstream[]) =>
      subset.orderMembers(from, { nodeId, location }).slice(0, 16)
        .map((member) => member.id);
    const first = order("n1", members);
    expect(order("n2", members)).not.toEqual(first);
    const remaining = members.filter((member) => member.id !== first[3]);
    const kept = order("n1", remaining).filter((id) => first.includes(id));
    expect(kept).toHaveLength(15);
  });

  test("grows under load and shrinks when the load ends", () => {
    const { chooser, manual } = createChooser({ growThreshold: 4 });
    chooser.setPool("model", createMembers(64));
    const sent: string[] = [];
    for (let index = 0; index < 400; index += 1) {
      manual.advance(20);
      const outcome = chooser.choose("model", { attemptedIds: noIds });
      if (outcome.kind !== "chosen") throw new Error(outcome.kind);
      chooser.recordSent(outcome.upstream.id);
      sent.push(outcome.upstream.id);
    }
    expect(chooser.listSubset("model").length).toBeGreaterThanOrEqual(32);
    for (const id of sent) chooser.recordEnded(id, { isCompleted: true });
    for (let index = 0; index < 400; index += 1) {
      manual.advance(100);
      chooser.choose("model", { attemptedIds: noIds });
    }
    expect(chooser.listSubset("model")).toHaveLength(8);
  });
});

describe("selection by load", () => {
  test("prefers the less loaded of two upstreams", () => {
    const { chooser } = createChooser();
    chooser.setPool("model", createMembers(2));
    chooser.recordReport("g0/0", { running: 9, queued: 0, stepUs: 0 });
    chooser.recordReport("g0/1", { running: 2, queued: 0, stepUs: 0 });
    const counts = countChosen(chooser);
    // The more loaded upstream is chosen only if both samples pick it.
    expect(counts.get("g0/1")).toBeGreaterThan(counts.get("g0/0") ?? 0);
    chooser.recordSent("g0/1");
    for (let sent = 0; sent < 12; sent += 1) chooser.recordSent("g0/1");
    const later = countChosen(chooser);
    expect(later.get("g0/0")).toBeGreaterThan(later.get("g0/1") ?? 0);
  });

  test("avoids a group with slow steps when queue lengths are equal", () => {
    const { chooser } = createChooser();
    chooser.setPool("model", createMembers(8));
    for (const member of createMembers(8)) {
      const stepUs = member.group === "g0" ? 90_000 : 30_000;
      for (let report = 0; report < 5; report += 1) {
        chooser.recordReport(member.id, { running: 4, queued: 0, stepUs });
      }
    }
    const counts = countChosen(chooser);
    const slow = [...counts].filter(([id]) => id.startsWith("g0/"))
      .reduce((sum, [, count]) => sum + count, 0);
    expect(slow).toBeLessThan(400 / 3);
  });

  test("skips attempted and unavailable upstreams, and reports exhaustion", () => {
    const { chooser } = createChooser({
      isAvailable: (id) => id !== "g0/1",
    });
    expect(chooser.choose("model", { attemptedIds: noIds }).kind).toBe(
      "unserved",
    );
    chooser.setPool("model", createMembers(3));
    const attemptedIds = new Set(["g0/0"]);
    expect([...countChosen(chooser, { attemptedIds }).keys()]).toEqual([
      "g0/2",
    ]);
    attemptedIds.add("g0/2");
    expect(chooser.choose("model", { attemptedIds }).kind).toBe("exhausted");
  });

  test("uses upstreams outside the subset when no subset member is available", () => {
    const subsetIds = new Set<string>();
    const { chooser } = createChooser({
      isAvailable: (id) => !subsetIds.has(id),
    });
    chooser.setPool("model", createMembers(40));
    for (const member of chooser.listSubset("model")) subsetIds.add(member.id);
    const chosen = [...countChosen(chooser).keys()];
    expect(chosen.filter((id) => subsetIds.has(id))).toEqual([]);
    // The subset grew to 16 members, of which 8 are available.
    expect(chosen).toHaveLength(8);
  });

  test("refuses a request when every queue wait exceeds the time left", () => {
    const { chooser, manual } = createChooser();
    chooser.setPool("model", createMembers(4));
    for (const { id } of createMembers(4)) {
      chooser.recordSent(id);
    }
    manual.advance(2_000);
    for (const { id } of createMembers(4)) {
      chooser.recordEnded(id, {
        sentAtMs: 0,
        isCompleted: true,
        report: { running: 10, queued: 30, stepUs: 30_000 },
      });
    }
    // 30 queued requests, 10 running at 2 s each: the queue wait is about 6 s.
    expect(chooser.choose("model", { attemptedIds: noIds, leftMs: 3_000 }))
      .toEqual({ kind: "overloaded", waitMs: expect.any(Number) });
    expect(chooser.choose("model", { attemptedIds: noIds, leftMs: 9_000 }).kind)
      .toBe("chosen");
  });
});

describe("prefix affinity", () => {
  const prefixKeys = prefixAffinity.computePrefixKeys("minutes ".repeat(200), {
    scope: "drafting",
  });

  test("keys depend on the whole prefix and on the scope", () => {
    const text = "a".repeat(1_024);
    const keys = prefixAffinity.computePrefixKeys(text, { scope: "one" });
    expect(keys).toHaveLength(4);
    const changed = prefixAffinity.computePrefixKeys(
      `${text.slice(0, 600)}b${text.slice(601)}`,
      { scope: "one" },
    );
    expect(changed.slice(0, 2)).toEqual(keys.slice(0, 2));
    expect(changed[2]).not.toBe(keys[2]);
    expect(changed[3]).not.toBe(keys[3]);
    expect(prefixAffinity.computePrefixKeys(text, { scope: "two" })[0])
      .not.toBe(keys[0]);
  });

  test("prefers the upstream that served the prefix until that upstream evicts it", () => {
    const { chooser } = createChooser();
    chooser.setPool("model", createMembers(8));
    chooser.recordEnded("g1/3", { isCompleted: true, prefixKeys });
    const options = { attemptedIds: noIds, prefixKeys };
    expect(chooser.choose("model", options)).toMatchObject({
      by: "affinity",
      upstream: { id: "g1/3" },
    });
    chooser.recordCacheEvent({
      kind: "evicted",
      upstreamId: "g1/3",
      keys: prefixKeys,
    });
    const preferred = chooser.choose("model", options);
    expect(chooser.choose("model", options)).toEqual(preferred);
  });

  test("is ignored when the expected wait exceeds the affinity bound", () => {
    const { chooser } = createChooser();
    chooser.setPool("model", createMembers(8));
    chooser.recordEnded("g1/3", { isCompleted: true, prefixKeys });
    for (const { id } of createMembers(8)) {
      const running = id === "g1/3" ? 20 : 4;
      chooser.recordReport(id, { running, queued: 0, stepUs: 0 });
    }
    countChosen(chooser);
    expect(
      countChosen(chooser, { attemptedIds: noIds, prefixKeys }).has("g1/3"),
    )
      .toBe(false);
  });

  test("a hint for a removed upstream is ignored", () => {
    const { chooser } = createChooser();
    chooser.setPool("model", createMembers(8));
    chooser.recordEnded("g1/3", { isCompleted: true, prefixKeys });
    chooser.setPool("model", createMembers(7));
    const counts = countChosen(chooser, { attemptedIds: noIds, prefixKeys });
    expect(counts.has("g1/3")).toBe(false);
  });

  test("keeps at most `maxHints` hints and evicts the oldest", () => {
    const hints = prefixAffinity.createPrefixHints({ maxHints: 3 });
    hints.recordStored("a", [1, 2]);
    hints.recordStored("b", [3, 4]);
    expect(hints.count()).toBe(3);
    expect(hints.find([1])).toBeUndefined();
    expect(hints.find([2, 4])).toBe("b");
  });
});
