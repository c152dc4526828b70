/** Types and helpers that the commands of the command line share. */
import * as fs from "node:fs/promises";
import type * as commander from "commander";
import type * as process from "../settings/process.ts";
import type * as client from "./client.ts";
import type * as outcome from "./outcome.ts";

export type Output = outcome.Output;

export interface RunOptions {
  /** Requests a graceful shutdown of the role. */
  readonly signal: AbortSignal;
}

export interface DevOptions extends RunOptions {
  /** Playground to load; undefined for the role's default. */
  readonly playground: string | undefined;
  readonly output: Output;
}

/** Roles of the daemon; each function resolves after a graceful shutdown. */
export interface Roles {
  runEntry(
    settings: process.EntrySettings,
    options: RunOptions,
  ): Promise<void>;
  runAgent(
    settings: process.AgentSettings,
    options: RunOptions,
  ): Promise<void>;
  runDev(options: DevOptions): Promise<outcome.CommandOutcome>;
}

export interface ProgramOptions {
  readonly roles: Roles;
  readonly output: Output;
  readonly fetch: client.HttpFetch;
  /** Creates the id of a change. */
  readonly createChangeId: () => string;
  /** Requests a graceful shutdown. */
  readonly signal: AbortSignal;
  /** Environment variables. */
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Options that several commands share. */
export interface CommonOptions {
  readonly entry?: string;
  readonly tokenFile?: string;
  readonly json?: boolean;
}

/** Action of one command. */
export type CommandAction = () => Promise<outcome.CommandOutcome>;

/** Runs the action of a command, reports its outcome and sets the exit code. */
export type RunAction = (
  action: CommandAction,
  options?: CommonOptions,
) => Promise<void>;

/** Command line to which a command is added, and how its action is run. */
export interface CommandContext {
  readonly program: commander.Command;
  readonly options: ProgramOptions;
  readonly runAction: RunAction;
}

/** Text of a file, or the reason why it can't be read. */
export type FileOutcome =
  | { readonly kind: "read"; readonly text: string }
  | (outcome.CommandOutcome & { readonly kind: "refused" });

/** Reads a text file. */
export async function readText(file: string): Promise<FileOutcome> {
  try {
    return { kind: "read", text: await fs.readFile(file, "utf8") };
  } catch (error) {
    const reason = (error as Error).message;
    return { kind: "refused", message: `${file}: Can't be read: ${reason}` };
  }
}
