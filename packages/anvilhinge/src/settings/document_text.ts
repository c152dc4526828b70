/**
 * Texts of settings: JSON with comments, with a place in the file for every
 * problem. Small enough for processes that must not load a whole schema library.
 */
import * as jsonc from "jsonc-parser";
import type * as zod from "zod/v4/core";
import * as nearestName from "./nearest_name.ts";

export type DocumentPath = readonly (string | number)[];

/** Place in a text; both numbers begin at 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/** One reason why settings are refused. */
export interface Problem extends Position {
  readonly file: string;
  /** Path inside the document such as `operators[0].name`; empty at the root. */
  readonly path: string;
  readonly message: string;
  /** What to do about it; empty when the message says it all. */
  readonly hint: string;
}

export interface InvalidOutcome {
  readonly kind: "invalid";
  readonly problems: readonly Problem[];
}

/** Settings with all defaults filled in, or all reasons against them. */
export type CheckOutcome<Settings> =
  | { readonly kind: "valid"; readonly settings: Settings }
  | InvalidOutcome;

export interface Document {
  /** Text that was parsed. */
  readonly text: string;
  readonly value: unknown;
  /** Returns the place of a value, or of its nearest existing parent. */
  locate(path: DocumentPath): Position;
  /** Returns the place of a key of the object at `path`. */
  locateKey(path: DocumentPath, key: string): Position;
}

export type ParseOutcome =
  | { readonly kind: "parsed"; readonly document: Document }
  | InvalidOutcome;

export interface DocumentOptions {
  /** File name that problems name. */
  readonly file: string;
}

function computePosition(text: string, offset: number): Position {
  const lines = text.slice(0, offset).split(/\r\n|\r|\n/);
  return { line: lines.length, column: lines.at(-1)!.length + 1 };
}

/** Formats a path as `operators[0].name`. */
export function formatPath(path: DocumentPath): string {
  return path
    .map((key) => typeof key === "number" ? `[${key}]` : `.${key}`)
    .join("")
    .replace(/^\./, "");
}

function findNode(root: jsonc.Node, path: DocumentPath): jsonc.Node {
  const node = jsonc.findNodeAtLocation(root, [...path]);
  if (node !== undefined || path.length === 0) return node ?? root;
  return findNode(root, path.slice(0, -1));
}

function findKeyNode(node: jsonc.Node, key: string): jsonc.Node | undefined {
  return node.children?.map((property) => property.children?.[0])
    .find((keyNode) => keyNode?.value === key);
}

function createDocument(text: string, root: jsonc.Node): Document {
  return {
    text,
    value: jsonc.getNodeValue(root),
    locate: (path) => computePosition(text, findNode(root, path).offset),
    locateKey(path, key) {
      const node = findNode(root, path);
      const keyNode = findKeyNode(node, key) ?? node;
      return computePosition(text, keyNode.offset);
    },
  };
}

function collectRepeatedKeys(node: jsonc.Node): readonly jsonc.Node[] {
  const children = node.children ?? [];
  const below = children.flatMap(collectRepeatedKeys);
  if (node.type !== "object") return below;
  const seen = new Set<unknown>();
  const repeated = children.flatMap((property) => {
    const keyNode = property.children?.[0];
    if (keyNode === undefined) return [];
    if (seen.has(keyNode.value)) return [keyNode];
    seen.add(keyNode.value);
    return [];
  });
  return [...repeated, ...below];
}

function describeSyntaxError(code: jsonc.ParseErrorCode): string {
  const words = jsonc.printParseErrorCode(code)
    .replace(/([a-z])([A-Z])/g, "$1 $2").toLowerCase();
  return `Syntax error: ${words}`;
}

/** Parses JSON with comments; trailing commas are allowed. */
export function parseDocument(
  text: string,
  { file }: DocumentOptions,
): ParseOutcome {
  const errors: jsonc.ParseError[] = [];
  const root = jsonc.parseTree(text, errors, { allowTrailingComma: true });
  const problems: Problem[] = errors.map((error) => ({
    file,
    ...computePosition(text, error.offset),
    path: "",
    message: describeSyntaxError(error.error),
    hint: "",
  }));
  for (const keyNode of root === undefined ? [] : collectRepeatedKeys(root)) {
    problems.push({
      file,
      ...computePosition(text, keyNode.offset),
      path: formatPath(jsonc.getNodePath(keyNode.parent!)),
      message: `Key "${keyNode.value}" stands twice in one object`,
      hint: "Keep one of them",
    });
  }
  if (root === undefined || problems.length > 0) {
    return { kind: "invalid", problems };
  }
  return { kind: "parsed", document: createDocument(text, root) };
}

/** Creates the problem of one value in a parsed document. */
export function createProblem(
  document: Document,
  options: {
    readonly file: string;
    readonly path: DocumentPath;
    readonly message: string;
    readonly hint?: string;
  },
): Problem {
  return {
    file: options.file,
    ...document.locate(options.path),
    path: formatPath(options.path),
    message: options.message,
    hint: options.hint ?? "",
  };
}

/** Describes the nearest known name, or all of them when none is near. */
export function formatNameHint(
  name: string,
  known: readonly string[],
): string {
  const nearest = nearestName.findNearestName(name, known);
  if (nearest !== undefined) return `Did you mean "${nearest}"?`;
  return known.length === 0 ? "" : `Known names: ${known.join(", ")}`;
}

/** Returns the value at a path; undefined when there is none. */
export function getValue(value: unknown, path: DocumentPath): unknown {
  return path.reduce<unknown>(
    (parent, key) => (parent as Record<string, unknown> | undefined)?.[key],
    value,
  );
}

/** Describes one issue that a schema found with a value. */
export function describeIssue(
  issue: zod.$ZodIssue,
  value: unknown,
): { readonly message: string; readonly hint?: string } {
  if (value === undefined && issue.code.startsWith("invalid_")) {
    return { message: `Key "${String(issue.path.at(-1))}" is missing` };
  }
  if (issue.code === "invalid_value" && typeof value === "string") {
    const hint = formatNameHint(value, issue.values.map(String));
    return { message: `Unknown value "${value}"`, hint };
  }
  return { message: issue.message };
}

/** Formats problems for a terminal, one a line. */
export function formatProblems(problems: readonly Problem[]): string {
  return problems.map((problem) => {
    const place = `${problem.file}:${problem.line}:${problem.column}`;
    const path = problem.path === "" ? "" : ` ${problem.path}:`;
    const hint = problem.hint === "" ? "" : `. ${problem.hint}`;
    return `${place}:${path} ${problem.message}${hint}`;
  }).join("\n");
}
