import * as nodeCrypto from "node:crypto";
import * as undici from "undici";
import * as entry from "../entry/mod.ts";
import type * as process from "../settings/process.ts";
import * as caller from "./caller.ts";
import type * as system from "./system.ts";
import * as playgroundSystem from "../testing/playground_system.ts";

const token = "token-of-drafting";
const workspacePath = "/association/drafting/workspaces/lecco";
const workspace = JSON.stringify({
  models: ["drafting"],
  limits: { requestsPerSecond: 10, tokensPerSecond: 1000, concurrency: 10 },
});
const operators = [{
  name: "ada",
  tokenSha256: nodeCrypto.createHash("sha256").update(token).digest("hex"),
  subtrees: ["/association/drafting"],
}];
const entriesPerHalf = 7;
/** Entries that watch the object API: two in each of three failure domains. */
const watchersPerHalf = 6;
/** Number of key prefixes that each of these entries watches. */
const prefixCount = 2;
const chat = {
  workspace: "drafting/milan",
  body: { model: "drafting", messages: [{ role: "user", content: "agenda" }] },
};

async function send(
  address: string,
  path: string,
  options: Parameters<typeof undici.request>[1] = {},
) {
  const response = await undici.request(`http://${address}${path}`, options);
  const text = await response.body.text();
  const headers = response.headers;
  return { status: response.statusCode, headers, text };
}

function put(address: string, path: string, options: {
  readonly text: string;
  readonly headers?: Record<string, string>;
}) {
  return send(address, `/settings${path}`, {
    method: "PUT",
    headers: {
      authorization: `Bearer ${token}`,
      "if-none-match": "*",
      ...options.headers,
    },
    body: options.text,
  });
}

async function poll(check: () => Promise<boolean> | boolean): Promise<boolean> {
  for (let count = 0; count < 200; count += 1) {
    if (await check()) return true;
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  return false;
}

describe("settings and membership across the entries of a half", () => {
  const abort = new AbortController();
  let running: system.RunningSystem;
  let halfEntries: readonly system.SystemEntry[];

  beforeAll(async () => {
    running = await playgroundSystem.startPlaygroundSystem({
      signal: abort.signal,
      entriesPerHalf,
      operators,
    });
    halfEntries = running.entries.filter(({ half }) => half === "association");
  });

  afterAll(async () => {
    await running.stop();
    abort.abort();
  });

  async function listMembers(address: string) {
    const { text } = await send(address, "/status");
    return JSON.parse(text).entries as readonly {
      readonly id: string;
      readonly state: string;
    }[];
  }

  async function hasTestWorkspace({ address }: { readonly address: string }) {
    const headers = { "x-workspace": "drafting/lecco" };
    const { status } = await send(address, "/v1/addresses", { headers });
    return status === 200;
  }

  test("two entries of each failure domain watch the object API", async () => {
    const expected = 2 * watchersPerHalf * prefixCount;
    expect(await poll(() => running.api.countWatches() === expected))
      .toBe(true);
  });

  test("a settings change accepted at one entry takes effect at every entry", async () => {
    const [first] = halfEntries;
    const answer = await put(first!.address, workspacePath, {
      text: workspace,
      headers: { "change-id": "change-0001" },
    });
    expect(answer.status).toBe(200);
    for (const halfEntry of halfEntries) {
      expect(await poll(() => hasTestWorkspace(halfEntry))).toBe(true);
    }
    const changeAnswer = await send(
      halfEntries[1]!.address,
      `/changes/change-0001?path=${workspacePath}`,
    );
    const version = Number(String(answer.headers.etag).replaceAll('"', ""));
    expect(JSON.parse(changeAnswer.text)).toEqual({
      outcome: "accepted",
      version,
    });
  });

  test("entries of the other half do not receive the workspace", async () => {
    const other = running.entries.find(({ half }) => half === "water_board")!;
    expect(await hasTestWorkspace(other)).toBe(false);
  });

  test("a token cannot write another team's settings and a wrong token cannot write any", async () => {
    const { address } = halfEntries[0]!;
    const otherTeamPath = "/association/archive/models/other";
    const text = JSON.stringify({ maxTokens: 1 });
    expect((await put(address, otherTeamPath, { text })).status).toBe(403);
    const headers = { authorization: "Bearer wrong" };
    const rejected = await put(address, workspacePath, { text, headers });
    expect(rejected.status).toBe(403);
  });

  test("a reference to a missing object is refused with the line of the reference", async () => {
    const text = workspace.replace('["drafting"]', '["none"]');
    const path = "/association/drafting/workspaces/varese";
    const answer = await put(halfEntries[0]!.address, path, { text });
    expect(answer.status).toBe(422);
    expect(JSON.parse(answer.text).problems[0]).toMatchObject({
      path: "models[0]",
      line: 1,
      message: "/association/drafting/models/none does not exist",
    });
  });

  test("a change against an old version is refused with the current version", async () => {
    const headers = { "if-none-match": "", "if-match": '"1"' };
    const text = workspace;
    const answer = await put(halfEntries[0]!.address, workspacePath, {
      text,
      headers,
    });
    expect(answer.status).toBe(412);
    expect(JSON.parse(answer.text).current.version).toBeGreaterThan(1);
  });

  test("a change that failed before its write can be repeated", async () => {
    const path = "/association/drafting/workspaces/lodi";
    // Sets no call count, because lease renewals would sometimes use it up.
    running.storeFaults.set({ kind: "late", delayMs: 200 });
    // The first call of the change is a list; it fails before the write.
    const failedPut = await put(halfEntries[0]!.address, path, {
      text: workspace,
    });
    running.storeFaults.set({ kind: "none" });
    expect(failedPut.status).toBe(503);
    const retry = await put(halfEntries[0]!.address, path, { text: workspace });
    expect(retry.status).toBe(200);
  });

  test("an object store outage blocks settings changes but not requests or entry starts", async () => {
    running.storeFaults.set({ kind: "down" });
    const { address } = halfEntries[0]!;
    const path = "/association/drafting/workspaces/sondrio";
    const refused = await put(address, path, { text: workspace });
    expect(refused.status).toBe(503);
    expect(refused.text).toContain("nothing was changed");
    expect((await caller.sendChat({ address, ...chat })).kind).toBe("complete");

    const settings: process.EntrySettings = {
      id: "association-entry-8",
      half: "association",
      address: { host: "127.0.0.1", port: 0 },
      controlAddress: { host: "127.0.0.1", port: 0 },
      failureDomain: halfEntries[0]!.failureDomain,
      region: "milan",
      platform: {
        objectStore: "http://127.0.0.1:1",
        instanceList: "http://127.0.0.1:1",
      },
      addressAnswerTtlMs: 100,
      requestBodyLimitBytes: 1024,
      tracing: { exporter: "none" },
      log: { level: "error" },
      operators: [],
    };
    const starting = entry.startEntry(settings, {
      store: running.store,
      instances: {
        list: () =>
          Promise.resolve({
            kind: "listed",
            instances: halfEntries.map((member) => ({
              ...member,
              role: "entry",
              state: "live",
            })),
          }),
      },
    });
    const addedEntry = await starting;
    abort.signal.addEventListener("abort", addedEntry.kill);
    expect(await hasTestWorkspace(addedEntry)).toBe(true);
    expect(
      (await caller.sendChat({ address: addedEntry.address, ...chat })).kind,
    ).toBe("complete");
    running.storeFaults.set({ kind: "none" });

    await addedEntry.stop();
    for (const member of halfEntries) {
      const hasLeft = async () =>
        (await listMembers(member.address)).every(({ id, state }) =>
          id !== settings.id || state === "leaving"
        );
      expect(await poll(hasLeft)).toBe(true);
    }
  });
});
