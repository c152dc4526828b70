/** The cells of the matrix: each fault at each step, alone and in pairs. */
import * as random from "@anvilhinge/coordination/random";
import * as checks from "./checks.ts";
import type * as entryNode from "./entry_node.ts";
import * as steps from "./steps.ts";
import * as world from "./world.ts";

export interface Cell {
  readonly session: world.SessionName;
  readonly planned: readonly steps.PlannedFault[];
  readonly violations: readonly string[];
}

export interface CellOptions {
  readonly variant?: entryNode.Variant;
}

const messageFaults: ReadonlySet<steps.Fault> = new Set(
  steps.allFaults.filter((fault) => fault.startsWith("message_")),
);

/** Whether a fault of this kind can occur at a step. */
function isPossible(fault: steps.Fault, step: string): boolean {
  return !(messageFaults.has(fault) && step.startsWith("store_"));
}

/** Lists the single faults of a session by the steps of its quiet run. */
export async function listSingles(
  session: world.SessionName,
): Promise<readonly steps.PlannedFault[]> {
  const quiet = await world.runWorld({ session, planned: [] });
  return quiet.steps.flatMap((step) =>
    steps.allFaults
      .filter((fault) => isPossible(fault, step))
      .map((fault) => ({ fault, step }))
  );
}

/** Runs one cell. */
export async function runCell(
  session: world.SessionName,
  planned: readonly steps.PlannedFault[],
  { variant }: CellOptions = {},
): Promise<Cell> {
  const record = await world.runWorld({ session, planned, variant });
  return { session, planned, violations: checks.listViolations(record) };
}

/** Runs each single fault of a session. */
export async function runSingles(
  session: world.SessionName,
  options: CellOptions = {},
): Promise<readonly Cell[]> {
  const cells: Cell[] = [];
  for (const planned of await listSingles(session)) {
    cells.push(await runCell(session, [planned], options));
  }
  return cells;
}

/**
 * Runs pairs that a seed draws: the second fault falls on any step that the
 * session takes under the first, so also on its way of recovery.
 */
export async function runPairs(
  session: world.SessionName,
  options: CellOptions & { readonly seed: number; readonly count: number },
): Promise<readonly Cell[]> {
  const draw = random.createRandomSource(options.seed);
  const singles = await listSingles(session);
  const cells: Cell[] = [];

  function pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(draw() * items.length)] as Item;
  }

  while (cells.length < options.count) {
    const first = pick(singles);
    const { steps: reached } = await world.runWorld({
      session,
      planned: [first],
    });
    const step = pick(reached);
    const fault = pick(
      steps.allFaults.filter((one) => isPossible(one, step)),
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
