/**
 * Reports to entries that a rank of a leaving group is drained: the agent has
 * received the leaving assignment, under which it admits no work, and runs no
 * attempt. The report is repeated until the next assignment arrives, because
 * the entry in charge of the group's move keeps no state and may be replaced.
 */
import type * as random from "@anvilhinge/coordination/random";
import * as rendezvous from "@anvilhinge/coordination/rendezvous";
import type * as scheduler from "../ports/scheduler.ts";
import type * as attempts from "./attempts.ts";

/** Report that a rank is drained. */
export interface DrainedReport {
  readonly group: string;
  readonly rank: number;
  readonly incarnation: string;
  /** Epoch of the leaving assignment. */
  readonly epoch: number;
}

export interface ReporterOptions {
  readonly group: string;
  readonly rank: number;
  readonly incarnation: string;
  readonly attempts: Pick<attempts.Attempts, "getAssignment" | "countRunning">;
  /** Lists the control addresses of entries. */
  readonly listEntries: () => readonly string[];
  /** Resolves to whether the report reached the entry in charge of the move. */
  readonly send: (address: string, report: DrainedReport) => Promise<boolean>;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly signal: AbortSignal;
}

const checkIntervalMs = 250;
/** Interval between reports after one was accepted. */
const repeatIntervalMs = 2_000;

/** Checks for a drained rank and reports it until the signal aborts. */
export function startReporter(options: ReporterOptions): void {
  const { group, rank, incarnation, attempts } = options;
  let failureCount = 0;

  function buildReport(): DrainedReport | undefined {
    const current = attempts.getAssignment();
    if (current?.state !== "leaving" || attempts.countRunning() > 0) {
      return undefined;
    }
    return { group, rank, incarnation, epoch: current.epoch };
  }

  /**
   * Selects an entry by the rendezvous order for this rank; each failed report
   * moves the selection to the next entry.
   */
  function selectEntry(): string | undefined {
    const members = options.listEntries().map((address) => ({ id: address }));
    const key = `${group}/${rank}`;
    const order = rendezvous.selectMembers(members, {
      key,
      count: members.length,
    });
    return order[failureCount % Math.max(1, order.length)]?.id;
  }

  async function sendReport(report: DrainedReport): Promise<boolean> {
    const address = selectEntry();
    if (address === undefined) return false;
    const isAccepted = await options.send(address, report);
    failureCount = isAccepted ? failureCount : failureCount + 1;
    return isAccepted;
  }

  async function runCheck(): Promise<void> {
    const report = buildReport();
    const isAccepted = report !== undefined && await sendReport(report);
    if (options.signal.aborted) return;
    const intervalMs = isAccepted ? repeatIntervalMs : checkIntervalMs;
    options.scheduler.schedule(() => void runCheck(), {
      delayMs: intervalMs * (0.75 + options.random() / 2),
      signal: options.signal,
    });
  }

  void runCheck();
}
