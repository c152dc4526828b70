/** The command `check`: validates files and folders offline. */
import * as fs from "node:fs/promises";
import * as document from "../settings/document.ts";
import * as objectPath from "../settings/object_path.ts";
import * as objects from "../settings/objects.ts";
import * as objectFiles from "../settings/object_files.ts";
import * as process from "../settings/process.ts";
import * as outcome from "./outcome.ts";

function createReadProblem(file: string, error: unknown): document.Problem {
  const message = `Can't be read: ${(error as Error).message}`;
  return { file, line: 1, column: 1, path: "", message, hint: "" };
}

function isAgentDocument(text: string, file: string): boolean {
  const parsed = document.parseDocument(text, { file });
  if (parsed.kind === "invalid") return false;
  const { value } = parsed.document;
  return typeof value === "object" && value !== null &&
    ("engine" in value || "rank" in value);
}

function checkSource(
  { path, text, file = path }: objects.ObjectSource,
): document.CheckOutcome<unknown> {
  const parsedPath = objectPath.parseSettingsPath(path);
  if (parsedPath.kind === "parsed") {
    return objects.checkObject(path, text, { file });
  }
  return isAgentDocument(text, file)
    ? process.resolveAgentSettings(text, { file })
    : process.resolveEntrySettings(text, { file });
}

async function checkPath(
  path: string,
): Promise<readonly document.Problem[]> {
  try {
    const isFolder = (await fs.stat(path)).isDirectory();
    const checked = isFolder
      ? await objectFiles.loadObjectFiles(path)
      : checkSource(await objectFiles.readObjectSource(path));
    return checked.kind === "invalid" ? checked.problems : [];
  } catch (error) {
    return [createReadProblem(path, error)];
  }
}

/**
 * Checks files and folders. A file below `<half>/<team>/<kind>/` is checked as a
 * settings object and any other file as the settings of an entry or an agent. A
 * folder must contain complete subtrees.
 */
export async function checkPaths(
  paths: readonly string[],
): Promise<outcome.CommandOutcome> {
  const problems = (await Promise.all(paths.map(checkPath))).flat();
  if (problems.length > 0) return outcome.createProblemOutcome(problems);
  return { kind: "done", text: `Valid: ${paths.join(", ")}`, data: { paths } };
}
