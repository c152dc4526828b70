// Installs the dependencies if they are missing, outdated or installed for
// another processor, and prints the path of the pinned Node.js runtime.
const childProcess = require("node:child_process");
const path = require("node:path");
const process = require("node:process");
const runtimes = require("./runtimes.cjs");

const root = path.join(__dirname, "..");
const nodeModules = path.join(root, "node_modules");
const lockFile = path.join(root, "package-lock.json");
const processor = process.arch;

function fail(message) {
  console.error(message);
  process.exit(1);
}

function installDependencies() {
  const script = process.env.npm_execpath;
  // An npm script has the `node` of node_modules first on its path, which may
  // be for another processor.
  const [file, ...prefix] = script === undefined
    ? ["npm"]
    : [process.execPath, script];
  const { status } = childProcess.spawnSync(
    file,
    [...prefix, "ci", "--silent", "--no-audit", "--no-fund"],
    { cwd: root, stdio: ["ignore", process.stderr, process.stderr] },
  );
  if (status !== 0) fail("The dependencies could not be installed by npm ci");
}

const decision = runtimes.decideInstall({ processor, nodeModules, lockFile });
if (decision.kind === "unsupported") fail(decision.message);
if (decision.kind === "install") {
  console.error(`${decision.reason}; running npm ci`);
  installDependencies();
}
const runtime = runtimes.resolveRuntime({
  processor,
  role: "tools",
  nodeModules,
});
if (runtime.kind !== "found") fail(runtime.message);
console.log(runtime.file);
