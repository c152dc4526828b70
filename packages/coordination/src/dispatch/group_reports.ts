/**
 * What the hub knows about groups of upstreams that execute forward passes
 * together: which of their upstreams are slow, and whether a group has stopped
 * passing. The agents of the groups report it; without a recent report, a group
 * counts as sound.
 */
import type * as clock from "../clock.ts";

/** State of one group, as reported by the agent that leads it. */
export interface GroupReport {
  readonly group: string;
  /** Addresses of all upstreams of the group, as `host:port`. */
  readonly upstreams: readonly string[];
  readonly slow: readonly SlowUpstream[];
  /**
   * Time since the last pass began while requests wait for the next, in
   * milliseconds.
   */
  readonly stalledMs: number;
}

/** An upstream that takes longer for a unit of work than a sound one. */
export interface SlowUpstream {
  readonly address: string;
  /** Time for a unit of work, relative to a sound upstream. */
  readonly pace: number;
}

export interface GroupReports {
  record(report: GroupReport): void;
  /** Returns the pace of an upstream; 1 for a sound one. */
  getPace(address: string): number;
  /** Returns the pace of the slowest upstream of the upstream's group. */
  getGroupPace(address: string): number;
  /** Whether the upstream's group has not begun a pass for long. */
  isStalled(address: string): boolean;
}

export interface GroupReportsOptions {
  readonly clock: clock.Clock;
  /**
   * Time for which a report is valid, in milliseconds: several intervals.
   * @default 2000
   */
  readonly ttlMs?: number;
  /**
   * Time without a pass after which a group gets no more requests, in
   * milliseconds. The hold of a map switch is shorter.
   * @default 600
   */
  readonly stallMs?: number;
}

interface ReceivedReport extends GroupReport {
  readonly receivedAtMs: number;
}

const defaultTtlMs = 2_000;
const defaultStallMs = 600;

/** Creates a table without reports. */
export function createGroupReports(options: GroupReportsOptions): GroupReports {
  const { clock } = options;
  const ttlMs = options.ttlMs ?? defaultTtlMs;
  const stallMs = options.stallMs ?? defaultStallMs;
  /** Last report of the upstream's group, by the address of the upstream. */
  const reports = new Map<string, ReceivedReport>();

  function findReport(address: string): ReceivedReport | undefined {
    const report = reports.get(address);
    if (report === undefined) return undefined;
    if (clock.now() - report.receivedAtMs < ttlMs) return report;
    reports.delete(address);
    return undefined;
  }

  return {
    record(report) {
      const received = { ...report, receivedAtMs: clock.now() };
      for (const address of report.upstreams) reports.set(address, received);
    },
    getPace(address) {
      const slow = findReport(address)?.slow ?? [];
      return slow.find((upstream) => upstream.address === address)?.pace ?? 1;
    },
    getGroupPace(address) {
      const slow = findReport(address)?.slow ?? [];
      return Math.max(1, ...slow.map(({ pace }) => pace));
    },
    isStalled(address) {
      const report = findReport(address);
      if (report === undefined) return false;
      const ageMs = clock.now() - report.receivedAtMs;
      // Without a newer report the stall may have ended.
      return report.stalledMs >= stallMs && ageMs < stallMs;
    },
  };
}
