/** Runs orders at one engine until their outcome is settled. */
import * as orderSettler from "@anvilhinge/coordination/maps/order_settler";
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";

export interface RunOrderOptions {
  readonly engine: Pick<rankEngine.RankEngine, "readReport" | "sendOrder">;
  readonly scheduler: scheduler.Scheduler;
  readonly order: rankOrders.RankOrder;
  readonly epoch: number;
  /** Timeout of the order, in milliseconds. */
  readonly timeoutMs: number;
}

/** Maximum sends of one order; during a fault, a third of them may be lost. */
const maxSends = 12;

/** Runs one order; resolves to its outcome. */
export function runOrder(
  options: RunOrderOptions,
): Promise<rankOrders.OrderOutcome> {
  const { engine, scheduler, order, epoch } = options;
  const settler = orderSettler.createOrderSettler({
    order,
    epoch,
    maxSends: maxSends,
  });
  const abort = new AbortController();

  return new Promise((resolve) => {
    function execute(
      effects: readonly orderSettler.OrderSettlerEffect[],
    ): void {
      for (const effect of effects) {
        switch (effect.kind) {
          case "read":
            scheduleRead(effect.afterMs);
            break;
          case "send":
            void send();
            break;
          case "finish":
            abort.abort();
            resolve(effect.outcome);
        }
      }
    }

    function scheduleRead(delayMs: number): void {
      if (delayMs === 0) return void read();
      const { signal } = abort;
      scheduler.schedule(() => void read(), { delayMs, signal });
    }

    async function read(): Promise<void> {
      // What a rank has prepared, an earlier report can't show.
      const isDecisive = order.kind !== "prepare";
      const report = await engine.readReport({ isDecisive });
      execute(settler.handle(
        report === undefined
          ? { kind: "silent" }
          : { kind: "state", state: report.state },
      ));
    }

    async function send(): Promise<void> {
      const reply = await engine.sendOrder(order, epoch);
      execute(settler.handle({ kind: "reply", reply }));
    }

    scheduler.schedule(() => execute(settler.handle({ kind: "deadline" })), {
      delayMs: options.timeoutMs,
      signal: abort.signal,
    });
    execute(settler.start());
  });
}
