import type * as documentText from "./document_text.ts";
import * as reload from "./reload.ts";

interface Settings {
  readonly id: string;
  readonly seeds: readonly string[];
  readonly log: { readonly level: "info" | "debug" };
}

const first: Settings = { id: "a", seeds: ["s1"], log: { level: "info" } };

function createSetup() {
  let ask = () => {};
  let next: reload.ReloadOutcome<Settings> = {
    kind: "valid",
    settings: first,
  };
  const lines: unknown[] = [];
  const levels: string[] = [];
  const applied: Settings[] = [];
  const note = (message: string, fields?: unknown) =>
    void lines.push([message, fields]);
  reload.followSettings<Settings>({
    settings: first,
    reload: { read: () => next, onReload: (listener) => (ask = listener) },
    logger: {
      debug: note,
      info: note,
      warn: note,
      error: note,
      infoRateLimited: note,
      warnOnce: note,
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
      next = outcome;
      ask();
    },
  };
}

test("takes over what it can and says what needs a restart", () => {
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
    "Read its settings again",
    { applied: ["seeds", "log"], needsRestart: ["id"] },
  ]]);
  setup.change({ kind: "valid", settings });
  expect(setup.lines[1]).toEqual([
    "Read its settings again",
    { applied: [], needsRestart: [] },
  ]);
});

test("keeps its settings when the new ones are not valid, and says why", () => {
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
    "Keeps its settings: the new ones can't be used",
    { reason: expect.stringContaining("entry.jsonc") },
  ]]);
});

test("keeps its settings when the file is gone", () => {
  const setup = createSetup();
  setup.change({ kind: "unreadable", message: "ENOENT" });
  expect(setup.applied).toEqual([]);
  expect(setup.lines).toEqual([[
    "Keeps its settings: the new ones can't be used",
    { reason: "ENOENT" },
  ]]);
});
