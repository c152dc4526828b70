/** Renders the skew and the loaded bytes of each policy over time as SVG. */
import type * as policies from "./policies.ts";

/** Runs of all policies over one trace. */
export interface TraceRuns {
  readonly trace: string;
  readonly runs: readonly {
    readonly policy: policies.PolicyName;
    readonly run: policies.PolicyRun;
  }[];
}

interface Chart {
  readonly title: string;
  readonly left: number;
  readonly top: number;
  /** Bounds of the vertical axis. */
  readonly from: number;
  readonly to: number;
  readonly lines: readonly (readonly number[])[];
}

const chartWidthPx = 460;
const chartHeightPx = 150;
const gapPx = 50;
const colors = ["#888888", "#d95f02", "#e6ab02", "#1b9e77", "#2166ac"];

/** Renders a row of two charts for each trace. */
export function renderReport(
  traces: readonly TraceRuns[],
  policyNames: readonly string[],
): string {
  const rowHeight = chartHeightPx + gapPx;
  const width = 2 * (chartWidthPx + gapPx) + gapPx;
  const height = traces.length * rowHeight + gapPx;
  const legend = policyNames.map((name, index) =>
    renderText(name, { x: gapPx + index * 130, y: 20, color: colors[index]! })
  );
  const rows = traces.flatMap(({ trace, runs }, index) => {
    const top = gapPx + index * rowHeight;
    const skews = runs.map(({ run }) => run.skews);
    const bytes = runs.map(({ run }) =>
      computeCumulativeGb(run.bytesByInterval)
    );
    return [
      renderChart({
        title: `${trace}: skew`,
        left: gapPx,
        top,
        from: 1,
        to: findHighest(skews),
        lines: skews,
      }),
      renderChart({
        title: `${trace}: GB loaded`,
        left: chartWidthPx + 2 * gapPx,
        top,
        from: 0,
        to: findHighest(bytes),
        lines: bytes,
      }),
    ];
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" ` +
    `height="${height}" font-family="sans-serif" font-size="11">`,
    `<rect width="100%" height="100%" fill="#ffffff"/>`,
    ...legend,
    ...rows,
    "</svg>",
  ].join("\n");
}

function findHighest(lines: readonly (readonly number[])[]): number {
  return Math.max(...lines.flat());
}

function computeCumulativeGb(bytes: readonly number[]): number[] {
  let total = 0;
  return bytes.map((value) => {
    total += value / 1e9;
    return total;
  });
}

function renderChart(chart: Chart): string {
  const { left, top, from, to } = chart;
  const range = Math.max(to - from, 1e-9);
  const lines = chart.lines.map((values, index) => {
    const points = values.map((value, interval) => {
      const x = left + chartWidthPx * interval / Math.max(1, values.length - 1);
      const y = top + chartHeightPx * (1 - (value - from) / range);
      return `${x.toFixed(1)},${y.toFixed(1)}`;
    });
    return `<polyline fill="none" stroke="${colors[index]}" ` +
      `points="${points.join(" ")}"/>`;
  });
  return [
    `<rect x="${left}" y="${top}" width="${chartWidthPx}" ` +
    `height="${chartHeightPx}" fill="none" stroke="#cccccc"/>`,
    renderText(chart.title, { x: left, y: top - 5, color: "#000000" }),
    renderText(to.toFixed(2), { x: left - 30, y: top + 8, color: "#000000" }),
    renderText(from.toFixed(2), {
      x: left - 30,
      y: top + chartHeightPx,
      color: "#000000",
    }),
    ...lines,
  ].join("\n");
}

function renderText(
  text: string,
  { x, y, color }: {
    readonly x: number;
    readonly y: number;
    readonly color: string;
  },
): string {
  return `<text x="${x}" y="${y}" fill="${color}">${text}</text>`;
}
