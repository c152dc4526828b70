/** Reads log lines of anvilhinge, also with a prefix of a log collector. */

/** A line with what the reader of a story needs. */
export interface LogLine {
  readonly atMs: number;
  readonly hostname: string;
  readonly message: string;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a line; undefined for a line that anvilhinge did not write. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  const parsed = start < 0 ? undefined : parseObject(text.slice(start));
  const { name, hostname, msg, time, ...rest } = parsed ?? {};
  const atMs = typeof time === "string" ? Date.parse(time) : NaN;
  if (
    name !== "anvilhinge" || typeof hostname !== "string" ||
    typeof msg !== "string" || !Number.isFinite(atMs)
  ) return undefined;
  const { pid: _pid, level: _level, v: _v, ...fields } = rest;
  return { atMs, hostname, message: msg, fields };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    // A line that was cut, or of another program.
    return undefined;
  }
}
