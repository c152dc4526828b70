/** Parses log lines of anvilhinge, with or without a log collector's prefix. */

/** Parsed log line, reduced to what a request report needs. */
export interface LogLine {
  readonly atMs: number;
  readonly hostname: string;
  readonly message: string;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a line; undefined if anvilhinge did not write it. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  const parsed = start < 0 ? undefined : parseObject(text.slice(start));
  const { name, hostname, msg, time, ...otherFields } = parsed ?? {};
  const atMs = typeof time === "string" ? Date.parse(time) : NaN;
  if (
    name !== "anvilhinge" || typeof hostname !== "string" ||
    typeof msg !== "string" || !Number.isFinite(atMs)
  ) return undefined;
  const { pid: _pid, level: _level, v: _v, ...fields } = otherFields;
  return { atMs, hostname, message: msg, fields };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    // The line was truncated or comes from another program.
    return undefined;
  }
}
