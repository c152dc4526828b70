import * as randomSource from "@anvilhinge/coordination/random";
import * as rankGroupHarness from "../../testing/rank_group_harness.ts";

/** A group and the links of its machines as on the users' largest platform. */
const groupSize = {
  rankCount: 72,
  layerCount: 12,
  expertCount: 144,
  slotsPerRank: 3,
  linkBytesPerMs: 700,
  linkQueueBytes: 64_000,
};
/** Time in which the demand can make use of a switch before it shifts again. */
const switchTargetMs = 1_000;

function createLargeGroup(seed: number): rankGroupHarness.RankGroupHarness {
  const random = randomSource.createRandomSource(seed);
  const drawTokens = () => {
    const logWeight = random() + random() + random() - 1.5;
    return 40 * Math.exp(1.8 * logWeight);
  };
  return rankGroupHarness.createRankGroupHarness({
    ...groupSize,
    drawDemand: (layerCount, expertCount) =>
      Array.from({ length: layerCount * expertCount }, drawTokens),
  });
}

/** Returns the time until the first rank uses another map. */
async function measureSwitch(
  harness: rankGroupHarness.RankGroupHarness,
): Promise<number> {
  const before = harness.getMapVersion(0);
  const startMs = harness.scheduler.now();
  while (harness.getMapVersion(0) === before) {
    await harness.scheduler.advanceAsync(20);
    if (harness.scheduler.now() - startMs > 10 * switchTargetMs) break;
  }
  return harness.scheduler.now() - startMs;
}

describe("a group of 72 ranks on narrow links", () => {
  it.each([1, 2])(
    "switches its map within a second after each shift of demand, seed %i",
    async (seed) => {
      const harness = createLargeGroup(seed);
      await harness.scheduler.advanceAsync(3_000);
      const durationsMs: number[] = [];
      for (let shift = 0; shift < 5; shift += 1) {
        harness.shiftDemand();
        durationsMs.push(await measureSwitch(harness));
        await harness.scheduler.advanceAsync(1_500);
      }
      expect(Math.max(...durationsMs)).toBeLessThan(switchTargetMs);
      expect(harness.getViolation()).toBeUndefined();
    },
  );
});
