/**
 * Lag-compensated load of one upstream: the last reported load, plus the
 * attempts that this node dispatched after that load was measured and that have
 * not ended. A report was measured `lagMs` before it arrived. Without a new
 * report, the load decays exponentially towards the mean of similar upstreams.
 */

/** Load reported by an upstream. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  /** Duration of the last forward pass in microseconds; 0 if unknown. */
  readonly stepUs: number;
}

export interface LoadOptions {
  /** Age of a report when it arrives, in milliseconds. */
  readonly lagMs: number;
  /**
   * Time without a report after which half of the difference between the last
   * report and `typicalLoad` remains in the estimate, in milliseconds.
   */
  readonly halfLifeMs: number;
}

/** Inputs of an estimate. */
export interface EstimateOptions extends LoadOptions {
  readonly nowMs: number;
  /** Load assumed for an upstream without reports. */
  readonly typicalLoad: number;
}

/** An attempt that ended less than `lagMs` ago. */
interface EndedAttempt {
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Load of one upstream as seen by one node; modified only by this module. */
export interface Load {
  /** Requests in the last report, less those that this node saw end since. */
  reported: number;
  queued: number;
  running: number;
  reportedAtMs: number;
  /** Time that the last report describes. */
  measuredAtMs: number;
  /** Dispatch times of this node's open attempts, oldest first. */
  readonly openSentAtMs: number[];
  readonly ended: EndedAttempt[];
}

/** Creates the load of an upstream without reports or attempts. */
export function createLoad(): Load {
  return {
    reported: 0,
    queued: 0,
    running: 0,
    reportedAtMs: -Infinity,
    measuredAtMs: -Infinity,
    openSentAtMs: [],
    ended: [],
  };
}

/** Records that an attempt was dispatched. */
export function recordSent(load: Load, nowMs: number): void {
  load.openSentAtMs.push(nowMs);
}

/** Removes an open attempt; returns its dispatch time, -Infinity if none. */
function removeOpen(load: Load, sentAtMs: number | undefined): number {
  const open = load.openSentAtMs;
  const index = sentAtMs === undefined ? 0 : open.indexOf(sentAtMs);
  if (index < 0 || open.length === 0) return -Infinity;
  return open.splice(index, 1)[0] as number;
}

function trimEnded(load: Load, measuredAtMs: number): void {
  while ((load.ended[0]?.endedAtMs ?? Infinity) <= measuredAtMs) {
    load.ended.shift();
  }
}

/** Records the end of an attempt; of the oldest if `sentAtMs` is undefined. */
export function recordEnded(
  load: Load,
  options: LoadOptions & {
    readonly nowMs: number;
    readonly sentAtMs?: number;
  },
): void {
  const { nowMs, lagMs } = options;
  const sentAtMs = removeOpen(load, options.sentAtMs);
  if (sentAtMs === -Infinity) return;
  if (sentAtMs <= load.measuredAtMs) {
    load.reported = Math.max(0, load.reported - 1);
  }
  load.ended.push({ sentAtMs, endedAtMs: nowMs });
  trimEnded(load, nowMs - lagMs);
}

/** Records a report that arrives at `nowMs`. */
export function recordReport(
  load: Load,
  report: LoadReport,
  options: LoadOptions & { readonly nowMs: number },
): void {
  const measuredAtMs = options.nowMs - options.lagMs;
  trimEnded(load, measuredAtMs);
  const endedSince =
    load.ended.filter((ended) => ended.sentAtMs <= measuredAtMs).length;
  load.reported = Math.max(0, report.running + report.queued - endedSince);
  load.queued = report.queued;
  load.running = report.running;
  load.reportedAtMs = options.nowMs;
  load.measuredAtMs = measuredAtMs;
}

function countSentSinceReport(load: Load): number {
  const open = load.openSentAtMs;
  let first = open.length;
  while (first > 0 && (open[first - 1] as number) > load.measuredAtMs) {
    first -= 1;
  }
  return open.length - first;
}

/** Returns the exponential decay factor of a value of the given age. */
export function computeDecay(ageMs: number, halfLifeMs: number): number {
  return ageMs <= 0 ? 1 : 0.5 ** (ageMs / halfLifeMs);
}

/** Estimates the number of requests at the upstream at `nowMs`. */
export function estimateLoad(load: Load, options: EstimateOptions): number {
  const { typicalLoad } = options;
  const sentSinceReport = countSentSinceReport(load);
  const sentBeforeReport = load.openSentAtMs.length - sentSinceReport;
  const ageMs = options.nowMs - load.reportedAtMs;
  const decay = computeDecay(ageMs, options.halfLifeMs);
  const estimated = typicalLoad + (load.reported - typicalLoad) * decay;
  return Math.max(estimated, sentBeforeReport) + sentSinceReport;
}

/** Estimates the number of requests queued at the upstream. */
export function estimateQueued(load: Load, options: EstimateOptions): number {
  if (load.queued === 0) return 0;
  return Math.max(0, estimateLoad(load, options) - load.running);
}
