import * as cells from "./cells.ts";
import type * as entryNode from "./entry_node.ts";
import * as simulation from "./simulation.ts";

const seed = 20_261_203;
const pairCount = 40;

function formatFailures(all: readonly cells.Cell[]): readonly string[] {
  return all.filter((cell) => cell.violations.length > 0)
    .map((cell) => `${cells.formatCell(cell)}: ${cell.violations.join("; ")}`);
}

describe.each(simulation.allSessions)("%s", (session) => {
  test("a run without faults ends with the complete answer", async () => {
    const record = await simulation.runSimulation({ session, planned: [] });
    expect(record.submissions).toHaveLength(1);
    expect(record.submissions[0]).toMatchObject({
      isComplete: true,
      lastWords: 1,
    });
    expect(record.starts).toHaveLength(1);
  });

  test("the guarantees hold for every fault at every step", async () => {
    expect(formatFailures(await cells.runSingleFaults(session))).toEqual([]);
  }, 60_000);

  test("the guarantees hold for random pairs of faults", async () => {
    const pairs = await cells.runFaultPairs(session, {
      seed,
      count: pairCount,
    });
    expect(formatFailures(pairs)).toEqual([]);
  }, 60_000);
});

describe("the matrix detects", () => {
  async function findFailures(
    variant: entryNode.Variant,
  ): Promise<readonly string[]> {
    return formatFailures(await cells.runSingleFaults("filing", { variant }));
  }

  test("an entry that answers not_run without a seal", async () => {
    const failures = await findFailures({
      wrapClient: (client) => ({
        ...client,
        seal: () => Promise.resolve("sealed"),
      }),
    });
    expect(failures.join("\n")).toMatch(/took effect 2 times/);
  }, 60_000);

  test("an entry that dispatches without a claim", async () => {
    const failures = await findFailures({
      wrapClaims: (claims) => ({
        ...claims,
        submit: (operation) =>
          operation.kind === "claim"
            ? Promise.resolve({ kind: "claimed" })
            : claims.submit(operation),
      }),
    });
    expect(failures.join("\n")).toMatch(/took effect 2 times/);
  }, 60_000);

  test("an entry that answers not_run to every failure", async () => {
    const failures = await findFailures({
      wrapSession: (session) => ({
        ...session,
        handle: (event) =>
          session.handle(event).map((effect) =>
            effect.kind === "answer"
              ? {
                kind: "answer",
                answer: { kind: "not_run", reason: "guess", retryAfterMs: 0 },
              }
              : effect
          ),
      }),
    });
    expect(failures.join("\n")).toMatch(
      /The caller received not_run for a call that ran/,
    );
  }, 60_000);
});
