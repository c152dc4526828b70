import * as clock from "../clock.ts";
import type * as work from "./work.ts";
import * as workClient from "./work_client.ts";

const slots = 4;

function createSetup({ entries = 2 }: { readonly entries?: number } = {}) {
  const manual = clock.createManualClock();
  const client = workClient.createWorkClient({
    clock: manual,
    random: () => 0.5,
    entryId: "e1",
    failureDomain: "a",
    countEntries: () => entries,
  });
  client.setUpstreams([
    { id: "u1", pool: "p", failureDomain: "a", slots },
    { id: "u2", pool: "p", failureDomain: "b", slots },
  ]);
  function ask(
    key: string,
    options: Partial<workClient.SlotRequest> = {},
  ): void {
    client.requestSlot({
      key,
      pool: "p",
      priority: 1,
      workspace: "w",
      promptTokens: 100,
      answerTokens: 100,
      aimLeftMs: 300,
      leftMs: 8_000,
      avoided: [],
      ...options,
    });
  }
  return { client, manual, ask };
}

function createDecisions(
  sequence: number,
  options: Partial<work.Decisions> = {},
): work.Decisions {
  return { sequence, grants: [], denials: [], ...options };
}

test("tells the hub of all that waits, with its age and what is left", () => {
  const { client, manual, ask } = createSetup();
  ask("k1");
  manual.advance(50);
  expect(client.buildState()).toMatchObject({
    entryId: "e1",
    sequence: 1,
    running: [],
    waiting: [{ key: "k1", ageMs: 50, aimLeftMs: 250, leftMs: 7_950 }],
  });
});

test("takes each decision of the hub once", () => {
  const { client, ask } = createSetup();
  ask("k1");
  ask("k2");
  client.buildState();
  const decisions = createDecisions(1, {
    grants: [{ key: "k1", upstreamId: "u1" }],
    denials: [{ key: "k2", retryAfterMs: 400 }],
  });
  expect(client.receive(decisions)).toEqual([
    { kind: "granted", key: "k1", upstreamId: "u1", by: "hub" },
    { kind: "denied", key: "k2", retryAfterMs: 400, by: "hub" },
  ]);
  // Decisions are repeated until a state shows that they arrived.
  expect(client.receive(decisions)).toEqual([]);
  expect(client.hasWaiting()).toBe(false);
});

test("waits for a hub that answers, however long that takes", () => {
  const { client, manual, ask } = createSetup();
  ask("k1");
  for (let spentMs = 0; spentMs < 1_000; spentMs += 50) {
    client.receive(createDecisions(client.buildState().sequence));
    manual.advance(50);
    expect(client.tick()).toEqual([]);
  }
});

test("uses its share of the places, and no more, without a hub", () => {
  const { client, manual, ask } = createSetup({ entries: 2 });
  for (let nth = 0; nth < 6; nth += 1) ask(`k${nth}`);
  manual.advance(79);
  expect(client.tick()).toEqual([]);
  manual.advance(1);
  const granted = client.tick().flatMap((event) =>
    event.kind === "granted" ? [`${event.upstreamId} by ${event.by}`] : []
  );
  // The share of one entry of two: half of the eight places, in one tick.
  expect(granted.sort()).toEqual([
    "u1 by share",
    "u1 by share",
    "u2 by share",
    "u2 by share",
  ]);
  expect(client.tick()).toEqual([]);
  client.drop("k0");
  expect(client.tick()).toHaveLength(1);
});

test("refuses what got no place in time, with a time to come back", () => {
  const { client, manual, ask } = createSetup({ entries: 100 });
  client.recordStart({
    key: "r",
    upstreamId: "u1",
    workspace: "w",
    promptTokens: 1,
  });
  ask("short", { leftMs: 200 });
  ask("long");
  manual.advance(200);
  expect(client.tick()).toEqual([
    { kind: "denied", key: "short", retryAfterMs: 450, by: "share" },
  ]);
  manual.advance(1_300);
  expect(client.tick()).toMatchObject([{ kind: "denied", key: "long" }]);
});

test("a request that left asks for nothing and frees its place", () => {
  const { client, ask } = createSetup();
  ask("k1");
  client.recordStart({
    key: "r",
    upstreamId: "u1",
    workspace: "w",
    promptTokens: 1,
  });
  client.drop("k1");
  client.drop("r");
  expect(client.buildState()).toMatchObject({ waiting: [], running: [] });
});

test("tells the median pause of a pool once there are three", () => {
  const { client } = createSetup();
  client.recordPause("p", 90);
  client.recordPause("p", 40);
  expect(client.buildState().passes).toEqual([]);
  client.recordPause("p", 50);
  expect(client.buildState().passes).toEqual([{ pool: "p", passMs: 50 }]);
  expect(client.buildState().passes).toEqual([]);
});
