import type * as faults from "../../stand_ins/faults.ts";
import * as handoverHarness from "../../testing/handover_harness.ts";

const moveTimeoutMs = 40_000;
const moved = { half: "water_board", epoch: 3, state: "serving" } as const;

let harness: handoverHarness.HandoverHarness;

beforeEach(async () => {
  harness = await handoverHarness.createHandoverHarness();
});

afterEach(async () => {
  // Lets the running work end, then checks the invariants of all scenarios.
  harness.storeFaults.set({ kind: "none" });
  await harness.scheduler.advanceAsync(3_000);
  harness.stop();
  await harness.scheduler.advanceAsync(1_500);
  const { stats } = harness;
  expect(stats.violations).toEqual([]);
  expect(stats.interrupted).toBe(0);
  expect(stats.ended).toBe(stats.started);
  expect(stats.started).toBeGreaterThan(0);
});

function hasMoved(): boolean {
  const record = harness.getAssignment();
  return record?.epoch === moved.epoch && record.half === moved.half;
}

function isLeaving(): boolean {
  return harness.getAssignment()?.state === "leaving";
}

/** Waits until the group admits work of its new half. */
async function awaitMove(): Promise<void> {
  expect(await harness.advanceUntil(hasMoved, moveTimeoutMs)).toBe(true);
  await harness.scheduler.advanceAsync(2_000);
  expect(harness.getAssignment()).toMatchObject(moved);
  expect(harness.stats.admitted["water_board 3"]).toBeGreaterThan(0);
}

test("the duty holder creates the first record of a group in the settings", () => {
  expect(harness.history).toEqual([{
    group: handoverHarness.group,
    half: "association",
    epoch: 1,
    state: "serving",
  }]);
});

test("a group moves to the other half and back under load", async () => {
  expect(await harness.move("water_board")).toMatchObject({
    status: 200,
    body: { outcome: "accepted", state: "leaving", epoch: 2 },
  });
  await awaitMove();
  expect(await harness.move("association", { operatorHalf: "water_board" }))
    .toMatchObject({
      status: 200,
    });
  const isBack = () => harness.getAssignment()?.epoch === 5;
  expect(await harness.advanceUntil(isBack, moveTimeoutMs)).toBe(true);
  expect(harness.getAssignment()).toMatchObject({ half: "association" });
});

test("the old half is refused within a second after leaving is written", async () => {
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(1_000);
  const admitted = harness.stats.admitted["association 1"];
  await awaitMove();
  expect(harness.stats.admitted["association 1"]).toBe(admitted);
  expect(harness.stats.refused.leaving).toBeGreaterThan(0);
});

test("only the half that owns a group may move it", async () => {
  const answerToOtherHalf = await harness.move("water_board", {
    operatorHalf: "water_board",
  });
  expect(answerToOtherHalf).toMatchObject({ status: 403 });
  const answerToUnknownToken = await harness.entries[0]!.moves.start(
    { group: handoverHarness.group, to: "water_board" },
    { authorization: "Bearer guess", changeId: "change-00000001" },
  );
  expect(answerToUnknownToken).toMatchObject({ status: 403 });
  expect(harness.getAssignment()).toMatchObject({ epoch: 1, state: "serving" });
});

test("of two concurrent moves, one succeeds and the other gets a conflict", async () => {
  // Both operators read the record before either writes it.
  harness.storeFaults.set({ kind: "slow", delayMs: 50 });
  const moves = [
    harness.move("water_board"),
    harness.move("water_board", { entryIndex: 1 }),
  ];
  await harness.scheduler.advanceAsync(2_000);
  const answers = await Promise.all(moves);
  harness.storeFaults.set({ kind: "none" });
  expect(answers.map((answer) => answer.status).sort()).toEqual([200, 409]);
  const refused = answers.find((answer) => answer.status === 409);
  expect(refused?.body).toMatchObject({
    error: { code: "conflict" },
    current: { state: "leaving", epoch: 2 },
  });
  await awaitMove();
});

test("of a cancellation and a concurrent completion, only one is applied", async () => {
  await harness.move("water_board");
  harness.agents[1]?.setReachable(false);
  await harness.scheduler.advanceAsync(4_000);
  expect(isLeaving()).toBe(true);
  harness.agents[1]?.setReachable(true);
  const cancelled = await harness.move("association");
  expect(cancelled).toMatchObject({ status: 200, body: { epoch: 3 } });
  await harness.scheduler.advanceAsync(10_000);
  expect(harness.getAssignment()).toMatchObject({
    half: "association",
    epoch: 3,
  });
  expect(harness.stats.admitted["association 3"]).toBeGreaterThan(0);
  const repeated = await harness.move("association");
  expect(repeated).toMatchObject({
    status: 200,
    body: { outcome: "unchanged" },
  });
});

test("a move waits for an unreachable agent and reports it", async () => {
  harness.agents[1]?.setReachable(false);
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(moveTimeoutMs);
  expect(isLeaving()).toBe(true);
  for (const entry of harness.entries) {
    const description = entry.moves.describe(handoverHarness.group);
    await harness.scheduler.advanceAsync(100);
    expect(await description).toMatchObject({
      status: 200,
      body: { outcome: "pending", waitingFor: [1] },
    });
  }
  harness.agents[1]?.setReachable(true);
  await awaitMove();
});

test("every entry of both halves forwards a report to the entry in charge", async () => {
  harness.agents[1]?.setReachable(false);
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(3_000);
  const holder = harness.getHolder("association");
  const report = {
    group: handoverHarness.group,
    rank: 0,
    incarnation: "any",
    epoch: 2,
    forwarded: false,
  };
  for (const entry of harness.entries) {
    expect(await entry.duties.report(report)).toBe(true);
    const forwarded = { ...report, forwarded: true };
    expect(await entry.duties.report(forwarded)).toBe(entry === holder);
  }
});

test("another entry takes over from a duty holder that crashes during a move", async () => {
  harness.agents[1]?.setReachable(false);
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(3_000);
  const first = harness.getHolder("association");
  first?.kill();
  harness.agents[1]?.setReachable(true);
  await awaitMove();
  expect(harness.getHolder("association")).not.toBe(first);
});

test("an agent that restarts during a move admits no work of the old half", async () => {
  const [stale] = harness.entries;
  stale?.setStale(true);
  harness.agents[1]?.setReachable(false);
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(3_000);
  // The assignment from the stale entry arrives before the store's answer.
  harness.storeFaults.set({ kind: "slow", delayMs: 500 });
  harness.agents[0]?.restart([stale!]);
  const hasWork = () => harness.agents[0]!.getTable().countRunning() > 0;
  expect(await harness.advanceUntil(hasWork, 2_000)).toBe(false);
  expect(harness.agents[0]?.getTable().getAssignment()).toMatchObject({
    state: "leaving",
  });
  for (const agent of harness.agents) agent.setReachable(true);
  await awaitMove();
});

const faultyWrites: readonly (readonly [string, faults.Fault])[] = [
  "leaving association",
  "serving water_board",
].flatMap((name) =>
  ([
    { kind: "answer_lost" },
    { kind: "late", delayMs: 700 },
    { kind: "down" },
    { kind: "duplicated" },
    { kind: "stall" },
  ] as const).map((fault) => [name, fault] as const)
);

test.each(faultyWrites)(
  "a move completes once although the write of %s has the fault %j",
  async (name, fault) => {
    harness.writeFaults.set(name, fault);
    const pending = harness.move("water_board");
    await harness.scheduler.advanceAsync(3_000);
    const answer = await pending;
    const isRefused = name.startsWith("leaving") && fault.kind === "down";
    expect(answer.status).toBe(isRefused ? 503 : 200);
    // A write that was answered as not applied must indeed not be applied.
    if (isRefused) {
      expect(harness.getAssignment()).toMatchObject({ epoch: 1 });
      await harness.move("water_board");
    }
    await awaitMove();
    expect(harness.history).toHaveLength(3);
  },
);

const phases: readonly (readonly [string, () => boolean])[] = [
  ["before the move", () => true],
  ["when leaving is written", isLeaving],
  [
    "when all ranks have received it",
    () =>
      harness.agents.every((agent) =>
        agent.getTable().getAssignment()?.state === "leaving"
      ),
  ],
  ["when the move is complete", hasMoved],
];

test.each(phases)(
  "a move completes after a store outage that begins %s",
  async (name, isReached) => {
    const isBefore = name === "before the move";
    if (!isBefore) await harness.move("water_board");
    await harness.advanceUntil(isReached, moveTimeoutMs);
    harness.storeFaults.set({ kind: "down" });
    const started = harness.stats.started;
    await harness.scheduler.advanceAsync(15_000);
    if (isBefore) {
      expect(await harness.move("water_board")).toMatchObject({ status: 503 });
      expect(harness.stats.started).toBeGreaterThan(started);
    }
    harness.storeFaults.set({ kind: "none" });
    await harness.scheduler.advanceAsync(12_000);
    if (isBefore) await harness.move("water_board");
    await awaitMove();
  },
);

test.each(phases)(
  "a move completes although one entry of each half has a stale view %s",
  async (_name, isReached) => {
    const [stale] = harness.listEntries("association");
    const [other] = harness.listEntries("water_board");
    if (isReached !== phases[0]?.[1]) await harness.move("water_board");
    await harness.advanceUntil(isReached, moveTimeoutMs);
    stale?.setStale(true);
    other?.setStale(true);
    await harness.move("water_board", { entryIndex: 1 });
    expect(await harness.advanceUntil(hasMoved, moveTimeoutMs)).toBe(true);
    // The stale entries continue to dispatch; their requests are checked too.
    await harness.scheduler.advanceAsync(5_000);
    expect(harness.getAssignment()).toMatchObject(moved);
  },
);
