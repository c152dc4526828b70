/** Runs an expert map policy over a trace of expert popularity. */
import * as baselines from "../../src/maps/baselines.ts";
import * as expertMap from "../../src/maps/expert_map.ts";
import * as layerLoad from "../../src/maps/layer_load.ts";
import * as planner from "../../src/maps/planner.ts";
import * as popularity from "../../src/maps/popularity.ts";
import type * as random from "../../src/random.ts";
import type * as traces from "./traces.ts";

/** The number in the name of a planner policy is its skew weight. */
export const policyNames = [
  "never",
  "timer",
  "threshold",
  "planner 0.25",
  "planner 0.75",
] as const;

export type PolicyName = typeof policyNames[number];

export interface PolicyRunOptions {
  readonly shape: expertMap.GroupShape;
  readonly trace: readonly traces.TraceInterval[];
  readonly random: random.RandomSource;
}

export interface PolicyRun {
  /** Time of the slowest rank divided by the mean rank time, by interval. */
  readonly skews: readonly number[];
  /** Bytes of expert weights that the ranks load, by interval. */
  readonly bytesByInterval: readonly number[];
  /** Number of installed maps. */
  readonly switchCount: number;
}

export const intervalMs = 10_000;
export const expertBytes = 20_000_000;
/** Rate at which a group loads expert weights. */
export const bytesPerMs = 100_000;
const tokensPerInterval = 50_000;
/** Number of intervals between two maps of the policy `timer`. */
const timerIntervals = 30;
const thresholdSkew = 1.1;
/** Number of intervals between two checks of the threshold. */
const thresholdIntervals = 6;
/** Number of intervals at the start in which no policy changes the map. */
const warmUpIntervals = 6;

/** Runs a policy, which receives noisy token counts one interval late. */
export function runPolicy(
  policy: PolicyName,
  options: PolicyRunOptions,
): PolicyRun {
  const { shape, trace } = options;
  const estimator = popularity.createPopularityEstimator(shape);
  const countedTokens = trace[0]!.shares.map((row) => row.map(() => 0));
  const speedsByInterval = trace.map(({ speeds }) => speeds);
  const skews: number[] = [];
  const bytesByInterval: number[] = [];
  let map = baselines.packMap({ shape, ...trace[0]! });
  /** Map whose experts are being loaded, and the time of its installation. */
  let pending: { map: expertMap.ExpertMap; atMs: number } | undefined;
  let switchCount = 0;
  trace.forEach((current, interval) => {
    const nowMs = interval * intervalMs;
    if (pending !== undefined && nowMs >= pending.atMs) {
      map = pending.map;
      pending = undefined;
      switchCount += 1;
    }
    skews.push(layerLoad.computeSkew(map, current));
    estimator.observe({
      reporter: "group",
      incarnation: "one",
      countedAtMs: nowMs,
      tokens: countedTokens.map((row) => [...row]),
    });
    const speeds = speedsByInterval[Math.max(0, interval - 1)]!;
    const nextMap = pending === undefined && interval >= warmUpIntervals
      ? choosePolicyMap(policy, {
        ...options,
        map,
        speeds,
        interval,
        estimator,
      })
      : undefined;
    const loadCount = nextMap === undefined
      ? 0
      : layerLoad.countExpertCopies(map, nextMap);
    if (nextMap !== undefined && loadCount > 0) {
      const atMs = nowMs + loadCount * expertBytes / bytesPerMs;
      pending = { map: nextMap, atMs };
    }
    bytesByInterval.push(loadCount * expertBytes);
    addTokens(countedTokens, current, options.random);
  });
  return { skews, bytesByInterval, switchCount };
}

interface PolicyInput extends PolicyRunOptions {
  readonly map: expertMap.ExpertMap;
  readonly speeds: readonly number[];
  readonly interval: number;
  readonly estimator: popularity.PopularityEstimator;
}

function choosePolicyMap(
  policy: PolicyName,
  { shape, map, speeds, interval, estimator }: PolicyInput,
): expertMap.ExpertMap | undefined {
  const forecast = estimator.estimate();
  const input = { shape, shares: forecast.shares, speeds };
  switch (policy) {
    case "never":
      return undefined;
    case "timer":
      return interval % timerIntervals === 0
        ? baselines.packMap(input)
        : undefined;
    case "threshold":
      return interval % thresholdIntervals === 0 &&
          layerLoad.computeSkew(map, input) > thresholdSkew
        ? baselines.packMap(input)
        : undefined;
    case "planner 0.25":
    case "planner 0.75": {
      const skewWeight = policy === "planner 0.25" ? 0.25 : 0.75;
      const plan = planner.planMap({ map, speeds, ...forecast }, {
        shape,
        skewWeight,
        expertBytes,
        bytesPerMs,
      });
      return plan.kind === "move" ? plan.map : undefined;
    }
  }
}

/** Adds the token counts of one interval, with normally distributed noise. */
function addTokens(
  countedTokens: number[][],
  { shares }: traces.TraceInterval,
  source: random.RandomSource,
): void {
  shares.forEach((row, layer) =>
    row.forEach((share, expert) => {
      const mean = share * tokensPerInterval;
      const standardNormal = Math.sqrt(-2 * Math.log(1 - source())) *
        Math.cos(2 * Math.PI * source());
      const count = Math.round(mean + Math.sqrt(mean) * standardNormal);
      countedTokens[layer]![expert]! += Math.max(0, count);
    })
  );
}
