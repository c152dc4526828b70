/** The dev role: runs the whole system with stand-ins on default settings. */
import * as nodeCrypto from "node:crypto";
import * as random from "@anvilhinge/coordination/random";
import * as outcome from "../cli/outcome.ts";
import * as abortSignal from "../adapters/abort_signal.ts";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import * as objectFiles from "../settings/object_files.ts";
import * as defaultSettings from "./default_settings.ts";
import * as system from "./system.ts";

export interface DevOptions {
  /** Half whose playground settings are used; both halves when undefined. */
  readonly playground?: string;
  /** Stops the system gracefully when aborted. */
  readonly signal: AbortSignal;
  /** Receives the text printed for the user. */
  readonly output: { write(text: string): void };
}

/** Token that the dev system accepts from operators of every team. */
export const devToken = "dev-token";

/** Starts the system, prints its addresses, and runs until `signal` aborts. */
export async function runDev(
  options: DevOptions,
): Promise<outcome.CommandOutcome> {
  const found = await defaultSettings.loadDefaultSettings(options.playground);
  if (found.kind === "missing") {
    return { kind: "refused", message: found.message };
  }
  const loaded = objectFiles.checkSources(found.sources);
  if (loaded.kind === "invalid") {
    return outcome.createProblemOutcome(loaded.problems);
  }
  const subtrees = [
    ...new Set(loaded.settings.map(({ path }) => `/${path.half}/${path.team}`)),
  ];
  function print(line: string): void {
    options.output.write(`${line}\n`);
  }

  const abort = new AbortController();
  const running = await system.startSystem({
    objects: loaded.settings,
    scheduler: systemScheduler.createSystemScheduler(),
    random: random.createRandomSource(nodeCrypto.randomInt(2 ** 31)),
    signal: abort.signal,
    operators: [{
      name: "dev",
      tokenSha256: nodeCrypto.createHash("sha256").update(devToken)
        .digest("hex"),
      subtrees,
    }],
  });
  for (const entry of running.entries) {
    print(`${entry.id} serves http://${entry.address}`);
  }
  for (const group of running.groups) {
    print(`${group.name} runs ${group.agents.length} upstreams`);
  }
  print(`Operators' token: ${devToken}`);
  await abortSignal.waitForAbort(options.signal);
  await running.stop();
  abort.abort();
  return { kind: "done", text: "", data: null };
}
