/** The daemon and its operators' command in one binary. */
import * as crypto from "node:crypto";
import * as undici from "undici";
import * as agent from "./agent/mod.ts";
import * as program from "./cli/program.ts";
import * as dev from "./dev/mod.ts";
import * as entry from "./entry/mod.ts";
import * as shutdown from "./shutdown.ts";

/** Connects the signals of the platform to the shutdown. */
function watchSignals(asked: shutdown.Shutdown): void {
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    process.on(name, asked.handleSignal);
  }
}

function createRoles(asked: shutdown.Shutdown): program.Roles {
  const { signal, setWorkDescription: onWork } = asked;
  return {
    runEntry: (settings) =>
      entry.runEntry(settings, { signal, registerWorkDescriber: onWork }),
    runAgent: (settings) =>
      agent.runAgent(settings, { signal, registerWorkDescriber: onWork }),
    runDev: dev.runDev,
  };
}

/** Ends quietly when the reader of the output, such as `head`, has gone. */
function handleClosedOutput(error: NodeJS.ErrnoException): void {
  if (error.code !== "EPIPE") throw error;
  process.exit();
}

async function runMain(): Promise<void> {
  process.stdout.on("error", handleClosedOutput);
  const asked = shutdown.createShutdown({
    writeError: (text) => void process.stderr.write(text),
    exit: (code) => process.exit(code),
  });
  watchSignals(asked);
  const built = program.buildProgram({
    roles: createRoles(asked),
    output: {
      write: (text) => void process.stdout.write(text),
      writeError: (text) => void process.stderr.write(text),
    },
    fetch: undici.fetch,
    createChangeId: () => crypto.randomUUID(),
    signal: asked.signal,
    environment: process.env,
  });
  process.exitCode = await built.run(process.argv.slice(2));
}

void runMain();
