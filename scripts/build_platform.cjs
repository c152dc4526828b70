// Builds what deploy/system.toml runs on the users' platform into target/: the
// bundle and the Node.js runtime that the lock file pins.
const fs = require("node:fs");
const path = require("node:path");
const process = require("node:process");
const esbuild = require("esbuild");
const runtimes = require("./runtimes.cjs");

const root = path.join(__dirname, "..");
const target = path.join(root, "target");

fs.mkdirSync(target, { recursive: true });
esbuild.buildSync({
  entryPoints: [path.join(root, "platform/main.ts")],
  outfile: path.join(target, "anvilhinge.cjs"),
  bundle: true,
  minify: true,
  keepNames: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  mainFields: ["module", "main"],
  // Optional dependencies of bunyan that need a native addon or write files.
  external: ["dtrace-provider", "mv", "safe-json-stringify"],
  logLevel: "warning",
});
const runtime = runtimes.resolveRuntime({
  processor: process.arch,
  role: "platform",
  nodeModules: path.join(root, "node_modules"),
});
if (runtime.kind !== "found") throw new Error(runtime.message);
// Replaced by a rename, because a running executable can't be overwritten.
const newRuntime = path.join(target, "node.new");
fs.copyFileSync(runtime.file, newRuntime);
fs.chmodSync(newRuntime, 0o755);
fs.renameSync(newRuntime, path.join(target, "node"));
