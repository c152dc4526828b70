/**
 * Lag-compensated load of one upstream: the last report, plus what this node
 * sent since that report and has not seen finished. A report describes an
 * instant that lies `lagMs` before its arrival, and fades into the mean of
 * similar upstreams when no other comes.
 */

/** Load as an upstream reports it. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  /** Duration of the last step in microseconds; 0 when unknown. */
  readonly stepUs: number;
}

export interface LoadOptions {
  /** Age of a report when it arrives, in milliseconds. */
  readonly lagMs: number;
  /**
   * After this time without a report half of the difference between the last
   * one and `typicalLoad` is believed, in milliseconds.
   */
  readonly halfLifeMs: number;
}

/** What an estimate is made with. */
export interface EstimateOptions extends LoadOptions {
  readonly nowMs: number;
  /** Load of an upstream that nothing is known of. */
  readonly typicalLoad: number;
}

/** An attempt that ended within the lag of the reports. */
interface EndedAttempt {
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Load of one upstream as one node knows it; changed by this module only. */
export interface Load {
  /** Requests at the upstream at `describedAtMs` that may still be there. */
  reported: number;
  queued: number;
  running: number;
  reportedAtMs: number;
  /** Instant that the last report describes. */
  measuredAtMs: number;
  /** When the open attempts of this node were sent, the oldest first. */
  readonly openSentAtMs: number[];
  readonly ended: EndedAttempt[];
}

/** Creates the load of an upstream that nothing is known of. */
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

/** Records that an attempt was sent. */
export function recordSent(load: Load, nowMs: number): void {
  load.openSentAtMs.push(nowMs);
}

function removeOpen(load: Load, sentAtMs: number | undefined): number {
  const open = load.openSentAtMs;
  const found = sentAtMs === undefined ? 0 : open.indexOf(sentAtMs);
  if (found < 0 || open.length === 0) return -Infinity;
  return open.splice(found, 1)[0] as number;
}

function trimEnded(load: Load, describedAtMs: number): void {
  while ((load.ended[0]?.endedAtMs ?? Infinity) <= describedAtMs) {
    load.ended.shift();
  }
}

/** Records that an attempt ended; the oldest one when no instant is given. */
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

/** Takes a report that arrived now. */
export function recordReport(
  load: Load,
  report: LoadReport,
  options: LoadOptions & { readonly nowMs: number },
): void {
  const describedAtMs = options.nowMs - options.lagMs;
  trimEnded(load, describedAtMs);
  const endedSince =
    load.ended.filter((ended) => ended.sentAtMs <= describedAtMs).length;
  load.reported = Math.max(0, report.running + report.queued - endedSince);
  load.queued = report.queued;
  load.running = report.running;
  load.reportedAtMs = options.nowMs;
  load.measuredAtMs = describedAtMs;
}

function countUncovered(load: Load): number {
  const open = load.openSentAtMs;
  let first = open.length;
  while (first > 0 && (open[first - 1] as number) > load.measuredAtMs) {
    first -= 1;
  }
  return open.length - first;
}

/** Returns how much of a value that was learnt `ageMs` ago is believed. */
export function computeDecay(ageMs: number, halfLifeMs: number): number {
  return ageMs <= 0 ? 1 : 0.5 ** (ageMs / halfLifeMs);
}

/** Estimates the requests at the upstream at this instant. */
export function estimateLoad(load: Load, options: EstimateOptions): number {
  const { typicalLoad } = options;
  const uncovered = countUncovered(load);
  const covered = load.openSentAtMs.length - uncovered;
  const ageMs = options.nowMs - load.reportedAtMs;
  const trust = computeDecay(ageMs, options.halfLifeMs);
  const believed = typicalLoad + (load.reported - typicalLoad) * trust;
  return Math.max(believed, covered) + uncovered;
}

/** Estimates the requests that wait at the upstream and do not run yet. */
export function estimateQueued(load: Load, options: EstimateOptions): number {
  if (load.queued === 0) return 0;
  return Math.max(0, estimateLoad(load, options) - load.running);
}
