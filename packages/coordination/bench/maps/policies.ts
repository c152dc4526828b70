/** Runs one policy over one trace. */
import * as baselines from "../../src/maps/baselines.ts";
import * as expertMap from "../../src/maps/expert_map.ts";
import * as layerLoad from "../../src/maps/layer_load.ts";
import * as planner from "../../src/maps/planner.ts";
import * as popularity from "../../src/maps/popularity.ts";
import type * as random from "../../src/random.ts";
import type * as traces from "./traces.ts";

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
  /** Slowest over mean rank by interval. */
  readonly skews: readonly number[];
  readonly bytesByInterval: readonly number[];
  readonly switchCount: number;
}

export const intervalMs = 10_000;
export const expertBytes = 20_000_000;
export const bytesPerMs = 100_000;
const tokensPerInterval = 50_000;
const timerIntervals = 30;
const thresholdSkew = 1.1;
/** Time between two checks of the threshold. */
const thresholdIntervals = 6;
const warmUpIntervals = 6;

/** Runs a policy; counts reach it one interval late and noisy. */
export function runPolicy(
  policy: PolicyName,
  options: PolicyRunOptions,
): PolicyRun {
  const { shape, trace } = options;
  const estimate = popularity.createPopularityEstimator(shape);
  const totals = trace[0]!.shares.map((row) => row.map(() => 0));
  const speedOf = trace.map(({ speeds }) => speeds);
  const skews: number[] = [];
  const bytesByInterval: number[] = [];
  let map = baselines.packMap({ shape, ...trace[0]! });
  let pending: { map: expertMap.ExpertMap; atMs: number } | undefined;
  let switches = 0;
  trace.forEach((instant, interval) => {
    const nowMs = interval * intervalMs;
    if (pending !== undefined && nowMs >= pending.atMs) {
      map = pending.map;
      pending = undefined;
      switches += 1;
    }
    skews.push(layerLoad.computeSkew(map, instant));
    estimate.observe({
      reporter: "group",
      incarnation: "one",
      countedAtMs: nowMs,
      tokens: totals.map((row) => [...row]),
    });
    const speeds = speedOf[Math.max(0, interval - 1)]!;
    const next = pending === undefined && interval >= warmUpIntervals
      ? choosePolicyMap(policy, { ...options, map, speeds, interval, estimate })
      : undefined;
    const loads = next === undefined
      ? 0
      : layerLoad.countExpertLoads(map, next);
    if (next !== undefined && loads > 0) {
      const atMs = nowMs + loads * expertBytes / bytesPerMs;
      pending = { map: next, atMs };
    }
    bytesByInterval.push(loads * expertBytes);
    addTokens(totals, instant, options.random);
  });
  return { skews, bytesByInterval, switchCount: switches };
}

interface PolicyInput extends PolicyRunOptions {
  readonly map: expertMap.ExpertMap;
  readonly speeds: readonly number[];
  readonly interval: number;
  readonly estimate: popularity.PopularityEstimator;
}

function choosePolicyMap(
  policy: PolicyName,
  { shape, map, speeds, interval, estimate }: PolicyInput,
): expertMap.ExpertMap | undefined {
  const forecast = estimate.estimate();
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

function addTokens(
  totals: number[][],
  { shares }: traces.TraceInterval,
  draw: random.RandomSource,
): void {
  shares.forEach((row, layer) =>
    row.forEach((share, expert) => {
      const mean = share * tokensPerInterval;
      const deviate = Math.sqrt(-2 * Math.log(1 - draw())) *
        Math.cos(2 * Math.PI * draw());
      const count = Math.round(mean + Math.sqrt(mean) * deviate);
      totals[layer]![expert]! += Math.max(0, count);
    })
  );
}
