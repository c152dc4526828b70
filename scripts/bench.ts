/**
 * Measures the latency, processor time and memory that an entry and an agent
 * add to a direct call of the engine: `npm run bench`. The built binary runs as
 * separate processes. Both sides of each ratio are measured in one run.
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as nodePath from "node:path";
import * as histogram from "hdr-histogram-js";
import * as undici from "undici";
import * as caller from "../packages/anvilhinge/src/dev/caller.ts";
import * as answer from "../packages/anvilhinge/src/stand_ins/answer.ts";
import * as binarySystem from "./binary_system.ts";
import * as build from "./build.ts";

const requestCount = 400;
const concurrency = 16;
const warmUpCount = 80;
const stepMs = 5;
const idleMs = 5_000;
const workspace = "drafting/milan";
/** Unit of the processor times in /proc; Linux reports 100 ticks per second. */
const ticksPerSecond = 100;

interface Usage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Reads the processor time and the resident memory of a process from /proc. */
async function readUsage(pid: number): Promise<Usage> {
  const stat = await fs.readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = await fs.readFile(`/proc/${pid}/status`, "utf8");
  const residentKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return {
    cpuMs: ticks * 1_000 / ticksPerSecond,
    residentBytes: residentKib * 1_024,
  };
}

async function sumUsage(
  processes: readonly binarySystem.BinaryProcess[],
): Promise<Usage> {
  const usages = await Promise.all(
    processes.map(({ process }) => readUsage(process.pid!)),
  );
  return {
    cpuMs: usages.reduce((sum, { cpuMs }) => sum + cpuMs, 0),
    residentBytes: usages.reduce((sum, usage) => sum + usage.residentBytes, 0),
  };
}

function buildChat(index: number) {
  return {
    model: "drafting",
    messages: [{ role: "user", content: `Bench ${index}` }],
  };
}

/**
 * Sends a chat directly to the engine; resolves to the time to the first chunk
 * in milliseconds.
 */
async function sendDirect(url: string, index: number): Promise<number> {
  const startMs = performance.now();
  const response = await undici.request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ ...buildChat(index), stream: true }),
  });
  let firstMs = 0;
  for await (const _ of response.body) {
    if (firstMs === 0) firstMs = performance.now() - startMs;
  }
  return firstMs;
}

/**
 * Sends a chat through an entry and an agent; resolves to the time to the first
 * token in milliseconds.
 */
async function sendThroughEntry(
  address: string,
  index: number,
): Promise<number> {
  const startMs = performance.now();
  let firstMs = 0;
  const outcome = await caller.sendChat({
    address,
    workspace,
    body: buildChat(index),
    onToken() {
      if (firstMs === 0) firstMs = performance.now() - startMs;
    },
  });
  if (outcome.kind !== "complete") throw new Error(`Chat ${outcome.kind}`);
  return firstMs;
}

/**
 * Sends `count` chats with limited concurrency; resolves to the times to the
 * first token in microseconds.
 */
async function measureFirstTokens(
  count: number,
  send: (index: number) => Promise<number>,
): Promise<histogram.Histogram> {
  const times = histogram.build();
  let nextIndex = 0;

  async function sendRemaining(): Promise<void> {
    while (nextIndex < count) {
      const index = nextIndex;
      nextIndex += 1;
      times.recordValue(Math.round(await send(index) * 1_000));
    }
  }

  await Promise.all(Array.from({ length: concurrency }, sendRemaining));
  return times;
}

function formatMs(times: histogram.Histogram, percent: number): string {
  return (times.getValueAtPercentile(percent) / 1_000).toFixed(1);
}

async function runBench(): Promise<void> {
  const folder = await fs.mkdtemp(nodePath.join(os.tmpdir(), "anvilhinge-"));
  const binary = await build.buildBinary();
  const system = await binarySystem.startBinarySystem({
    binary,
    folder,
    stepMs,
  });
  const { entries, agents, engineUrls } = system;
  const entryAddress = entries[0]!.address;
  try {
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    const idleStartUsage = await sumUsage([...entries, ...agents]);
    await new Promise((resolve) => setTimeout(resolve, idleMs));
    const idleEntryUsage = await readUsage(entries[1]!.process.pid!);
    const idleAgentUsage = await readUsage(agents[1]!.process.pid!);
    const idleEndUsage = await sumUsage([...entries, ...agents]);
    await measureFirstTokens(
      warmUpCount,
      (index) => sendThroughEntry(entryAddress, index),
    );
    const direct = await measureFirstTokens(
      requestCount,
      (index) => sendDirect(engineUrls[index % engineUrls.length]!, index),
    );
    const entryStartUsage = await sumUsage([entries[0]!]);
    const agentStartUsage = await sumUsage(agents);
    const proxied = await measureFirstTokens(
      requestCount,
      (index) => sendThroughEntry(entryAddress, index),
    );
    const entryEndUsage = await sumUsage([entries[0]!]);
    const agentEndUsage = await sumUsage(agents);
    let tokens = 0;
    for (let index = 0; index < requestCount; index += 1) {
      tokens += answer.generateTokens(buildChat(index)).length;
    }
    const entryUs = (entryEndUsage.cpuMs - entryStartUsage.cpuMs) * 1_000;
    const agentUs = (agentEndUsage.cpuMs - agentStartUsage.cpuMs) * 1_000;
    const idleShare = (idleEndUsage.cpuMs - idleStartUsage.cpuMs) / idleMs /
      (entries.length + agents.length);
    const ratio = proxied.getValueAtPercentile(50) /
      direct.getValueAtPercentile(50);
    const lines = [
      `Requests ${requestCount}, tokens ${tokens}, concurrency ${concurrency}`,
      `First token, direct   p50 ${formatMs(direct, 50)} ms, p95 ${
        formatMs(direct, 95)
      } ms`,
      `First token, proxied  p50 ${formatMs(proxied, 50)} ms, p95 ${
        formatMs(proxied, 95)
      } ms, ratio of p50 ${ratio.toFixed(2)}`,
      `Entry  ${(entryUs / requestCount).toFixed(0)} us per request, ${
        (entryUs / tokens).toFixed(1)
      } us per token`,
      `Agent  ${(agentUs / requestCount).toFixed(0)} us per request, ${
        (agentUs / tokens).toFixed(1)
      } us per token`,
      `Idle   ${(idleShare * 100).toFixed(2)}% of a core per process, entry ${
        (idleEntryUsage.residentBytes / 1e6).toFixed(0)
      } MB, agent ${
        (idleAgentUsage.residentBytes / 1e6).toFixed(0)
      } MB resident`,
    ];
    for (const line of lines) console.log(line);
  } finally {
    await system.close();
    await fs.rm(folder, { recursive: true });
  }
}

void runBench();
