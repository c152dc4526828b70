/**
 * The story of one request from the log lines of several processes: what became
 * of it, and what its processes noted around that time.
 */
import * as logLine from "./log_line.ts";

/** What is told of one request. */
export interface RequestReport {
  readonly text: string;
  /** Lines of the request itself; 0 = nothing is known of it. */
  readonly found: number;
}

/** Times of a request on the clock of the process that served it. */
interface Span {
  readonly startMs: number;
  readonly endMs: number;
}

interface Attempt {
  readonly upstream?: string;
  readonly sentMs?: number;
  readonly endedMs?: number;
  readonly outcome?: string;
}

/** Causes show a little before what they cause; clocks differ. */
const beforeMs = 3_000;
const afterMs = 1_000;
const maxAround = 40;

/** Messages that tell of single requests only, or come all the time. */
const ordinaryMessages: readonly string[] = [
  "[entry] Request done",
  "[entry] Refused a request",
];

/** Tells what the lines say of a request. */
export function describeRequest(
  lines: Iterable<string>,
  requestId: string,
): RequestReport {
  const parsed = [...lines].flatMap((line) => logLine.parseLogLine(line) ?? [])
    .sort((one, other) => one.atMs - other.atMs);
  const own = parsed.filter(({ fields }) => fields["requestId"] === requestId);
  const parts = own.map((line) => describeLine(line, parsed));
  return { text: parts.join("\n"), found: own.length };
}

function describeLine(
  line: logLine.LogLine,
  all: readonly logLine.LogLine[],
): string {
  const span = findSpan(line);
  const attempts = listAttempts(line);
  const around = listAround(line, { all, span, attempts });
  return [
    `${formatTime(span.startMs)} ${line.hostname} ${describeInput(line)}`,
    ...attempts.map(describeAttempt),
    describeEnd(line),
    ...(around.length === 0 ? [] : ["Around it:", ...around]),
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
  const known = [
    ["route", fields["route"]],
    ["workspace", fields["workspace"]],
    ["priority", fields["priority"]],
    ["time left in ms", fields["leftMs"]],
    ["settings", fields["settingsVersion"]],
    ["age of the view in ms", fields["viewAgeMs"]],
  ].filter(([, value]) => value !== undefined && value !== "");
  const details = known.map(([name, value]) => `${name} ${value}`).join(", ");
  return `request ${fields["requestId"]}: ${details}`;
}

function describeAttempt(attempt: Attempt, index: number): string {
  const { upstream, sentMs, endedMs, outcome } = attempt;
  const end = outcome === undefined
    ? "no end noted"
    : `${outcome} at ${endedMs} ms`;
  return `  attempt ${index + 1}: ${upstream}, sent at ${sentMs} ms, ${end}`;
}

function describeEnd({ fields }: logLine.LogLine): string {
  const { status, reason, tookMs, waitedMs, decidedBy, firstMs } = fields;
  const waited = decidedBy === undefined
    ? ""
    : `; waited ${waitedMs} ms for places, the ${decidedBy} decided last`;
  const first = firstMs === undefined ? "" : `, first part at ${firstMs} ms`;
  const after = tookMs === undefined ? "" : ` after ${tookMs} ms`;
  const why = reason === undefined ? "" : `: ${reason}`;
  return `  answer ${status}${after}${first}${why}${waited}`;
}

/**
 * Lists what the same process noted, and what any noted of the upstreams, of
 * their group and of the load by which the hub decides.
 */
function listAround(
  own: logLine.LogLine,
  { all, span, attempts }: {
    readonly all: readonly logLine.LogLine[];
    readonly span: Span;
    readonly attempts: readonly Attempt[];
  },
): readonly string[] {
  const upstreams = new Set(attempts.map(({ upstream }) => upstream));
  const near = all.filter(({ atMs, hostname, message, fields }) =>
    atMs >= span.startMs - beforeMs && atMs <= span.endMs + afterMs &&
    !ordinaryMessages.includes(message) &&
    (hostname === own.hostname || fields["group"] !== undefined ||
      isLoad(fields["pools"]) ||
      upstreams.has(String(fields["upstream"])))
  );
  const shown = near.slice(0, maxAround).map(({ atMs, ...line }) =>
    `  ${formatTime(atMs)} ${line.hostname} ${line.message} ${
      JSON.stringify(line.fields)
    }`
  );
  const left = near.length - shown.length;
  return left === 0 ? shown : [...shown, `  and ${left} lines more`];
}

/** Whether a line tells the load that some hub knows. */
function isLoad(pools: unknown): boolean {
  return Array.isArray(pools) && pools.length > 0;
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
