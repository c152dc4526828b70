/** Main module of the binary: the daemon and the operators' command line. */
import * as crypto from "node:crypto";
import * as undici from "undici";
import * as agent from "./agent/mod.ts";
import * as program from "./cli/program.ts";
import * as dev from "./dev/mod.ts";
import * as entry from "./entry/mod.ts";
import * as shutdown from "./shutdown.ts";

/** Passes each SIGTERM and SIGINT to the shutdown. */
function watchSignals(processShutdown: shutdown.Shutdown): void {
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    process.on(name, processShutdown.handleSignal);
  }
}

function createRoles(processShutdown: shutdown.Shutdown): program.Roles {
  const { signal, registerWorkDescriber } = processShutdown;
  return {
    runEntry: (settings) =>
      entry.runEntry(settings, { signal, registerWorkDescriber }),
    runAgent: (settings) =>
      agent.runAgent(settings, { signal, registerWorkDescriber }),
    runDev: dev.runDev,
  };
}

/** Exits silently when a reader, such as `head`, has closed the output. */
function handleClosedOutput(error: NodeJS.ErrnoException): void {
  if (error.code !== "EPIPE") throw error;
  process.exit();
}

async function runMain(): Promise<void> {
  process.stdout.on("error", handleClosedOutput);
  const processShutdown = shutdown.createShutdown({
    writeError: (text) => void process.stderr.write(text),
    exit: (code) => process.exit(code),
  });
  watchSignals(processShutdown);
  const commandLine = program.buildProgram({
    roles: createRoles(processShutdown),
    output: {
      write: (text) => void process.stdout.write(text),
      writeError: (text) => void process.stderr.write(text),
    },
    fetch: undici.fetch,
    createChangeId: () => crypto.randomUUID(),
    signal: processShutdown.signal,
    environment: process.env,
  });
  process.exitCode = await commandLine.run(process.argv.slice(2));
}

void runMain();
