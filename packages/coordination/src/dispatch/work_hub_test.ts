import * as dispatchSimulation from "../testing/dispatch_simulation.ts";
import * as clock from "../clock.ts";
import type * as work from "./work.ts";
import * as groupReports from "./group_reports.ts";
import * as workHub from "./work_hub.ts";

const group = {
  rankCount: 16,
  slots: 8,
  entryCount: 13,
  serviceMs: 1_600,
  durationMs: 7_000,
};
/** Requests per second that the slots of the group serve. */
const capacity = 1_000 * group.rankCount * group.slots / group.serviceMs;

test("below capacity, no request is refused and no rank exceeds its slots", () => {
  const result = dispatchSimulation.runDispatchSimulation({
    ...group,
    seed: 1,
    load: () => 0.8,
  });
  expect(result.refused + result.abandoned + result.late).toBe(0);
  expect(result.maxRunningPerRank).toBeLessThanOrEqual(group.slots);
});

test.each([1.5, 2, 5])(
  "at %s times the capacity, the slots stay in use and more requests start in time than without a hub",
  (load) => {
    const options = { ...group, seed: 2, load: () => load };
    const hub = dispatchSimulation.runDispatchSimulation(options);
    const withoutHub = dispatchSimulation.runDispatchSimulation({
      ...options,
      isFifo: true,
    });
    expect(hub.refusedWithFreeSlot).toBe(0);
    expect(hub.abandoned).toBeLessThan(hub.arrived / 50);
    expect(hub.onTime).toBeGreaterThan(2 * withoutHub.onTime);
    // All slots are in use from the third second to the end of the load.
    const servedAtFullLoad = hub.servedPerSecond.slice(3, 7);
    expect(Math.min(...servedAtFullLoad)).toBeGreaterThan(0.8 * capacity);
  },
);

test.each([1.5, 2, 5])(
  "at %s times the capacity, most slots go to requests whose answer begins in time",
  (load) => {
    const result = dispatchSimulation.runDispatchSimulation({
      ...group,
      seed: 2,
      load: () => load,
      firstPartMs: 200,
    });
    const inTimePerSecond = result.onTime / (group.durationMs / 1_000);
    expect(inTimePerSecond).toBeGreaterThan(0.8 * capacity);
    expect(result.refusedWithFreeSlot).toBe(0);
  },
);

test("immediate retries barely reduce the requests served in time", () => {
  const options = { ...group, seed: 3, load: () => 2 };
  const baseline = dispatchSimulation.runDispatchSimulation(options);
  const retryStorm = dispatchSimulation.runDispatchSimulation({
    ...options,
    immediateRetryShare: 0.5,
  });
  expect(retryStorm.onTime).toBeGreaterThan(0.9 * baseline.onTime);
});

test("a burst causes no more refusals than its excess over the capacity", () => {
  const result = dispatchSimulation.runDispatchSimulation({
    ...group,
    durationMs: 12_000,
    seed: 4,
    load: (nowMs) => nowMs > 3_000 && nowMs < 6_000 ? 1.7 : 0.8,
  });
  expect(result.refusedWithFreeSlot).toBe(0);
  expect(result.abandoned).toBe(0);
  // Excess requests of the 3 s burst, less those that the free fifth of the
  // capacity serves in the 3 s during which callers retry.
  const maxRefused = 3 * (0.7 - 0.2) * capacity;
  expect(result.refused).toBeLessThan(maxRefused);
});

function createHub() {
  const manual = clock.createManualClock();
  const hub = workHub.createWorkHub({ clock: manual, random: () => 0.5 });
  hub.setUpstreams([
    { id: "u1", pool: "p", failureDomain: "a", slots: 1 },
    { id: "u2", pool: "p", failureDomain: "b", slots: 1 },
  ]);
  return { hub, clock: manual };
}

function createWaiting(
  key: string,
  options: Partial<work.WaitingRequest> = {},
): work.WaitingRequest {
  return {
    key,
    pool: "p",
    priority: 1,
    workspace: "w",
    promptTokens: 100,
    answerTokens: 100,
    ageMs: 0,
    aimLeftMs: 300,
    leftMs: 8_000,
    avoided: [],
    ...options,
  };
}

function createState(
  sequence: number,
  options: Partial<work.WorkState>,
): work.WorkState {
  return {
    entryId: "e1",
    failureDomain: "a",
    sequence,
    waiting: [],
    running: [],
    passes: [],
    ...options,
  };
}

test("prefers a slot in the entry's own failure domain", () => {
  const { hub } = createHub();
  const decisions = hub.receive(
    createState(1, { waiting: [createWaiting("k1")] }),
  );
  expect(decisions.get("e1")?.grants).toEqual([{
    key: "k1",
    upstreamId: "u1",
  }]);
});

test("repeats a grant until a state of the entry acknowledges it", () => {
  const { hub } = createHub();
  const waiting = [createWaiting("k1")];
  const grants = [{ key: "k1", upstreamId: "u1" }];
  expect(hub.receive(createState(1, { waiting })).get("e1")?.grants)
    .toEqual(grants);
  expect(hub.receive(createState(2, { waiting })).get("e1")?.grants)
    .toEqual(grants);
  const running = [
    { key: "k1", upstreamId: "u1", workspace: "w", promptTokens: 1 },
  ];
  expect(hub.receive(createState(3, { running })).get("e1")?.grants)
    .toEqual([]);
  expect(hub.describe()[0]?.taken).toBe(1);
});

test("grants urgent requests first, and late requests last", () => {
  const { hub } = createHub();
  const decisions = hub.receive(createState(1, {
    waiting: [
      createWaiting("late", { aimLeftMs: -1, priority: 0 }),
      createWaiting("low", { priority: 2 }),
      createWaiting("urgent", { priority: 0 }),
    ],
  }));
  expect(decisions.get("e1")?.grants.map(({ key }) => key))
    .toEqual(["urgent", "low"]);
});

test("prefers the workspace that holds fewer slots", () => {
  const { hub } = createHub();
  hub.receive(createState(1, {
    running: [{
      key: "r",
      upstreamId: "u1",
      workspace: "big",
      promptTokens: 1,
    }],
  }));
  const decisions = hub.receive(createState(2, {
    running: [{
      key: "r",
      upstreamId: "u1",
      workspace: "big",
      promptTokens: 1,
    }],
    waiting: [
      createWaiting("k1", { workspace: "big", ageMs: 50 }),
      createWaiting("k2", { workspace: "small" }),
    ],
  }));
  expect(decisions.get("e1")?.grants.map(({ key }) => key)).toEqual(["k2"]);
});

test("does not grant an upstream that the request avoids", () => {
  const { hub } = createHub();
  const decisions = hub.receive(
    createState(1, { waiting: [createWaiting("k1", { avoided: ["u1"] })] }),
  );
  expect(decisions.get("e1")?.grants).toEqual([{
    key: "k1",
    upstreamId: "u2",
  }]);
});

test("frees the slots of an entry that stopped reporting", () => {
  const { hub, clock: manual } = createHub();
  hub.receive(createState(1, {
    entryId: "stopped",
    running: [
      { key: "a", upstreamId: "u1", workspace: "w", promptTokens: 1 },
      { key: "b", upstreamId: "u2", workspace: "w", promptTokens: 1 },
    ],
  }));
  const waiting = [createWaiting("k1", { aimLeftMs: 5_000 })];
  manual.advance(100);
  expect(hub.receive(createState(1, { waiting })).get("e1")?.grants)
    .toEqual([]);
  manual.advance(1_450);
  expect(hub.receive(createState(2, { waiting })).get("e1")?.grants)
    .toHaveLength(1);
});

describe("a hub with reports of groups", () => {
  function createReportedHub() {
    const manual = clock.createManualClock();
    const groups = groupReports.createGroupReports({ clock: manual });
    const hub = workHub.createWorkHub({
      clock: manual,
      random: () => 0.5,
      groups,
    });
    hub.setUpstreams(
      ["u1", "u2", "u3", "u4"].map((id) => ({
        id,
        address: `${id}:1`,
        pool: "p",
        failureDomain: "a",
        slots: 2,
      })),
    );
    let sequence = 0;
    function grant(count: number): readonly string[] {
      sequence += 1;
      const waiting = Array.from(
        { length: count },
        (_, n) => createWaiting(`k${sequence}-${n}`),
      );
      const decisions = hub.receive(createState(sequence, { waiting }));
      return decisions.get("e1")!.grants.map(({ upstreamId }) => upstreamId);
    }
    return { groups, clock: manual, grant };
  }

  const upstreams = ["u1:1", "u2:1"];

  it("uses a slow upstream, and a group with one, only when the others are full", () => {
    const { groups, grant } = createReportedHub();
    const slow = [{ address: "u1:1", pace: 4 }];
    groups.record({ group: "g1", upstreams, slow, stalledMs: 0 });
    expect([...grant(7)].sort())
      .toEqual(["u1", "u2", "u2", "u3", "u3", "u4", "u4"]);
  });

  it("grants nothing at a group that stands still, until it passes again", () => {
    const { groups, clock: manual, grant } = createReportedHub();
    const report = { group: "g1", upstreams, slow: [], stalledMs: 700 };
    groups.record(report);
    expect([...grant(4)].sort()).toEqual(["u3", "u3", "u4", "u4"]);
    groups.record({ ...report, stalledMs: 0 });
    expect(grant(4)).toContain("u1");
    groups.record(report);
    manual.advance(1_000);
    expect(grant(4)).toContain("u1");
  });
});

describe("the limit of a pool with measured passes", () => {
  const slotsPerRank = 20;
  const running = Array.from({ length: 30 }, (_, n) => ({
    key: `r${n}`,
    upstreamId: n % 2 === 0 ? "u1" : "u2",
    workspace: "w",
    promptTokens: 1,
  }));

  function createTimedHub() {
    const manual = clock.createManualClock();
    const groups = groupReports.createGroupReports({ clock: manual });
    const hub = workHub.createWorkHub({
      clock: manual,
      random: () => 0.5,
      groups,
    });
    hub.setUpstreams(
      ["u1", "u2"].map((id) => ({
        id,
        address: `${id}:1`,
        pool: "p",
        failureDomain: "a",
        slots: slotsPerRank,
      })),
      [{ pool: "p", basePassMs: 40, targetPassMs: 110 }],
    );
    let sequence = 0;
    let pace = 1;
    /** Reports passes for a period and returns the resulting limit. */
    function observe(passMs: number, durationMs: number): number {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 250) {
        sequence += 1;
        groups.record({
          group: "g",
          upstreams: ["u1:1", "u2:1"],
          slow: pace === 1 ? [] : [{ address: "u2:1", pace }],
          stalledMs: 0,
        });
        hub.receive(createState(sequence, {
          running,
          passes: [{ pool: "p", passMs }],
        }));
        manual.advance(250);
      }
      return hub.describe()[0]!.limit;
    }
    return { observe, setPace: (value: number) => (pace = value) };
  }

  it("falls while slow ranks make passes too long", () => {
    const { observe } = createTimedHub();
    const before = observe(100, 1_000);
    const slow = observe(200, 6_000);
    expect(slow).toBeLessThan(before);
    expect(slow).toBe(0.65 * 2 * slotsPerRank);
  });

  it("counts only what requests add to the passes of a slow group", () => {
    const { observe, setPace } = createTimedHub();
    setPace(2);
    // 80 ms without requests, 30 requests add 1 ms each.
    expect(observe(110, 2_000)).toBe(30);
    expect(observe(125, 2_000)).toBe(20);
  });

  it("does not apply while a slow rank alone makes passes too long", () => {
    const { observe, setPace } = createTimedHub();
    observe(125, 2_000);
    setPace(4.2);
    expect(observe(200, 2_000)).toBe(2 * slotsPerRank);
    setPace(1);
    expect(observe(200, 6_000)).toBe(0.65 * 2 * slotsPerRank);
  });

  it("recovers within 5 s after passes become fast again", () => {
    const { observe } = createTimedHub();
    const before = observe(100, 1_000);
    observe(400, 6_000);
    expect(observe(80, 5_000)).toBeGreaterThanOrEqual(before);
  });

  it("does not fall when a switch round holds passes briefly", () => {
    const { observe } = createTimedHub();
    const before = observe(100, 1_000);
    observe(900, 500);
    expect(observe(100, 250)).toBeGreaterThanOrEqual(before);
  });
});
