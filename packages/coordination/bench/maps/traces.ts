/** Generates seeded traces of expert popularity and rank speed. */
import type * as random from "../../src/random.ts";

/** State of a group in one interval. */
export interface TraceInterval {
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
  /** Relative speed by rank; 1 is normal. */
  readonly speeds: readonly number[];
}

export interface TraceOptions {
  readonly layerCount: number;
  readonly expertCount: number;
  readonly rankCount: number;
  readonly intervalCount: number;
  readonly random: random.RandomSource;
}

export type TraceName =
  | "agenda_season"
  | "valve_bursts"
  | "slow_drift"
  | "straggler"
  | "noise";

export const traceNames: readonly TraceName[] = [
  "agenda_season",
  "valve_bursts",
  "slow_drift",
  "straggler",
  "noise",
];

/** Returns the unnormalized load of an expert in an interval. */
type ComputeWeight = (
  layer: number,
  expert: number,
  interval: number,
) => number;

/** Creates one trace; in all traces except `noise`, some experts are hot. */
export function createTrace(
  name: TraceName,
  options: TraceOptions,
): readonly TraceInterval[] {
  const computeWeight = createWeightFunction(name, options);
  const slowRank = Math.floor(options.random() * options.rankCount);
  const slowFromInterval = Math.floor(options.intervalCount * 0.3);
  return Array.from({ length: options.intervalCount }, (_value, interval) => {
    const shares = Array.from(
      { length: options.layerCount },
      (_row, layer) =>
        normalizeRow(
          Array.from(
            { length: options.expertCount },
            (_cell, expert) => computeWeight(layer, expert, interval),
          ),
        ),
    );
    const speeds = Array.from({ length: options.rankCount }, (_cell, rank) => {
      const isSlow = name === "straggler" && rank === slowRank &&
        interval >= slowFromInterval;
      return isSlow ? 0.7 : 1;
    });
    return { shares, speeds };
  });
}

function normalizeRow(row: readonly number[]): number[] {
  const total = row.reduce((sum, value) => sum + value, 0);
  return row.map((value) => value / total);
}

function createWeightFunction(
  name: TraceName,
  options: TraceOptions,
): ComputeWeight {
  const { random, layerCount, expertCount, intervalCount } = options;
  const cells = Array.from({ length: layerCount * expertCount }, () => ({
    baseLoad: 0.5 + random(),
    hotness: random(),
    phase: random() * 2 * Math.PI,
  }));
  const getCell = (layer: number, expert: number) =>
    cells[layer * expertCount + expert]!;
  switch (name) {
    case "noise":
      return () => 1;
    case "straggler":
      return (layer, expert) => getCell(layer, expert).baseLoad;
    case "slow_drift":
      return (layer, expert, interval) => {
        const { baseLoad, phase } = getCell(layer, expert);
        const angle = 2 * Math.PI * interval / intervalCount;
        return baseLoad * (1 + 0.6 * Math.sin(angle + phase));
      };
    case "agenda_season": {
      // Two board meetings; the load of some experts rises before each of them.
      const meetings = [0.45, 0.9].map((share) => share * intervalCount);
      const rampIntervals = intervalCount * 0.15;
      return (layer, expert, interval) => {
        const { baseLoad, hotness } = getCell(layer, expert);
        const ramp = Math.max(...meetings.map((meeting) => {
          const intervalsLeft = meeting - interval;
          return intervalsLeft >= 0
            ? Math.max(0, 1 - intervalsLeft / rampIntervals)
            : 0;
        }));
        return baseLoad * (1 + (hotness > 0.85 ? 4 * ramp : 0));
      };
    }
    case "valve_bursts": {
      const burstIntervals = 12;
      const burstStarts = Array.from(
        { length: 5 },
        () => Math.floor(random() * intervalCount),
      );
      return (layer, expert, interval) => {
        const { baseLoad, hotness } = getCell(layer, expert);
        const isBurst = burstStarts.some((start) =>
          interval >= start && interval < start + burstIntervals
        );
        return baseLoad * (isBurst && hotness > 0.9 ? 5 : 1);
      };
    }
  }
}
