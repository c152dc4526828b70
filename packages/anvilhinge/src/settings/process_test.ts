import * as process from "./process.ts";

const platform = {
  objectStore: "http://127.0.0.1:1",
  instanceList: "http://127.0.0.1:2",
};

const entry = {
  id: "entry-1",
  half: "association",
  address: { host: "127.0.0.1", port: 8080 },
  controlAddress: { host: "127.0.0.1", port: 8081 },
  failureDomain: "milan_a",
  region: "lombardy",
  platform,
};

function resolveEntry(changes: object) {
  const text = JSON.stringify({ ...entry, ...changes }, null, 1);
  return process.resolveEntrySettings(text, { file: "entry.jsonc" });
}

test("defaults are filled in for omitted keys of an entry", () => {
  expect(resolveEntry({})).toMatchObject({
    kind: "valid",
    settings: {
      addressAnswerTtlMs: 5000,
      requestBodyLimitBytes: 4194304,
      tracing: { exporter: "none" },
      log: { level: "info" },
      operators: [],
    },
  });
});

test.each([
  [{ half: "other" }, "half"],
  [{ address: { host: "localhost", port: 1 } }, "address.host"],
  [{ tracing: { exporter: "otlp" } }, "tracing"],
  [{
    operators: [{ name: "a", tokenSha256: "x", subtrees: ["/association/a"] }],
  }, "operators[0].tokenSha256"],
  [{
    operators: [{
      name: "a",
      tokenSha256: "0".repeat(64),
      subtrees: ["/association"],
    }],
  }, "operators[0].subtrees[0]"],
])("invalid entry settings are rejected: %j", (changes, path) => {
  const outcome = resolveEntry(changes);
  if (outcome.kind === "valid") throw new Error("Expected problems");
  expect(outcome.problems.map((problem) => problem.path.startsWith(path)))
    .toEqual([true]);
});

test("a missing key is named, and an unknown value gets a suggestion", () => {
  expect(resolveEntry({ half: "asociation", region: undefined })).toMatchObject(
    {
      problems: [
        { path: "half", hint: 'Did you mean "association"?' },
        { path: "region", message: 'Key "region" is missing', line: 1 },
      ],
    },
  );
});

test("agent settings accept entries by IP address only", () => {
  const agent = {
    ...{ id: "agent-1", group: "g", rank: 0, platform },
    ...{ address: entry.address, failureDomain: "milan_a", region: "lombardy" },
    entries: ["127.0.0.1:8081"],
    engine: { url: "http://127.0.0.1:9", kind: "model" },
  };
  function resolve(value: object) {
    const text = JSON.stringify(value);
    return process.resolveAgentSettings(text, { file: "agent.jsonc" });
  }
  expect(resolve(agent)).toMatchObject({
    kind: "valid",
    settings: { engine: { checksFencing: false } },
  });
  expect(resolve({ ...agent, entries: ["localhost:8081"] })).toMatchObject({
    problems: [{ path: "entries[0]" }],
  });
});
