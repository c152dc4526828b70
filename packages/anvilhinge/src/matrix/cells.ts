/** Cells of the fault matrix: each fault at each step, alone or in pairs. */
import * as random from "@anvilhinge/coordination/random";
import * as checks from "./checks.ts";
import type * as entryNode from "./entry_node.ts";
import * as faultPlan from "./fault_plan.ts";
import * as simulation from "./simulation.ts";

/** One run of a session with its faults, and the violated guarantees. */
export interface Cell {
  readonly session: simulation.SessionName;
  readonly planned: readonly faultPlan.PlannedFault[];
  readonly violations: readonly string[];
}

export interface CellOptions {
  readonly variant?: entryNode.Variant;
}

const messageFaults: ReadonlySet<faultPlan.Fault> = new Set(
  faultPlan.allFaults.filter((fault) => fault.startsWith("message_")),
);

/** Whether a fault can occur at a step; store calls are not messages. */
function isPossible(fault: faultPlan.Fault, step: string): boolean {
  return !(messageFaults.has(fault) && step.startsWith("store_"));
}

/** Lists all single faults at the steps that the session has without faults. */
export async function listSingleFaults(
  session: simulation.SessionName,
): Promise<readonly faultPlan.PlannedFault[]> {
  const faultlessRun = await simulation.runSimulation({ session, planned: [] });
  return faultlessRun.steps.flatMap((step) =>
    faultPlan.allFaults
      .filter((fault) => isPossible(fault, step))
      .map((fault) => ({ fault, step }))
  );
}

/** Runs one cell. */
export async function runCell(
  session: simulation.SessionName,
  planned: readonly faultPlan.PlannedFault[],
  { variant }: CellOptions = {},
): Promise<Cell> {
  const record = await simulation.runSimulation({ session, planned, variant });
  return { session, planned, violations: checks.listViolations(record) };
}

/** Runs a cell for each single fault of a session. */
export async function runSingleFaults(
  session: simulation.SessionName,
  options: CellOptions = {},
): Promise<readonly Cell[]> {
  const cells: Cell[] = [];
  for (const planned of await listSingleFaults(session)) {
    cells.push(await runCell(session, [planned], options));
  }
  return cells;
}

/**
 * Runs cells with random pairs of faults. The second fault occurs at any step
 * that the session takes under the first, including the steps of its recovery.
 */
export async function runFaultPairs(
  session: simulation.SessionName,
  options: CellOptions & { readonly seed: number; readonly count: number },
): Promise<readonly Cell[]> {
  const draw = random.createRandomSource(options.seed);
  const singleFaults = await listSingleFaults(session);
  const cells: Cell[] = [];

  function pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(draw() * items.length)] as Item;
  }

  while (cells.length < options.count) {
    const firstFault = pick(singleFaults);
    const { steps: reachedSteps } = await simulation.runSimulation({
      session,
      planned: [firstFault],
    });
    const step = pick(reachedSteps);
    const fault = pick(
      faultPlan.allFaults.filter((candidate) => isPossible(candidate, step)),
    );
    cells.push(await runCell(session, [firstFault, { fault, step }], options));
  }
  return cells;
}

/** Formats the name of a cell, as in the output of the matrix. */
export function formatCell({ session, planned }: Cell): string {
  const faults = planned.map(({ fault, step }) => `${fault} at ${step}`);
  return `${session}: ${faults.join(" + ")}`;
}
