import * as fs from "node:fs";
import * as os from "node:os";
import * as nodePath from "node:path";
import * as runTests from "./run_tests.ts";

const entry = `test: sum.test.js > sums small numbers
command: npx jest sum
seen: 3 instead of 2
issue: an example
`;

describe("a run of jest", () => {
  let root: string;

  beforeEach(() => {
    root = fs.mkdtempSync(nodePath.join(os.tmpdir(), "anvilhinge-"));
    write("jest.config.cjs", "module.exports = {};");
    write(
      "sum.test.js",
      'test("sums small numbers", () => expect(3).toBe(2));',
    );
  });

  afterEach(() => fs.rmSync(root, { recursive: true }));

  function write(name: string, text: string): void {
    fs.writeFileSync(nodePath.join(root, name), text);
  }

  function run() {
    const lines: string[] = [];
    const isPassed = runTests.runTests({
      root,
      jestArguments: [],
      jestOutput: "ignore",
      print: (line) => lines.push(line),
    });
    return { isPassed, lines };
  }

  test("fails after a test failure if the list is absent or empty", () => {
    expect(run()).toEqual({ isPassed: false, lines: [] });
    write("KNOWN-RED.txt", "");
    expect(run()).toEqual({ isPassed: false, lines: [] });
  });

  test("ignores a listed failure and prints it", () => {
    write("KNOWN-RED.txt", entry);
    const { isPassed, lines } = run();
    expect(isPassed).toBe(true);
    expect(lines).toEqual([
      "Known red, failed: sum.test.js > sums small numbers (an example)",
    ]);
  });

  test("fails if a hook fails after a listed failure", () => {
    write("KNOWN-RED.txt", entry);
    fs.appendFileSync(
      nodePath.join(root, "sum.test.js"),
      'afterAll(() => { throw new Error("broken"); });',
    );
    expect(run().isPassed).toBe(false);
  });

  test("fails if a test file can't be run", () => {
    write("KNOWN-RED.txt", entry);
    write("other.test.js", "undefinedFunction();");
    expect(run().isPassed).toBe(false);
  });
});
