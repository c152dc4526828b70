/**
 * Parses settings documents (JSON with comments) and reports every problem with
 * its position in the file. Imports only types of zod, so that processes that
 * use `zod/mini` to save memory can use this module.
 */
import * as jsonc from "jsonc-parser";
import type * as zod from "zod/v4/core";
import * as nearestName from "./nearest_name.ts";

export type DocumentPath = readonly (string | number)[];

/** Position in a text; lines and columns start at 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/** One reason why settings are rejected. */
export interface Problem extends Position {
  readonly file: string;
  /** Path inside the document such as `operators[0].name`; empty at the root. */
  readonly path: string;
  readonly message: string;
  /** Suggested fix; empty when the message is sufficient. */
  readonly hint: string;
}

export interface InvalidOutcome {
  readonly kind: "invalid";
  readonly problems: readonly Problem[];
}

/** Settings with all defaults filled in, or all problems found in them. */
export type CheckOutcome<Settings> =
  | { readonly kind: "valid"; readonly settings: Settings }
  | InvalidOutcome;

export interface Document {
  /** Text that was parsed. */
  readonly text: string;
  readonly value: unknown;
  /** Returns the position of a value, or of its nearest existing parent. */
  locate(path: DocumentPath): Position;
  /** Returns the position of a key of the object at `path`. */
  locateKey(path: DocumentPath, key: string): Position;
}

export type ParseOutcome =
  | { readonly kind: "parsed"; readonly document: Document }
  | InvalidOutcome;

export interface DocumentOptions {
  /** File name shown in problems. */
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

function collectDuplicateKeys(node: jsonc.Node): readonly jsonc.Node[] {
  const children = node.children ?? [];
  const nested = children.flatMap(collectDuplicateKeys);
  if (node.type !== "object") return nested;
  const seen = new Set<unknown>();
  const duplicates = children.flatMap((property) => {
    const keyNode = property.children?.[0];
    if (keyNode === undefined) return [];
    if (seen.has(keyNode.value)) return [keyNode];
    seen.add(keyNode.value);
    return [];
  });
  return [...duplicates, ...nested];
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
  for (const keyNode of root === undefined ? [] : collectDuplicateKeys(root)) {
    problems.push({
      file,
      ...computePosition(text, keyNode.offset),
      path: formatPath(jsonc.getNodePath(keyNode.parent!)),
      message: `Duplicate key "${keyNode.value}"`,
      hint: "Keep only one of them",
    });
  }
  if (root === undefined || problems.length > 0) {
    return { kind: "invalid", problems };
  }
  return { kind: "parsed", document: createDocument(text, root) };
}

/** Creates a problem located at a value of a parsed document. */
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

/** Suggests the closest known name, or lists all names when none is close. */
export function formatNameHint(
  name: string,
  knownNames: readonly string[],
): string {
  const nearest = nearestName.findNearestName(name, knownNames);
  if (nearest !== undefined) return `Did you mean "${nearest}"?`;
  return knownNames.length === 0 ? "" : `Known names: ${knownNames.join(", ")}`;
}

/** Returns the value at a path; undefined when there is none. */
export function getValue(value: unknown, path: DocumentPath): unknown {
  return path.reduce<unknown>(
    (parent, key) => (parent as Record<string, unknown> | undefined)?.[key],
    value,
  );
}

/** Converts a schema issue with a value into a message and a hint. */
export function describeIssue(
  issue: zod.$ZodIssue,
  value: unknown,
): { readonly message: string; readonly hint?: string } {
  // For a missing key, zod reports that `undefined` is invalid.
  if (value === undefined && issue.code.startsWith("invalid_")) {
    return { message: `Key "${String(issue.path.at(-1))}" is missing` };
  }
  if (issue.code === "invalid_value" && typeof value === "string") {
    const hint = formatNameHint(value, issue.values.map(String));
    return { message: `Unknown value "${value}"`, hint };
  }
  return { message: issue.message };
}

/** Formats problems for a terminal, one per line. */
export function formatProblems(problems: readonly Problem[]): string {
  return problems.map((problem) => {
    const position = `${problem.file}:${problem.line}:${problem.column}`;
    const path = problem.path === "" ? "" : ` ${problem.path}:`;
    const hint = problem.hint === "" ? "" : `. ${problem.hint}`;
    return `${position}:${path} ${problem.message}${hint}`;
  }).join("\n");
}
