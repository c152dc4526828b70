import * as diff from "./diff.ts";

test("removed, added and common lines are marked", () => {
  expect(diff.formatDiff("a\nb\nc\n", "a\nx\nc\nd\n"))
    .toBe("  a\n- b\n+ x\n  c\n+ d");
  expect(diff.formatDiff("a\n", "a")).toBe("");
  expect(diff.formatDiff("", "a")).toBe("+ a");
});

test("texts too long for a line comparison are shown as wholly removed and added", () => {
  const before = Array.from({ length: 3000 }, (_, index) => `a${index}`);
  const after = before.map((line) => `${line}b`);
  const lines = diff.formatDiff(before.join("\n"), after.join("\n"));
  expect(lines.split("\n")).toHaveLength(6000);
});
