/** Starts the system on loopback with the playground settings, for tests. */
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
   * Half whose part of the playground is started.
   * @default both
   */
  readonly half?: string;
  /** Selects the settings objects to start. Default: all. */
  readonly isWanted?: (object: objects.SettingsObject) => boolean;
}

/** Starts the system with steps of 1 ms; throws if a setting is invalid. */
export async function startPlaygroundSystem(
  { half = "", isWanted = () => true, ...options }: PlaygroundSystemOptions,
): Promise<system.RunningSystem> {
  const outcome = await objectFiles.loadObjectFiles(nodePath.join(root, half));
  if (outcome.kind === "invalid") throw new Error(outcome.problems[0]?.message);
  return system.startSystem({
    stepMs: 1,
    addressAnswerTtlMs: 100,
    logLevel: "error",
    ...options,
    objects: outcome.settings.filter(isWanted),
    scheduler: systemScheduler.createSystemScheduler(),
    random: random.createRandomSource(1),
  });
}
