/**
 * Report on one request from the log lines of several processes: its attempts
 * and outcome, and related events that were logged around the same time.
 */
import * as logLine from "./log_line.ts";

/** Report on one request. */
export interface RequestReport {
  readonly text: string;
  /** Number of log lines of the request itself; 0 = none were found. */
  readonly found: number;
}

/** Start and end of a request on the clock of the process that served it. */
interface Span {
  readonly startMs: number;
  readonly endMs: number;
}

interface Attempt {
  readonly upstream?: string;
  readonly sentMs?: number;
  readonly endedMs?: number;
  readonly outcome?: string;
  readonly cause?: string;
}

/**
 * Limits of the time before and after a request in which related lines are
 * searched. Causes are logged shortly before their effects, and clocks differ.
 */
const relatedBeforeMs = 3_000;
const relatedAfterMs = 1_000;
const maxRelatedLines = 40;

/** Messages about single requests; too frequent to list as related lines. */
const requestMessages: readonly string[] = [
  "[entry] Request done",
  "[entry] Refused a request",
];

/** Describes a request from log lines. */
export function describeRequest(
  lines: Iterable<string>,
  requestId: string,
): RequestReport {
  const parsed = [...lines].flatMap((line) => logLine.parseLogLine(line) ?? [])
    .sort((a, b) => a.atMs - b.atMs);
  const requestLines = parsed.filter(({ fields }) =>
    fields["requestId"] === requestId
  );
  const parts = requestLines.map((line) => describeLine(line, parsed));
  return { text: parts.join("\n"), found: requestLines.length };
}

function describeLine(
  line: logLine.LogLine,
  all: readonly logLine.LogLine[],
): string {
  const span = findSpan(line);
  const attempts = listAttempts(line);
  const related = listRelatedLines(line, { all, span, attempts });
  return [
    `${formatTime(span.startMs)} ${line.hostname} ${describeInput(line)}`,
    ...attempts.map(describeAttempt),
    describeEnd(line),
    ...(related.length === 0 ? [] : ["Related log lines:", ...related]),
    "",
  ].join("\n");
}

function findSpan({ atMs, fields }: logLine.LogLine): Span {
  const tookMs = Number(fields["tookMs"] ?? 0);
  return { startMs: atMs - tookMs, endMs: atMs };
}

function listAttempts({ fields }: logLine.LogLine): readonly Attempt[] {
  const attempts = fields["attempts"];
  return Array.isArray(attempts) ? attempts as Attempt[] : [];
}

function describeInput({ fields }: logLine.LogLine): string {
  const details = [
    ["route", fields["route"]],
    ["workspace", fields["workspace"]],
    ["priority", fields["priority"]],
    ["time left in ms", fields["leftMs"]],
    ["settings version", fields["settingsVersion"]],
    ["view age in ms", fields["viewAgeMs"]],
  ].filter(([, value]) => value !== undefined && value !== "");
  const text = details.map(([name, value]) => `${name} ${value}`).join(", ");
  return `request ${fields["requestId"]}: ${text}`;
}

function describeAttempt(attempt: Attempt, index: number): string {
  const { upstream, sentMs, endedMs, outcome, cause } = attempt;
  const causeText = cause === undefined ? "" : ` (${cause})`;
  const end = outcome === undefined
    ? "no end logged"
    : `${outcome}${causeText} at ${endedMs} ms`;
  return `  attempt ${index + 1}: ${upstream}, sent at ${sentMs} ms, ${end}`;
}

function describeEnd({ fields }: logLine.LogLine): string {
  const { status, reason, tookMs, waitedMs, decidedBy } = fields;
  const { firstMs, lastMs, isCut } = fields;
  const waited = decidedBy === undefined
    ? ""
    : `; waited ${waitedMs} ms for slots, last decided by the ${decidedBy}`;
  const first = firstMs === undefined ? "" : `, first part at ${firstMs} ms`;
  const last = lastMs === undefined ? "" : `, last part at ${lastMs} ms`;
  const cut = isCut === true ? ", broken off" : "";
  const after = tookMs === undefined ? "" : ` after ${tookMs} ms`;
  const reasonText = reason === undefined ? "" : `: ${reason}`;
  return `  answer ${status}${after}${first}${last}${cut}${reasonText}${waited}`;
}

/**
 * Lists other log lines around the time of the request: all lines of the same
 * process, and lines of any process about the attempted upstreams, about groups
 * and about the load of the pools, on which the hub's decisions are based.
 */
function listRelatedLines(
  own: logLine.LogLine,
  { all, span, attempts }: {
    readonly all: readonly logLine.LogLine[];
    readonly span: Span;
    readonly attempts: readonly Attempt[];
  },
): readonly string[] {
  const upstreams = new Set(attempts.map(({ upstream }) => upstream));
  const related = all.filter(({ atMs, hostname, message, fields }) =>
    atMs >= span.startMs - relatedBeforeMs &&
    atMs <= span.endMs + relatedAfterMs &&
    !requestMessages.includes(message) &&
    (hostname === own.hostname || fields["group"] !== undefined ||
      isPoolLoad(fields["pools"]) ||
      upstreams.has(String(fields["upstream"])))
  );
  const shown = related.slice(0, maxRelatedLines).map(({ atMs, ...line }) =>
    `  ${formatTime(atMs)} ${line.hostname} ${line.message} ${
      JSON.stringify(line.fields)
    }`
  );
  const omitted = related.length - shown.length;
  return omitted === 0 ? shown : [...shown, `  and ${omitted} more lines`];
}

/** Whether the value is a load report of at least one pool. */
function isPoolLoad(pools: unknown): boolean {
  return Array.isArray(pools) && pools.length > 0;
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
