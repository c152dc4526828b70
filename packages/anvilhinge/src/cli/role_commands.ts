/** Commands that run a role of the daemon or check its settings. */
import type * as document from "../settings/document.ts";
import * as process from "../settings/process.ts";
import * as commandContext from "./command_context.ts";
import * as check from "./check.ts";
import * as outcome from "./outcome.ts";

interface RoleRun<Settings> {
  readonly file: string;
  readonly resolve: (
    text: string,
    options: document.DocumentOptions,
  ) => document.CheckOutcome<Settings>;
  readonly run: (settings: Settings) => Promise<void>;
}

const doneOutcome: outcome.CommandOutcome = {
  kind: "done",
  text: "",
  data: null,
};

async function runRole<Settings>(
  { file, resolve, run }: RoleRun<Settings>,
): Promise<outcome.CommandOutcome> {
  const read = await commandContext.readText(file);
  if (read.kind !== "read") return read;
  const checked = resolve(read.text, { file });
  if (checked.kind === "invalid") {
    return outcome.createProblemOutcome(checked.problems);
  }
  return tryRun(() => run(checked.settings));
}

/** Runs a role; converts system errors, such as a port in use, to outcomes. */
async function tryRun(
  run: () => Promise<void>,
): Promise<outcome.CommandOutcome> {
  try {
    await run();
    return doneOutcome;
  } catch (error) {
    const { syscall, message } = error as NodeJS.ErrnoException;
    if (syscall === undefined) throw error;
    return {
      kind: "refused",
      message: `The process can't start: ${message}; check the addresses`,
    };
  }
}

/** Adds `entry`, `agent` and `dev`. */
export function addRoleCommands(
  { program, options, runAction }: commandContext.CommandContext,
): void {
  const { roles, signal, output } = options;
  program.command("entry")
    .description("Run an entry until it is stopped")
    .requiredOption("--settings <file>", "Settings of the entry")
    .action(({ settings: file }: { settings: string }) =>
      runAction(() =>
        runRole({
          file,
          resolve: process.resolveEntrySettings,
          run: (settings) => roles.runEntry(settings, { signal }),
        })
      )
    );
  program.command("agent")
    .description("Run the agent of one upstream until it is stopped")
    .requiredOption("--settings <file>", "Settings of the agent")
    .action(({ settings: file }: { settings: string }) =>
      runAction(() =>
        runRole({
          file,
          resolve: process.resolveAgentSettings,
          run: (settings) => roles.runAgent(settings, { signal }),
        })
      )
    );
  program.command("dev")
    .description("Run the whole system on loopback in one process")
    .option("--playground <name>", "Playground to load")
    .action(({ playground }: { playground?: string }) =>
      runAction(() => roles.runDev({ playground, signal, output }))
    );
}

/** Adds `check`. */
export function addCheckCommand(
  { program, runAction }: commandContext.CommandContext,
): void {
  program.command("check")
    .description(
      "Check settings offline; a folder must contain complete subtrees",
    )
    .argument(
      "<file...>",
      "Settings files of entries or agents, settings objects, or folders",
    )
    .option("--json", "Print the outcome as one line of JSON")
    .action((files: readonly string[], common: commandContext.CommonOptions) =>
      runAction(() => check.checkPaths(files), common)
    );
}
