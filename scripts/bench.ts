/**
 * Measures what an entry and an agent add to a direct call of the engine: time,
 * processor time and memory, with the built binary as separate processes. Both
 * sides of each ratio come from the same run.
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
/** Clock ticks a second in /proc, as Linux shows them to programs. */
const ticksPerSecond = 100;

interface Usage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Reads what one process has used, from /proc. */
async function readUsage(pid: number): Promise<Usage> {
  const stat = await fs.readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = await fs.readFile(`/proc/${pid}/status`, "utf8");
  const kibibytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return {
    cpuMs: ticks * 1_000 / ticksPerSecond,
    residentBytes: kibibytes * 1_024,
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

/** Sends one chat to the engine without entry and agent. */
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

async function sendThrough(address: string, index: number): Promise<number> {
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
  if (outcome.kind !== "complete") throw new Error(`Got ${outcome.kind}`);
  return firstMs;
}

/** Runs `count` sends, some at once; returns the times to the first token. */
async function measure(
  count: number,
  send: (index: number) => Promise<number>,
): Promise<histogram.Histogram> {
  const times = histogram.build();
  let next = 0;

  async function sendUntilDone(): Promise<void> {
    while (next < count) {
      const index = next;
      next += 1;
      times.recordValue(Math.round(await send(index) * 1_000));
    }
  }

  await Promise.all(Array.from({ length: concurrency }, sendUntilDone));
  return times;
}

function formatMs(times: histogram.Histogram, percent: number): string {
  return (times.getValueAtPercentile(percent) / 1_000).toFixed(1);
}

async function runBench(): Promise<void> {
  const folder = await fs.mkdtemp(nodePath.join(os.tmpdir(), "anvilhinge-"));
  const binary = await build.buildBinary();
  const running = await binarySystem.startBinarySystem({
    binary,
    folder,
    stepMs,
  });
  const { entries, agents, engineUrls } = running;
  const entryAddress = entries[0]!.address;
  try {
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    const idleStart = await sumUsage([...entries, ...agents]);
    await new Promise((resolve) => setTimeout(resolve, idleMs));
    const idleEntry = await readUsage(entries[1]!.process.pid!);
    const idleAgent = await readUsage(agents[1]!.process.pid!);
    const idleEnd = await sumUsage([...entries, ...agents]);
    await measure(warmUpCount, (index) => sendThrough(entryAddress, index));
    const direct = await measure(
      requestCount,
      (index) => sendDirect(engineUrls[index % engineUrls.length]!, index),
    );
    const entryStart = await sumUsage([entries[0]!]);
    const agentStart = await sumUsage(agents);
    const through = await measure(
      requestCount,
      (index) => sendThrough(entryAddress, index),
    );
    const entryEnd = await sumUsage([entries[0]!]);
    const agentEnd = await sumUsage(agents);
    let tokens = 0;
    for (let index = 0; index < requestCount; index += 1) {
      tokens += answer.generateTokens(buildChat(index)).length;
    }
    const entryUs = (entryEnd.cpuMs - entryStart.cpuMs) * 1_000;
    const agentUs = (agentEnd.cpuMs - agentStart.cpuMs) * 1_000;
    const idleShare = (idleEnd.cpuMs - idleStart.cpuMs) / idleMs /
      (entries.length + agents.length);
    const ratio = through.getValueAtPercentile(50) /
      direct.getValueAtPercentile(50);
    const lines = [
      `Requests ${requestCount}, tokens ${tokens}, ${concurrency} at once`,
      `First token direct   p50 ${formatMs(direct, 50)} ms, p95 ${
        formatMs(direct, 95)
      } ms`,
      `First token through  p50 ${formatMs(through, 50)} ms, p95 ${
        formatMs(through, 95)
      } ms, ratio of p50 ${ratio.toFixed(2)}`,
      `Entry  ${(entryUs / requestCount).toFixed(0)} us a request, ${
        (entryUs / tokens).toFixed(1)
      } us a token`,
      `Agent  ${(agentUs / requestCount).toFixed(0)} us a request, ${
        (agentUs / tokens).toFixed(1)
      } us a token`,
      `Idle   ${(idleShare * 100).toFixed(2)}% of a core a process, entry ${
        (idleEntry.residentBytes / 1e6).toFixed(0)
      } MB, agent ${(idleAgent.residentBytes / 1e6).toFixed(0)} MB resident`,
    ];
    for (const line of lines) console.log(line);
  } finally {
    await running.close();
    await fs.rm(folder, { recursive: true });
  }
}

void runBench();
