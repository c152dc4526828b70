/**
 * Applies replicated objects at an entry: settings to its catalog, assignments
 * to its upstream table.
 */
import type * as assignment from "@anvilhinge/coordination/assignment";
import type * as settingsReplica from "@anvilhinge/coordination/settings_replica";
import * as assignmentCodec from "../../adapters/assignment_codec.ts";
import * as objects from "../../settings/objects.ts";
import * as record from "../../settings/record.ts";
import type * as context from "../context.ts";

export interface ReplicaApplierOptions {
  readonly entry: Pick<
    context.EntryContext,
    "catalog" | "upstreams" | "logger"
  >;
  readonly onAssignment: (received: assignment.Assignment) => void;
}

/** Applies objects in the given order; the versions of a key must increase. */
export interface ReplicaApplier {
  apply(changed: readonly settingsReplica.ReplicatedObject[]): void;
}

type PresentObject = Extract<
  settingsReplica.ReplicatedObject,
  { readonly kind: "present" }
>;

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Creates the applier of one entry. */
export function createReplicaApplier(
  { entry, onAssignment }: ReplicaApplierOptions,
): ReplicaApplier {
  function updateGroup(name: string): void {
    const definingHalf = entry.catalog.findDefiningHalf(name);
    const half = entry.upstreams.findAssignment(name)?.half ?? definingHalf;
    const group = entry.catalog.findGroup(name, half ?? "");
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

  function applySettings(path: string, text: string): void {
    const checked = objects.checkObject(path, text);
    if (checked.kind === "invalid") {
      const [problem] = checked.problems;
      entry.logger.warn(
        `Ignored invalid settings ${path}: ${problem?.message}`,
      );
      return;
    }
    entry.catalog.setObject(checked.settings);
    const { kind, name } = checked.settings.path;
    if (kind === "groups") updateGroup(name);
  }

  function removeSettings(key: string): void {
    const path = record.parseKey(key);
    const parsed = path && objects.parseSettingsPath(path);
    if (!parsed || parsed.kind === "refused") return;
    entry.catalog.removeObject(parsed.path);
    if (parsed.path.kind === "groups") updateGroup(parsed.path.name);
  }

  function applyAssignment({ key, value }: PresentObject): void {
    const received = assignmentCodec.parseAssignment(parseJson(value));
    if (received === undefined) {
      entry.logger.warnOnce(key, `Ignored invalid assignment ${key}`);
      return;
    }
    entry.upstreams.setAssignment(received);
    updateGroup(received.group);
    onAssignment(received);
  }

  function applyObject(object: settingsReplica.ReplicatedObject): void {
    if (object.kind === "removed") return removeSettings(object.key);
    if (object.key.startsWith(assignmentCodec.assignmentPrefix)) {
      return applyAssignment(object);
    }
    const path = record.parseKey(object.key);
    if (path !== undefined) applySettings(path, object.value);
  }

  return {
    apply(changed) {
      for (const object of changed) applyObject(object);
    },
  };
}
