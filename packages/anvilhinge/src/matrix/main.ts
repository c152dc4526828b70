/**
 * Prints the fault matrix: for each fault and session, the number of cells
 * without violations and of all cells. Exits with 1 if any cell has violations.
 */
import * as cells from "./cells.ts";
import * as faultPlan from "./fault_plan.ts";
import * as simulation from "./simulation.ts";

const seed = 20_261_203;
const pairCount = 300;

function formatRow(
  name: string,
  columns: readonly (readonly cells.Cell[])[],
): string {
  const counts = columns.map((column) => {
    const passed = column.filter((cell) => cell.violations.length === 0).length;
    return `${passed}/${column.length}`.padStart(12);
  });
  return name.padEnd(20) + counts.join("");
}

async function printMatrix(): Promise<void> {
  const bySession = [];
  for (const session of simulation.allSessions) {
    const singles = await cells.runSingleFaults(session);
    const pairs = await cells.runFaultPairs(session, {
      seed,
      count: pairCount,
    });
    bySession.push({ singles, pairs });
  }
  for (const [index, session] of simulation.allSessions.entries()) {
    console.log(`${index + 1}: ${session}`);
  }
  const labels = simulation.allSessions.map((_, index) => `${index + 1}`);
  console.log(
    "".padEnd(20) + labels.map((label) => label.padStart(12)).join(""),
  );
  for (const fault of faultPlan.allFaults) {
    const columns = bySession.map(({ singles }) =>
      singles.filter(({ planned }) => planned[0]?.fault === fault)
    );
    console.log(formatRow(fault, columns));
  }
  console.log(
    formatRow(`pairs, seed ${seed}`, bySession.map(({ pairs }) => pairs)),
  );
  const failed = bySession.flatMap(({ singles, pairs }) => [
    ...singles,
    ...pairs,
  ]).filter((cell) => cell.violations.length > 0);
  for (const cell of failed) {
    console.log(`${cells.formatCell(cell)}: ${cell.violations.join("; ")}`);
  }
  process.exitCode = failed.length > 0 ? 1 : 0;
}

void printMatrix();
