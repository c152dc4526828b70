/** Messages between the simulated processes, with planned faults. */
import type * as scheduler from "../ports/scheduler.ts";
import type * as faultPlan from "./fault_plan.ts";

/** Sends one message; `name` is the name of its step. */
export type SendMessage = (name: string, deliver: () => void) => void;

export interface NetworkOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly plan: faultPlan.FaultPlan;
  /** Called for every fault; the network itself applies message faults. */
  readonly onFault: (fault: faultPlan.Fault) => void;
  /** Called when a message is sent and when each copy of it arrives. */
  readonly onMessage?: (event: "sent" | "arrived", name: string) => void;
}

/** One-way delay in milliseconds. */
export const latencyMs = 1;
/** Long enough for later messages of the session to overtake. */
const reorderDelayMs = 60;
/**
 * The last copy arrives after the time by which an attempt must start, which is
 * 5 s after the agent was described.
 */
const duplicateDelaysMs: readonly number[] = [latencyMs, 7, 6_500];
/** Before the time by which an attempt must start. */
const lateDelayMs = 3_000;
/** After the time by which an attempt must start. */
const veryLateDelayMs = 8_000;

/** Creates the function that sends messages. */
export function createNetwork(options: NetworkOptions): SendMessage {
  function listDelays(faults: readonly faultPlan.Fault[]): readonly number[] {
    if (faults.includes("message_lost")) return [];
    if (faults.includes("message_very_late")) return [veryLateDelayMs];
    if (faults.includes("message_late")) return [lateDelayMs];
    if (faults.includes("message_reordered")) return [reorderDelayMs];
    if (faults.includes("message_doubled")) return duplicateDelaysMs;
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
