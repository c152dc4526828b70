/** Settings that ship with the program: a folder, or an asset of the binary. */
import * as fs from "node:fs";
import * as nodePath from "node:path";
import * as sea from "node:sea";
import type * as objects from "../settings/objects.ts";
import * as objectFiles from "../settings/object_files.ts";

/** Name of the asset in the binary: a JSON array of object sources. */
export const settingsAssetName = "playground.json";

const folderName = "playground";

export type SourcesOutcome =
  | {
    readonly kind: "found";
    readonly sources: readonly objects.ObjectSource[];
  }
  | { readonly kind: "missing"; readonly message: string };

function findFolder(start: string): string | undefined {
  const folder = nodePath.join(start, folderName);
  if (fs.existsSync(folder)) return folder;
  const parent = nodePath.dirname(start);
  return parent === start ? undefined : findFolder(parent);
}

async function readSources(): Promise<readonly objects.ObjectSource[]> {
  if (sea.isSea()) {
    return JSON.parse(sea.getAsset(settingsAssetName, "utf8"));
  }
  const folder = findFolder(__dirname);
  return folder === undefined
    ? []
    : await objectFiles.readObjectSources(folder);
}

/** Loads the settings objects of one half, or of both without `half`. */
export async function loadDefaultSettings(
  half?: string,
): Promise<SourcesOutcome> {
  const all = await readSources();
  const sources = half === undefined
    ? all
    : all.filter((source) => source.path.startsWith(`/${half}/`));
  if (sources.length > 0) return { kind: "found", sources };
  const halves = [...new Set(all.map((source) => source.path.split("/")[1]))];
  return {
    kind: "missing",
    message: `Playground "${half ?? folderName}" does not exist; known: ${
      halves.join(", ") || "none"
    }`,
  };
}
