/**
 * Starts the complete system on loopback, sends model and service requests to
 * both halves, prints a report, and exits with 1 if a guarantee was violated.
 */
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import type * as histogram from "hdr-histogram-js";
import * as systemScheduler from "../packages/anvilhinge/src/adapters/system_scheduler.ts";
import * as load from "../packages/anvilhinge/src/dev/load.ts";
import * as system from "../packages/anvilhinge/src/dev/system.ts";
import type * as objects from "../packages/anvilhinge/src/settings/objects.ts";
import * as objectFiles from "../packages/anvilhinge/src/settings/object_files.ts";

const playgroundFolder = nodePath.join(__dirname, "../playground");
const requestCount = 600;
const concurrency = 48;
const readyPollMs = 100;
/** Number of requests between two progress lines. */
const progressInterval = 100;
const seed = 1;

function listWorkloads(
  allObjects: readonly objects.SettingsObject[],
): readonly load.Workload[] {
  const halves = [...new Set(allObjects.map(({ path }) => path.half))];
  return halves.map((half) => {
    const ownObjects = allObjects.filter(({ path }) => path.half === half);
    const listPaths = (kind: string) =>
      ownObjects.filter(({ path }) => path.kind === kind).map(({ path }) =>
        path
      );
    return {
      half,
      model: listPaths("models")[0]!.name,
      service: listPaths("services")[0]!.name,
      workspaces: listPaths("workspaces").map(({ team, name }) =>
        `${team}/${name}`
      ),
    };
  });
}

/**
 * Sends small loads until all requests of one load are answered, which shows
 * that each group admits work.
 */
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

/**
 * Describes the slowest over the mean rank time of each group's last forward
 * pass.
 */
function describeSkew(running: system.RunningSystem): string {
  return running.groups.flatMap(({ name, engine }) => {
    if (engine === undefined) return [];
    const { rankUs } = engine.readLastStep();
    const meanUs = rankUs.reduce((sum, us) => sum + us, 0) / rankUs.length;
    const skew = meanUs === 0 ? 1 : Math.max(...rankUs) / meanUs;
    return [`${name} ${skew.toFixed(2)}`];
  }).join(", ");
}

function printReport(report: load.LoadReport, skew: string): void {
  const lines: readonly (readonly [string, string | number])[] = [
    ["Requests", report.requests],
    ["Correct answers, byte for byte", report.whole],
    ["Refused and not run", report.notRun],
    ["Ended with a reported error", report.failed],
    ["Incorrect answers", report.wrong],
    ["Filings accepted", report.filings],
    ["Filings duplicated or lost", report.filingErrors],
    ["Time to first token", describeTimes(report.firstToken)],
    ["Time between tokens", describeTimes(report.betweenTokens)],
    ["Step-time skew (slowest over mean)", skew],
  ];
  for (const [label, value] of lines) {
    console.log(`${label.padEnd(36)} ${value}`);
  }
}

async function runDemo(): Promise<boolean> {
  const abort = new AbortController();
  const loaded = await objectFiles.loadObjectFiles(playgroundFolder);
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
    onProgress(completed) {
      if (completed % progressInterval === 0) {
        console.log(`${completed} of ${requestCount} requests`);
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

runDemo().then((isPassed) => {
  console.log(isPassed ? "All guarantees held" : "A guarantee was violated");
  process.exitCode = isPassed ? 0 : 1;
});
