/**
 * Checks the objects of one subtree together: every reference must resolve to
 * an object of the same subtree. Other subtrees are never read.
 */
import * as document from "./document.ts";
import * as objectPath from "./object_path.ts";
import * as objects from "./objects.ts";

/** Valid objects, or the problems of all objects that were checked. */
export type SubtreeOutcome = document.CheckOutcome<
  readonly objects.SettingsObject[]
>;

interface Reference {
  readonly kind: objectPath.ObjectKind;
  readonly name: string;
  readonly path: document.DocumentPath;
}

function listReferences(
  { content }: objects.SettingsObject,
): readonly Reference[] {
  switch (content.kind) {
    case "workspaces":
      return (["models", "services"] as const).flatMap((kind) =>
        content.value[kind].map((name, index) => ({
          kind,
          name,
          path: [kind, index],
        }))
      );
    case "groups":
      return content.value.kind === "model"
        ? [{ kind: "models", name: content.value.model, path: ["model"] }]
        : [{
          kind: "services",
          name: content.value.service,
          path: ["service"],
        }];
    case "services":
    case "models":
    case "weights":
      return [];
  }
}

function checkReferences(
  object: objects.SettingsObject,
  all: readonly objects.SettingsObject[],
): readonly document.Problem[] {
  const { file } = object;
  return listReferences(object).flatMap(({ kind, name, path }) => {
    const existingNames = all.filter((other) => other.path.kind === kind)
      .map((other) => other.path.name);
    if (existingNames.includes(name)) return [];
    const target = objectPath.formatSettingsPath({
      ...object.path,
      kind,
      name,
    });
    const message = `${target} does not exist`;
    const hint = document.formatNameHint(name, existingNames);
    return [
      document.createProblem(object.document, { file, path, message, hint }),
    ];
  });
}

function checkAgents(
  all: readonly objects.SettingsObject[],
): readonly document.Problem[] {
  const groupNameByAgent = new Map<string, string>();
  return all.flatMap((object) => {
    const { content, file } = object;
    if (content.kind !== "groups") return [];
    return content.value.ranks.flatMap(({ agent }, index) => {
      const groupName = groupNameByAgent.get(agent);
      groupNameByAgent.set(agent, groupName ?? object.path.name);
      if (groupName === undefined) return [];
      const path = ["ranks", index, "agent"];
      const message =
        `Agent ${agent} already serves a rank of group "${groupName}"`;
      return [document.createProblem(object.document, { file, path, message })];
    });
  });
}

function checkOwnAgents(
  object: objects.SettingsObject,
  others: readonly objects.SettingsObject[],
): readonly document.Problem[] {
  // `checkAgents` reports an agent at its second use. The checked object comes
  // last, so that its duplicates are reported in it and not in the others.
  return checkAgents([...others, object]).filter(({ file }) =>
    file === object.file
  );
}

/**
 * Checks one object against the existing objects of its subtree. Problems of
 * the other objects are not reported.
 */
export function checkAgainstSubtree(
  object: objects.SettingsObject,
  existing: readonly objects.SettingsObject[],
): SubtreeOutcome {
  const path = objectPath.formatSettingsPath(object.path);
  const others = existing.filter((other) =>
    objectPath.formatSettingsPath(other.path) !== path
  );
  const problems = [
    ...checkReferences(object, [...others, object]),
    ...checkOwnAgents(object, others),
  ];
  return problems.length > 0
    ? { kind: "invalid", problems }
    : { kind: "valid", settings: [object] };
}

function checkSameSubtree(
  all: readonly objects.SettingsObject[],
): readonly document.Problem[] {
  const [first] = all;
  if (first === undefined) return [];
  const subtree = objectPath.formatSubtree(first.path);
  return all
    .filter((object) => objectPath.formatSubtree(object.path) !== subtree)
    .map((object) =>
      document.createProblem(object.document, {
        file: object.file,
        path: [],
        message: `The object does not belong to the subtree ${subtree}`,
        hint: "Check each subtree separately",
      })
    );
}

/** Checks all objects of one subtree, then their references and agents. */
export function checkSubtree(
  sources: readonly objects.ObjectSource[],
): SubtreeOutcome {
  const outcomes = sources.map(({ path, text, file }) =>
    objects.checkObject(path, text, { file })
  );
  const valid = outcomes.flatMap((outcome) =>
    outcome.kind === "valid" ? [outcome.settings] : []
  );
  const problems = outcomes.flatMap((outcome) =>
    outcome.kind === "invalid" ? outcome.problems : []
  );
  if (problems.length > 0) return { kind: "invalid", problems };
  const crossProblems = [
    ...checkSameSubtree(valid),
    ...valid.flatMap((object) => checkReferences(object, valid)),
    ...checkAgents(valid),
  ];
  if (crossProblems.length > 0) {
    return { kind: "invalid", problems: crossProblems };
  }
  return { kind: "valid", settings: valid };
}
