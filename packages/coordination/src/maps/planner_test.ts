import fc from "fast-check";
import * as random from "../random.ts";
import * as baselines from "./baselines.ts";
import * as expertMap from "./expert_map.ts";
import * as layerLoad from "./layer_load.ts";
import * as planner from "./planner.ts";
import * as popularity from "./popularity.ts";

const seed = 6_062;
const shape: expertMap.GroupShape = {
  layerCount: 2,
  expertCount: 8,
  slotsPerRank: 3,
  failureDomains: ["a", "a", "b", "b"],
};
const even = [1, 1, 1, 1];
const options: planner.PlannerOptions = {
  shape,
  skewWeight: 0.75,
  expertBytes: 1_000,
  bytesPerMs: 1,
};
const shareRow = fc.array(fc.integer({ min: 1, max: 1_000 }), {
  minLength: 8,
  maxLength: 8,
}).map((row) => {
  const total = row.reduce((sum, value) => sum + value, 0);
  return row.map((value) => value / total);
});

function createInput(
  shares: readonly (readonly number[])[],
  speeds: readonly number[],
): planner.PlanInput {
  return {
    map: expertMap.createEvenMap(shape),
    shares,
    speeds,
    horizonMs: 10_000_000,
    tokensPerLayer: 1e9,
  };
}

describe("planner", () => {
  test("plans only feasible maps that lower the predicted skew", () => {
    const speeds = fc.tuple(...even.map(() =>
      fc.double({
        min: 0.5,
        max: 1.5,
        noNaN: true,
      })
    ));
    const rows = fc.tuple(shareRow, shareRow);
    fc.assert(
      fc.property(rows, speeds, (shares, drawnSpeeds) => {
        const plan = planner.planMap(createInput(shares, drawnSpeeds), options);
        if (plan.kind === "stay") return true;
        expect(expertMap.checkMap(plan.map, shape).kind).toBe("feasible");
        return plan.skewAfter < plan.skewBefore;
      }),
      { seed, numRuns: 200 },
    );
  });

  test("assigns less load to a slow rank", () => {
    const row = Array.from({ length: 8 }, () => 1 / 8);
    const input = createInput([row, row], [1, 1, 1, 0.5]);
    const plan = planner.planMap(input, options);
    if (plan.kind === "stay") throw new Error("The planner returned no move");
    const load = { shares: row, speeds: even };
    const [ranks] = plan.map.layers;
    const { times } = layerLoad.createPlacement(ranks!, load);
    expect(times[3]).toBeLessThan(1 / 4);
  });

  test("keeps the map if the forecast expires before a load has paid off", () => {
    const row = [0.3, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1];
    const input = createInput([row, row], even);
    expect(planner.planMap(input, options).kind).toBe("move");
    const shortInput = { ...input, horizonMs: 100 };
    expect(planner.planMap(shortInput, options).kind).toBe("stay");
  });

  test.each([0.25, 0.75])(
    "keeps the map under sampling noise alone, skew weight %d",
    (weight) => {
      const draw = random.createRandomSource(seed);
      const estimator = popularity.createPopularityEstimator(shape);
      const tokens = Array.from({ length: 2 }, () => Array(8).fill(0));
      for (let round = 0; round < 200; round += 1) {
        for (let count = 0; count < 1_000; count += 1) {
          for (const row of tokens) row[Math.floor(draw() * 8)] += 1;
        }
        estimator.observe({
          reporter: "group",
          incarnation: "one",
          countedAtMs: round * 1_000,
          tokens: tokens.map((row) => [...row]),
        });
        if (round < 2) continue;
        const map = expertMap.createEvenMap(shape);
        const input = { map, speeds: even, ...estimator.estimate() };
        const plan = planner.planMap(input, { ...options, skewWeight: weight });
        expect(plan.kind).toBe("stay");
      }
    },
  );
});

describe("popularity", () => {
  test("ignores duplicate and late reports, counts from 0 after a restart", () => {
    const estimator = popularity.createPopularityEstimator({
      layerCount: 1,
      expertCount: 2,
    });
    const observe = (
      countedAtMs: number,
      tokens: readonly number[],
      incarnation = "one",
    ) =>
      estimator.observe({
        reporter: "a",
        incarnation,
        countedAtMs,
        tokens: [tokens],
      });
    observe(0, [0, 0]);
    observe(1, [30, 10]);
    const { shares } = estimator.estimate();
    expect(shares[0]).toEqual([0.75, 0.25]);
    observe(1, [30, 10]);
    observe(0, [0, 0]);
    expect(estimator.estimate().shares).toEqual(shares);
    observe(2, [3, 1], "two");
    expect(estimator.estimate().shares[0]![0]).toBeCloseTo(0.75);
  });
});

describe("expert map", () => {
  test.each([
    ["No rank holds expert 7", [[0, 1], [2, 3], [4, 5], [6]]],
    ["it has 3 slots", [[0, 1, 2, 3], [4, 5], [6], [7]]],
    ["holds an expert twice", [[0, 0, 1], [2, 3], [4, 5], [6, 7]]],
    ["move one to another domain", [[0, 1], [0, 2, 3], [4, 5], [6, 7]]],
    ["holds expert 9", [[0, 1], [2, 3, 9], [4, 5], [6, 7]]],
  ])("is infeasible: %s", (message, ranks) => {
    const map = { layers: [ranks, expertMap.createEvenMap(shape).layers[0]!] };
    const check = expertMap.checkMap(map, shape);
    if (check.kind === "feasible") throw new Error("The map is feasible");
    expect(check.problems[0].layer).toBe(0);
    const messages = check.problems.map((problem) => problem.message);
    expect(messages.join()).toContain(message);
  });

  test("contains every expert after packing", () => {
    fc.assert(
      fc.property(shareRow, (row) => {
        const map = baselines.packMap({
          shape: { ...shape, layerCount: 1 },
          shares: [row],
          speeds: even,
        });
        return expertMap.listHolders(map.layers[0]!, 8)
          .every((holders) => holders.length > 0);
      }),
      { seed, numRuns: 200 },
    );
  });
});
