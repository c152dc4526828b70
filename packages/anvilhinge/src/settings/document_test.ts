import * as zod from "zod";
import * as document from "./document.ts";

const schema = zod.strictObject({
  limits: zod.strictObject({ concurrency: zod.int() }).optional(),
  ranks: zod.array(zod.strictObject({ agent: zod.string() })).default([]),
});

function check(text: string) {
  return document.checkText(text, { file: "a.jsonc", schema });
}

test("comments and trailing commas are accepted", () => {
  expect(check('{\n // note\n "ranks": [],\n}')).toEqual({
    kind: "valid",
    settings: { ranks: [] },
  });
});

test("a problem carries the position and path of the invalid value", () => {
  const outcome = check('{\n  "ranks": [\n    { "agent": 5 }\n  ]\n}');
  expect(outcome).toMatchObject({
    kind: "invalid",
    problems: [{ line: 3, column: 16, path: "ranks[0].agent" }],
  });
});

test("an unknown key is rejected with the closest known name as a hint", () => {
  const outcome = check(
    '{\n  "limits": { "concurency": 1, "concurrency": 2 }}',
  );
  expect(outcome).toMatchObject({
    kind: "invalid",
    problems: [{
      line: 2,
      column: 15,
      path: "limits.concurency",
      hint: 'Did you mean "concurrency"?',
    }],
  });
  if (outcome.kind !== "invalid") throw new Error("Expected problems");
  expect(document.formatProblems(outcome.problems)).toBe(
    'a.jsonc:2:15: limits.concurency: Unknown key "concurency". ' +
      'Did you mean "concurrency"?',
  );
});

test.each([
  ['{\n "ranks": [}', 2, 12],
  ['{\n "ranks": [],\n "ranks": []}', 3, 2],
  ["", 1, 1],
])(
  "syntax errors and duplicate keys carry their position: %j",
  (text, line, column) => {
    const outcome = check(text);
    expect(outcome).toMatchObject({ kind: "invalid" });
    if (outcome.kind !== "invalid") return;
    expect(outcome.problems[0]).toMatchObject({ line, column });
  },
);
