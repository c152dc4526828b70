import type * as documentText from "./document_text.ts";
import * as reload from "./reload.ts";

interface Settings {
  readonly id: string;
  readonly seeds: readonly string[];
  readonly log: { readonly level: "info" | "debug" };
}

const initialSettings: Settings = {
  id: "a",
  seeds: ["s1"],
  log: { level: "info" },
};

function createSetup() {
  let requestReload = () => {};
  let nextOutcome: reload.ReloadOutcome<Settings> = {
    kind: "valid",
    settings: initialSettings,
  };
  const lines: unknown[] = [];
  const levels: string[] = [];
  const applied: Settings[] = [];
  const recordLine = (message: string, fields?: unknown) =>
    void lines.push([message, fields]);
  reload.followSettings<Settings>({
    settings: initialSettings,
    reload: {
      read: () => nextOutcome,
      onReload: (listener) => (requestReload = listener),
    },
    logger: {
      debug: recordLine,
      info: recordLine,
      warn: recordLine,
      error: recordLine,
      infoRateLimited: recordLine,
      warnOnce: recordLine,
      setLevel: (level) => void levels.push(level),
    },
    reloadableKeys: ["seeds"],
    apply: (settings) => void applied.push(settings),
  });
  return {
    lines,
    levels,
    applied,
    change(outcome: reload.ReloadOutcome<Settings>) {
      nextOutcome = outcome;
      requestReload();
    },
  };
}

test("a reload applies the reloadable keys and logs the keys that need a restart", () => {
  const setup = createSetup();
  const settings: Settings = {
    id: "b",
    seeds: ["s2"],
    log: { level: "debug" },
  };
  setup.change({ kind: "valid", settings });
  expect(setup.levels).toEqual(["debug"]);
  expect(setup.applied).toEqual([settings]);
  expect(setup.lines).toEqual([[
    "Reloaded settings",
    { applied: ["seeds", "log"], needsRestart: ["id"] },
  ]]);
  setup.change({ kind: "valid", settings });
  expect(setup.lines[1]).toEqual([
    "Reloaded settings",
    { applied: [], needsRestart: [] },
  ]);
});

test("the current settings stay in force when the new settings are invalid, and the reason is logged", () => {
  const setup = createSetup();
  setup.change({
    kind: "invalid",
    problems: [{
      file: "entry.jsonc",
      line: 3,
      column: 9,
      path: "seeds",
      message: "Expected a list",
    }] as unknown as readonly documentText.Problem[],
  });
  expect(setup.applied).toEqual([]);
  expect(setup.levels).toEqual([]);
  expect(setup.lines).toEqual([[
    "Could not reload settings; keeping the current ones",
    { reason: expect.stringContaining("entry.jsonc") },
  ]]);
});

test("the current settings stay in force when the file can't be read", () => {
  const setup = createSetup();
  setup.change({ kind: "unreadable", message: "ENOENT" });
  expect(setup.applied).toEqual([]);
  expect(setup.lines).toEqual([[
    "Could not reload settings; keeping the current ones",
    { reason: "ENOENT" },
  ]]);
});
