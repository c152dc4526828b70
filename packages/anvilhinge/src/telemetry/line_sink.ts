/**
 * Log output that neither blocks the event loop nor buffers without bound: when
 * the reader is too slow, lines are dropped and counted. Pipes are written
 * through a socket, because the runtime's own `process.stdout` blocks on them.
 */
import * as fs from "node:fs";
import * as net from "node:net";
import type * as scheduler from "../ports/scheduler.ts";

export interface LineSink {
  /** Writes a line that ends with a line feed; returns false if dropped. */
  write(line: string): boolean;
  /** Returns the number of lines dropped so far. */
  countDropped(): number;
}

export interface LineSinkOptions {
  /** Destination; `writableLength` is the amount that it still buffers. */
  readonly output: Pick<NodeJS.WritableStream, "write"> & {
    readonly writableLength: number;
  };
  /**
   * Maximum number of buffered bytes.
   * @default 262144
   */
  readonly limitBytes?: number;
  /** Creates the line that reports how many lines were dropped. */
  readonly createGapLine: (dropped: number) => string;
}

export interface LineRateLimiterOptions {
  readonly clock: Pick<scheduler.Scheduler, "now">;
  /** Sustained rate in lines per second. */
  readonly linesPerSecond: number;
  /** Maximum number of lines in a burst. */
  readonly burst: number;
}

const defaultLimitBytes = 256 * 1024;
const millisecondsPerSecond = 1_000;

/** Creates a sink in front of a non-blocking output. */
export function createLineSink(options: LineSinkOptions): LineSink {
  const limitBytes = options.limitBytes ?? defaultLimitBytes;
  let dropped = 0;
  // Number of lines dropped since the last written line.
  let gapLength = 0;

  return {
    write(line) {
      if (options.output.writableLength + line.length > limitBytes) {
        dropped += 1;
        gapLength += 1;
        return false;
      }
      if (gapLength > 0) options.output.write(options.createGapLine(gapLength));
      gapLength = 0;
      options.output.write(line);
      return true;
    },
    countDropped: () => dropped,
  };
}

/** Opens the standard output for non-blocking writes. */
export function openStandardOutput(): LineSinkOptions["output"] {
  const standardOutputFd = 1;
  const stats = fs.fstatSync(standardOutputFd);
  if (!stats.isFIFO() && !stats.isSocket()) return process.stdout;
  const socket = new net.Socket({
    fd: standardOutputFd,
    readable: false,
    writable: true,
  });
  // Without a reader there is nowhere to report the error.
  socket.on("error", () => {});
  socket.unref();
  return socket;
}

/**
 * Creates a token bucket with one token per line; the returned function takes a
 * token and returns false if none is left.
 */
export function createLineRateLimiter(
  options: LineRateLimiterOptions,
): () => boolean {
  let tokens = options.burst;
  let refilledAtMs = options.clock.now();

  return () => {
    const nowMs = options.clock.now();
    const seconds = (nowMs - refilledAtMs) / millisecondsPerSecond;
    refilledAtMs = nowMs;
    tokens = Math.min(options.burst, tokens + seconds * options.linesPerSecond);
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
}
