/** Renders measured costs and their fits as Markdown tables. */
import * as fit from "./fit.ts";

/** One cost of one mechanism, measured at three sizes or more. */
export interface Row {
  readonly mechanism: string;
  readonly cost: string;
  readonly unit: string;
  /** What the size counts. */
  readonly of: string;
  readonly samples: readonly fit.Sample[];
  /** Size to design for. */
  readonly target: number;
}

/** Formats a number with three significant digits. */
export function formatNumber(value: number): string {
  if (value === 0) return "0";
  const rounded = Number(value.toPrecision(3));
  return Math.abs(rounded) >= 1_000
    ? rounded.toLocaleString("en-US")
    : String(rounded);
}

function findMeasured(row: Row): fit.Sample | undefined {
  return row.samples.find(({ size }) => size === row.target);
}

function renderRow(row: Row): string {
  const fitted = fit.fitSamples(row.samples);
  const measured = findMeasured(row);
  const atTarget = measured?.value ?? fit.computeAt(fitted, row.target);
  const samples = row.samples
    .map(({ size, value }) => `${formatNumber(value)} at ${size}`)
    .join(", ");
  const cells = [
    row.mechanism,
    `${row.cost}, ${row.unit}`,
    `${samples} ${row.of}`,
    formatNumber(fitted.slope),
    `${(fitted.residual * 100).toFixed(0)}%`,
    fitted.exponent.toFixed(2),
    `${formatNumber(atTarget)} at ${row.target}${
      measured === undefined ? " (from the slope)" : " (measured)"
    }`,
  ];
  return `| ${cells.join(" | ")} |`;
}

/** Renders all rows as one table. */
export function renderTable(rows: readonly Row[]): string {
  const heads = [
    "Mechanism",
    "Cost",
    "Measured",
    "Slope",
    "Residual",
    "Exponent",
    "At the size to design for",
  ];
  return [
    `| ${heads.join(" | ")} |`,
    `| ${heads.map(() => "---").join(" | ")} |`,
    ...rows.map(renderRow),
  ].join("\n");
}
