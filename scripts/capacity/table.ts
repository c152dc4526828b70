/** Renders measured costs and their fits as a Markdown table. */
import * as fit from "./fit.ts";

/** A cost of a mechanism, measured at three sizes or more. */
export interface CostRow {
  readonly mechanism: string;
  readonly cost: string;
  readonly unit: string;
  /** Unit of the sizes, for example `entries`. */
  readonly sizeUnit: string;
  readonly samples: readonly fit.Sample[];
  /** Size that the system is designed for. */
  readonly targetSize: number;
}

/** Formats a number with three significant digits. */
export function formatNumber(value: number): string {
  if (value === 0) return "0";
  const rounded = Number(value.toPrecision(3));
  return Math.abs(rounded) >= 1_000
    ? rounded.toLocaleString("en-US")
    : String(rounded);
}

function findMeasured(row: CostRow): fit.Sample | undefined {
  return row.samples.find(({ size }) => size === row.targetSize);
}

function renderRow(row: CostRow): string {
  const fitted = fit.fitSamples(row.samples);
  const measured = findMeasured(row);
  const atTarget = measured?.value ?? fit.estimateValue(fitted, row.targetSize);
  const samples = row.samples
    .map(({ size, value }) => `${formatNumber(value)} at ${size}`)
    .join(", ");
  const cells = [
    row.mechanism,
    `${row.cost}, ${row.unit}`,
    `${samples} ${row.sizeUnit}`,
    formatNumber(fitted.slope),
    `${(fitted.residual * 100).toFixed(0)}%`,
    fitted.exponent.toFixed(2),
    `${formatNumber(atTarget)} at ${row.targetSize}${
      measured === undefined ? " (from the slope)" : " (measured)"
    }`,
  ];
  return `| ${cells.join(" | ")} |`;
}

/** Renders all rows as one table. */
export function renderTable(rows: readonly CostRow[]): string {
  const headers = [
    "Mechanism",
    "Cost",
    "Measured",
    "Slope",
    "Residual",
    "Exponent",
    "At the size to design for",
  ];
  return [
    `| ${headers.join(" | ")} |`,
    `| ${headers.map(() => "---").join(" | ")} |`,
    ...rows.map(renderRow),
  ].join("\n");
}
