import * as path from "node:path";
import * as objects from "./objects.ts";
import * as objectFiles from "./object_files.ts";
import * as subtree from "./subtree.ts";

test.each([
  ["association/drafting/models/a", "expected a leading slash"],
  ["/association/drafting", "the kind is missing"],
  ["/association/drafting/models/", "the name is missing"],
  ["/assocation/drafting/models/a", 'Did you mean "association"?'],
  ["/association/drafting/model/a", 'Did you mean "models"?'],
  ["/association/drafting/models/A", 'name "A" may contain only'],
  ["/association/../models/a", 'team ".." may contain only'],
  ["/association/drafting/models/a/b", "too many parts"],
])("the malformed path %s is rejected with a reason", (text, reason) => {
  const outcome = objects.parseSettingsPath(text);
  expect(outcome.kind).toBe("refused");
  expect(outcome).toHaveProperty("message", expect.stringContaining(reason));
});

test("a valid path is unchanged after parsing and formatting", () => {
  const text = "/water_board/drawings/groups/drawing-assistant-1";
  const outcome = objects.parseSettingsPath(text);
  if (outcome.kind !== "parsed") throw new Error(outcome.message);
  expect(objects.formatSettingsPath(outcome.path)).toBe(text);
});

test.each([["association", 0.25], ["water_board", 0.75]])(
  "weights of %s default to %d",
  (half, skewWeight) => {
    const outcome = objects.checkObject(`/${half}/team/weights/default`, "{}");
    expect(outcome).toMatchObject({
      kind: "valid",
      settings: { content: { kind: "weights", value: { skewWeight } } },
    });
  },
);

const rank = '{"agent":"127.0.0.1:1","failureDomain":"a","region":"r"}';

function createGroup(experts: number, extra = ""): string {
  return `{"kind":"model","model":"m","ranks":[${rank}],` +
    `"expertSlotsPerRank":8,"layers":1,"experts":${experts}${extra}}`;
}

test("a model group with fewer expert slots than experts is rejected", () => {
  const groupPath = "/association/a/groups/g";
  expect(objects.checkObject(groupPath, createGroup(8)).kind).toBe("valid");
  expect(objects.checkObject(groupPath, createGroup(9))).toMatchObject({
    problems: [{ path: "expertSlotsPerRank" }],
  });
  expect(objects.checkObject(groupPath, createGroup(8, ',"layer":1')))
    .toMatchObject({ problems: [{ hint: 'Did you mean "layers"?' }] });
});

const modelSource = {
  path: "/association/a/models/m",
  text: '{"maxTokens":1}',
};
const groupSource = {
  path: "/association/a/groups/g",
  text: `\n${createGroup(8)}`,
};

test("a reference to an object outside the subtree is rejected", () => {
  expect(subtree.checkSubtree([modelSource, groupSource]).kind).toBe("valid");
  expect(subtree.checkSubtree([groupSource])).toMatchObject({
    kind: "invalid",
    problems: [{
      file: groupSource.path,
      line: 2,
      path: "model",
      message: "/association/a/models/m does not exist",
    }],
  });
  const foreignModel = { ...modelSource, path: "/association/b/models/m" };
  const outcome = subtree.checkSubtree([groupSource, foreignModel]);
  expect(outcome.kind).toBe("invalid");
});

test("an agent that serves two ranks of a subtree is rejected", () => {
  const secondGroup = { ...groupSource, path: "/association/a/groups/h" };
  expect(subtree.checkSubtree([modelSource, groupSource, secondGroup]))
    .toMatchObject({ problems: [{ path: "ranks[0].agent" }] });
});

test.each(["association", "water_board"])(
  "the playground %s is valid and has 16 model ranks, 3 service groups and 10 workspaces",
  async (name) => {
    const folder = path.join(__dirname, "../../../../playground", name);
    const outcome = await objectFiles.loadObjectFiles(folder);
    if (outcome.kind === "invalid") {
      throw new Error(JSON.stringify(outcome.problems));
    }
    const contents = outcome.settings.map((object) => object.content);
    const groups = contents.flatMap((content) =>
      content.kind === "groups" ? [content.value] : []
    );
    const models = groups.filter((group) => group.kind === "model");
    expect(models.flatMap((group) => group.ranks)).toHaveLength(16);
    expect(groups).toHaveLength(models.length + 3);
    expect(contents.filter(({ kind }) => kind === "workspaces"))
      .toHaveLength(10);
  },
);
