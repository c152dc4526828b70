/**
 * Builds the single executable `dist/anvilhinge`: bundles the program with
 * esbuild and injects the bundle, together with the playground settings, into a
 * copy of the Node.js runtime.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs/promises";
import * as nodePath from "node:path";
import * as esbuild from "esbuild";
import * as defaultSettings from "../packages/anvilhinge/src/dev/default_settings.ts";
import * as objectFiles from "../packages/anvilhinge/src/settings/object_files.ts";

const root = nodePath.join(__dirname, "..");
const dist = nodePath.join(root, "dist");
const bundleFile = nodePath.join(dist, "anvilhinge.cjs");
const blobFile = nodePath.join(dist, "anvilhinge.blob");
const assetFile = nodePath.join(dist, defaultSettings.settingsAssetName);
const configFile = nodePath.join(dist, "sea.json");
/** Marker, defined by Node.js, that locates the blob in the runtime. */
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const executableMode = 0o755;

/** Optional dependencies of bunyan that need a native addon or write files. */
const externalModules = ["dtrace-provider", "mv", "safe-json-stringify"];

async function writeBundle(): Promise<void> {
  await esbuild.build({
    entryPoints: [nodePath.join(root, "packages/anvilhinge/src/main.ts")],
    outfile: bundleFile,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node22",
    mainFields: ["module", "main"],
    external: externalModules,
    logLevel: "warning",
  });
}

async function writeAssets(): Promise<void> {
  const folder = nodePath.join(root, "playground");
  const sources = await objectFiles.readObjectSources(folder);
  const embedded = sources.map(({ path, text }) => ({
    path,
    text,
    file: path,
  }));
  await fs.writeFile(assetFile, JSON.stringify(embedded));
}

/** Runs a tool until it exits; throws with its output if it fails. */
function runTool(file: string, args: readonly string[]): void {
  childProcess.execFileSync(file, args, { cwd: root, stdio: "pipe" });
}

async function writeBlob(): Promise<void> {
  await fs.writeFile(
    configFile,
    JSON.stringify({
      main: bundleFile,
      output: blobFile,
      disableExperimentalSEAWarning: true,
      assets: { [defaultSettings.settingsAssetName]: assetFile },
    }),
  );
  runTool(process.execPath, ["--experimental-sea-config", configFile]);
}

async function injectBlob(binary: string): Promise<void> {
  await fs.copyFile(process.execPath, binary);
  await fs.chmod(binary, executableMode);
  runTool(process.execPath, [
    require.resolve("postject/dist/cli.js"),
    binary,
    "NODE_SEA_BLOB",
    blobFile,
    "--sentinel-fuse",
    sentinelFuse,
  ]);
}

/** Builds the binary; resolves to its path. */
export async function buildBinary(): Promise<string> {
  const binary = nodePath.join(dist, "anvilhinge");
  await fs.mkdir(dist, { recursive: true });
  await fs.rm(binary, { force: true });
  await writeBundle();
  await writeAssets();
  await writeBlob();
  await injectBlob(binary);
  return binary;
}

if (require.main === module) {
  buildBinary().then((binary) => console.log(`Built ${binary}`));
}
