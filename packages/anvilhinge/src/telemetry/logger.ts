/** Logger whose messages are short sentences, prefixed with the component. */
import bunyan from "bunyan";
import type * as process from "../settings/process.ts";

/** Component of the system that writes a log line. */
export type Component = "entry" | "agent" | "dev" | "command" | "stand_in";

export type Fields = Readonly<Record<string, unknown>>;

export interface Logger {
  debug(message: string, fields?: Fields): void;
  info(message: string, fields?: Fields): void;
  warn(message: string, fields?: Fields): void;
  error(message: string, fields?: Fields): void;
  /**
   * Writes an info line subject to the rate limit. Lines over the limit are
   * dropped; the next line that is written reports how many.
   */
  infoRateLimited(message: string, fields?: Fields): void;
  /** Warns only once about each cause; `cause` identifies it. */
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
   * Destination of the log, one JSON object per line.
   * @default process.stdout
   */
  readonly stream?: Pick<NodeJS.WritableStream, "write">;
  /** Takes a token of the rate limit; false if none is left. Default: true. */
  readonly takeToken?: () => boolean;
}

const maxWarnedCauses = 1_024;
/** Number of dropped lines per warning. */
const linesPerWarning = 100;

/** Creates a logger whose messages begin with `[component]`. */
export function createLogger(
  {
    component,
    level,
    stream = globalThis.process.stdout,
    takeToken,
  }: LoggerOptions,
): LeveledLogger {
  const log = bunyan.createLogger({
    name: "anvilhinge",
    level,
    stream: stream as NodeJS.WritableStream,
  });
  let droppedLines = 0;
  const prefix = `[${component}]`;
  const warnedCauses = new Set<string>();
  return {
    setLevel: (next) => log.level(next),
    debug: (message, fields = {}) => log.debug(fields, `${prefix} ${message}`),
    info: (message, fields = {}) => log.info(fields, `${prefix} ${message}`),
    warn: (message, fields = {}) => log.warn(fields, `${prefix} ${message}`),
    error: (message, fields = {}) => log.error(fields, `${prefix} ${message}`),
    infoRateLimited(message, fields = {}) {
      if (takeToken === undefined || takeToken()) {
        const droppedBefore = droppedLines === 0 ? undefined : droppedLines;
        droppedLines = 0;
        log.info(
          { ...fields, leftOutBefore: droppedBefore },
          `${prefix} ${message}`,
        );
        return;
      }
      droppedLines += 1;
      if (droppedLines % linesPerWarning !== 0) return;
      log.warn(
        { leftOut: droppedLines },
        `${prefix} Dropped log lines over the rate limit`,
      );
    },
    warnOnce(cause, message) {
      if (warnedCauses.has(cause)) return;
      // Clearing the set when it is full keeps the memory bounded.
      if (warnedCauses.size >= maxWarnedCauses) warnedCauses.clear();
      warnedCauses.add(cause);
      log.warn({ cause }, `${prefix} ${message}`);
    },
  };
}
