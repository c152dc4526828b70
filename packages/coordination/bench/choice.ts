/**
 * Measures the processor time, memory and load balance of upstream selection:
 * `npm run bench:choice -- [seed]`.
 */
import * as choice from "../src/choice.ts";
import * as clock from "../src/clock.ts";
import * as random from "../src/random.ts";
import * as balance from "./choice_balance.ts";

const seed = Number(process.argv[2] ?? 1);
const upstreamCount = 11_000;
const poolCount = 26;
const workspaceCount = 690;
const domainCount = 10;
/** Attempts in flight per pool. */
const inFlightPerPool = 40;
const choiceIntervalMs = 1;
const warmUpChoices = 100_000;
const measuredChoices = 400_000;

function createFullChooser(
  manualClock: clock.Clock,
): choice.Chooser<choice.Upstream> {
  const chooser = choice.createChooser<choice.Upstream>({
    clock: manualClock,
    random: random.createRandomSource(seed),
    nodeId: "n0",
    location: { failureDomain: "d0", region: "r0" },
  });
  for (let pool = 0; pool < poolCount; pool += 1) {
    const members: choice.Upstream[] = [];
    for (let index = pool; index < upstreamCount; index += poolCount) {
      const group = Math.floor(index / poolCount / 8);
      members.push({
        id: `g${pool}-${group}/${index % 8}-${index}`,
        group: `g${pool}-${group}`,
        failureDomain: `d${index % domainCount}`,
        region: `r${index % domainCount % 4}`,
      });
    }
    chooser.setPool(`pool-${pool}`, members);
  }
  return chooser;
}

function measureHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureCost(): void {
  const heapBeforeBytes = measureHeapBytes();
  const buildStartMs = performance.now();
  const manualClock = clock.createManualClock();
  const chooser = createFullChooser(manualClock);
  const buildMs = performance.now() - buildStartMs;
  const stateBytes = measureHeapBytes() - heapBeforeBytes;
  const source = random.createRandomSource(seed);
  const poolNames = Array.from(
    { length: workspaceCount },
    (_, index) => `pool-${index % poolCount}`,
  );
  const attemptedIds = new Set<string>();
  /** Upstream of each attempt in flight, the oldest first. */
  const inFlight: string[] = [];

  function choose(count: number, usesPrefix: boolean): void {
    for (let index = 0; index < count; index += 1) {
      const workspace = Math.floor(source() * workspaceCount);
      manualClock.advance(choiceIntervalMs);
      const prefixKeys = usesPrefix ? [workspace * 7_919 + 1] : undefined;
      const outcome = chooser.choose(poolNames[workspace] as string, {
        attemptedIds,
        prefixKeys,
      });
      if (outcome.kind !== "chosen") throw new Error(outcome.kind);
      chooser.recordSent(outcome.upstream.id);
      inFlight.push(outcome.upstream.id);
      if (inFlight.length <= inFlightPerPool * poolCount) continue;
      chooser.recordEnded(inFlight.shift() as string, {
        isCompleted: true,
        report: { running: 8, queued: 0, stepUs: 33_000 },
      });
    }
  }

  for (const usesPrefix of [false, true]) {
    choose(warmUpChoices, usesPrefix);
    // The growth of the heap equals the allocated bytes as long as no garbage
    // collection runs during these choices.
    const heapBytes = measureHeapBytes();
    choose(2_000, usesPrefix);
    const bytesPerChoice = (process.memoryUsage().heapUsed - heapBytes) / 2_000;
    const measureStartMs = performance.now();
    choose(measuredChoices, usesPrefix);
    const usPerChoice = (performance.now() - measureStartMs) * 1_000 /
      measuredChoices;
    console.log(
      `${usesPrefix ? "with" : "without"} prefix: ${
        usPerChoice.toFixed(2)
      } µs, ${
        bytesPerChoice.toFixed(0)
      } bytes per choice (choose, recordSent, recordEnded)`,
    );
  }
  console.log(
    `state of ${upstreamCount} upstreams: ${
      (stateBytes / 1_048_576).toFixed(1)
    } MiB, built in ${buildMs.toFixed(0)} ms`,
  );
}

interface StrategyRow {
  readonly name: string;
  readonly createStrategy: balance.CreateStrategy;
}

const strategyRows: readonly StrategyRow[] = [
  { name: "random", createStrategy: balance.createRandomStrategy },
  { name: "round robin", createStrategy: balance.createRoundRobinStrategy },
  {
    name: "least reported load",
    createStrategy: (options) =>
      balance.createReportedLoadStrategy(options, "all"),
  },
  {
    name: "two choices, reported",
    createStrategy: (options) =>
      balance.createReportedLoadStrategy(options, "two"),
  },
  {
    name: "chooser, no affinity",
    createStrategy: (options) =>
      balance.createChooserStrategy(options, { usesPrefix: false }),
  },
  ...[1, 1.25, 2].map((affinityBound) => ({
    name: `chooser, affinity bound ${affinityBound}`,
    createStrategy: (options: balance.StrategyOptions) =>
      balance.createChooserStrategy(options, {
        usesPrefix: true,
        affinityBound,
      }),
  })),
];

function measureStrategies(slowShare: number): void {
  console.log(
    `\nseed ${seed}, utilization 0.8, ${
      slowShare * 100
    }% of groups at half speed`,
  );
  for (const { name, createStrategy } of strategyRows) {
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
      `prefix cache hits ${(result.cacheHitShare * 100).toFixed(1)}%`,
      `requests ${result.requests}`,
    ].join("  "));
  }
}

measureCost();
measureStrategies(0);
measureStrategies(0.1);
