import * as randomSource from "@anvilhinge/coordination/random";
import * as rankGroupHarness from "../../testing/rank_group_harness.ts";

const rankCount = 8;

/** Advances the time until a condition holds; false when the limit is hit. */
async function advanceUntil(
  isConditionMet: () => boolean,
  harness: rankGroupHarness.RankGroupHarness,
  limitMs: number,
): Promise<boolean> {
  const startMs = harness.scheduler.now();
  while (!isConditionMet() && harness.scheduler.now() - startMs < limitMs) {
    await harness.scheduler.advanceAsync(1);
  }
  return isConditionMet();
}

function advanceToHold(
  harness: rankGroupHarness.RankGroupHarness,
  limitMs: number,
): Promise<boolean> {
  return advanceUntil(() => harness.isPassHeld(), harness, limitMs);
}

function expectSingleMap(harness: rankGroupHarness.RankGroupHarness): void {
  expect(harness.getViolation()).toBeUndefined();
  const versions = Array.from(
    { length: rankCount },
    (_, rank) => harness.getMapVersion(rank),
  );
  expect(new Set(versions).size).toBe(1);
}

describe("agents of one group", () => {
  it("switch the map after the demand has shifted", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
    await harness.scheduler.advanceAsync(3_000);
    expect(harness.getMapVersion(0)).toBeGreaterThan(1);
    const before = harness.getMapVersion(0);
    harness.shiftDemand();
    await harness.scheduler.advanceAsync(2_000);
    expect(harness.getMapVersion(0)).toBeGreaterThan(before);
    expectSingleMap(harness);
    // Only the hold order of each switch goes to another machine's engine.
    const switches = harness.logMessages.filter((line) =>
      line === "Switched the map"
    );
    expect(harness.countRemoteOrders()).toBe(switches.length);
  });

  it("take the load off a slow rank, and use the rank again once it is sound", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
    await harness.scheduler.advanceAsync(4_000);
    harness.setPace(5, 4);
    expect(harness.measureSkew()).toBeGreaterThan(2.5);
    await harness.scheduler.advanceAsync(3_000);
    expect(harness.measureSkew()).toBeLessThan(2);
    expectSingleMap(harness);
    harness.setPace(5, 1);
    harness.shiftDemand();
    await harness.scheduler.advanceAsync(3_000);
    expect(harness.measureSkew()).toBeLessThan(2);
    expectSingleMap(harness);
  });

  it("resume passes soon after the leader freezes while a pass is held", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
    expect(await advanceToHold(harness, 5_000)).toBe(true);
    harness.pauseAgent(0);
    await harness.scheduler.advanceAsync(2_500);
    expect(harness.isPassHeld()).toBe(false);
    // Leader timeout, first read of all ranks, two reads of lagging reports.
    expect(harness.takeLongestStall()).toBeLessThan(1_800);
    expectSingleMap(harness);
    harness.resumeAgent(0);
    await harness.scheduler.advanceAsync(4_000);
    harness.takeLongestStall();
    harness.shiftDemand();
    const before = harness.getMapVersion(0);
    await harness.scheduler.advanceAsync(2_000);
    expect(harness.getMapVersion(0)).toBeGreaterThan(before);
    expect(harness.takeLongestStall()).toBeLessThan(400);
    expectSingleMap(harness);
  });

  it("resume passes soon after the machine whose agent ordered a hold is isolated", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
    const isNextRankArmed = () => harness.isArmed(1);
    expect(await advanceUntil(isNextRankArmed, harness, 5_000)).toBe(true);
    harness.isolateMachine(0);
    await harness.scheduler.advanceAsync(2_500);
    expect(harness.isPassHeld()).toBe(false);
    expect(harness.takeLongestStall()).toBeLessThan(1_200);
    expectSingleMap(harness);
    harness.resumeAgent(0);
    await harness.scheduler.advanceAsync(3_000);
    expect(harness.isPassHeld()).toBe(false);
    expectSingleMap(harness);
  });

  it("resume passes soon after the machine that sent the hold order is isolated", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
    expect(await advanceToHold(harness, 5_000)).toBe(true);
    const sender = harness.getHoldSender()!;
    harness.isolateMachine(sender);
    await harness.scheduler.advanceAsync(2_500);
    expect(harness.isPassHeld()).toBe(false);
    expect(harness.takeLongestStall()).toBeLessThan(1_200);
    expectSingleMap(harness);
    harness.resumeAgent(sender);
    await harness.scheduler.advanceAsync(3_000);
    expect(harness.isPassHeld()).toBe(false);
    expectSingleMap(harness);
  });

  it("hold passes from the machine of an entry, which may stop at any time", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({
      rankCount,
      hasEntry: true,
    });
    expect(await advanceToHold(harness, 5_000)).toBe(true);
    // No agent sent the order.
    expect(harness.getHoldSender()).toBe(-1);
    harness.setEntryDown(true);
    await harness.scheduler.advanceAsync(500);
    expect(harness.isPassHeld()).toBe(false);
    expect(harness.takeLongestStall()).toBeLessThan(400);
    const before = harness.getMapVersion(0);
    harness.shiftDemand();
    await harness.scheduler.advanceAsync(4_000);
    // Without the entry, a third rank sends the order.
    expect(harness.getMapVersion(0)).toBeGreaterThan(before);
    expect(harness.getHoldSender()).toBe(2);
    expectSingleMap(harness);
  });

  it("leave a leader alone whose status is late while it switches the map", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
    await harness.scheduler.advanceAsync(3_000);
    for (let round = 0; round < 5; round += 1) {
      harness.setStatusLost(0, true);
      await harness.scheduler.advanceAsync(400);
      harness.shiftDemand();
      await harness.scheduler.advanceAsync(800);
      harness.setStatusLost(0, false);
      await harness.scheduler.advanceAsync(1_200);
    }
    expect(harness.logMessages).not.toContain("Map switch aborted");
    expect(harness.logMessages).not.toContain("Ending an abandoned hold");
    expectSingleMap(harness);
  });

  it.each([
    { name: "the leader's machine", rank: 0 },
    { name: "another machine", rank: 4 },
  ])(
    "keep a pass held while a machine whose rank may be armed is isolated: $name",
    async ({ rank }) => {
      const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
      expect(await advanceToHold(harness, 5_000)).toBe(true);
      harness.isolateMachine(rank);
      await harness.scheduler.advanceAsync(3_000);
      expect(harness.isPassHeld()).toBe(true);
      harness.resumeAgent(rank);
      await harness.scheduler.advanceAsync(1_500);
      expect(harness.isPassHeld()).toBe(false);
      expectSingleMap(harness);
    },
  );

  it("end a switch although an agent freezes during a hold", async () => {
    const harness = rankGroupHarness.createRankGroupHarness({ rankCount });
    expect(await advanceToHold(harness, 5_000)).toBe(true);
    harness.pauseAgent(5);
    await harness.scheduler.advanceAsync(1_000);
    expect(harness.isPassHeld()).toBe(false);
    expect(harness.takeLongestStall()).toBeLessThan(400);
    expectSingleMap(harness);
  });

  it.each([1, 2, 3, 4, 5, 6, 9, 15, 20, 76])(
    "keep a single map despite lost messages and freezes, seed %i",
    async (seed) => {
      const random = randomSource.createRandomSource(seed);
      const harness = rankGroupHarness.createRankGroupHarness({
        rankCount,
        lossProbability: 0.1,
        random,
      });
      let roundsWithHold = 0;
      for (let round = 0; round < 12; round += 1) {
        const rank = Math.floor(random() * 3);
        harness.shiftDemand();
        if (await advanceToHold(harness, 3_000)) roundsWithHold += 1;
        await harness.scheduler.advanceAsync(Math.floor(random() * 10));
        if (random() < 0.5) harness.pauseAgent(rank);
        else harness.isolateMachine(rank);
        await harness.scheduler.advanceAsync(Math.floor(random() * 3_000));
        harness.resumeAgent(rank);
        await harness.scheduler.advanceAsync(500);
        expect(harness.getViolation()).toBeUndefined();
      }
      expect(roundsWithHold).toBeGreaterThan(3);
      await harness.scheduler.advanceAsync(8_000);
      expect(harness.isPassHeld()).toBe(false);
      expectSingleMap(harness);
    },
    60_000,
  );
});
