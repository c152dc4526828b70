/** Commands that speak to an entry. */
import * as commander from "commander";
import * as names from "../settings/names.ts";
import * as apply from "./apply.ts";
import * as commandContext from "./command_context.ts";
import * as client from "./client.ts";
import * as operatorCommands from "./operator_commands.ts";
import type * as outcome from "./outcome.ts";

type EntryWork = (entry: client.Client) => Promise<outcome.CommandOutcome>;

interface EntryWorkOptions {
  readonly common: commandContext.CommonOptions;
  readonly work: EntryWork;
}

function parseIfVersion(text: string): number {
  if (/^\d+$/.test(text)) return Number(text);
  throw new commander.InvalidArgumentError("Expected a version such as 12");
}

async function runWithEntry(
  { fetch, signal, environment }: commandContext.ProgramOptions,
  { common, work }: EntryWorkOptions,
): Promise<outcome.CommandOutcome> {
  const entry = common.entry ?? environment["ANVILHINGE_ENTRY"];
  if (entry === undefined || !/^https?:\/\//.test(entry)) {
    const message =
      "Name an entry with --entry or ANVILHINGE_ENTRY, such as http://127.0.0.1:8080";
    return { kind: "usage", message };
  }
  if (common.tokenFile === undefined) {
    return await work(client.createClient({ entry, fetch, signal }));
  }
  const read = await commandContext.readText(common.tokenFile);
  if (read.kind !== "read") return read;
  const token = read.text.trim();
  return await work(client.createClient({ entry, token, fetch, signal }));
}

function settleWithEntry(
  { options, runAction: settle }: commandContext.CommandContext,
  { common, work }: EntryWorkOptions,
): Promise<void> {
  return settle(() => runWithEntry(options, { common, work }), common);
}

function addCommonOptions(command: commander.Command): commander.Command {
  return command
    .option("--entry <url>", "Base URL of an entry (or ANVILHINGE_ENTRY)")
    .option("--token-file <file>", "File with the operator's bearer token")
    .option("--json", "Print the outcome as one line of JSON");
}

/** Adds `get`, `history` and `status`. */
export function addReadCommands(target: commandContext.CommandContext): void {
  addCommonOptions(target.program.command("get"))
    .description("Print an object, or list a path that ends in a slash")
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .action((path: string, common: commandContext.CommonOptions) => {
      const work: EntryWork = (entry) =>
        operatorCommands.getSettings(entry, path);
      return settleWithEntry(target, { common, work });
    });
  addCommonOptions(target.program.command("history"))
    .description("List the changes of an object")
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .action((path: string, common: commandContext.CommonOptions) => {
      const work: EntryWork = (entry) =>
        operatorCommands.listHistory(entry, path);
      return settleWithEntry(target, { common, work });
    });
  addCommonOptions(target.program.command("status"))
    .description("Show the status of the system as one entry sees it")
    .option("--maps", "Show the expert maps")
    .action(
      (common: commandContext.CommonOptions & { readonly maps?: boolean }) => {
        const work: EntryWork = (entry) =>
          operatorCommands.showStatus(entry, { maps: common.maps ?? false });
        return settleWithEntry(target, { common, work });
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
export function addWriteCommands(target: commandContext.CommandContext): void {
  addCommonOptions(target.program.command("apply"))
    .description("Show the difference, then write an object conditionally")
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .argument("<file>", "Content in JSON with comments")
    .option(
      "--if-version <number>",
      "Version that the object must have, 0 if it must not exist",
      parseIfVersion,
    )
    .option("--dry-run", "Write nothing")
    .action((path: string, file: string, flags: ApplyFlags) => {
      const work: EntryWork = (entry) =>
        applyFile(target.options, { entry, path, file, flags });
      return settleWithEntry(target, { common: flags, work });
    });
  addCommonOptions(target.program.command("move"))
    .description("Hand a group over to the other half")
    .argument("<group>", "Name of the group")
    .addOption(
      new commander.Option("--to <half>", "Half that takes the group")
        .choices(names.halves).makeOptionMandatory(),
    )
    .action(
      (
        group: string,
        common: commandContext.CommonOptions & { readonly to: string },
      ) => {
        const work: EntryWork = (entry) =>
          operatorCommands.moveGroup(entry, { group, to: common.to });
        return settleWithEntry(target, { common, work });
      },
    );
  addCommonOptions(target.program.command("drain"))
    .description("Ask an instance for its graceful shutdown")
    .argument("<instance>", "Id of the instance")
    .action((instance: string, common: commandContext.CommonOptions) => {
      const work: EntryWork = (entry) =>
        operatorCommands.drainInstance(entry, instance);
      return settleWithEntry(target, { common, work });
    });
}
