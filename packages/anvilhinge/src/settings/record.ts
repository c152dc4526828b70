/** Record of a settings object in the object API, with its recent history. */
import * as zod from "zod";
import * as objectPath from "./object_path.ts";

/** Prefix of the keys of settings objects in the object API. */
export const settingsPrefix = "settings";

/** Changes that the history of one record keeps. */
export const maxHistoryChanges = 20;

const change = zod.object({
  changeId: zod.string().min(1),
  author: zod.string(),
  /** ISO 8601 time by the clock of the entry that accepted the change. */
  at: zod.string(),
  /** Version of the object before this change; 0 = the object did not exist. */
  previousVersion: zod.int().min(0),
  /** Digest of the text; distinguishes a repeated from a different change. */
  textDigest: zod.string().optional(),
  /**
   * Id of a change whose outcome is unknown and which this change prevents from
   * taking effect later; the text is unchanged.
   */
  fences: zod.string().optional(),
}).readonly();

const schema = zod.object({
  text: zod.string(),
  changes: zod.array(change).min(1).readonly(),
  /**
   * True when the record holds only a fence: the settings object does not
   * exist, but its key must, so that the fenced write, which requires an absent
   * key, fails.
   */
  isAbsent: zod.boolean().optional(),
}).readonly();

/** One accepted change. */
export type Change = zod.output<typeof change>;

/** Text of a settings object and its changes, latest first. */
export type SettingsRecord = zod.output<typeof schema>;

/** Parses a stored value; undefined when it is not a settings record. */
export function parseRecord(value: unknown): SettingsRecord | undefined {
  const result = schema.safeParse(value);
  return result.success ? result.data : undefined;
}

/** Builds the record that results from applying a change to `previous`. */
export function buildRecord(
  previous: SettingsRecord | undefined,
  next: { readonly text: string; readonly change: Change },
): SettingsRecord {
  const changes = [next.change, ...previous?.changes ?? []];
  return { text: next.text, changes: changes.slice(0, maxHistoryChanges) };
}

/**
 * Builds a fence: writing the unchanged text as a new version keeps the change
 * `next.fences` from taking effect.
 */
export function buildFenceRecord(
  previous: SettingsRecord | undefined,
  next: Change,
): SettingsRecord {
  const text = previous?.text ?? "";
  const fenced = buildRecord(previous, { text, change: next });
  const isAbsent = previous === undefined || previous.isAbsent === true;
  return isAbsent ? { ...fenced, isAbsent } : fenced;
}

/** Parses a stored value; undefined if not a record or its object is absent. */
export function parsePresentRecord(value: unknown): SettingsRecord | undefined {
  const parsed = parseRecord(value);
  return parsed?.isAbsent ? undefined : parsed;
}

/** Returns the object API key of `/<half>/<team>/<kind>/<name>`. */
export function formatKey(path: string): string {
  return `${settingsPrefix}${path}`;
}

/** Returns the settings path of a key; undefined for other keys. */
export function parseKey(key: string): string | undefined {
  if (!key.startsWith(`${settingsPrefix}/`)) return undefined;
  const path = key.slice(settingsPrefix.length);
  return objectPath.parseSettingsPath(path).kind === "parsed"
    ? path
    : undefined;
}
