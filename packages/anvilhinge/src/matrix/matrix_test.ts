import * as cells from "./cells.ts";
import type * as entryNode from "./entry_node.ts";
import * as simulation from "./simulation.ts";

const seed = 20_261_203;
const pairCount = 40;

function listBroken(all: readonly cells.Cell[]): readonly string[] {
  return all.filter((cell) => cell.violations.length > 0)
    .map((cell) => `${cells.formatCell(cell)}: ${cell.violations.join("; ")}`);
}

describe.each(simulation.allSessions)("%s", (session) => {
  test("a quiet run ends with the whole answer", async () => {
    const record = await simulation.runSimulation({ session, planned: [] });
    expect(record.submissions).toHaveLength(1);
    expect(record.submissions[0]).toMatchObject({
      isComplete: true,
      lastWords: 1,
    });
    expect(record.starts).toHaveLength(1);
  });

  test("the promises hold under every fault at every step", async () => {
    expect(listBroken(await cells.runSingleFaults(session))).toEqual([]);
  }, 60_000);

  test("the promises hold under pairs of faults", async () => {
    const pairs = await cells.runFaultPairs(session, {
      seed,
      count: pairCount,
    });
    expect(listBroken(pairs)).toEqual([]);
  }, 60_000);
});

describe("the matrix finds", () => {
  async function findViolations(
    variant: entryNode.Variant,
  ): Promise<readonly string[]> {
    return listBroken(await cells.runSingleFaults("filing", { variant }));
  }

  test("an entry that says not run without a seal", async () => {
    const broken = await findViolations({
      wrapClient: (client) => ({
        ...client,
        seal: () => Promise.resolve("sealed"),
      }),
    });
    expect(broken.join("\n")).toMatch(/took effect 2 times/);
  }, 60_000);

  test("an entry that dispatches without a claim", async () => {
    const broken = await findViolations({
      wrapClaims: (claims) => ({
        ...claims,
        submit: (operation) =>
          operation.kind === "claim"
            ? Promise.resolve({ kind: "claimed" })
            : claims.submit(operation),
      }),
    });
    expect(broken.join("\n")).toMatch(/took effect 2 times/);
  }, 60_000);

  test("an entry that calls every failure not run", async () => {
    const broken = await findViolations({
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
    expect(broken.join("\n")).toMatch(/Not run was said of a call that ran/);
  }, 60_000);
});
