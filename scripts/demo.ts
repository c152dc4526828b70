/** Runs a short load of both workloads against the system on loopback. */
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import * as systemScheduler from "../packages/anvilhinge/src/adapters/system_scheduler.ts";
import * as caller from "../packages/anvilhinge/src/dev/caller.ts";
import * as system from "../packages/anvilhinge/src/dev/system.ts";
import * as playground from "../packages/anvilhinge/src/settings/playground.ts";
import * as answer from "../packages/anvilhinge/src/stand_ins/answer.ts";

const root = nodePath.join(__dirname, "../playground");
const requestCount = 60;
const workloads = [
  { half: "association", workspace: "drafting/milan", model: "drafting" },
  {
    half: "water_board",
    workspace: "drawings/yaba",
    model: "drawing-assistant",
  },
];

async function runDemo(): Promise<boolean> {
  const abort = new AbortController();
  const loaded = await playground.loadPlayground(root);
  if (loaded.kind === "invalid") throw new Error(loaded.problems[0]?.message);
  const running = await system.startSystem({
    objects: loaded.settings,
    scheduler: systemScheduler.createSystemScheduler(),
    random: random.createRandomSource(1),
    signal: abort.signal,
    addressAnswerTtlMs: 200,
  });
  const kinds = await Promise.all(
    Array.from({ length: requestCount }, async (_, index) => {
      const load = workloads[index % workloads.length]!;
      const entry = running.entries.find(({ half }) => half === load.half)!;
      const content = `Request ${index}`;
      const body = {
        model: load.model,
        messages: [{ role: "user", content }],
      };
      const outcome = await caller.sendChat({ ...load, ...entry, body });
      const isWhole = outcome.kind === "complete" &&
        outcome.tokens.join() === answer.describeAnswer(body).join();
      return isWhole ? "whole" : outcome.kind;
    }),
  );
  await running.stop();
  abort.abort();
  const whole = kinds.filter((kind) => kind === "whole").length;
  console.log(`Requests: ${kinds.length}, whole answers: ${whole}`);
  return whole === kinds.length;
}

runDemo().then((isKept) => {
  process.exitCode = isKept ? 0 : 1;
});
