/** The command line: its commands, options and help. */
import * as commander from "commander";
import type * as builder from "./builder.ts";
import * as entryCommands from "./entry_commands.ts";
import * as outcome from "./outcome.ts";
import * as roleCommands from "./role_commands.ts";

export type {
  DevOptions,
  Output,
  ProgramOptions,
  Roles,
  RunOptions,
} from "./builder.ts";

export interface Program {
  readonly command: commander.Command;
  /** Runs one command line, without the names of runtime and script. */
  run(args: readonly string[]): Promise<outcome.ExitCode>;
}

function reportOutcome(
  result: outcome.CommandOutcome,
  { output, json }: { readonly output: builder.Output; readonly json: boolean },
): void {
  if (json) {
    output.write(`${outcome.formatJson(result)}\n`);
  } else if (result.kind !== "done") {
    output.writeError(`${result.message}\n`);
  } else if (result.text !== "") {
    output.write(result.text.replace(/\n?$/, "\n"));
  }
}

function createRoot(output: builder.Output): commander.Command {
  return new commander.Command("anvilhinge")
    .description("Load balancer for expert-parallel model groups")
    .allowExcessArguments(false)
    .addHelpText("after", outcome.exitCodeHelp)
    .exitOverride()
    .configureOutput({
      writeOut: output.write,
      writeErr: output.writeError,
    });
}

/** Builds the command line of the daemon and its operators. */
export function buildProgram(options: builder.ProgramOptions): Program {
  const { output } = options;
  const program = createRoot(output);
  let exitCode: outcome.ExitCode = outcome.exitCodes.done;

  async function settle(
    work: builder.Work,
    common: builder.CommonOptions = {},
  ): Promise<void> {
    const result = await work();
    reportOutcome(result, { output, json: common.json ?? false });
    exitCode = outcome.exitCodes[result.kind];
  }

  const target: builder.Builder = { program, options, settle };
  roleCommands.addRoleCommands(target);
  roleCommands.addCheckCommand(target);
  entryCommands.addReadCommands(target);
  entryCommands.addWriteCommands(target);

  return {
    command: program,
    async run(args) {
      exitCode = outcome.exitCodes.done;
      try {
        await program.parseAsync([...args], { from: "user" });
        return exitCode;
      } catch (error) {
        if (!(error instanceof commander.CommanderError)) throw error;
        return error.exitCode === 0
          ? outcome.exitCodes.done
          : outcome.exitCodes.usage;
      }
    },
  };
}
