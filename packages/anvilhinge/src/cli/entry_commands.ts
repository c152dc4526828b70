/** Commands that send requests to an entry. */
import * as commander from "commander";
import * as names from "../settings/names.ts";
import * as apply from "./apply.ts";
import * as commandContext from "./command_context.ts";
import * as client from "./client.ts";
import * as operatorCommands from "./operator_commands.ts";
import type * as outcome from "./outcome.ts";

type EntryAction = (entry: client.Client) => Promise<outcome.CommandOutcome>;

interface EntryActionOptions {
  readonly common: commandContext.CommonOptions;
  readonly action: EntryAction;
}

function parseIfVersion(text: string): number {
  if (/^\d+$/.test(text)) return Number(text);
  throw new commander.InvalidArgumentError("Expected a version such as 12");
}

async function executeWithEntry(
  { fetch, signal, environment }: commandContext.ProgramOptions,
  { common, action }: EntryActionOptions,
): Promise<outcome.CommandOutcome> {
  const entry = common.entry ?? environment["ANVILHINGE_ENTRY"];
  if (entry === undefined || !/^https?:\/\//.test(entry)) {
    const message =
      "Specify an entry with --entry or ANVILHINGE_ENTRY, such as http://127.0.0.1:8080";
    return { kind: "usage", message };
  }
  if (common.tokenFile === undefined) {
    return await action(client.createClient({ entry, fetch, signal }));
  }
  const read = await commandContext.readText(common.tokenFile);
  if (read.kind !== "read") return read;
  const token = read.text.trim();
  return await action(client.createClient({ entry, token, fetch, signal }));
}

function runActionWithEntry(
  { options, runAction }: commandContext.CommandContext,
  { common, action }: EntryActionOptions,
): Promise<void> {
  return runAction(() => executeWithEntry(options, { common, action }), common);
}

function addCommonOptions(command: commander.Command): commander.Command {
  return command
    .option("--entry <url>", "Base URL of an entry (or ANVILHINGE_ENTRY)")
    .option("--token-file <file>", "File with the operator's bearer token")
    .option("--json", "Print the outcome as one line of JSON");
}

/** Adds `get`, `history` and `status`. */
export function addReadCommands(context: commandContext.CommandContext): void {
  addCommonOptions(context.program.command("get"))
    .description("Print an object, or list a path that ends in a slash")
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .action((path: string, common: commandContext.CommonOptions) => {
      const action: EntryAction = (entry) =>
        operatorCommands.getSettings(entry, path);
      return runActionWithEntry(context, { common, action });
    });
  addCommonOptions(context.program.command("history"))
    .description("List the changes of an object")
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .action((path: string, common: commandContext.CommonOptions) => {
      const action: EntryAction = (entry) =>
        operatorCommands.listHistory(entry, path);
      return runActionWithEntry(context, { common, action });
    });
  addCommonOptions(context.program.command("status"))
    .description("Show the status of the system as seen by one entry")
    .option("--maps", "Show the expert maps")
    .action(
      (common: commandContext.CommonOptions & { readonly maps?: boolean }) => {
        const action: EntryAction = (entry) =>
          operatorCommands.showStatus(entry, { maps: common.maps ?? false });
        return runActionWithEntry(context, { common, action });
      },
    );
}

interface ApplyFlags extends commandContext.CommonOptions {
  readonly ifVersion?: number;
  readonly dryRun?: boolean;
}

async function applyFile(
  { output, createChangeId }: commandContext.ProgramOptions,
  { entry, path, file, flags }: {
    readonly entry: client.Client;
    readonly path: string;
    readonly file: string;
    readonly flags: ApplyFlags;
  },
): Promise<outcome.CommandOutcome> {
  const read = await commandContext.readText(file);
  if (read.kind !== "read") return read;
  return await apply.applyObject({
    client: entry,
    path,
    file,
    text: read.text,
    ifVersion: flags.ifVersion,
    dryRun: flags.dryRun ?? false,
    changeId: createChangeId(),
    showDiff(text) {
      if (!flags.json) output.write(`${text}\n`);
    },
  });
}

/** Adds `apply`, `move` and `drain`. */
export function addWriteCommands(context: commandContext.CommandContext): void {
  addCommonOptions(context.program.command("apply"))
    .description(
      "Show the difference, then write an object under a version condition",
    )
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .argument("<file>", "Content in JSON with comments")
    .option(
      "--if-version <number>",
      "Version that the object must have, 0 if it must not exist",
      parseIfVersion,
    )
    .option("--dry-run", "Write nothing")
    .action((path: string, file: string, flags: ApplyFlags) => {
      const action: EntryAction = (entry) =>
        applyFile(context.options, { entry, path, file, flags });
      return runActionWithEntry(context, { common: flags, action });
    });
  addCommonOptions(context.program.command("move"))
    .description("Hand a group over to the other half")
    .argument("<group>", "Name of the group")
    .addOption(
      new commander.Option("--to <half>", "Half that takes over the group")
        .choices(names.halves).makeOptionMandatory(),
    )
    .action(
      (
        group: string,
        common: commandContext.CommonOptions & { readonly to: string },
      ) => {
        const action: EntryAction = (entry) =>
          operatorCommands.moveGroup(entry, { group, to: common.to });
        return runActionWithEntry(context, { common, action });
      },
    );
  addCommonOptions(context.program.command("drain"))
    .description("Request the graceful shutdown of an instance")
    .argument("<instance>", "Id of the instance")
    .action((instance: string, common: commandContext.CommonOptions) => {
      const action: EntryAction = (entry) =>
        operatorCommands.drainInstance(entry, instance);
      return runActionWithEntry(context, { common, action });
    });
}
