/**
 * Starts the whole system on loopback, sends a mixed load of both workloads,
 * prints a report, and exits with 1 when a promise was broken.
 */
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import type * as histogram from "hdr-histogram-js";
import * as systemScheduler from "../packages/anvilhinge/src/adapters/system_scheduler.ts";
import * as load from "../packages/anvilhinge/src/dev/load.ts";
import * as system from "../packages/anvilhinge/src/dev/system.ts";
import type * as objects from "../packages/anvilhinge/src/settings/objects.ts";
import * as objectFiles from "../packages/anvilhinge/src/settings/object_files.ts";

const root = nodePath.join(__dirname, "../playground");
const requestCount = 600;
const concurrency = 48;
const readyPollMs = 100;
const progressStep = 100;
const seed = 1;

function listWorkloads(
  all: readonly objects.SettingsObject[],
): readonly load.Workload[] {
  const halves = [...new Set(all.map(({ path }) => path.half))];
  return halves.map((half) => {
    const own = all.filter(({ path }) => path.half === half);
    const listNames = (kind: string) =>
      own.filter(({ path }) => path.kind === kind).map(({ path }) => path);
    return {
      half,
      model: listNames("models")[0]!.name,
      service: listNames("services")[0]!.name,
      workspaces: listNames("workspaces").map(({ team, name }) =>
        `${team}/${name}`
      ),
    };
  });
}

/** Resolves when each group admits work. */
async function waitUntilServing(
  options: Omit<
    load.LoadOptions,
    "requestCount" | "concurrency" | "onProgress"
  >,
): Promise<void> {
  for (let isServing = false; !isServing;) {
    const report = await load.runLoad({
      ...options,
      requestCount: 16,
      concurrency: 16,
      onProgress: () => {},
    });
    isServing = report.whole === report.requests;
    await new Promise((resolve) => setTimeout(resolve, readyPollMs));
  }
}

function describeTimes(values: histogram.Histogram): string {
  return [50, 95, 99]
    .map((percent) => `p${percent} ${values.getValueAtPercentile(percent)} ms`)
    .join(", ");
}

/** Slowest rank over the mean rank in each group's last step. */
function describeSkew(running: system.RunningSystem): string {
  return running.groups.flatMap(({ name, engine }) => {
    if (engine === undefined) return [];
    const { rankUs } = engine.readLastStep();
    const mean = rankUs.reduce((sum, us) => sum + us, 0) / rankUs.length;
    const skew = mean === 0 ? 1 : Math.max(...rankUs) / mean;
    return [`${name} ${skew.toFixed(2)}`];
  }).join(", ");
}

function printReport(report: load.LoadReport, skew: string): void {
  const lines: readonly (readonly [string, string | number])[] = [
    ["Requests", report.requests],
    ["Whole answers, byte for byte", report.whole],
    ["Told that they did not run", report.notRun],
    ["Ended with an error that says so", report.failed],
    ["Wrong answers", report.wrong],
    ["Filings accepted", report.filings],
    ["Filings doubled or lost", report.filingErrors],
    ["First token", describeTimes(report.firstToken)],
    ["Between tokens", describeTimes(report.betweenTokens)],
    ["Step-time skew (slowest over mean)", skew],
  ];
  for (const [label, value] of lines) {
    console.log(`${label.padEnd(36)} ${value}`);
  }
}

async function runDemo(): Promise<boolean> {
  const abort = new AbortController();
  const loaded = await objectFiles.loadObjectFiles(root);
  if (loaded.kind === "invalid") throw new Error(loaded.problems[0]?.message);
  const scheduler = systemScheduler.createSystemScheduler();
  console.log("Starting both halves on loopback");
  const running = await system.startSystem({
    objects: loaded.settings,
    scheduler,
    random: random.createRandomSource(seed),
    signal: abort.signal,
    addressAnswerTtlMs: 200,
    logLevel: "error",
  });
  const options = {
    system: running,
    workloads: listWorkloads(loaded.settings),
    clock: scheduler,
    random: random.createRandomSource(seed + 1),
  };
  await waitUntilServing(options);
  const report = await load.runLoad({
    ...options,
    requestCount,
    concurrency,
    onProgress(done) {
      if (done % progressStep === 0) {
        console.log(`${done} of ${requestCount} requests`);
      }
    },
  });
  const skew = describeSkew(running);
  await running.stop();
  abort.abort();
  printReport(report, skew);
  return report.wrong === 0 && report.filingErrors === 0 &&
    report.whole + report.notRun + report.failed === report.requests &&
    report.failed === 0;
}

runDemo().then((isKept) => {
  console.log(isKept ? "All promises were kept" : "A promise was broken");
  process.exitCode = isKept ? 0 : 1;
});
