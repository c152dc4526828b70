// Builds what runs on the users' platform into target/: one bundle and the
// Node.js runtime of the lock file.
const fs = require("node:fs");
const path = require("node:path");
const esbuild = require("esbuild");

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
  // Optional parts of bunyan that need a native addon or write files.
  external: ["dtrace-provider", "mv", "safe-json-stringify"],
  logLevel: "warning",
});
const runtime = require.resolve("platform-runtime/bin/node");
// Renamed into place: a runtime that is in use can't be written over.
const copied = path.join(target, "node.new");
fs.copyFileSync(runtime, copied);
fs.chmodSync(copied, 0o755);
fs.renameSync(copied, path.join(target, "node"));
