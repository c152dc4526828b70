/** Reads settings objects from files and folders, such as `playground/`. */
import * as fs from "node:fs/promises";
import * as nodePath from "node:path";
import * as document from "./document.ts";
import * as objects from "./objects.ts";
import * as subtree from "./subtree.ts";

const fileExtension = ".jsonc";
/** Parts of `<half>/<team>/<kind>/<name>`. */
const pathPartCount = 4;

/** Derives the settings path of an object from the path of its file. */
export function convertFileToPath(file: string): string {
  const parts = nodePath.resolve(file).split(nodePath.sep);
  const path = parts.slice(-pathPartCount).join("/");
  return `/${path.slice(0, -fileExtension.length)}`;
}

/** Reads one file as the source of a settings object. */
export async function readObjectSource(
  file: string,
): Promise<objects.ObjectSource> {
  const text = await fs.readFile(file, "utf8");
  return { path: convertFileToPath(file), text, file };
}

function groupBySubtree(
  sources: readonly objects.ObjectSource[],
): readonly (readonly objects.ObjectSource[])[] {
  const grouped = new Map<string, objects.ObjectSource[]>();
  for (const source of sources) {
    const key = source.path.split("/").slice(0, 3).join("/");
    grouped.set(key, [...(grouped.get(key) ?? []), source]);
  }
  return [...grouped.values()];
}

function rejectEmptyFolder(folder: string): document.InvalidOutcome {
  const message = `The folder contains no ${fileExtension} files`;
  const position = { file: folder, line: 1, column: 1, path: "" };
  return { kind: "invalid", problems: [{ ...position, message, hint: "" }] };
}

/**
 * Reads all files `<half>/<team>/<kind>/<name>.jsonc` in or below a folder.
 * The promise rejects when the folder can't be read.
 */
export async function readObjectSources(
  folder: string,
): Promise<readonly objects.ObjectSource[]> {
  const names = await fs.readdir(folder, { recursive: true });
  const files = names.filter((name) => name.endsWith(fileExtension)).sort();
  return Promise.all(
    files.map((name) => readObjectSource(nodePath.join(folder, name))),
  );
}

/** Loads and checks all settings objects in or below a folder. */
export async function loadObjectFiles(
  folder: string,
): Promise<subtree.SubtreeOutcome> {
  const sources = await readObjectSources(folder);
  if (sources.length === 0) return rejectEmptyFolder(folder);
  return checkSources(sources);
}

/** Checks settings objects of one or more subtrees, each subtree separately. */
export function checkSources(
  sources: readonly objects.ObjectSource[],
): subtree.SubtreeOutcome {
  const outcomes = groupBySubtree(sources).map(subtree.checkSubtree);
  const problems: readonly document.Problem[] = outcomes.flatMap((outcome) =>
    outcome.kind === "invalid" ? outcome.problems : []
  );
  if (problems.length > 0) return { kind: "invalid", problems };
  const settings = outcomes.flatMap((outcome) =>
    outcome.kind === "valid" ? outcome.settings : []
  );
  return { kind: "valid", settings };
}
