/**
 * Reports to entries that a leaving group's rank is drained: the agent knows
 * the leaving assignment, under which it admits nothing, and no attempt runs.
 * The report is repeated until the next assignment is known, because the entry
 * in charge keeps nothing and may be replaced.
 */
import type * as random from "@anvilhinge/coordination/random";
import * as rendezvous from "@anvilhinge/coordination/rendezvous";
import type * as scheduler from "../ports/scheduler.ts";
import type * as attempts from "./attempts.ts";

/** What a rank tells about itself. */
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
  /** Control addresses of entries. */
  readonly listEntries: () => readonly string[];
  /** Resolves to whether the report reached the entry in charge. */
  readonly send: (address: string, report: DrainedReport) => Promise<boolean>;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly signal: AbortSignal;
}

const checkIntervalMs = 250;
/** Interval of the reports once one was taken. */
const repeatIntervalMs = 2_000;

/** Checks and reports at intervals until the signal aborts. */
export function startReporter(options: ReporterOptions): void {
  const { group, rank, incarnation, attempts } = options;
  let failures = 0;

  function buildReport(): DrainedReport | undefined {
    const known = attempts.getAssignment();
    if (known?.state !== "leaving" || attempts.countRunning() > 0) {
      return undefined;
    }
    return { group, rank, incarnation, epoch: known.epoch };
  }

  /** Each failure moves on to the next entry in the order of this rank. */
  function selectEntry(): string | undefined {
    const members = options.listEntries().map((address) => ({ id: address }));
    const key = `${group}/${rank}`;
    const order = rendezvous.selectMembers(members, {
      key,
      count: members.length,
    });
    return order[failures % Math.max(1, order.length)]?.id;
  }

  async function sendReport(report: DrainedReport): Promise<boolean> {
    const address = selectEntry();
    if (address === undefined) return false;
    const isTaken = await options.send(address, report);
    failures = isTaken ? failures : failures + 1;
    return isTaken;
  }

  async function check(): Promise<void> {
    const report = buildReport();
    const isTaken = report !== undefined && await sendReport(report);
    if (options.signal.aborted) return;
    const intervalMs = isTaken ? repeatIntervalMs : checkIntervalMs;
    options.scheduler.schedule(() => void check(), {
      delayMs: intervalMs * (0.75 + options.random() / 2),
      signal: options.signal,
    });
  }

  void check();
}
