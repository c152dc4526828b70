/**
 * Writes one change of a settings object: validates it against the stored objects
 * of its subtree, writes it on condition of the given version, and determines
 * the outcome of a write whose answer was lost. If such a write can still take
 * effect, a fence prevents it: a write that keeps the text and raises the
 * version. All entries, including this one, receive an accepted change from the
 * object store or by gossip.
 */
import * as crypto from "node:crypto";
import * as ambiguousWrite from "@anvilhinge/coordination/ambiguous_write";
import type * as objectStore from "../../ports/object_store.ts";
import type * as document from "../../settings/document.ts";
import * as objectPath from "../../settings/object_path.ts";
import * as objects from "../../settings/objects.ts";
import * as record from "../../settings/record.ts";
import * as subtree from "../../settings/subtree.ts";
import type * as catalog from "../choice/catalog.ts";
import * as groupNames from "./group_names.ts";

export interface SettingsChange {
  readonly object: objects.SettingsObject;
  readonly author: string;
  readonly changeId: string;
  /** Version that the object must have; 0 = the object must not exist. */
  readonly ifVersion: number;
}

export type ChangeOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  /** The object was changed by another request. */
  | { readonly kind: "conflict"; readonly version: number }
  /** The change did not take effect and can't take effect later. */
  | { readonly kind: "not_accepted"; readonly version: number }
  /** The change id belongs to another change. */
  | { readonly kind: "repeated_id" }
  | { readonly kind: "invalid"; readonly problems: readonly document.Problem[] }
  /** The name of the group is reserved for another settings path. */
  | { readonly kind: "name_taken"; readonly path: string }
  | objectStore.Unavailable
  | { readonly kind: "unknown"; readonly message: string };

export interface ChangeOptions {
  readonly store: objectStore.ObjectStore;
  readonly catalog: Pick<catalog.Catalog, "listGroupPaths">;
  readonly createId: () => string;
  /** Returns the current wall-clock time in ISO 8601 format. */
  readonly formatNow: () => string;
}

/** A change whose answer was lost, so that its outcome is unknown. */
export interface AmbiguousChange {
  readonly path: string;
  readonly changeId: string;
  /** Version on which the write was conditional; undefined = unknown. */
  readonly ifVersion?: number;
}

/** Number of hexadecimal digits of a stored text digest. */
const digestLength = 16;
const fenceAuthor = "anvilhinge";

function computeDigest(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex")
    .slice(0, digestLength);
}

function extractHistory(
  stored: objectStore.StoredObject | undefined,
): ambiguousWrite.ObjectHistory {
  if (stored === undefined) return { version: 0, changes: [] };
  const changes = record.parseRecord(stored.value)?.changes ?? [];
  return { version: stored.version, changes };
}

function parseStored(
  stored: objectStore.StoredObject,
): readonly objects.SettingsObject[] {
  const path = record.parseKey(stored.key);
  const current = record.parsePresentRecord(stored.value);
  if (path === undefined || current === undefined) return [];
  const checked = objects.checkObject(path, current.text);
  return checked.kind === "valid" ? [checked.settings] : [];
}

/** Returns the outcome if the change id is already in the history. */
function findRepeated(
  change: SettingsChange,
  stored: objectStore.StoredObject | undefined,
): ChangeOutcome | undefined {
  const history = extractHistory(stored);
  const version = ambiguousWrite.findAcceptedVersion(history, change.changeId);
  if (version === undefined) return undefined;
  const changes = record.parseRecord(stored?.value)?.changes ?? [];
  const recorded = changes.find(({ changeId }) => changeId === change.changeId);
  const isSame = recorded?.author === change.author &&
    recorded.textDigest === computeDigest(change.object.document.text);
  return isSame ? { kind: "accepted", version } : { kind: "repeated_id" };
}

/**
 * Returns the version that the key must have in the object store: a fence leaves
 * a version behind even if the object does not exist.
 */
function resolveCondition(
  change: SettingsChange,
  stored: objectStore.StoredObject | undefined,
): number {
  const isAbsent = record.parseRecord(stored?.value)?.isAbsent === true;
  const { ifVersion } = change;
  return ifVersion === 0 && isAbsent ? stored!.version : ifVersion;
}

/** Reserves the name of a group; returns the outcome if that fails. */
async function reserveNameOfGroup(
  change: SettingsChange,
  options: ChangeOptions,
): Promise<ChangeOutcome | undefined> {
  const { path } = change.object;
  if (path.kind !== "groups") return undefined;
  const ownPath = objects.formatSettingsPath(path);
  const [other] = options.catalog.listGroupPaths(path.name)
    .filter((candidate) => candidate !== ownPath);
  if (other !== undefined) return { kind: "name_taken", path: other };
  const group = { name: path.name, path: ownPath };
  const outcome = await groupNames.reserveGroupName(options.store, group);
  if (outcome.kind === "reserved") return undefined;
  if (outcome.kind === "unavailable") return outcome;
  return { kind: "name_taken", path: outcome.path };
}

async function writeRecord(
  change: SettingsChange,
  options: ChangeOptions & {
    readonly stored: objectStore.StoredObject | undefined;
  },
): Promise<ChangeOutcome> {
  const { text } = change.object.document;
  const path = objects.formatSettingsPath(change.object.path);
  const ifVersion = resolveCondition(change, options.stored);
  const next = record.buildRecord(record.parseRecord(options.stored?.value), {
    text,
    change: {
      changeId: change.changeId,
      author: change.author,
      at: options.formatNow(),
      previousVersion: ifVersion,
      textDigest: computeDigest(text),
    },
  });
  const key = record.formatKey(path);
  const outcome = await options.store.write(key, next, { ifVersion });
  switch (outcome.kind) {
    case "accepted":
    case "unavailable":
      return outcome;
    case "conflict":
      return findRepeated(change, outcome.current) ??
        { kind: "conflict", version: outcome.current?.version ?? 0 };
    case "unknown": {
      const { changeId } = change;
      return await settleChange({ path, changeId, ifVersion }, options);
    }
  }
}

/** Applies the change; at most one of its submissions takes effect. */
export async function applyChange(
  change: SettingsChange,
  options: ChangeOptions,
): Promise<ChangeOutcome> {
  const path = objects.formatSettingsPath(change.object.path);
  const key = record.formatKey(path);
  const prefix = record.formatKey(
    `${objectPath.formatSubtree(change.object.path)}/`,
  );
  const listed = await options.store.list(prefix);
  if (listed.kind === "unavailable") return listed;
  const stored = listed.objects.find((object) => object.key === key);
  const repeated = findRepeated(change, stored);
  if (repeated !== undefined) return repeated;
  const currentVersion = stored?.version ?? 0;
  if (resolveCondition(change, stored) !== currentVersion) {
    return { kind: "conflict", version: currentVersion };
  }
  const checked = subtree.checkAgainstSubtree(
    change.object,
    listed.objects.flatMap(parseStored),
  );
  if (checked.kind === "invalid") return checked;
  const refused = await reserveNameOfGroup(change, options);
  if (refused !== undefined) return refused;
  return await writeRecord(change, { ...options, stored });
}

async function writeFence(
  ambiguousChange: AmbiguousChange,
  options: ChangeOptions & {
    readonly ifVersion: number;
    readonly stored: objectStore.StoredObject | undefined;
  },
): Promise<ambiguousWrite.SettlementEvent> {
  const { ifVersion, stored } = options;
  const fence = record.buildFenceRecord(record.parseRecord(stored?.value), {
    changeId: options.createId(),
    author: fenceAuthor,
    at: options.formatNow(),
    previousVersion: ifVersion,
    fences: ambiguousChange.changeId,
  });
  const key = record.formatKey(ambiguousChange.path);
  const outcome = await options.store.write(key, fence, { ifVersion });
  switch (outcome.kind) {
    case "accepted":
      return { kind: "fenced", version: outcome.version };
    case "conflict":
      return { kind: "fence_conflict" };
    case "unknown":
      return { kind: "fence_unknown" };
    case "unavailable":
      return outcome;
  }
}

/**
 * Determines the outcome of a change. If the change is not in the history but
 * could still take effect, rules it out with a fence.
 */
export async function settleChange(
  ambiguousChange: AmbiguousChange,
  options: ChangeOptions,
): Promise<ambiguousWrite.Settlement> {
  const settlement = ambiguousWrite.createSettlement(ambiguousChange);
  const key = record.formatKey(ambiguousChange.path);
  let stored: objectStore.StoredObject | undefined;

  async function execute(
    effect: Exclude<
      ambiguousWrite.SettlementEffect,
      { readonly kind: "settled" }
    >,
  ): Promise<ambiguousWrite.SettlementEvent> {
    if (effect.kind === "fence") {
      const { ifVersion } = effect;
      return await writeFence(ambiguousChange, {
        ...options,
        ifVersion,
        stored,
      });
    }
    const outcome = await options.store.read(key);
    if (outcome.kind === "unavailable") return outcome;
    stored = outcome.kind === "found" ? outcome.object : undefined;
    return { kind: "read", history: extractHistory(stored) };
  }

  let effect: ambiguousWrite.SettlementEffect = { kind: "read" };
  while (effect.kind !== "settled") {
    effect = settlement.handle(await execute(effect));
  }
  return effect.settlement;
}

/** Looks up a change without ruling it out. */
export async function findChange(
  ambiguousChange: AmbiguousChange,
  store: objectStore.ObjectStore,
): Promise<ambiguousWrite.Settlement> {
  const outcome = await store.read(record.formatKey(ambiguousChange.path));
  if (outcome.kind === "unavailable") {
    return { kind: "unknown", message: outcome.message };
  }
  const history = extractHistory(
    outcome.kind === "found" ? outcome.object : undefined,
  );
  const version = ambiguousWrite.findAcceptedVersion(
    history,
    ambiguousChange.changeId,
  );
  if (version !== undefined) return { kind: "accepted", version };
  const message =
    "The change was not found; only the subtree's operators can rule it out";
  return { kind: "unknown", message };
}
