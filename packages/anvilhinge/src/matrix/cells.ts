/** The cells of the matrix: each fault at each step, alone and in pairs. */
import * as random from "@anvilhinge/coordination/random";
import * as checks from "./checks.ts";
import type * as entryNode from "./entry_node.ts";
import * as faultPlan from "./fault_plan.ts";
import * as simulation from "./simulation.ts";

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

/** Whether a fault of this kind can occur at a step. */
function isPossible(fault: faultPlan.Fault, step: string): boolean {
  return !(messageFaults.has(fault) && step.startsWith("store_"));
}

/** Lists the single faults of a session by the steps of its quiet run. */
export async function listSingleFaults(
  session: simulation.SessionName,
): Promise<readonly faultPlan.PlannedFault[]> {
  const quiet = await simulation.runSimulation({ session, planned: [] });
  return quiet.steps.flatMap((step) =>
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

/** Runs each single fault of a session. */
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
 * Runs pairs that a seed draws: the second fault falls on any step that the
 * session takes under the first, so also on its way of recovery.
 */
export async function runFaultPairs(
  session: simulation.SessionName,
  options: CellOptions & { readonly seed: number; readonly count: number },
): Promise<readonly Cell[]> {
  const draw = random.createRandomSource(options.seed);
  const singles = await listSingleFaults(session);
  const cells: Cell[] = [];

  function pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(draw() * items.length)] as Item;
  }

  while (cells.length < options.count) {
    const first = pick(singles);
    const { steps: reached } = await simulation.runSimulation({
      session,
      planned: [first],
    });
    const step = pick(reached);
    const fault = pick(
      faultPlan.allFaults.filter((one) => isPossible(one, step)),
    );
    cells.push(await runCell(session, [first, { fault, step }], options));
  }
  return cells;
}

/** Names a cell as the table and the list of known failures do. */
export function formatCell({ session, planned }: Cell): string {
  const faults = planned.map(({ fault, step }) => `${fault} at ${step}`);
  return `${session}: ${faults.join(" + ")}`;
}
