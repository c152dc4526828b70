/**
 * Known test failures: parses `KNOWN-RED.txt` and decides whether a jest run
 * passes although tests failed. It passes if the list contains all of them.
 */

/** One test that is known to fail. */
export interface KnownFailure {
  /** Path of the test file, relative to the project root. */
  readonly file: string;
  /** Full name of the test, its `describe` blocks included. */
  readonly name: string;
  /** Command that reproduces the failure, with its seed. */
  readonly command: string;
  /** Observed result. */
  readonly seen: string;
  readonly issue: string;
}

export type ParseOutcome =
  | { readonly kind: "parsed"; readonly entries: readonly KnownFailure[] }
  | { readonly kind: "invalid"; readonly message: string };

/** The fields of jest's JSON report that the verdict depends on. */
export interface JestReport {
  readonly numRuntimeErrorTestSuites: number;
  readonly wasInterrupted: boolean;
  readonly testResults: readonly {
    /** Absolute path of the test file. */
    readonly name: string;
    readonly assertionResults: readonly {
      readonly fullName: string;
      readonly status: string;
    }[];
  }[];
}

export interface Verdict {
  readonly isPassed: boolean;
  /** Human-readable status of each listed failure. */
  readonly lines: readonly string[];
}

const fields = ["test", "command", "seen", "issue"] as const;
const separator = " > ";

function parseEntry(block: string): KnownFailure | string {
  const values = new Map<string, string>();
  for (const line of block.split("\n")) {
    const [, field = "", value = ""] = /^(\w+): *(.+)$/.exec(line) ?? [];
    const isField = fields.some((name) => name === field);
    if (!isField || values.has(field)) {
      return `Line "${line}" must set one of ${
        fields.join(", ")
      }, each only once`;
    }
    values.set(field, value);
  }
  const missing = fields.find((field) => !values.has(field));
  if (missing !== undefined) return `Entry "${block}" lacks field "${missing}"`;
  const test = values.get("test")!;
  const end = test.indexOf(separator);
  if (end < 0) return `Test "${test}" must be "<file>${separator}<full name>"`;
  return {
    file: test.slice(0, end),
    name: test.slice(end + separator.length),
    command: values.get("command")!,
    seen: values.get("seen")!,
    issue: values.get("issue")!,
  };
}

/** Parses the list: entries separated by blank lines, and `#` comment lines. */
export function parseKnownFailures(text: string): ParseOutcome {
  const lines = text.split("\n").map((line) => line.trimEnd());
  const blocks = lines.filter((line) => !line.startsWith("#")).join("\n")
    .split(/\n{2,}/).map((block) => block.trim());
  const entries: KnownFailure[] = [];
  for (const block of blocks.filter((text) => text !== "")) {
    const entry = parseEntry(block);
    if (typeof entry === "string") return { kind: "invalid", message: entry };
    entries.push(entry);
  }
  return { kind: "parsed", entries };
}

/** Decides whether a run passes; `jestStatus` is jest's exit status. */
export function decideRun(
  report: JestReport,
  { entries, jestStatus }: {
    readonly entries: readonly KnownFailure[];
    readonly jestStatus: number | null;
  },
): Verdict {
  const results = report.testResults.flatMap((suite) =>
    suite.assertionResults.map((test) => ({ ...test, file: suite.name }))
  );
  const failed = results.filter(({ status }) => status === "failed");
  function isMatch(
    test: (typeof results)[number],
    entry: KnownFailure,
  ): boolean {
    return test.file.endsWith(`/${entry.file}`) && test.fullName === entry.name;
  }
  const isAllListed = failed.length > 0 &&
    failed.every((test) => entries.some((entry) => isMatch(test, entry)));
  const isReportComplete = report.numRuntimeErrorTestSuites === 0 &&
    !report.wasInterrupted;
  const lines = entries.map((entry) => {
    const matches = results.filter((test) => isMatch(test, entry));
    const label = `${entry.file}${separator}${entry.name}`;
    if (matches.some(({ status }) => status === "failed")) {
      return `Known red, failed: ${label} (${entry.issue})`;
    }
    return matches.some(({ status }) => status === "passed")
      ? `Known red, passed; remove its entry: ${label}`
      : `Known red, not run: ${label}`;
  });
  return {
    isPassed: jestStatus === 0 ||
      (jestStatus === 1 && isReportComplete && isAllListed),
    lines,
  };
}
