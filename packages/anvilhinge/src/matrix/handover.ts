/** Hands the first upstream over to the other half while a call is in flight. */
import type * as assignment from "@anvilhinge/coordination/assignment";
import type * as scheduler from "../ports/scheduler.ts";
import type * as agentNode from "./agent_node.ts";
import type * as network from "./network.ts";

export interface HandoverOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly send: network.SendMessage;
  readonly agent: agentNode.AgentNode;
}

export interface Handover {
  /** Returns when the agent applied the leaving assignment; undefined before. */
  getLeavingAtMs(): number | undefined;
}

/** Short, so that the call is still in flight. */
const startDelayMs = 4;
const resendIntervalMs = 500;

/**
 * Sends the leaving assignment until the agent applies it, then, after the
 * running attempts have ended, the serving assignment of the next half.
 */
export function startHandover(options: HandoverOptions): Handover {
  const { agent, scheduler: timers } = options;
  const { group, half } = agent.upstream;
  const nextHalf = "water_board";
  let leavingAtMs: number | undefined;

  function sendOrder(name: string, order: assignment.Assignment): void {
    options.send(name, () => {
      if (!agent.isUp()) return;
      agent.setAssignment(order);
      if (order.state === "leaving") leavingAtMs ??= timers.now();
    });
  }

  function sendNextOrder(): void {
    const current = agent.getAssignment();
    const isLeaving = current?.state === "leaving";
    if (current?.half === nextHalf) return;
    if (!isLeaving) {
      const leaving = { group, half, epoch: 2, state: "leaving", nextHalf };
      sendOrder("order_leaving", leaving as assignment.Assignment);
    } else if (agent.countRunning() === 0) {
      const serving = { group, half: nextHalf, epoch: 3, state: "serving" };
      sendOrder("order_serving", serving as assignment.Assignment);
    }
    timers.schedule(sendNextOrder, { delayMs: resendIntervalMs });
  }

  timers.schedule(sendNextOrder, { delayMs: startDelayMs });
  return { getLeavingAtMs: () => leavingAtMs };
}
