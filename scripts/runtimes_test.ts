import * as fs from "node:fs";
import * as os from "node:os";
import * as nodePath from "node:path";
// deno-lint-ignore no-sloppy-imports -- the types stand in `runtimes.d.cts`
import * as runtimes from "./runtimes.cjs";

const root = nodePath.join(__dirname, "..");
const lockFile = nodePath.join(root, "package-lock.json");
const processors = Object.keys(
  runtimes.runtimePackages,
) as runtimes.Processor[];

describe("runtimes", () => {
  let folder = "";
  let nodeModules = "";

  beforeEach(() => {
    folder = fs.mkdtempSync(nodePath.join(os.tmpdir(), "anvilhinge-"));
    nodeModules = nodePath.join(folder, "node_modules");
  });

  afterEach(() => fs.rmSync(folder, { recursive: true }));

  function installRuntimes(processor: runtimes.Processor): void {
    for (const name of Object.values(runtimes.runtimePackages[processor])) {
      const bin = nodePath.join(nodeModules, name, "bin");
      fs.mkdirSync(bin, { recursive: true });
      fs.writeFileSync(nodePath.join(bin, "node"), "");
    }
  }

  function decide(processor: string): runtimes.InstallDecision {
    const ownLockFile = nodePath.join(folder, "package-lock.json");
    if (!fs.existsSync(ownLockFile)) fs.writeFileSync(ownLockFile, "{}");
    return runtimes.decideInstall({
      processor,
      nodeModules,
      lockFile: ownLockFile,
    });
  }

  test.each(processors)("the lock file holds the packages of %s", (name) => {
    const { packages } = JSON.parse(fs.readFileSync(lockFile, "utf8"));
    const versions = Object.entries(runtimes.runtimePackages.x64).map((
      [role, x64Package],
    ) => [role, packages[`node_modules/${x64Package}`].version]);
    for (const [role, version] of versions) {
      const own = runtimes.runtimePackages[name][role as runtimes.Role];
      expect(packages[`node_modules/${own}`]).toMatchObject({
        version,
        cpu: name,
        os: "linux",
        integrity: expect.stringMatching(/^sha512-/),
      });
    }
  });

  test("dependencies of the same processor are kept", () => {
    fs.writeFileSync(nodePath.join(folder, "package-lock.json"), "{}");
    installRuntimes("arm64");
    expect(decide("arm64")).toEqual({ kind: "keep" });
  });

  test("dependencies of another processor are installed again", () => {
    installRuntimes("x64");
    expect(decide("arm64")).toMatchObject({ kind: "install" });
  });

  test("missing and outdated dependencies are installed", () => {
    expect(decide("x64")).toMatchObject({ kind: "install" });
    installRuntimes("x64");
    const past = new Date(0);
    fs.utimesSync(nodeModules, past, past);
    expect(decide("x64")).toMatchObject({ kind: "install" });
  });

  test("a processor without a runtime is refused by name", () => {
    installRuntimes("x64");
    const message =
      'No Node.js runtime is pinned for the processor "riscv64"; supported: arm64, x64';
    expect(decide("riscv64")).toEqual({ kind: "unsupported", message });
    expect(
      runtimes.resolveRuntime({
        processor: "riscv64",
        role: "platform",
        nodeModules,
      }),
    ).toEqual({ kind: "unsupported", message });
  });

  test("a runtime is never taken from another processor's package", () => {
    installRuntimes("x64");
    const found = runtimes.resolveRuntime({
      processor: "arm64",
      role: "tools",
      nodeModules,
    });
    expect(found).toMatchObject({ kind: "missing" });
  });
});
