/** Applies changed settings to a running process, where no restart is needed. */
import type * as logger from "../telemetry/logger.ts";
import * as documentText from "./document_text.ts";
import type * as process from "./process.ts";

export type ReloadOutcome<Settings> =
  | documentText.CheckOutcome<Settings>
  | { readonly kind: "unreadable"; readonly message: string };

/** Source of changed settings. */
export interface SettingsReloader<Settings> {
  /** Reads and checks the settings file. */
  read(): ReloadOutcome<Settings>;
  /** Sets the listener that is called when the file is reported as changed. */
  onReload(listener: () => void): void;
}

interface SettingsWithLog {
  readonly log: { readonly level: process.LogLevel };
}

export interface FollowSettingsOptions<Settings> {
  readonly settings: Settings;
  readonly reload: SettingsReloader<Settings>;
  readonly logger: logger.LeveledLogger;
  /** Keys besides `log` that `apply` changes without a restart. */
  readonly reloadableKeys: readonly (keyof Settings)[];
  /** Applies the reloadable keys of new settings, which are valid. */
  readonly apply: (settings: Settings) => void;
}

/** Lists the top-level keys whose values differ. */
export function listChangedKeys<Settings extends object>(
  before: Settings,
  after: Settings,
): readonly (keyof Settings)[] {
  const keys = Object.keys({ ...before, ...after }) as (keyof Settings)[];
  return keys.filter((key) =>
    JSON.stringify(before[key]) !== JSON.stringify(after[key])
  );
}

/**
 * Applies the settings anew on each reload. If they are unreadable or invalid,
 * the current settings stay in force.
 */
export function followSettings<Settings extends SettingsWithLog>(
  { settings, reload, logger: log, ...options }: FollowSettingsOptions<
    Settings
  >,
): void {
  const keysWithoutRestart: readonly (keyof Settings)[] = [
    "log",
    ...options.reloadableKeys,
  ];
  let current = settings;
  reload.onReload(() => {
    const checked = reload.read();
    if (checked.kind !== "valid") {
      const reason = checked.kind === "invalid"
        ? documentText.formatProblems(checked.problems)
        : checked.message;
      log.error("Could not reload settings; keeping the current ones", {
        reason,
      });
      return;
    }
    const changed = listChangedKeys(current, checked.settings);
    log.setLevel(checked.settings.log.level);
    options.apply(checked.settings);
    current = checked.settings;
    log.info("Reloaded settings", {
      applied: changed.filter((key) => keysWithoutRestart.includes(key)),
      needsRestart: changed.filter((key) => !keysWithoutRestart.includes(key)),
    });
  });
}
