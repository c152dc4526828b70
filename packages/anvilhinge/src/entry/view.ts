/**
 * Keeps the entry's catalog and upstream table in step with the object API:
 * settings and assignments, each version applied once and never an older one.
 */
import type * as assignment from "@anvilhinge/coordination/assignment";
import * as assignmentCodec from "../adapters/assignment_codec.ts";
import type * as objectStore from "../ports/object_store.ts";
import * as objects from "../settings/objects.ts";
import * as record from "../settings/record.ts";
import type * as context from "./context.ts";
import * as storeFollower from "./store_follower.ts";

export interface ViewOptions {
  readonly entry: context.EntryContext;
  readonly signal: AbortSignal;
  readonly onAssignment: (received: assignment.Assignment) => void;
  /** Called once, when the first complete lists have been applied. */
  readonly onReady: () => void;
}

/** Follows settings and assignments until the signal aborts. */
export function followView(options: ViewOptions): void {
  const { entry, signal } = options;
  const waiting = new Set(["settings", "assignments"]);

  function markListed(part: string): void {
    if (!waiting.delete(part) || waiting.size > 0) return;
    options.onReady();
  }

  function updateGroup(name: string): void {
    const home = entry.catalog.findGroupHome(name);
    const owner = entry.upstreams.findAssignment(name)?.half ?? home;
    const group = entry.catalog.findGroup(name, owner ?? "");
    if (group === undefined) {
      entry.upstreams.removeGroup(name);
      return;
    }
    entry.upstreams.setGroup({
      name,
      kind: group.kind,
      serves: group.kind === "model" ? group.model : group.service,
      ranks: group.ranks,
    });
  }

  function applySettings(object: objectStore.StoredObject): void {
    const path = record.parseKey(object.key);
    const stored = record.parseRecord(object.value);
    if (path === undefined || stored === undefined) {
      entry.logger.warnOnce(object.key, `Ignored ${object.key}: not a record`);
      return;
    }
    const checked = objects.checkObject(path, stored.text);
    if (checked.kind === "invalid") {
      const [problem] = checked.problems;
      entry.logger.warn(`Ignored ${path}: ${problem?.message}`);
      return;
    }
    entry.catalog.setObject(checked.settings);
    const { kind, name } = checked.settings.path;
    if (kind === "groups") updateGroup(name);
  }

  function removeSettings(key: string): void {
    const path = record.parseKey(key);
    if (path === undefined) return;
    const parsed = objects.parseSettingsPath(path);
    if (parsed.kind === "refused") return;
    entry.catalog.removeObject(parsed.path);
    if (parsed.path.kind === "groups") updateGroup(parsed.path.name);
  }

  function applyAssignment(object: objectStore.StoredObject): void {
    const received = assignmentCodec.parseAssignment(object.value);
    if (received === undefined) {
      entry.logger.warnOnce(
        object.key,
        `Ignored ${object.key}: not an assignment`,
      );
      return;
    }
    entry.upstreams.setAssignment(received);
    updateGroup(received.group);
    options.onAssignment(received);
  }

  const common = {
    store: entry.store,
    scheduler: entry.scheduler,
    random: entry.random,
    signal,
    onUnavailable: (message: string) =>
      entry.logger.warnOnce("store", `The object API is away: ${message}`),
  };
  storeFollower.followPrefix({
    ...common,
    prefix: `${record.settingsPrefix}/`,
    onObject: applySettings,
    onRemoved: removeSettings,
    onListed: () => markListed("settings"),
  });
  storeFollower.followPrefix({
    ...common,
    prefix: assignmentCodec.assignmentPrefix,
    onObject: applyAssignment,
    onListed: () => markListed("assignments"),
  });
}
