/** Logs: short sentences that begin with the fixed prefix of their part. */
import bunyan from "bunyan";
import type * as process from "../settings/process.ts";

/** Part of the system that writes a line. */
export type Part = "entry" | "agent" | "dev" | "command" | "stand_in";

export type Fields = Readonly<Record<string, unknown>>;

export interface Logger {
  debug(message: string, fields?: Fields): void;
  info(message: string, fields?: Fields): void;
  warn(message: string, fields?: Fields): void;
  error(message: string, fields?: Fields): void;
  /** Warns about one cause the first time only; `cause` identifies it. */
  warnOnce(cause: string, message: string): void;
}

export interface LoggerOptions {
  readonly part: Part;
  readonly level: process.LogLevel;
  /**
   * Takes one JSON object a line.
   * @default process.stdout
   */
  readonly stream?: NodeJS.WritableStream;
}

const maxRememberedCauses = 1_024;

/** Creates a logger whose messages begin with `[part]`. */
export function createLogger(
  { part, level, stream = globalThis.process.stdout }: LoggerOptions,
): Logger {
  const log = bunyan.createLogger({ name: "anvilhinge", level, stream });
  const prefix = `[${part}]`;
  const warnedCauses = new Set<string>();
  return {
    debug: (message, fields = {}) => log.debug(fields, `${prefix} ${message}`),
    info: (message, fields = {}) => log.info(fields, `${prefix} ${message}`),
    warn: (message, fields = {}) => log.warn(fields, `${prefix} ${message}`),
    error: (message, fields = {}) => log.error(fields, `${prefix} ${message}`),
    warnOnce(cause, message) {
      if (warnedCauses.has(cause)) return;
      // Forgets all causes when full, which keeps the memory bounded.
      if (warnedCauses.size >= maxRememberedCauses) warnedCauses.clear();
      warnedCauses.add(cause);
      log.warn({ cause }, `${prefix} ${message}`);
    },
  };
}
