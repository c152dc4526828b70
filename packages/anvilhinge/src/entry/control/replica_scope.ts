/**
 * What the entries of a half keep in their replicas: the settings of the half,
 * the groups of all halves, and all assignments. A group that moves needs its
 * definition under the other half's path; nothing else crosses over.
 */
import type * as settingsReplica from "@anvilhinge/coordination/settings_replica";
import * as assignmentCodec from "../../adapters/assignment_codec.ts";
import type * as objectStore from "../../ports/object_store.ts";
import * as objects from "../../settings/objects.ts";
import * as record from "../../settings/record.ts";

/** Prefixes of the object API that are read. */
export const replicaPrefixes: readonly string[] = [
  `${record.settingsPrefix}/`,
  assignmentCodec.assignmentPrefix,
];

/** Returns whether entries of `half` keep the key. */
export function isInScope(key: string, half: string): boolean {
  if (key.startsWith(assignmentCodec.assignmentPrefix)) return true;
  const path = record.parseKey(key);
  const parsed = path === undefined
    ? undefined
    : objects.parseSettingsPath(path);
  if (parsed?.kind !== "parsed") return false;
  return parsed.path.half === half || parsed.path.kind === "groups";
}

/**
 * Converts a stored object to what is replicated: the text of settings without
 * their history, and an assignment as JSON. An object that isn't what its key
 * says is left out.
 */
export function convertStored(
  { key, value, version }: objectStore.StoredObject,
): readonly settingsReplica.ReplicatedObject[] {
  if (key.startsWith(assignmentCodec.assignmentPrefix)) {
    return [{ kind: "present", key, version, value: JSON.stringify(value) }];
  }
  const stored = record.parseRecord(value);
  if (stored === undefined) return [];
  if (stored.isAbsent) return [{ kind: "removed", key, version }];
  return [{ kind: "present", key, version, value: stored.text }];
}
