/** Outcomes of commands and their exit codes. */
import * as document from "../settings/document.ts";

/** Writes text to the terminal; line breaks are part of the text. */
export interface Output {
  write(text: string): void;
  writeError(text: string): void;
}

export type CommandOutcome =
  | { readonly kind: "done"; readonly text: string; readonly data: unknown }
  /** The settings were rejected, by this command or by the entry. */
  | {
    readonly kind: "refused";
    readonly message: string;
    readonly problems?: readonly document.Problem[];
    /** HTTP status if the entry rejected them. */
    readonly status?: number;
  }
  | { readonly kind: "usage"; readonly message: string }
  /** Another change was accepted first; nothing took effect. */
  | {
    readonly kind: "conflict";
    readonly message: string;
    readonly currentVersion?: number;
  }
  /** Nothing took effect: the entry or the platform can't be reached. */
  | { readonly kind: "unreachable"; readonly message: string }
  /** The change may have taken effect or may still do so. */
  | {
    readonly kind: "unknown";
    readonly message: string;
    readonly changeId?: string;
  };

/** Exit code of each outcome. */
export const exitCodes = {
  done: 0,
  refused: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
  unknown: 5,
} as const satisfies Readonly<Record<CommandOutcome["kind"], number>>;

export type ExitCode = typeof exitCodes[CommandOutcome["kind"]];

/** Paragraph on exit codes in the help page. */
export const exitCodeHelp = `
Exit codes:
  0  done
  1  refused or invalid
  2  wrong usage
  3  conflict with another change
  4  entry or platform unreachable, nothing took effect
  5  outcome unknown, the change may have taken effect`;

/** Creates the outcome for invalid settings. */
export function createProblemOutcome(
  problems: readonly document.Problem[],
): CommandOutcome {
  const message = document.formatProblems(problems);
  return { kind: "refused", message, problems };
}

/** Formats an outcome as one line of JSON. */
export function formatJson(outcome: CommandOutcome): string {
  if (outcome.kind !== "done") return JSON.stringify(outcome);
  return JSON.stringify({ kind: "done", data: outcome.data });
}

/** Prints an outcome, as text or as JSON. */
export function reportOutcome(
  result: CommandOutcome,
  { output, json }: { readonly output: Output; readonly json: boolean },
): void {
  if (json) {
    output.write(`${formatJson(result)}\n`);
  } else if (result.kind !== "done") {
    output.writeError(`${result.message}\n`);
  } else if (result.text !== "") {
    output.write(result.text.replace(/\n?$/, "\n"));
  }
}
