import * as knownRed from "./known_red.ts";

const text = `# A comment.
test: packages/a/src/b_test.ts > outer inner
command: npx jest b_test
seen: 1 instead of 2
issue: the counter skips numbers
`;

const other = { fullName: "other", status: "passed" };

function buildReport(
  tests: readonly { readonly fullName: string; readonly status: string }[],
  numRuntimeErrorTestSuites = 0,
): knownRed.JestReport {
  return {
    numRuntimeErrorTestSuites,
    wasInterrupted: false,
    testResults: [{
      name: "/root/packages/a/src/b_test.ts",
      assertionResults: tests,
    }],
  };
}

function decide(report: knownRed.JestReport, list = text, jestStatus = 1) {
  const parsed = knownRed.parseKnownFailures(list);
  if (parsed.kind === "invalid") throw new Error(parsed.message);
  return knownRed.decideRun(report, { entries: parsed.entries, jestStatus });
}

const listed = { fullName: "outer inner", status: "failed" };

describe("known failures", () => {
  test("let a run pass if all failed tests are listed, and are printed", () => {
    const verdict = decide(buildReport([listed, other]));
    expect(verdict.isPassed).toBe(true);
    expect(verdict.lines).toEqual([
      "Known red, failed: packages/a/src/b_test.ts > outer inner (the counter skips numbers)",
    ]);
  });

  test("let no run pass with an unlisted failure, a broken suite or another exit status", () => {
    const unlisted = { fullName: "other", status: "failed" };
    expect(decide(buildReport([listed, unlisted])).isPassed).toBe(false);
    expect(decide(buildReport([listed], 1)).isPassed).toBe(false);
    expect(decide(buildReport([listed]), "").isPassed).toBe(false);
    expect(decide(buildReport([other])).isPassed).toBe(false);
    expect(decide(buildReport([listed]), text, 2).isPassed).toBe(false);
  });

  test("are reported if they passed or did not run", () => {
    const passed = { ...listed, status: "passed" };
    expect(decide(buildReport([passed]), text, 0).lines[0]).toMatch(/remove/);
    expect(decide(buildReport([other]), text, 0).lines[0]).toMatch(/not run/);
  });

  test.each([
    "test: a_test.ts without separator\ncommand: c\nseen: s\nissue: i",
    "test: a_test.ts > name\ncommand: c\nseen: s",
    "test: a_test.ts > name\nwhat: c",
  ])("are invalid if an entry is malformed", (list) => {
    expect(knownRed.parseKnownFailures(list).kind).toBe("invalid");
  });
});
