/** Takes changed settings over into a running process, as far as it can. */
import type * as logger from "../telemetry/logger.ts";
import * as documentText from "./document_text.ts";
import type * as process from "./process.ts";

export type ReloadOutcome<Settings> =
  | documentText.CheckOutcome<Settings>
  | { readonly kind: "unreadable"; readonly message: string };

/** Where changed settings come from. */
export interface SettingsReloader<Settings> {
  /** Reads and checks the settings file. */
  read(): ReloadOutcome<Settings>;
  /** Calls the listener each time that the file is said to have changed. */
  onReload(listener: () => void): void;
}

interface Reloadable {
  readonly log: { readonly level: process.LogLevel };
}

export interface FollowSettingsOptions<Settings> {
  readonly settings: Settings;
  readonly reload: SettingsReloader<Settings>;
  readonly logger: logger.LeveledLogger;
  /** Keys besides `log` that `apply` takes over. */
  readonly reloadableKeys: readonly (keyof Settings)[];
  readonly apply: (settings: Settings) => void;
}

/** Lists the keys of the top level whose values differ. */
export function listChangedKeys<Settings extends object>(
  before: Settings,
  after: Settings,
): readonly (keyof Settings)[] {
  const keys = Object.keys({ ...before, ...after }) as (keyof Settings)[];
  return keys.filter((key) =>
    JSON.stringify(before[key]) !== JSON.stringify(after[key])
  );
}

/** Follows the settings of a running process; bad ones change nothing. */
export function followSettings<Settings extends Reloadable>(
  { settings, reload, logger: log, ...options }: FollowSettingsOptions<
    Settings
  >,
): void {
  const taken: readonly (keyof Settings)[] = ["log", ...options.reloadableKeys];
  let current = settings;
  reload.onReload(() => {
    const checked = reload.read();
    if (checked.kind !== "valid") {
      const reason = checked.kind === "invalid"
        ? documentText.formatProblems(checked.problems)
        : checked.message;
      log.error("Keeps its settings: the new ones can't be used", { reason });
      return;
    }
    const changed = listChangedKeys(current, checked.settings);
    log.setLevel(checked.settings.log.level);
    options.apply(checked.settings);
    current = checked.settings;
    log.info("Read its settings again", {
      applied: changed.filter((key) => taken.includes(key)),
      needsRestart: changed.filter((key) => !taken.includes(key)),
    });
  });
}
