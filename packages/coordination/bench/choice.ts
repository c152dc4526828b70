/** Prints cost and balance of the choice of upstream; see `npm run bench:choice`. */
import * as choice from "../src/choice.ts";
import * as clock from "../src/clock.ts";
import * as random from "../src/random.ts";
import * as balance from "./choice_balance.ts";

const seed = Number(process.argv[2] ?? 1);
const upstreamCount = 11_000;
const needCount = 26;
const workspaceCount = 690;
const domainCount = 10;
const openPerNeed = 40;
const choiceIntervalMs = 1;
const warmUpChoices = 100_000;
const choices = 400_000;

function createFullChooser(
  manual: clock.Clock,
): choice.Chooser<choice.Upstream> {
  const chooser = choice.createChooser<choice.Upstream>({
    clock: manual,
    random: random.createRandomSource(seed),
    nodeId: "n0",
    location: { failureDomain: "d0", region: "r0" },
  });
  for (let need = 0; need < needCount; need += 1) {
    const members: choice.Upstream[] = [];
    for (let index = need; index < upstreamCount; index += needCount) {
      const group = Math.floor(index / needCount / 8);
      members.push({
        id: `g${need}-${group}/${index % 8}-${index}`,
        group: `g${need}-${group}`,
        failureDomain: `d${index % domainCount}`,
        region: `r${index % domainCount % 4}`,
      });
    }
    chooser.setPool(`need-${need}`, members);
  }
  return chooser;
}

function countHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureCost(): void {
  const beforeBytes = countHeapBytes();
  const startedAtMs = performance.now();
  const manual = clock.createManualClock();
  const chooser = createFullChooser(manual);
  const builtMs = performance.now() - startedAtMs;
  const stateBytes = countHeapBytes() - beforeBytes;
  const source = random.createRandomSource(seed);
  const needs = Array.from(
    { length: workspaceCount },
    (_, index) => `need-${index % needCount}`,
  );
  const tried = new Set<string>();
  const open: string[] = [];

  function choose(count: number, usesPrefix: boolean): void {
    for (let index = 0; index < count; index += 1) {
      const workspace = Math.floor(source() * workspaceCount);
      manual.advance(choiceIntervalMs);
      const prefixKeys = usesPrefix ? [workspace * 7_919 + 1] : undefined;
      const outcome = chooser.choose(needs[workspace] as string, {
        tried,
        prefixKeys,
      });
      if (outcome.kind !== "chosen") throw new Error(outcome.kind);
      chooser.recordSent(outcome.upstream.id);
      open.push(outcome.upstream.id);
      if (open.length <= openPerNeed * needCount) continue;
      chooser.recordEnded(open.shift() as string, {
        isCompleted: true,
        report: { running: 8, queued: 0, stepUs: 33_000 },
      });
    }
  }

  for (const usesPrefix of [false, true]) {
    choose(warmUpChoices, usesPrefix);
    // Without a full collection in between the difference is what was
    // allocated, as long as the young generation is not collected.
    const heapBytes = countHeapBytes();
    choose(2_000, usesPrefix);
    const allocated = (process.memoryUsage().heapUsed - heapBytes) / 2_000;
    const beganAtMs = performance.now();
    choose(choices, usesPrefix);
    const us = (performance.now() - beganAtMs) * 1_000 / choices;
    console.log(
      `${usesPrefix ? "with" : "without"} prefix: ${us.toFixed(2)} µs, ${
        allocated.toFixed(0)
      } bytes a choice (choose, recordSent, recordEnded)`,
    );
  }
  console.log(
    `state of ${upstreamCount} upstreams: ${
      (stateBytes / 1_048_576).toFixed(1)
    } MiB, built in ${builtMs.toFixed(0)} ms`,
  );
}

interface Row {
  readonly name: string;
  readonly createStrategy: balance.CreateStrategy;
}

const rows: readonly Row[] = [
  { name: "random", createStrategy: balance.createRandomStrategy },
  { name: "round robin", createStrategy: balance.createRoundRobinStrategy },
  {
    name: "least reported",
    createStrategy: (options) =>
      balance.createReportedLoadStrategy(options, "all"),
  },
  {
    name: "two, reported",
    createStrategy: (options) =>
      balance.createReportedLoadStrategy(options, "two"),
  },
  {
    name: "chooser",
    createStrategy: (options) =>
      balance.createChooserStrategy(options, { usesPrefix: false }),
  },
  ...[1, 1.25, 2].map((affinityBound) => ({
    name: `chooser, affinity ${affinityBound}`,
    createStrategy: (options: balance.StrategyOptions) =>
      balance.createChooserStrategy(options, {
        usesPrefix: true,
        affinityBound,
      }),
  })),
];

function measureRows(slowShare: number): void {
  console.log(
    `\nseed ${seed}, utilization 0.8, ${
      slowShare * 100
    }% of groups at half speed`,
  );
  for (const { name, createStrategy } of rows) {
    const result = balance.measureBalance({
      seed,
      createStrategy,
      slowGroupShare: slowShare,
      utilization: 0.8,
      prefixesPerWorkspace: 20,
    });
    console.log([
      name.padEnd(24),
      `max/mean ${result.maxToMeanLoad.toFixed(2)}`,
      `mean ${result.meanMs.toFixed(0)} ms`,
      `p99 ${result.p99Ms.toFixed(0)} ms`,
      `hits ${(result.cacheHitShare * 100).toFixed(1)}%`,
      `requests ${result.requests}`,
    ].join("  "));
  }
}

measureCost();
measureRows(0);
measureRows(0.1);
