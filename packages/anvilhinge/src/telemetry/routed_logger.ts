/** Bounded, non-blocking logger of the processes for routed services. */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as process from "../settings/process.ts";
import * as lineSink from "./line_sink.ts";
import * as logger from "./logger.ts";

export interface RoutedLoggerOptions {
  readonly component: logger.Component;
  readonly level: process.LogLevel;
  readonly clock: clock.Clock;
}

export interface RoutedLogger extends logger.LeveledLogger {
  /** Returns the number of lines dropped because the reader was too slow. */
  countDropped(): number;
}

/** Rate limit of `infoRateLimited`; this rate costs about 1% of a core. */
const rateLimitedLinesPerSecond = 100;
const rateLimitedBurstLines = 300;

/** Creates a logger that writes to the standard output. */
export function createRoutedLogger(
  { component, level, clock }: RoutedLoggerOptions,
): RoutedLogger {
  const sink = lineSink.createLineSink({
    output: lineSink.openStandardOutput(),
    createGapLine: (dropped) =>
      `${
        JSON.stringify({
          name: "anvilhinge",
          level: 40,
          dropped,
          msg: `[${component}] Dropped log lines; the log reader is too slow`,
        })
      }\n`,
  });
  const log = logger.createLogger({
    component,
    level,
    stream: { write: (line) => sink.write(String(line)) },
    takeToken: lineSink.createLineRateLimiter({
      clock,
      linesPerSecond: rateLimitedLinesPerSecond,
      burst: rateLimitedBurstLines,
    }),
  });
  return { ...log, countDropped: sink.countDropped };
}
