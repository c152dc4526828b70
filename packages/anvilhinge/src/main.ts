/** The daemon and its operators' command in one binary. */
import * as crypto from "node:crypto";
import * as undici from "undici";
import * as agent from "./agent/mod.ts";
import * as program from "./cli/program.ts";
import * as dev from "./dev/mod.ts";
import * as entry from "./entry/mod.ts";

/** Asks for a graceful shutdown at the first signal of the platform. */
function watchShutdown(): AbortSignal {
  const controller = new AbortController();
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    process.once(name, () => controller.abort());
  }
  return controller.signal;
}

const roles: program.Roles = {
  runEntry: entry.runEntry,
  runAgent: agent.runAgent,
  runDev: dev.runDev,
};

/** Ends quietly when the reader of the output, such as `head`, has gone. */
function handleClosedOutput(error: NodeJS.ErrnoException): void {
  if (error.code !== "EPIPE") throw error;
  process.exit();
}

async function runMain(): Promise<void> {
  process.stdout.on("error", handleClosedOutput);
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
