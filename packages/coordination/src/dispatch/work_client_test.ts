import * as clock from "../clock.ts";
import type * as work from "./work.ts";
import * as workClient from "./work_client.ts";

const slots = 4;

function createSetup({ entries = 2, entryIndex = 0, isKnownToHub }: {
  readonly entries?: number;
  readonly entryIndex?: number;
  readonly isKnownToHub?: (upstreamId: string) => boolean;
} = {}) {
  const manual = clock.createManualClock();
  const suspension = clock.createManualClock();
  const client = workClient.createWorkClient({
    clock: manual,
    elapsed: { now: () => manual.now() + suspension.now() },
    random: () => 0.5,
    entryId: "e1",
    failureDomain: "a",
    countEntries: () => entries,
    getEntryIndex: () => entryIndex,
    isKnownToHub,
  });
  client.setUpstreams([
    { id: "u1", pool: "p", failureDomain: "a", slots },
    { id: "u2", pool: "p", failureDomain: "b", slots },
  ]);
  function requestSlot(
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
  return { client, manual, suspension, requestSlot };
}

function createDecisions(
  sequence: number,
  options: Partial<work.Decisions> = {},
): work.Decisions {
  return { sequence, grants: [], denials: [], ...options };
}

test("reports waiting requests with their age and the time left", () => {
  const { client, manual, requestSlot } = createSetup();
  requestSlot("k1");
  manual.advance(50);
  expect(client.buildState()).toMatchObject({
    entryId: "e1",
    sequence: 1,
    running: [],
    waiting: [{ key: "k1", ageMs: 50, aimLeftMs: 250, leftMs: 7_950 }],
  });
});

test("applies each decision of the hub once", () => {
  const { client, requestSlot } = createSetup();
  requestSlot("k1");
  requestSlot("k2");
  client.buildState();
  const decisions = createDecisions(1, {
    grants: [{ key: "k1", upstreamId: "u1" }],
    denials: [{ key: "k2", retryAfterMs: 400 }],
  });
  expect(client.receive(decisions)).toEqual([
    { kind: "granted", key: "k1", upstreamId: "u1", by: "hub" },
    { kind: "denied", key: "k2", retryAfterMs: 400, by: "hub" },
  ]);
  // The hub repeats decisions until a state acknowledges them.
  expect(client.receive(decisions)).toEqual([]);
  expect(client.hasWaiting()).toBe(false);
});

test("does not decide on requests itself while the hub keeps answering", () => {
  const { client, manual, requestSlot } = createSetup();
  requestSlot("k1");
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 50) {
    client.receive(createDecisions(client.buildState().sequence));
    manual.advance(50);
    expect(client.tick()).toEqual([]);
  }
});

test("uses its share of an upstream that the hub does not know", () => {
  const { client, manual, requestSlot } = createSetup({
    isKnownToHub: (id) => id !== "u2",
  });
  for (const key of ["k1", "k2", "k3"]) requestSlot(key);
  client.buildState();
  const denial = { key: "k1", retryAfterMs: 400 };
  // A refusal by a hub that can't know of the upstream's slots is not final.
  const granted = { kind: "granted", upstreamId: "u2", by: "share" };
  expect(client.receive(createDecisions(1, { denials: [denial] })))
    .toEqual([{ ...granted, key: "k1" }]);
  manual.advance(80);
  client.receive(createDecisions(1));
  expect(client.tick()).toEqual([{ ...granted, key: "k2" }]);
  const refusal = { key: "k3", retryAfterMs: 400 };
  expect(client.receive(createDecisions(1, { denials: [refusal] })))
    .toEqual([{ kind: "denied", ...refusal, by: "hub" }]);
});

test.each([1, 2, 3, 5, 7, 8, 21])(
  "each slot that the hub does not know belongs to one of %d entries",
  (entries) => {
    const granted = new Map<string, number>();
    for (let entryIndex = 0; entryIndex < entries; entryIndex += 1) {
      const { client, manual, requestSlot } = createSetup({
        entries,
        entryIndex,
        isKnownToHub: () => false,
      });
      for (let count = 0; count < 3 * slots; count += 1) {
        requestSlot(`k${count}`);
      }
      client.buildState();
      manual.advance(80);
      client.receive(createDecisions(1));
      for (const event of client.tick()) {
        if (event.kind === "denied") throw new Error("Unexpected refusal");
        const { upstreamId } = event;
        granted.set(upstreamId, (granted.get(upstreamId) ?? 0) + 1);
      }
    }
    expect([...granted].sort()).toEqual([["u1", slots], ["u2", slots]]);
  },
);

test("uses at most its share of the slots without a hub", () => {
  const { client, manual, requestSlot } = createSetup({ entries: 2 });
  for (let nth = 0; nth < 6; nth += 1) requestSlot(`k${nth}`);
  manual.advance(79);
  expect(client.tick()).toEqual([]);
  manual.advance(1);
  const granted = client.tick().flatMap((event) =>
    event.kind === "granted" ? [`${event.upstreamId} by ${event.by}`] : []
  );
  // One of two entries: half of the eight slots, granted in one tick.
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

test("refuses requests that get no slot in time, with a retry delay", () => {
  const { client, manual, requestSlot } = createSetup({ entries: 100 });
  client.recordStart({
    key: "r",
    upstreamId: "u1",
    workspace: "w",
    promptTokens: 1,
  });
  requestSlot("short", { leftMs: 200 });
  requestSlot("long");
  manual.advance(200);
  expect(client.tick()).toEqual([
    { kind: "denied", key: "short", retryAfterMs: 450, by: "share" },
  ]);
  manual.advance(1_300);
  expect(client.tick()).toMatchObject([{ kind: "denied", key: "long" }]);
});

test("a dropped request is no longer reported and frees its slot", () => {
  const { client, requestSlot } = createSetup();
  requestSlot("k1");
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

test("reports the median gap of a pool after three gaps", () => {
  const { client } = createSetup();
  client.recordGap("p", 90);
  client.recordGap("p", 40);
  expect(client.buildState().passes).toEqual([]);
  client.recordGap("p", 50);
  expect(client.buildState().passes).toEqual([{ pool: "p", passMs: 50 }]);
  expect(client.buildState().passes).toEqual([]);
});

test("without a hub, requests no upstream with a rate limit", () => {
  const { client, manual, requestSlot } = createSetup();
  client.receive(createDecisions(0, {
    rateLimits: {
      hash: 1,
      reports: [{ upstreamId: "u1", requestsPerSecond: 2, ageMs: 0 }],
    },
  }));
  expect(client.hasHub()).toBe(true);
  manual.advance(1_000);
  expect(client.hasHub()).toBe(false);
  requestSlot("k1");
  requestSlot("k2", { avoided: ["u2"] });
  manual.advance(100);
  expect(client.tick()).toEqual([
    { kind: "granted", key: "k1", upstreamId: "u2", by: "share" },
  ]);
  manual.advance(1_500);
  expect(client.tick()).toMatchObject([{ kind: "denied", key: "k2" }]);
});

test.each(["manual", "suspension"] as const)(
  "does not act on a grant that it receives after a pause (%s clock)",
  (paused) => {
    const setup = createSetup();
    const { client, requestSlot } = setup;
    requestSlot("k1");
    const { sequence } = client.buildState();
    const grants = [{ key: "k1", upstreamId: "u1" }];
    setup[paused].advance(4_000);
    expect(client.receive(createDecisions(sequence, { grants }))).toEqual([]);
    expect(client.hasWaiting()).toBe(true);
    const renewed = client.buildState().sequence;
    expect(client.receive(createDecisions(renewed, { grants }))).toEqual([
      { kind: "granted", key: "k1", upstreamId: "u1", by: "hub" },
    ]);
  },
);
