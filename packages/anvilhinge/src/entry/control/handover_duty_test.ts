import type * as faults from "../../stand_ins/faults.ts";
import * as handoverHarness from "../../testing/handover_harness.ts";

const patienceMs = 40_000;
const moved = { half: "water_board", epoch: 3, state: "serving" } as const;

let harness: handoverHarness.HandoverHarness;

beforeEach(async () => {
  harness = await handoverHarness.createHandoverHarness();
});

afterEach(async () => {
  // Lets what runs end, then checks what must hold in every scenario.
  harness.storeFaults.set({ kind: "none" });
  await harness.scheduler.advanceAsync(3_000);
  harness.stop();
  await harness.scheduler.advanceAsync(1_500);
  const { stats: tally } = harness;
  expect(tally.violations).toEqual([]);
  expect(tally.interrupted).toBe(0);
  expect(tally.ended).toBe(tally.started);
  expect(tally.started).toBeGreaterThan(0);
});

function hasMoved(): boolean {
  const record = harness.getAssignment();
  return record?.epoch === moved.epoch && record.half === moved.half;
}

function isLeaving(): boolean {
  return harness.getAssignment()?.state === "leaving";
}

/** Waits until the group works for its new half. */
async function awaitMove(): Promise<void> {
  expect(await harness.advanceUntil(hasMoved, patienceMs)).toBe(true);
  await harness.scheduler.advanceAsync(2_000);
  expect(harness.getAssignment()).toMatchObject(moved);
  expect(harness.stats.admitted["water_board 3"]).toBeGreaterThan(0);
}

test("the duty holder creates the record of a group from the settings", () => {
  expect(harness.history).toEqual([{
    group: handoverHarness.group,
    half: "association",
    epoch: 1,
    state: "serving",
  }]);
});

test("a move goes from one half to the other under load, and back", async () => {
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
  expect(await harness.advanceUntil(isBack, patienceMs)).toBe(true);
  expect(harness.getAssignment()).toMatchObject({ half: "association" });
});

test("once leaving is in force, the old half is refused within a second", async () => {
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(1_000);
  const admitted = harness.stats.admitted["association 1"];
  await awaitMove();
  expect(harness.stats.admitted["association 1"]).toBe(admitted);
  expect(harness.stats.refused.leaving).toBeGreaterThan(0);
});

test("only the half that has the group may give it away", async () => {
  const taken = await harness.move("water_board", {
    operatorHalf: "water_board",
  });
  expect(taken).toMatchObject({ status: 403 });
  const unknown = await harness.entries[0]!.moves.start(
    { group: handoverHarness.group, to: "water_board" },
    { authorization: "Bearer guess", changeId: "change-00000001" },
  );
  expect(unknown).toMatchObject({ status: 403 });
  expect(harness.getAssignment()).toMatchObject({ epoch: 1, state: "serving" });
});

test("of two operators who race, one wins and the other sees a conflict", async () => {
  // Each has read the record before either has written it.
  harness.storeFaults.set({ kind: "slow", delayMs: 50 });
  const asked = [
    harness.move("water_board"),
    harness.move("water_board", { entryIndex: 1 }),
  ];
  await harness.scheduler.advanceAsync(2_000);
  const answers = await Promise.all(asked);
  harness.storeFaults.set({ kind: "none" });
  expect(answers.map((answer) => answer.status).sort()).toEqual([200, 409]);
  const refused = answers.find((answer) => answer.status === 409);
  expect(refused?.body).toMatchObject({
    error: { code: "conflict" },
    current: { state: "leaving", epoch: 2 },
  });
  await awaitMove();
});

test("a cancel races with the completion: one of them wins", async () => {
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
  const late = await harness.move("association");
  expect(late).toMatchObject({ status: 200, body: { outcome: "unchanged" } });
});

test("a move waits for an agent that is unreachable, and says so", async () => {
  harness.agents[1]?.setReachable(false);
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(patienceMs);
  expect(isLeaving()).toBe(true);
  for (const entry of harness.entries) {
    const shown = entry.moves.describe(handoverHarness.group);
    await harness.scheduler.advanceAsync(100);
    expect(await shown).toMatchObject({
      status: 200,
      body: { outcome: "pending", waitingFor: [1] },
    });
  }
  harness.agents[1]?.setReachable(true);
  await awaitMove();
});

test("any entry of either half passes a report on to the one in charge", async () => {
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

test("a holder that dies in the middle is followed by another", async () => {
  harness.agents[1]?.setReachable(false);
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(3_000);
  const first = harness.getHolder("association");
  first?.kill();
  harness.agents[1]?.setReachable(true);
  await awaitMove();
  expect(harness.getHolder("association")).not.toBe(first);
});

test("an agent that restarts while leaving admits nothing of the old half", async () => {
  const [stale] = harness.entries;
  stale?.setStale(true);
  harness.agents[1]?.setReachable(false);
  await harness.move("water_board");
  await harness.scheduler.advanceAsync(3_000);
  // The stale entry's word arrives before the answer of the store.
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

const lostWrites: readonly (readonly [string, faults.Fault])[] = [
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

test.each(lostWrites)("write of %s under the fault %j", async (name, fault) => {
  harness.writeFaults.set(name, fault);
  const asked = harness.move("water_board");
  await harness.scheduler.advanceAsync(3_000);
  const answer = await asked;
  const isRefused = name.startsWith("leaving") && fault.kind === "down";
  expect(answer.status).toBe(isRefused ? 503 : 200);
  // What was told as not changed has indeed not changed.
  if (isRefused) {
    expect(harness.getAssignment()).toMatchObject({ epoch: 1 });
    await harness.move("water_board");
  }
  await awaitMove();
  expect(harness.history).toHaveLength(3);
});

const phases: readonly (readonly [string, () => boolean])[] = [
  ["before the move", () => true],
  ["when leaving is written", isLeaving],
  [
    "when all ranks know it",
    () =>
      harness.agents.every((agent) =>
        agent.getTable().getAssignment()?.state === "leaving"
      ),
  ],
  ["when the move is done", hasMoved],
];

test.each(phases)("the store goes away %s", async (name, hasBegun) => {
  const isBefore = name === "before the move";
  if (!isBefore) await harness.move("water_board");
  await harness.advanceUntil(hasBegun, patienceMs);
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
});

test.each(phases)(
  "entries keep the view they had %s",
  async (_name, hasBegun) => {
    const [stale] = harness.listEntries("association");
    const [other] = harness.listEntries("water_board");
    if (hasBegun !== phases[0]?.[1]) await harness.move("water_board");
    await harness.advanceUntil(hasBegun, patienceMs);
    stale?.setStale(true);
    other?.setStale(true);
    await harness.move("water_board", { entryIndex: 1 });
    expect(await harness.advanceUntil(hasMoved, patienceMs)).toBe(true);
    // The stale entries go on sending; the invariants are checked for each.
    await harness.scheduler.advanceAsync(5_000);
    expect(harness.getAssignment()).toMatchObject(moved);
  },
);
