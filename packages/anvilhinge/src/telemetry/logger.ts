/** Logs: short sentences that begin with the fixed prefix of their part. */
import bunyan from "bunyan";
import type * as process from "../settings/process.ts";

/** Part of the system that writes a line. */
export type Component = "entry" | "agent" | "dev" | "command" | "stand_in";

export type Fields = Readonly<Record<string, unknown>>;

export interface Logger {
  debug(message: string, fields?: Fields): void;
  info(message: string, fields?: Fields): void;
  warn(message: string, fields?: Fields): void;
  error(message: string, fields?: Fields): void;
  /**
   * Writes a line of ordinary course, of which some may be left out under load;
   * the next line tells how many.
   */
  infoRateLimited(message: string, fields?: Fields): void;
  /** Warns about one cause the first time only; `cause` identifies it. */
  warnOnce(cause: string, message: string): void;
}

/** A logger whose level can change while the process runs. */
export interface LeveledLogger extends Logger {
  setLevel(level: process.LogLevel): void;
}

export interface LoggerOptions {
  readonly component: Component;
  readonly level: process.LogLevel;
  /**
   * Takes one JSON object a line.
   * @default process.stdout
   */
  readonly stream?: Pick<NodeJS.WritableStream, "write">;
  /** Whether one more ordinary line fits. Default: all do. */
  readonly takeToken?: () => boolean;
}

const maxRememberedCauses = 1_024;
/** Ordinary lines that are left out before that is told. */
const leftOutStep = 100;

/** Creates a logger whose messages begin with `[part]`. */
export function createLogger(
  {
    component: part,
    level,
    stream = globalThis.process.stdout,
    takeToken: takeOrdinary,
  }: LoggerOptions,
): LeveledLogger {
  const log = bunyan.createLogger({
    name: "anvilhinge",
    level,
    stream: stream as NodeJS.WritableStream,
  });
  let leftOut = 0;
  const prefix = `[${part}]`;
  const warnedCauses = new Set<string>();
  return {
    setLevel: (next) => log.level(next),
    debug: (message, fields = {}) => log.debug(fields, `${prefix} ${message}`),
    info: (message, fields = {}) => log.info(fields, `${prefix} ${message}`),
    warn: (message, fields = {}) => log.warn(fields, `${prefix} ${message}`),
    error: (message, fields = {}) => log.error(fields, `${prefix} ${message}`),
    infoRateLimited(message, fields = {}) {
      if (takeOrdinary === undefined || takeOrdinary()) {
        const leftOutBefore = leftOut === 0 ? undefined : leftOut;
        leftOut = 0;
        log.info({ ...fields, leftOutBefore }, `${prefix} ${message}`);
        return;
      }
      leftOut += 1;
      if (leftOut % leftOutStep !== 0) return;
      log.warn({ leftOut }, `${prefix} Left out ordinary lines`);
    },
    warnOnce(cause, message) {
      if (warnedCauses.has(cause)) return;
      // Forgets all causes when full, which keeps the memory bounded.
      if (warnedCauses.size >= maxRememberedCauses) warnedCauses.clear();
      warnedCauses.add(cause);
      log.warn({ cause }, `${prefix} ${message}`);
    },
  };
}
