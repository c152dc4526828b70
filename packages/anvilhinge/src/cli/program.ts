/** The command line: its commands, options and help. */
import * as fs from "node:fs/promises";
import * as commander from "commander";
import type * as document from "../settings/document.ts";
import * as names from "../settings/names.ts";
import * as process from "../settings/process.ts";
import * as apply from "./apply.ts";
import * as check from "./check.ts";
import * as client from "./client.ts";
import * as operatorCommands from "./operator_commands.ts";
import * as outcome from "./outcome.ts";

/** Takes text for the terminal; the text has its own line ends. */
export interface Output {
  write(text: string): void;
  writeError(text: string): void;
}

export interface RunOptions {
  /** Asks the role for a graceful shutdown. */
  readonly signal: AbortSignal;
}

export interface DevOptions extends RunOptions {
  /** Playground to load; undefined for the default of the role. */
  readonly playground: string | undefined;
  readonly output: Output;
}

/** What the daemon can run as; each resolves after its graceful shutdown. */
export interface Roles {
  runEntry(
    settings: process.EntrySettings,
    options: RunOptions,
  ): Promise<void>;
  runAgent(
    settings: process.AgentSettings,
    options: RunOptions,
  ): Promise<void>;
  runDev(options: DevOptions): Promise<void>;
}

export interface ProgramOptions {
  readonly roles: Roles;
  readonly output: Output;
  readonly fetch: client.HttpFetch;
  /** Creates the id of a change. */
  readonly createChangeId: () => string;
  /** Asks for a graceful shutdown. */
  readonly signal: AbortSignal;
  /** Environment variables. */
  readonly environment: Readonly<Record<string, string | undefined>>;
}

export interface Program {
  readonly command: commander.Command;
  /** Runs one command line, without the names of runtime and script. */
  run(args: readonly string[]): Promise<outcome.ExitCode>;
}

interface CommonOptions {
  readonly entry?: string;
  readonly tokenFile?: string;
  readonly json?: boolean;
}

interface CheckedFile<Settings> {
  readonly file: string;
  readonly resolve: (
    text: string,
    options: document.DocumentOptions,
  ) => document.CheckOutcome<Settings>;
  readonly run: (settings: Settings) => Promise<void>;
}

type Work = () => Promise<outcome.CommandOutcome>;
type EntryWork = (entry: client.Client) => Promise<outcome.CommandOutcome>;

/** Settles one command: reports its outcome and keeps the exit code. */
type Settle = (work: Work, options?: CommonOptions) => Promise<void>;

interface Builder {
  readonly program: commander.Command;
  readonly options: ProgramOptions;
  readonly settle: Settle;
}

type FileOutcome =
  | { readonly kind: "read"; readonly text: string }
  | (outcome.CommandOutcome & { readonly kind: "refused" });

const finished: outcome.CommandOutcome = { kind: "done", text: "", data: null };

async function readText(file: string): Promise<FileOutcome> {
  try {
    return { kind: "read", text: await fs.readFile(file, "utf8") };
  } catch (error) {
    const reason = (error as Error).message;
    return { kind: "refused", message: `${file}: Can't be read: ${reason}` };
  }
}

function parseIfVersion(text: string): number {
  if (/^\d+$/.test(text)) return Number(text);
  throw new commander.InvalidArgumentError("Expected a version such as 12");
}

function reportOutcome(
  result: outcome.CommandOutcome,
  { output, json }: { readonly output: Output; readonly json: boolean },
): void {
  if (json) {
    output.write(`${outcome.formatJson(result)}\n`);
  } else if (result.kind !== "done") {
    output.writeError(`${result.message}\n`);
  } else if (result.text !== "") {
    output.write(result.text.replace(/\n?$/, "\n"));
  }
}

async function runRole<Settings>(
  { file, resolve, run }: CheckedFile<Settings>,
): Promise<outcome.CommandOutcome> {
  const read = await readText(file);
  if (read.kind !== "read") return read;
  const checked = resolve(read.text, { file });
  if (checked.kind === "invalid") {
    return outcome.createProblemOutcome(checked.problems);
  }
  await run(checked.settings);
  return finished;
}

async function runWithEntry(
  { fetch, signal, environment }: ProgramOptions,
  { common, work }: {
    readonly common: CommonOptions;
    readonly work: EntryWork;
  },
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
  const read = await readText(common.tokenFile);
  if (read.kind !== "read") return read;
  const token = read.text.trim();
  return await work(client.createClient({ entry, token, fetch, signal }));
}

function addCommonOptions(command: commander.Command): commander.Command {
  return command
    .option("--entry <url>", "Base URL of an entry (or ANVILHINGE_ENTRY)")
    .option("--token-file <file>", "File with the operator's bearer token")
    .option("--json", "Print the outcome as one line of JSON");
}

function addRoleCommands({ program, options, settle }: Builder): void {
  const { roles, signal, output } = options;
  program.command("entry")
    .description("Run an entry until it is asked to stop")
    .requiredOption("--settings <file>", "Settings of the entry")
    .action(({ settings: file }: { settings: string }) =>
      settle(() =>
        runRole({
          file,
          resolve: process.resolveEntrySettings,
          run: (settings) => roles.runEntry(settings, { signal }),
        })
      )
    );
  program.command("agent")
    .description("Run the agent of one upstream until it is asked to stop")
    .requiredOption("--settings <file>", "Settings of the agent")
    .action(({ settings: file }: { settings: string }) =>
      settle(() =>
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
      settle(async () => {
        await roles.runDev({ playground, signal, output });
        return finished;
      })
    );
}

function addCheckCommand({ program, settle }: Builder): void {
  program.command("check")
    .description("Check settings offline; a folder holds whole subtrees")
    .argument("<file...>", "Settings of entries, agents, objects or folders")
    .option("--json", "Print the outcome as one line of JSON")
    .action((files: readonly string[], common: CommonOptions) =>
      settle(() => check.checkPaths(files), common)
    );
}

function addReadCommands({ program, options, settle }: Builder): void {
  addCommonOptions(program.command("get"))
    .description("Print an object, or list a path that ends in a slash")
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .action((path: string, common: CommonOptions) => {
      const work: EntryWork = (entry) =>
        operatorCommands.getSettings(entry, path);
      return settle(() => runWithEntry(options, { common, work }), common);
    });
  addCommonOptions(program.command("history"))
    .description("List the changes of an object")
    .argument("<path>", "Path /<half>/<team>/<kind>/<name>")
    .action((path: string, common: CommonOptions) => {
      const work: EntryWork = (entry) =>
        operatorCommands.listHistory(entry, path);
      return settle(() => runWithEntry(options, { common, work }), common);
    });
  addCommonOptions(program.command("status"))
    .description("Show the status of the system as one entry sees it")
    .option("--maps", "Show the expert maps")
    .action((common: CommonOptions & { readonly maps?: boolean }) => {
      const work: EntryWork = (entry) =>
        operatorCommands.showStatus(entry, { maps: common.maps ?? false });
      return settle(() => runWithEntry(options, { common, work }), common);
    });
}

interface ApplyFlags extends CommonOptions {
  readonly ifVersion?: number;
  readonly dryRun?: boolean;
}

async function applyFile(
  { output, createChangeId }: ProgramOptions,
  { entry, path, file, flags }: {
    readonly entry: client.Client;
    readonly path: string;
    readonly file: string;
    readonly flags: ApplyFlags;
  },
): Promise<outcome.CommandOutcome> {
  const read = await readText(file);
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

function addWriteCommands({ program, options, settle }: Builder): void {
  addCommonOptions(program.command("apply"))
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
        applyFile(options, { entry, path, file, flags });
      return settle(
        () => runWithEntry(options, { common: flags, work }),
        flags,
      );
    });
  addCommonOptions(program.command("move"))
    .description("Hand a group over to the other half")
    .argument("<group>", "Name of the group")
    .addOption(
      new commander.Option("--to <half>", "Half that takes the group")
        .choices(names.halves).makeOptionMandatory(),
    )
    .action(
      (group: string, common: CommonOptions & { readonly to: string }) => {
        const work: EntryWork = (entry) =>
          operatorCommands.moveGroup(entry, { group, to: common.to });
        return settle(() => runWithEntry(options, { common, work }), common);
      },
    );
  addCommonOptions(program.command("drain"))
    .description("Ask an instance for its graceful shutdown")
    .argument("<instance>", "Id of the instance")
    .action((instance: string, common: CommonOptions) => {
      const work: EntryWork = (entry) =>
        operatorCommands.drainInstance(entry, instance);
      return settle(() => runWithEntry(options, { common, work }), common);
    });
}

function createRoot(output: Output): commander.Command {
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
export function buildProgram(options: ProgramOptions): Program {
  const { output } = options;
  const program = createRoot(output);
  let exitCode: outcome.ExitCode = outcome.exitCodes.done;

  async function settle(
    work: Work,
    common: CommonOptions = {},
  ): Promise<void> {
    const result = await work();
    reportOutcome(result, { output, json: common.json ?? false });
    exitCode = outcome.exitCodes[result.kind];
  }

  const builder: Builder = { program, options, settle };
  addRoleCommands(builder);
  addCheckCommand(builder);
  addReadCommands(builder);
  addWriteCommands(builder);

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
