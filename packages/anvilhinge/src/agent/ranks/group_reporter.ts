/**
 * Reports the state of an agent's group to the entries that asked for it: at
 * once after a request, and after each change that matters to the choice of
 * upstreams.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as groupStates from "@anvilhinge/coordination/dispatch/group_states";
import * as groupWatch from "@anvilhinge/coordination/dispatch/group_watch";

export interface GroupReporterOptions {
  readonly clock: clock.Clock;
  readonly send: (
    message: groupWatch.GroupMessage,
    to: string,
  ) => void;
}

export interface GroupReporter {
  /** Applies the latest state, which was just read from the engine. */
  update(report: groupStates.GroupReport): void;
  handleWatch(from: string): void;
}

/** Age above which the latest state is no longer reported. */
const maxReportAgeMs = 500;

/** Creates a reporter without a state. */
export function createGroupReporter(
  { clock, send }: GroupReporterOptions,
): GroupReporter {
  /** Times until which entries are notified, by address. */
  const watchers = new Map<string, number>();
  let latest: groupStates.GroupReport | undefined;
  let updatedAtMs = -Infinity;

  function sendTo(address: string): void {
    if (latest === undefined) return;
    if (clock.now() - updatedAtMs > maxReportAgeMs) return;
    send({ kind: "group", report: latest }, address);
  }

  function notifyWatchers(): void {
    for (const [address, untilMs] of watchers) {
      if (untilMs < clock.now()) watchers.delete(address);
      else sendTo(address);
    }
  }

  return {
    update(report) {
      const hasChanged = latest === undefined || isChange(latest, report);
      latest = report;
      updatedAtMs = clock.now();
      if (hasChanged) notifyWatchers();
    },
    handleWatch(from) {
      watchers.set(from, clock.now() + groupWatch.watchTtlMs);
      sendTo(from);
    },
  };
}

function isChange(
  before: groupStates.GroupReport,
  after: groupStates.GroupReport,
): boolean {
  const wasStalled = before.stalledMs >= groupStates.defaultMinStallMs;
  const isStalled = after.stalledMs >= groupStates.defaultMinStallMs;
  return before.group !== after.group || before.epoch !== after.epoch ||
    before.isOpen !== after.isOpen || wasStalled !== isStalled;
}
