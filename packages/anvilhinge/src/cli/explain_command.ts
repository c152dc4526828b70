/** The definition of `explain`; it loads the rest only when it runs. */
import type * as commander from "commander";
import type * as commandContext from "./command_context.ts";

/** Adds `explain` to a command line. */
export function addExplainCommand(
  program: commander.Command,
  settle: commandContext.RunAction,
): void {
  program.command("explain")
    .description("Tell the story of a request from the logs of all entries")
    .argument("<id>", "Id of the request")
    .argument("[file...]", "Files with log lines; none = standard input")
    .option("--json", "Print the outcome as one line of JSON")
    .action((
      id: string,
      files: readonly string[],
      common: commandContext.CommonOptions,
    ) =>
      settle(async () => {
        const explain = await import("./explain.ts");
        const { stdin: input } = process;
        return await explain.describeRequestFromLogs(id, { files, input });
      }, common)
    );
}
