import * as random from "../random.ts";
import * as boundedPlanner from "./bounded_planner.ts";
import * as expertMap from "./expert_map.ts";
import * as layerLoad from "./layer_load.ts";

const shape: expertMap.GroupShape = {
  layerCount: 4,
  expertCount: 64,
  slotsPerRank: 5,
  failureDomains: Array.from({ length: 16 }, () => "a"),
};

/** Generates shares; one expert per layer gets a fifth of the tokens. */
function generateShares(seed: number, { expertCount, layerCount } = shape) {
  const draw = random.createRandomSource(seed);
  return Array.from({ length: layerCount }, () => {
    const weights = Array.from(
      { length: expertCount },
      (_, index) => 1 / (index + 1) ** 1.1,
    );
    for (let index = weights.length - 1; index > 0; index -= 1) {
      const other = Math.floor(draw() * (index + 1));
      [weights[index], weights[other]] = [weights[other]!, weights[index]!];
    }
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map((weight) => weight / total);
  });
}

function countCopies(
  before: expertMap.ExpertMap,
  after: expertMap.ExpertMap,
): readonly (readonly number[])[] {
  return after.layers.map((ranks, layer) =>
    ranks.map((experts, rank) =>
      experts.filter((expert) => !before.layers[layer]![rank]!.includes(expert))
        .length
    )
  );
}

const bounds = { slotsPerRank: 5, maxNewPerLayer: 2, maxNewPerRank: 2 };

test.each([1, 2, 3, 4, 5])(
  "a plan respects its bounds and balances the ranks, seed %i",
  (seed) => {
    const map = expertMap.createEvenMap(shape);
    const shares = generateShares(seed);
    const plan = boundedPlanner.planBounded({ map, shares, ...bounds });
    expect(expertMap.checkMap(plan.map, shape)).toEqual({ kind: "feasible" });
    const copies = countCopies(map, plan.map);
    expect(Math.max(...copies.flat())).toBeLessThanOrEqual(2);
    const copiesPerRank = shape.failureDomains.map((_, rank) =>
      copies.reduce((sum, ranks) => sum + ranks[rank]!, 0)
    );
    expect(Math.max(...copiesPerRank)).toBe(plan.mostCopiesPerRank);
    expect(plan.mostCopiesPerRank).toBeLessThanOrEqual(2);
    expect(plan.copies).toBe(layerLoad.countExpertCopies(map, plan.map));
    const speeds = shape.failureDomains.map(() => 1);
    expect(layerLoad.computeSkew(plan.map, { shares, speeds }))
      .toBeCloseTo(plan.skewAfter, 6);
    expect(plan.skewAfter).toBeLessThan(plan.skewBefore / 2);
    // The users' target: the most loaded rank has at most 1.3 times the mean
    // load.
    const next = boundedPlanner.planBounded({
      map: plan.map,
      shares,
      ...bounds,
    });
    expect(next.skewAfter).toBeLessThan(1.3);
  },
);

test("a second plan lowers the skew below that of the first plan", () => {
  const shares = generateShares(7);
  const first = boundedPlanner.planBounded({
    map: expertMap.createEvenMap(shape),
    shares,
    ...bounds,
    maxNewPerRank: 1,
  });
  const second = boundedPlanner.planBounded({
    map: first.map,
    shares,
    ...bounds,
    maxNewPerRank: 1,
  });
  expect(second.skewBefore).toBeCloseTo(first.skewAfter, 6);
  expect(second.skewAfter).toBeLessThan(first.skewAfter);
});

test("a plan copies no expert if the load is even", () => {
  const even = Array.from(
    { length: shape.layerCount },
    () => Array.from({ length: shape.expertCount }, () => 1 / 64),
  );
  const plan = boundedPlanner.planBounded({
    map: expertMap.createEvenMap(shape),
    shares: even,
    ...bounds,
  });
  expect(plan.copies).toBe(0);
  expect(plan.skewAfter).toBeCloseTo(1, 6);
});

test("a plan for 72 ranks respects its bounds", () => {
  const large: expertMap.GroupShape = {
    layerCount: 12,
    expertCount: 144,
    slotsPerRank: 3,
    failureDomains: Array.from({ length: 72 }, () => "a"),
  };
  const map = expertMap.createEvenMap(large);
  const plan = boundedPlanner.planBounded({
    map,
    shares: generateShares(3, large),
    slotsPerRank: 3,
    maxNewPerLayer: 1,
    maxNewPerRank: 3,
  });
  expect(expertMap.checkMap(plan.map, large)).toEqual({ kind: "feasible" });
  expect(plan.mostCopiesPerRank).toBeLessThanOrEqual(3);
  expect(plan.skewAfter).toBeLessThan(plan.skewBefore / 2);
});

test("a plan takes most of the load off a slow rank and keeps all experts", () => {
  const large: expertMap.GroupShape = {
    layerCount: 12,
    expertCount: 144,
    slotsPerRank: 3,
    failureDomains: Array.from({ length: 72 }, () => "a"),
  };
  const even = Array.from(
    { length: large.layerCount },
    () => Array.from({ length: large.expertCount }, () => 1 / 144),
  );
  const paces = large.failureDomains.map((_, rank) => rank === 29 ? 4.2 : 1);
  const map = expertMap.createEvenMap(large);
  const plan = boundedPlanner.planBounded({
    map,
    shares: even,
    paces,
    slotsPerRank: 3,
    maxNewPerLayer: 2,
    maxNewPerRank: 2,
  });
  expect(plan.skewBefore).toBeCloseTo(4.2, 1);
  expect(plan.skewAfter).toBeLessThan(1.3);
  for (const ranks of plan.map.layers) {
    expect(new Set(ranks.flat()).size).toBe(large.expertCount);
  }
  expect(Math.max(...countCopies(map, plan.map).flat())).toBeLessThanOrEqual(2);
});
