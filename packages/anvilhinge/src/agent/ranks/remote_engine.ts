/** An engine beside which another agent runs, or should run. */
import * as delay from "../../adapters/delay.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";

export interface RemoteEngineOptions {
  readonly engine: rankEngine.RankEngine;
  readonly scheduler: scheduler.Scheduler;
  /** Oldest that the state in a report may be, in milliseconds. */
  readonly reportLagMs: number;
}

/**
 * Creates an engine whose reads show a state no older than the read itself:
 * rounds rest on that, and the reports that an engine gives to other machines
 * may lag.
 */
export function createRemoteEngine(
  { engine, scheduler, reportLagMs }: RemoteEngineOptions,
): rankEngine.RankEngine {
  const waitForLag = (): Promise<void> =>
    delay.waitFor(scheduler, { delayMs: reportLagMs });

  return {
    async readReport() {
      await waitForLag();
      return await engine.readReport();
    },
    async readCounts() {
      await waitForLag();
      return await engine.readCounts();
    },
    async readExperts() {
      await waitForLag();
      return await engine.readExperts();
    },
    sendOrder: (order, epoch) => engine.sendOrder(order, epoch),
  };
}
