/**
 * Scope of the settings replicas of a half's entries: the settings of the half,
 * the groups of all halves, and all assignments. A group that has moved is
 * still defined under the path of the other half, so its new half needs to read
 * that definition. Nothing else is shared between the halves.
 */
import type * as settingsReplica from "@anvilhinge/coordination/settings_replica";
import * as assignmentCodec from "../../adapters/assignment_codec.ts";
import type * as objectStore from "../../ports/object_store.ts";
import * as objects from "../../settings/objects.ts";
import * as record from "../../settings/record.ts";

/** Prefixes of the object store that are replicated. */
export const replicaPrefixes: readonly string[] = [
  `${record.settingsPrefix}/`,
  assignmentCodec.assignmentPrefix,
];

/** Returns whether the entries of `half` replicate the key. */
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
 * Converts a stored object to its replicated form: the text of settings without
 * their history, or an assignment as JSON. Settings objects that can't be
 * parsed are skipped.
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
