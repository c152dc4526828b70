/** Seeded traces of expert popularity and rank speed. */
import type * as random from "../../src/random.ts";

/** What is true of a group in one interval. */
export interface TraceInterval {
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
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

type Weights = (layer: number, expert: number, interval: number) => number;

/** Creates one trace; all traces but `noise` have some hot experts. */
export function createTrace(
  name: TraceName,
  options: TraceOptions,
): readonly TraceInterval[] {
  const computeWeight = createWeights(name, options);
  const straggler = Math.floor(options.random() * options.rankCount);
  const startsAt = Math.floor(options.intervalCount * 0.3);
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
      const isSlow = name === "straggler" && rank === straggler &&
        interval >= startsAt;
      return isSlow ? 0.7 : 1;
    });
    return { shares, speeds };
  });
}

function normalizeRow(row: readonly number[]): number[] {
  const total = row.reduce((sum, value) => sum + value, 0);
  return row.map((value) => value / total);
}

function createWeights(name: TraceName, options: TraceOptions): Weights {
  const { random, layerCount, expertCount, intervalCount } = options;
  const cells = Array.from({ length: layerCount * expertCount }, () => ({
    level: 0.5 + random(),
    peak: random(),
    phase: random() * 2 * Math.PI,
  }));
  const getCell = (layer: number, expert: number) =>
    cells[layer * expertCount + expert]!;
  switch (name) {
    case "noise":
      return () => 1;
    case "straggler":
      return (layer, expert) => getCell(layer, expert).level;
    case "slow_drift":
      return (layer, expert, interval) => {
        const { level, phase } = getCell(layer, expert);
        const turn = 2 * Math.PI * interval / intervalCount;
        return level * (1 + 0.6 * Math.sin(turn + phase));
      };
    case "agenda_season": {
      // Two board dates; the load of some experts climbs before each.
      const boards = [0.45, 0.9].map((part) => part * intervalCount);
      const rampIntervals = intervalCount * 0.15;
      return (layer, expert, interval) => {
        const { level, peak } = getCell(layer, expert);
        const ramp = Math.max(...boards.map((board) => {
          const before = board - interval;
          return before >= 0 ? Math.max(0, 1 - before / rampIntervals) : 0;
        }));
        return level * (1 + (peak > 0.85 ? 4 * ramp : 0));
      };
    }
    case "valve_bursts": {
      const burstIntervals = 12;
      const bursts = Array.from(
        { length: 5 },
        () => Math.floor(random() * intervalCount),
      );
      return (layer, expert, interval) => {
        const { level, peak } = getCell(layer, expert);
        const isBurst = bursts.some((start) =>
          interval >= start && interval < start + burstIntervals
        );
        return level * (isBurst && peak > 0.9 ? 5 : 1);
      };
    }
  }
}
