/** Access to the engine beside another agent, which may not be running. */
import * as delay from "../../adapters/delay.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";

export interface RemoteEngineOptions {
  readonly engine: rankEngine.RankEngine;
  readonly scheduler: scheduler.Scheduler;
  /** Maximum age of the state in a report, in milliseconds. */
  readonly reportLagMs: number;
}

/**
 * Wraps an engine so that a read returns a state no older than the read itself.
 * Switch rounds rely on that, but the reports that an engine gives to other
 * machines may lag, so each read first waits for the maximum lag.
 */
export function createRemoteEngine(
  { engine, scheduler, reportLagMs }: RemoteEngineOptions,
): rankEngine.RankEngine {
  const waitForLag = (): Promise<void> =>
    delay.waitFor(scheduler, { delayMs: reportLagMs });

  return {
    async readReport(readOptions) {
      await waitForLag();
      return await engine.readReport(readOptions);
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
