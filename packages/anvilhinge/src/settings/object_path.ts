/** Paths of settings objects: `/<half>/<team>/<kind>/<name>`. */
import * as document from "./document.ts";
import * as names from "./names.ts";

/** Kinds of settings objects. */
export const objectKinds = [
  "workspaces",
  "services",
  "groups",
  "models",
  "weights",
] as const;

export type ObjectKind = typeof objectKinds[number];

/** Parts of a settings path. */
export interface SettingsPath {
  readonly half: names.Half;
  readonly team: string;
  readonly kind: ObjectKind;
  readonly name: string;
}

export type PathOutcome =
  | { readonly kind: "parsed"; readonly path: SettingsPath }
  | { readonly kind: "refused"; readonly message: string };

const partNames = ["half", "team", "kind", "name"] as const;

function isObjectKind(text: string): text is ObjectKind {
  return (objectKinds as readonly string[]).includes(text);
}

/** Returns whether `text` has the form `/<half>/<team>`. */
export function isSubtree(text: string): boolean {
  const [root, half, team, ...extraParts] = text.split("/");
  return root === "" && names.isHalf(half ?? "") && names.isName(team ?? "") &&
    extraParts.length === 0;
}

/** Formats the subtree of a path, `/<half>/<team>`. */
export function formatSubtree(path: SettingsPath): string {
  return `/${path.half}/${path.team}`;
}

/** Formats a path as `/<half>/<team>/<kind>/<name>`. */
export function formatSettingsPath(path: SettingsPath): string {
  return `${formatSubtree(path)}/${path.kind}/${path.name}`;
}

/** Parses `/<half>/<team>/<kind>/<name>`; the message names the error. */
export function parseSettingsPath(text: string): PathOutcome {
  function reject(reason: string): PathOutcome {
    return {
      kind: "refused",
      message: `Settings path "${text}": ${reason}`,
    };
  }
  if (!text.startsWith("/")) return reject("expected a leading slash");
  const parts = text.slice(1).split("/");
  const missing = partNames.find((_, index) => !parts[index]);
  if (missing !== undefined) {
    return reject(
      `the ${missing} is missing; expected /<half>/<team>/<kind>/<name>`,
    );
  }
  if (parts.length > partNames.length) {
    return reject("too many parts; expected /<half>/<team>/<kind>/<name>");
  }
  const [half, team, kind, name] = parts as [string, string, string, string];
  if (!names.isHalf(half)) {
    const hint = document.formatNameHint(half, names.halves);
    return reject(`unknown half "${half}". ${hint}`);
  }
  if (!isObjectKind(kind)) {
    const hint = document.formatNameHint(kind, objectKinds);
    return reject(`unknown kind "${kind}". ${hint}`);
  }
  for (const [label, part] of [["team", team], ["name", name]] as const) {
    if (names.isName(part)) continue;
    return reject(
      `${label} "${part}" may contain only a-z, 0-9, _, . and -`,
    );
  }
  return { kind: "parsed", path: { half, team, kind, name } };
}
