/** Starts the system on loopback with the playground's settings, for tests. */
import * as nodePath from "node:path";
import * as random from "@anvilhinge/coordination/random";
import * as systemScheduler from "../adapters/system_scheduler.ts";
import * as system from "../dev/system.ts";
import type * as objects from "../settings/objects.ts";
import * as objectFiles from "../settings/object_files.ts";

const root = nodePath.join(__dirname, "../../../../playground");

export interface PlaygroundSystemOptions
  extends Omit<system.SystemOptions, "objects" | "scheduler" | "random"> {
  /**
   * Half whose playground is started.
   * @default both
   */
  readonly half?: string;
  /** Selects the objects that are started. Default: all. */
  readonly isWanted?: (object: objects.SettingsObject) => boolean;
}

/** Starts the system with quick steps; throws when a setting is wrong. */
export async function startPlaygroundSystem(
  { half = "", isWanted = () => true, ...options }: PlaygroundSystemOptions,
): Promise<system.RunningSystem> {
  const loaded = await objectFiles.loadObjectFiles(nodePath.join(root, half));
  if (loaded.kind === "invalid") throw new Error(loaded.problems[0]?.message);
  return system.startSystem({
    stepMs: 1,
    addressAnswerTtlMs: 100,
    logLevel: "error",
    ...options,
    objects: loaded.settings.filter(isWanted),
    scheduler: systemScheduler.createSystemScheduler(),
    random: random.createRandomSource(1),
  });
}
