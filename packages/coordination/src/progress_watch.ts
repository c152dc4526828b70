/**
 * Detects stalled upstreams: their connections are open, but no frames arrive.
 * The deadline between two frames is a multiple of the longest recent gap in
 * the pool, which holds the upstreams of one model or service. A frame of any
 * attempt counts as progress of its upstream, even while other attempts are
 * queued there, so that overload is not mistaken for a stall.
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
   * Minimum deadline, in milliseconds.
   * @default 1000
   */
  readonly minDeadlineMs?: number;
  /**
   * Maximum deadline, also used while no gap is known, in milliseconds.
   * @default 5000
   */
  readonly maxDeadlineMs?: number;
}

export interface ProgressWatch {
  /** Records that an attempt was dispatched to an upstream of the pool. */
  start(upstreamId: string, poolName: string): void;
  /** Records a frame of any attempt at the upstream. */
  recordProgress(upstreamId: string): void;
  /** Records that one attempt at the upstream ended. */
  end(upstreamId: string): void;
  /** Returns the maximum gap between two frames, in milliseconds. */
  getDeadlineMs(poolName: string): number;
  /** Returns the upstreams past their deadline, each once per stall. */
  detectStalled(): readonly string[];
  countWatched(): number;
}

interface WatchedUpstream {
  readonly poolName: string;
  openAttempts: number;
  progressAtMs: number;
  isStalled: boolean;
}

interface Gap {
  readonly durationMs: number;
  readonly atMs: number;
}

const defaultGapFactor = 4;
const defaultMinDeadlineMs = 1_000;
const defaultMaxDeadlineMs = 5_000;
const gapHalfLifeMs = 30_000;

/** Creates a watch without upstreams. */
export function createProgressWatch(
  options: ProgressWatchOptions,
): ProgressWatch {
  const { clock } = options;
  const gapFactor = options.gapFactor ?? defaultGapFactor;
  const minDeadlineMs = options.minDeadlineMs ?? defaultMinDeadlineMs;
  const maxDeadlineMs = options.maxDeadlineMs ?? defaultMaxDeadlineMs;
  /** Upstreams with open attempts, least recent progress first. */
  const upstreams = new Map<string, WatchedUpstream>();
  const gaps = new Map<string, Gap>();

  function computeRecentGapMs(poolName: string): number {
    const gap = gaps.get(poolName);
    if (gap === undefined) return 0;
    return gap.durationMs * 0.5 ** ((clock.now() - gap.atMs) / gapHalfLifeMs);
  }

  function getDeadlineMs(poolName: string): number {
    if (!gaps.has(poolName)) return maxDeadlineMs;
    const deadlineMs = gapFactor * computeRecentGapMs(poolName);
    return Math.min(maxDeadlineMs, Math.max(minDeadlineMs, deadlineMs));
  }

  return {
    start(upstreamId, poolName) {
      const watched = upstreams.get(upstreamId);
      if (watched !== undefined) {
        watched.openAttempts += 1;
        return;
      }
      const progressAtMs = clock.now();
      upstreams.set(upstreamId, {
        poolName,
        openAttempts: 1,
        progressAtMs,
        isStalled: false,
      });
    },
    recordProgress(upstreamId) {
      const watched = upstreams.get(upstreamId);
      if (watched === undefined) return;
      const gapMs = clock.now() - watched.progressAtMs;
      if (
        !watched.isStalled &&
        gapMs >= computeRecentGapMs(watched.poolName)
      ) {
        gaps.set(watched.poolName, {
          durationMs: gapMs,
          atMs: clock.now(),
        });
      }
      watched.progressAtMs = clock.now();
      watched.isStalled = false;
      upstreams.delete(upstreamId);
      upstreams.set(upstreamId, watched);
    },
    end(upstreamId) {
      const watched = upstreams.get(upstreamId);
      if (watched === undefined) return;
      watched.openAttempts -= 1;
      if (watched.openAttempts === 0) upstreams.delete(upstreamId);
    },
    getDeadlineMs,
    detectStalled() {
      const stalled: string[] = [];
      for (const [upstreamId, watched] of upstreams) {
        const idleMs = clock.now() - watched.progressAtMs;
        if (idleMs < minDeadlineMs) break;
        if (
          watched.isStalled ||
          idleMs < getDeadlineMs(watched.poolName)
        ) continue;
        watched.isStalled = true;
        stalled.push(upstreamId);
      }
      return stalled;
    },
    countWatched: () => upstreams.size,
  };
}
