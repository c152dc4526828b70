/** The command line: its commands, options and help. */
import * as commander from "commander";
import type * as commandContext from "./command_context.ts";
import * as entryCommands from "./entry_commands.ts";
import * as explainCommand from "./explain_command.ts";
import * as outcome from "./outcome.ts";
import * as roleCommands from "./role_commands.ts";
import * as root from "./root.ts";

export type {
  DevOptions,
  Output,
  ProgramOptions,
  Roles,
  RunOptions,
} from "./command_context.ts";

export interface Program {
  readonly command: commander.Command;
  /** Runs a command line; `args` excludes the runtime and the script. */
  run(args: readonly string[]): Promise<outcome.ExitCode>;
}

function createProgram(output: commandContext.Output): commander.Command {
  return root.createRootCommand()
    .allowExcessArguments(false)
    .addHelpText("after", outcome.exitCodeHelp)
    .exitOverride()
    .configureOutput({
      writeOut: output.write,
      writeErr: output.writeError,
    });
}

/** Builds the command line of the daemon and the operators' commands. */
export function buildProgram(options: commandContext.ProgramOptions): Program {
  const { output } = options;
  const program = createProgram(output);
  let exitCode: outcome.ExitCode = outcome.exitCodes.done;

  async function runAction(
    action: commandContext.CommandAction,
    common: commandContext.CommonOptions = {},
  ): Promise<void> {
    const result = await action();
    outcome.reportOutcome(result, { output, json: common.json ?? false });
    exitCode = outcome.exitCodes[result.kind];
  }

  const context: commandContext.CommandContext = {
    program,
    options,
    runAction,
  };
  roleCommands.addRoleCommands(context);
  roleCommands.addCheckCommand(context);
  entryCommands.addReadCommands(context);
  entryCommands.addWriteCommands(context);
  explainCommand.addExplainCommand(program, runAction);

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
