/**
 * The frames of all attempts of one agent, kept for resumes within a bound in
 * bytes. Over the bound, finished answers go first, then the oldest frames of
 * the largest running one; answers of work that must not run twice go last.
 */
import type * as frames from "../ports/frames.ts";

export interface FrameLogsOptions {
  /** Most bytes of frames that are held. */
  readonly limitBytes: number;
}

export interface FrameLogs {
  open(attemptId: string, options: { readonly isRepeatable: boolean }): void;
  append(attemptId: string, frame: frames.Frame): void;
  /** Lets the frames be dropped before those of running attempts. */
  finish(attemptId: string): void;
  remove(attemptId: string): void;
  /** Frames from a sequence number on; undefined when some were dropped. */
  read(
    attemptId: string,
    fromSequence: number,
  ): readonly frames.Frame[] | undefined;
  countBytes(): number;
}

interface Log {
  readonly isRepeatable: boolean;
  /** Sequence number of the first frame that is held. */
  firstSequence: number;
  frames: frames.Frame[];
  bytes: number;
  isFinished: boolean;
}

/** Bytes that a frame takes besides its data. */
const frameOverheadBytes = 128;

/** Creates an empty store of frames. */
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
    const all = [...logs.values()].filter((log) => log.bytes > 0);
    const finished = all.filter((log) => log.isFinished);
    const inOrder = [
      ...finished.filter((log) => log.isRepeatable),
      ...finished.filter((log) => !log.isRepeatable),
    ];
    for (const log of inOrder) {
      if (totalBytes <= options.limitBytes) return;
      clearFrames(log);
    }
    while (totalBytes > options.limitBytes) {
      const largest = all.reduce((best, log) =>
        log.bytes > best.bytes ? log : best
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
      // The order of the map is the order of dropping: oldest end first.
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
