/** Messages between the processes of the matrix, with planned faults. */
import type * as scheduler from "../ports/scheduler.ts";
import type * as faultPlan from "./fault_plan.ts";

/** Sends one message; `name` names its step. */
export type SendMessage = (name: string, deliver: () => void) => void;

export interface NetworkOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly plan: faultPlan.FaultPlan;
  /** Called for faults that do not concern the message itself. */
  readonly onFault: (fault: faultPlan.Fault) => void;
  /** Called as a message leaves and as each copy of it arrives. */
  readonly onMessage?: (what: "sent" | "arrived", name: string) => void;
}

/** One-way delay in milliseconds. */
export const latencyMs = 1;
const reorderedMs = 60;
const doubledMs: readonly number[] = [latencyMs, 7, 6_500];
const lateMs = 3_000;
const veryLateMs = 8_000;

/** Creates the function that sends messages. */
export function createNetwork(options: NetworkOptions): SendMessage {
  function listDelays(faults: readonly faultPlan.Fault[]): readonly number[] {
    if (faults.includes("message_lost")) return [];
    if (faults.includes("message_very_late")) return [veryLateMs];
    if (faults.includes("message_late")) return [lateMs];
    if (faults.includes("message_reordered")) return [reorderedMs];
    if (faults.includes("message_doubled")) return doubledMs;
    return [latencyMs];
  }

  return (name, deliver) => {
    const faults = options.plan.recordStep(name);
    options.onMessage?.("sent", name);
    for (const fault of faults) options.onFault(fault);
    for (const delayMs of listDelays(faults)) {
      options.scheduler.schedule(() => {
        options.onMessage?.("arrived", name);
        deliver();
      }, { delayMs });
    }
  };
}
