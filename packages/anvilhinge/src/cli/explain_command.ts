/** Defines `explain`; its implementation is imported only when it runs. */
import type * as commander from "commander";
import type * as commandContext from "./command_context.ts";

/** Adds `explain` to a command line. */
export function addExplainCommand(
  program: commander.Command,
  runAction: commandContext.RunAction,
): void {
  program.command("explain")
    .description(
      "Report what happened to a request, from the logs of all entries",
    )
    .argument("<id>", "Id of the request")
    .argument("[file...]", "Files with log lines; default: standard input")
    .option("--json", "Print the outcome as one line of JSON")
    .action((
      id: string,
      files: readonly string[],
      common: commandContext.CommonOptions,
    ) =>
      runAction(async () => {
        const explain = await import("./explain.ts");
        const { stdin: input } = process;
        return await explain.describeRequestFromLogs(id, { files, input });
      }, common)
    );
}
