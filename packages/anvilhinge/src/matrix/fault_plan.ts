/** Steps of a session and the faults that are planned at them. */

/** Kind of a fault that occurs at a step. */
export type Fault =
  | "message_lost"
  /** The message arrives late, but in time for its attempt to start. */
  | "message_late"
  /** The message arrives too late for its attempt to start. */
  | "message_very_late"
  | "message_doubled"
  | "message_reordered"
  /** The first agent dies and restarts. */
  | "agent_dies"
  /** The first agent dies and does not restart. */
  | "agent_gone"
  | "entry_dies"
  | "entry_pauses"
  | "store_down"
  | "store_slow"
  /** The object store executes one call, but its answer is lost. */
  | "store_answer_lost"
  /** One call to the object store gets no answer and is executed late. */
  | "store_write_late"
  | "rank_stalls"
  /** The first upstream changes its half, but the entries do not notice. */
  | "list_stale";

/** All faults in the order in which the matrix is printed. */
export const allFaults: readonly Fault[] = [
  "message_lost",
  "message_late",
  "message_very_late",
  "message_doubled",
  "message_reordered",
  "agent_dies",
  "agent_gone",
  "entry_dies",
  "entry_pauses",
  "store_down",
  "store_slow",
  "store_answer_lost",
  "store_write_late",
  "rank_stalls",
  "list_stale",
];

/** One fault at one step. */
export interface PlannedFault {
  readonly fault: Fault;
  /** Name and number of the step, such as `run#1`. */
  readonly step: string;
}

/** Counts the steps of a run and returns the faults planned at each. */
export interface FaultPlan {
  /** Records a step and returns the faults that are planned at it. */
  recordStep(name: string): readonly Fault[];
  /** Returns the steps in the order in which they were reached. */
  listSteps(): readonly string[];
}

/** Creates a plan; each planned fault occurs once, at its step. */
export function createFaultPlan(planned: readonly PlannedFault[]): FaultPlan {
  const counts = new Map<string, number>();
  const steps: string[] = [];
  return {
    recordStep(name) {
      const count = (counts.get(name) ?? 0) + 1;
      counts.set(name, count);
      const step = `${name}#${count}`;
      steps.push(step);
      return planned.filter((item) => item.step === step)
        .map((item) => item.fault);
    },
    listSteps: () => steps,
  };
}
