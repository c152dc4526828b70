/**
 * Finds upstreams whose connections are open and that deliver nothing. The
 * deadline between two signs of progress follows the longest recent gap of the
 * same need. An upstream that serves one attempt while others wait in its queue
 * makes progress, so that overload does not look like a stall.
 */
import type * as clock from "./clock.ts";

export interface ProgressWatchOptions {
  readonly clock: clock.Clock;
  /**
   * Deadline as a multiple of the longest recent gap.
   * @default 4
   */
  readonly gapFactor?: number;
  /**
   * Shortest deadline, in milliseconds.
   * @default 1000
   */
  readonly minDeadlineMs?: number;
  /**
   * Longest deadline, and the one while no gap is known, in milliseconds.
   * @default 5000
   */
  readonly maxDeadlineMs?: number;
}

export interface ProgressWatch {
  /** Records that an attempt for `need` was sent to the upstream. */
  start(upstreamId: string, need: string): void;
  /** Records a frame of any attempt of the upstream. */
  recordProgress(upstreamId: string): void;
  /** Records that one attempt at the upstream ended. */
  end(upstreamId: string): void;
  /** Deadline between two signs of progress, in milliseconds. */
  getDeadlineMs(need: string): number;
  /** Returns each upstream that is silent past its deadline, once a stall. */
  detectStalled(): readonly string[];
  countWatched(): number;
}

interface Watched {
  readonly need: string;
  open: number;
  progressAtMs: number;
  isStalled: boolean;
}

interface Gap {
  readonly longestMs: number;
  readonly atMs: number;
}

const defaultGapFactor = 4;
const defaultMinDeadlineMs = 1_000;
const defaultMaxDeadlineMs = 5_000;
const gapHalfLifeMs = 30_000;

/** Creates a watch over no upstreams. */
export function createProgressWatch(
  options: ProgressWatchOptions,
): ProgressWatch {
  const { clock } = options;
  const gapFactor = options.gapFactor ?? defaultGapFactor;
  const minDeadlineMs = options.minDeadlineMs ?? defaultMinDeadlineMs;
  const maxDeadlineMs = options.maxDeadlineMs ?? defaultMaxDeadlineMs;
  /** Upstreams with open attempts, the longest silent first. */
  const watched = new Map<string, Watched>();
  const gaps = new Map<string, Gap>();

  function readLongestMs(need: string): number {
    const gap = gaps.get(need);
    if (gap === undefined) return 0;
    return gap.longestMs * 0.5 ** ((clock.now() - gap.atMs) / gapHalfLifeMs);
  }

  function getDeadlineMs(need: string): number {
    if (!gaps.has(need)) return maxDeadlineMs;
    const deadlineMs = gapFactor * readLongestMs(need);
    return Math.min(maxDeadlineMs, Math.max(minDeadlineMs, deadlineMs));
  }

  return {
    start(upstreamId, need) {
      const entry = watched.get(upstreamId);
      if (entry !== undefined) {
        entry.open += 1;
        return;
      }
      const progressAtMs = clock.now();
      watched.set(upstreamId, {
        need,
        open: 1,
        progressAtMs,
        isStalled: false,
      });
    },
    recordProgress(upstreamId) {
      const entry = watched.get(upstreamId);
      if (entry === undefined) return;
      const gapMs = clock.now() - entry.progressAtMs;
      if (!entry.isStalled && gapMs >= readLongestMs(entry.need)) {
        gaps.set(entry.need, { longestMs: gapMs, atMs: clock.now() });
      }
      entry.progressAtMs = clock.now();
      entry.isStalled = false;
      watched.delete(upstreamId);
      watched.set(upstreamId, entry);
    },
    end(upstreamId) {
      const entry = watched.get(upstreamId);
      if (entry === undefined) return;
      entry.open -= 1;
      if (entry.open === 0) watched.delete(upstreamId);
    },
    getDeadlineMs,
    detectStalled() {
      const stalled: string[] = [];
      for (const [upstreamId, entry] of watched) {
        const silentMs = clock.now() - entry.progressAtMs;
        if (silentMs < minDeadlineMs) break;
        if (entry.isStalled || silentMs < getDeadlineMs(entry.need)) continue;
        entry.isStalled = true;
        stalled.push(upstreamId);
      }
      return stalled;
    },
    countWatched: () => watched.size,
  };
}
