/**
 * Takes log lines without ever blocking the loop or growing without bound: what
 * a slow reader does not take in time is left out and counted. Pipes are
 * written through a socket, because the runtime's own output blocks on them.
 */
import * as fs from "node:fs";
import * as net from "node:net";
import type * as scheduler from "../ports/scheduler.ts";

export interface LineSink {
  /** Takes one line that ends with a line feed. */
  write(line: string): boolean;
  /** Lines that were left out so far. */
  countDropped(): number;
}

export interface LineSinkOptions {
  /** Takes what fits; `writableLength` tells what it still holds. */
  readonly output: Pick<NodeJS.WritableStream, "write"> & {
    readonly writableLength: number;
  };
  /**
   * Bytes that wait for the reader at most.
   * @default 262144
   */
  readonly limitBytes?: number;
  /** Creates the line that tells how many were left out. */
  readonly createGapLine: (dropped: number) => string;
}

export interface LineRateLimiterOptions {
  readonly clock: Pick<scheduler.Scheduler, "now">;
  /** Lines a second. */
  readonly linesPerSecond: number;
  /** Lines that may come at once. */
  readonly burst: number;
}

const defaultLimitBytes = 256 * 1024;
const millisecondsPerSecond = 1_000;

/** Creates a sink in front of an output that does not block. */
export function createLineSink(options: LineSinkOptions): LineSink {
  const limitBytes = options.limitBytes ?? defaultLimitBytes;
  let dropped = 0;
  let untold = 0;

  return {
    write(line) {
      if (options.output.writableLength + line.length > limitBytes) {
        dropped += 1;
        untold += 1;
        return false;
      }
      if (untold > 0) options.output.write(options.createGapLine(untold));
      untold = 0;
      options.output.write(line);
      return true;
    },
    countDropped: () => dropped,
  };
}

/** Opens the standard output for writing without blocking. */
export function openStandardOutput(): LineSinkOptions["output"] {
  const standardOutput = 1;
  const found = fs.fstatSync(standardOutput);
  if (!found.isFIFO() && !found.isSocket()) return process.stdout;
  const socket = new net.Socket({
    fd: standardOutput,
    readable: false,
    writable: true,
  });
  // A reader that has gone leaves nobody to tell.
  socket.on("error", () => {});
  socket.unref();
  return socket;
}

/** Returns a function that says whether one more line fits the budget. */
export function createLineRateLimiter(
  options: LineRateLimiterOptions,
): () => boolean {
  let tokens = options.burst;
  let filledAtMs = options.clock.now();

  return () => {
    const nowMs = options.clock.now();
    const seconds = (nowMs - filledAtMs) / millisecondsPerSecond;
    filledAtMs = nowMs;
    tokens = Math.min(options.burst, tokens + seconds * options.linesPerSecond);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
}
