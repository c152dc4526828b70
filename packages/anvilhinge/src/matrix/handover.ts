/** Hands the first upstream over to the other half while a call is under way. */
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
  /** When the agent took the order to leave; undefined when it did not yet. */
  getLeavingAtMs(): number | undefined;
}

const startMs = 4;
const resendMs = 500;

/** Sends each order until the agent has taken it and its work has ended. */
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

  function drive(): void {
    const present = agent.getAssignment();
    const isLeaving = present?.state === "leaving";
    if (present?.half === nextHalf) return;
    if (!isLeaving) {
      const leaving = { group, half, epoch: 2, state: "leaving", nextHalf };
      sendOrder("order_leaving", leaving as assignment.Assignment);
    } else if (agent.countRunning() === 0) {
      const serving = { group, half: nextHalf, epoch: 3, state: "serving" };
      sendOrder("order_serving", serving as assignment.Assignment);
    }
    timers.schedule(drive, { delayMs: resendMs });
  }

  timers.schedule(drive, { delayMs: startMs });
  return { getLeavingAtMs: () => leavingAtMs };
}
