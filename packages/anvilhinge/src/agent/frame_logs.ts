/**
 * The frames of all attempts of one agent, retained for resumes up to a limit
 * in bytes. Above the limit, the frames of finished attempts are evicted first,
 * those of non-repeatable work last among them; then the oldest frames of the
 * largest running attempt.
 */
import type * as frames from "../ports/frames.ts";

export interface FrameLogsOptions {
  /** Maximum size of the retained frames, in bytes. */
  readonly limitBytes: number;
}

export interface FrameLogs {
  open(attemptId: string, options: { readonly isRepeatable: boolean }): void;
  append(attemptId: string, frame: frames.Frame): void;
  /** Allows eviction of the frames before those of running attempts. */
  finish(attemptId: string): void;
  remove(attemptId: string): void;
  /** Returns the frames from a sequence number on; undefined if incomplete. */
  read(
    attemptId: string,
    fromSequence: number,
  ): readonly frames.Frame[] | undefined;
  countBytes(): number;
}

interface Log {
  readonly isRepeatable: boolean;
  /** Sequence number of the first retained frame. */
  firstSequence: number;
  frames: frames.Frame[];
  bytes: number;
  isFinished: boolean;
}

/** Size that is counted for a frame besides its data. */
const frameOverheadBytes = 128;

/** Creates empty frame logs. */
export function createFrameLogs(options: FrameLogsOptions): FrameLogs {
  const logs = new Map<string, Log>();
  let totalBytes = 0;

  function clearFrames(log: Log): void {
    totalBytes -= log.bytes;
    log.firstSequence += log.frames.length;
    log.frames = [];
    log.bytes = 0;
  }

  function dropFirst(log: Log): void {
    const first = log.frames.shift();
    if (first === undefined) return;
    const bytes = measureFrame(first);
    log.firstSequence += 1;
    log.bytes -= bytes;
    totalBytes -= bytes;
  }

  function evict(): void {
    if (totalBytes <= options.limitBytes) return;
    const nonEmpty = [...logs.values()].filter((log) => log.bytes > 0);
    const finished = nonEmpty.filter((log) => log.isFinished);
    const evictionOrder = [
      ...finished.filter((log) => log.isRepeatable),
      ...finished.filter((log) => !log.isRepeatable),
    ];
    for (const log of evictionOrder) {
      if (totalBytes <= options.limitBytes) return;
      clearFrames(log);
    }
    while (totalBytes > options.limitBytes) {
      const largest = nonEmpty.reduce((largestSoFar, log) =>
        log.bytes > largestSoFar.bytes ? log : largestSoFar
      );
      dropFirst(largest);
    }
  }

  return {
    open(attemptId, { isRepeatable }) {
      logs.set(attemptId, {
        isRepeatable,
        firstSequence: 0,
        frames: [],
        bytes: 0,
        isFinished: false,
      });
    },
    append(attemptId, frame) {
      const log = logs.get(attemptId);
      if (log === undefined) return;
      const bytes = measureFrame(frame);
      log.frames.push(frame);
      log.bytes += bytes;
      totalBytes += bytes;
      evict();
    },
    finish(attemptId) {
      const log = logs.get(attemptId);
      if (log === undefined) return;
      log.isFinished = true;
      // Map order is eviction order: the log that finished first goes first.
      logs.delete(attemptId);
      logs.set(attemptId, log);
    },
    remove(attemptId) {
      const log = logs.get(attemptId);
      if (log === undefined) return;
      totalBytes -= log.bytes;
      logs.delete(attemptId);
    },
    read(attemptId, fromSequence) {
      const log = logs.get(attemptId);
      if (log === undefined || fromSequence < log.firstSequence) {
        return undefined;
      }
      return log.frames.slice(fromSequence - log.firstSequence);
    },
    countBytes: () => totalBytes,
  };
}

function measureFrame(frame: frames.Frame): number {
  const data = frame.body.kind === "chunk" ? frame.body.data.byteLength : 0;
  return frameOverheadBytes + data;
}
