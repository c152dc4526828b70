/**
 * Runs jest with the given arguments, ignores the failures that `KNOWN-RED.txt`
 * lists, and prints each of them.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as nodePath from "node:path";
import * as knownRed from "./known_red.ts";

export interface RunTestsOptions {
  /** Folder that contains the jest configuration and `KNOWN-RED.txt`. */
  readonly root: string;
  readonly jestArguments: readonly string[];
  /** Destination of jest's human-readable report. */
  readonly jestOutput: "inherit" | "ignore";
  /** Prints the status of one known failure, or an error in the list. */
  readonly print: (line: string) => void;
}

function runJest(options: RunTestsOptions, reportFile: string): number | null {
  const jest = require.resolve("jest/bin/jest");
  const reportArguments = ["--json", `--outputFile=${reportFile}`];
  return childProcess.spawnSync(
    process.execPath,
    [jest, ...reportArguments, ...options.jestArguments],
    { cwd: options.root, stdio: ["inherit", "ignore", options.jestOutput] },
  ).status;
}

/** Runs the tests; returns whether they pass, apart from known failures. */
export function runTests(options: RunTestsOptions): boolean {
  const listFile = nodePath.join(options.root, "KNOWN-RED.txt");
  const text = fs.existsSync(listFile) ? fs.readFileSync(listFile, "utf8") : "";
  const list = knownRed.parseKnownFailures(text);
  if (list.kind === "invalid") {
    options.print(`KNOWN-RED.txt: ${list.message}`);
    return false;
  }
  const folder = fs.mkdtempSync(nodePath.join(os.tmpdir(), "anvilhinge-"));
  const reportFile = nodePath.join(folder, "report.json");
  try {
    const jestStatus = runJest(options, reportFile);
    if (!fs.existsSync(reportFile)) return jestStatus === 0;
    const report = JSON.parse(fs.readFileSync(reportFile, "utf8"));
    const { entries } = list;
    const verdict = knownRed.decideRun(report, { entries, jestStatus });
    for (const line of verdict.lines) options.print(line);
    return verdict.isPassed;
  } finally {
    fs.rmSync(folder, { recursive: true });
  }
}

if (require.main === module) {
  const isPassed = runTests({
    root: nodePath.join(__dirname, ".."),
    jestArguments: process.argv.slice(2),
    jestOutput: "inherit",
    print: (line) => console.error(line),
  });
  process.exitCode = isPassed ? 0 : 1;
}
