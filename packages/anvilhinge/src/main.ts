/** The daemon and its operators' command in one binary. */
import * as crypto from "node:crypto";
import * as undici from "undici";
import * as program from "./cli/program.ts";

/** Asks for a graceful shutdown at the first signal of the platform. */
function watchShutdown(): AbortSignal {
  const controller = new AbortController();
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    process.once(name, () => controller.abort());
  }
  return controller.signal;
}

/** Loads each role only when it runs, which keeps the other commands quick. */
const roles: program.Roles = {
  async runEntry(settings, options) {
    const entry = await import("./entry/mod.ts");
    await entry.runEntry(settings, options);
  },
  async runAgent(settings, options) {
    const agent = await import("./agent/mod.ts");
    await agent.runAgent(settings, options);
  },
  async runDev(options) {
    const dev = await import("./dev/mod.ts");
    await dev.runDev(options);
  },
};

async function runMain(): Promise<void> {
  const built = program.buildProgram({
    roles,
    output: {
      write: (text) => void process.stdout.write(text),
      writeError: (text) => void process.stderr.write(text),
    },
    fetch: undici.fetch,
    createChangeId: () => crypto.randomUUID(),
    signal: watchShutdown(),
    environment: process.env,
  });
  process.exitCode = await built.run(process.argv.slice(2));
}

void runMain();
