/**
 * States of groups of ranks, merged from the reports of their agents. All ranks
 * of a group run each forward pass together, so a group that is broken or
 * stalled serves no request at any of its upstreams. Answers the load of a rank
 * crash or a loss of power: requests wait for the group, or are refused with a
 * retry delay, instead of being dispatched to ranks that refuse all of them.
 */
import type * as clock from "../clock.ts";

/** State of one group as seen by the agent of one of its ranks. */
export interface GroupReport {
  readonly group: string;
  /** Increases each time the group opens again. */
  readonly epoch: number;
  /** False while the group runs no passes, for example after a crash. */
  readonly isOpen: boolean;
  /** Number of the last forward pass that has begun. */
  readonly step: number;
  /**
   * Time since the last pass began while requests wait for the next pass, in
   * milliseconds; 0 if none wait at the rank.
   */
  readonly stalledMs: number;
  /** Ranks of the group that are known to the agent. */
  readonly ranks: readonly RankInfo[];
}

export interface RankInfo {
  /** Address of the rank's engine as `host:port`. */
  readonly address: string;
}

export interface GroupStatesOptions {
  readonly clock: clock.Clock;
  /**
   * Time after which the report of an agent no longer counts, in milliseconds:
   * several intervals between reports.
   * @default 1200
   */
  readonly reportTtlMs?: number;
  /**
   * Minimum time without a pass after which a group counts as stalled, in
   * milliseconds. Longer than a switch to another expert map takes.
   * @default 400
   */
  readonly minStallMs?: number;
}

export interface GroupStates {
  record(report: GroupReport, sender: string): void;
  /**
   * Lists the addresses of all ranks whose group runs no passes. `passMs` is
   * the usual duration of a pass; a group stalls only after several of them.
   */
  listUnavailable(passMs: number): ReadonlySet<string>;
  /** Returns the group of the rank at an address; undefined if unknown. */
  findGroup(address: string): string | undefined;
}

interface ReceivedReport {
  readonly report: GroupReport;
  readonly receivedAtMs: number;
}

const defaultReportTtlMs = 1_200;
export const defaultMinStallMs = 400;
/** Passes that a group misses before it counts as stalled. */
const stallPasses = 4;

/** Creates a table without reports. */
export function createGroupStates(options: GroupStatesOptions): GroupStates {
  const { clock } = options;
  const reportTtlMs = options.reportTtlMs ?? defaultReportTtlMs;
  const minStallMs = options.minStallMs ?? defaultMinStallMs;
  /** Latest report of each agent, by group and then by sender. */
  const groups = new Map<string, Map<string, ReceivedReport>>();

  function listFresh(group: string): readonly ReceivedReport[] {
    const oldestMs = clock.now() - reportTtlMs;
    return [...groups.get(group)?.values() ?? []].filter(
      ({ receivedAtMs }) => receivedAtMs >= oldestMs,
    );
  }

  /** Keeps the reports of the latest epoch, in which a group breaks once. */
  function listLatestEpoch(group: string): readonly ReceivedReport[] {
    const reports = listFresh(group);
    const epoch = Math.max(...reports.map(({ report }) => report.epoch));
    return reports.filter(({ report }) => report.epoch === epoch);
  }

  function isUnavailable(group: string, passMs: number): boolean {
    const reports = listLatestEpoch(group);
    if (reports.some(({ report }) => !report.isOpen)) return true;
    // A report from before the last known pass shows a stall that has ended.
    const step = Math.max(...reports.map(({ report }) => report.step));
    const stallMs = Math.max(minStallMs, stallPasses * passMs);
    return reports.some(({ report }) =>
      report.step === step && report.stalledMs >= stallMs
    );
  }

  function listRanks(group: string): readonly string[] {
    return listFresh(group).flatMap(({ report }) =>
      report.ranks.map(({ address }) => address)
    );
  }

  function removeExpired(): void {
    for (const [group, reports] of groups) {
      const fresh = new Set(listFresh(group));
      for (const [sender, received] of reports) {
        if (!fresh.has(received)) reports.delete(sender);
      }
      if (reports.size === 0) groups.delete(group);
    }
  }

  return {
    record(report, sender) {
      removeExpired();
      const reports = groups.get(report.group) ?? new Map();
      reports.set(sender, { report, receivedAtMs: clock.now() });
      groups.set(report.group, reports);
    },
    listUnavailable(passMs) {
      return new Set(
        [...groups.keys()]
          .filter((group) => isUnavailable(group, passMs))
          .flatMap(listRanks),
      );
    },
    findGroup: (address) =>
      [...groups.keys()].find((group) => listRanks(group).includes(address)),
  };
}
