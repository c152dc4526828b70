/** Finds the settings that ship with the program. */
import * as fs from "node:fs";
import * as nodePath from "node:path";

const folderName = "playground";

/** Returns the playground folder at or above `start`; undefined when missing. */
export function findPlaygroundFolder(start: string): string | undefined {
  const folder = nodePath.join(start, folderName);
  if (fs.existsSync(folder)) return folder;
  const parent = nodePath.dirname(start);
  return parent === start ? undefined : findPlaygroundFolder(parent);
}
