/** The logger of the processes before routed services: bounded, never blocking. */
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
  /** Lines that the reader did not take in time. */
  countDropped(): number;
}

/** Ordinary lines a second; about 1% of a core. */
const ordinaryPerSecond = 100;
const ordinaryBurst = 300;

/** Creates the logger of one process on its standard output. */
export function createRoutedLogger(
  { component: part, level, clock }: RoutedLoggerOptions,
): RoutedLogger {
  const sink = lineSink.createLineSink({
    output: lineSink.openStandardOutput(),
    createGapLine: (dropped) =>
      `${
        JSON.stringify({
          name: "anvilhinge",
          level: 40,
          dropped,
          msg: `[${part}] The reader of the log was slow; lines are missing`,
        })
      }\n`,
  });
  const log = logger.createLogger({
    component: part,
    level,
    stream: { write: (line) => sink.write(String(line)) },
    takeToken: lineSink.createLineRateLimiter({
      clock,
      linesPerSecond: ordinaryPerSecond,
      burst: ordinaryBurst,
    }),
  });
  return { ...log, countDropped: sink.countDropped };
}
