import type * as faults from "../../stand_ins/faults.ts";
import * as handoverWorld from "../../testing/handover_world.ts";

const patienceMs = 40_000;
const moved = { half: "water_board", epoch: 3, state: "serving" } as const;

let world: handoverWorld.HandoverWorld;

beforeEach(async () => {
  world = await handoverWorld.createHandoverWorld();
});

afterEach(async () => {
  // Lets what runs end, then checks what must hold in every scenario.
  world.storeFaults.set({ kind: "none" });
  await world.scheduler.advanceAsync(3_000);
  world.stop();
  await world.scheduler.advanceAsync(1_500);
  const { tally } = world;
  expect(tally.violations).toEqual([]);
  expect(tally.cut).toBe(0);
  expect(tally.ended).toBe(tally.started);
  expect(tally.started).toBeGreaterThan(0);
});

function hasMoved(): boolean {
  const record = world.getRecord();
  return record?.epoch === moved.epoch && record.half === moved.half;
}

function isLeaving(): boolean {
  return world.getRecord()?.state === "leaving";
}

/** Waits until the group works for its new half. */
async function awaitMove(): Promise<void> {
  expect(await world.advanceUntil(hasMoved, patienceMs)).toBe(true);
  await world.scheduler.advanceAsync(2_000);
  expect(world.getRecord()).toMatchObject(moved);
  expect(world.tally.admitted["water_board 3"]).toBeGreaterThan(0);
}

test("the duty holder creates the record of a group from the settings", () => {
  expect(world.history).toEqual([{
    group: handoverWorld.group,
    half: "association",
    epoch: 1,
    state: "serving",
  }]);
});

test("a move goes from one half to the other under load, and back", async () => {
  expect(await world.move("water_board")).toMatchObject({
    status: 200,
    body: { outcome: "accepted", state: "leaving", epoch: 2 },
  });
  await awaitMove();
  expect(await world.move("association", { by: "water_board" })).toMatchObject({
    status: 200,
  });
  const isBack = () => world.getRecord()?.epoch === 5;
  expect(await world.advanceUntil(isBack, patienceMs)).toBe(true);
  expect(world.getRecord()).toMatchObject({ half: "association" });
});

test("once leaving is in force, the old half is refused within a second", async () => {
  await world.move("water_board");
  await world.scheduler.advanceAsync(1_000);
  const admitted = world.tally.admitted["association 1"];
  await awaitMove();
  expect(world.tally.admitted["association 1"]).toBe(admitted);
  expect(world.tally.refused.leaving).toBeGreaterThan(0);
});

test("only the half that has the group may give it away", async () => {
  const taken = await world.move("water_board", { by: "water_board" });
  expect(taken).toMatchObject({ status: 403 });
  const unknown = await world.entries[0]!.moves.start(
    { group: handoverWorld.group, to: "water_board" },
    { authorization: "Bearer guess", changeId: "change-00000001" },
  );
  expect(unknown).toMatchObject({ status: 403 });
  expect(world.getRecord()).toMatchObject({ epoch: 1, state: "serving" });
});

test("of two operators who race, one wins and the other sees a conflict", async () => {
  // Each has read the record before either has written it.
  world.storeFaults.set({ kind: "slow", delayMs: 50 });
  const asked = [
    world.move("water_board"),
    world.move("water_board", { at: 1 }),
  ];
  await world.scheduler.advanceAsync(2_000);
  const answers = await Promise.all(asked);
  world.storeFaults.set({ kind: "none" });
  expect(answers.map((answer) => answer.status).sort()).toEqual([200, 409]);
  const refused = answers.find((answer) => answer.status === 409);
  expect(refused?.body).toMatchObject({
    error: { code: "conflict" },
    current: { state: "leaving", epoch: 2 },
  });
  await awaitMove();
});

test("a cancel races with the completion: one of them wins", async () => {
  await world.move("water_board");
  world.agents[1]?.setReachable(false);
  await world.scheduler.advanceAsync(4_000);
  expect(isLeaving()).toBe(true);
  world.agents[1]?.setReachable(true);
  const cancelled = await world.move("association");
  expect(cancelled).toMatchObject({ status: 200, body: { epoch: 3 } });
  await world.scheduler.advanceAsync(10_000);
  expect(world.getRecord()).toMatchObject({ half: "association", epoch: 3 });
  expect(world.tally.admitted["association 3"]).toBeGreaterThan(0);
  const late = await world.move("association");
  expect(late).toMatchObject({ status: 200, body: { outcome: "unchanged" } });
});

test("a move waits for an agent that is unreachable, and says so", async () => {
  world.agents[1]?.setReachable(false);
  await world.move("water_board");
  await world.scheduler.advanceAsync(patienceMs);
  expect(isLeaving()).toBe(true);
  for (const entry of world.entries) {
    const shown = entry.moves.describe(handoverWorld.group);
    await world.scheduler.advanceAsync(100);
    expect(await shown).toMatchObject({
      status: 200,
      body: { outcome: "pending", waitingFor: [1] },
    });
  }
  world.agents[1]?.setReachable(true);
  await awaitMove();
});

test("any entry of either half passes a report on to the one in charge", async () => {
  world.agents[1]?.setReachable(false);
  await world.move("water_board");
  await world.scheduler.advanceAsync(3_000);
  const holder = world.getHolder("association");
  const report = {
    group: handoverWorld.group,
    rank: 0,
    incarnation: "any",
    epoch: 2,
    forwarded: false,
  };
  for (const entry of world.entries) {
    expect(await entry.duties.report(report)).toBe(true);
    const forwarded = { ...report, forwarded: true };
    expect(await entry.duties.report(forwarded)).toBe(entry === holder);
  }
});

test("a holder that dies in the middle is followed by another", async () => {
  world.agents[1]?.setReachable(false);
  await world.move("water_board");
  await world.scheduler.advanceAsync(3_000);
  const first = world.getHolder("association");
  first?.kill();
  world.agents[1]?.setReachable(true);
  await awaitMove();
  expect(world.getHolder("association")).not.toBe(first);
});

test("an agent that restarts while leaving admits nothing of the old half", async () => {
  const [stale] = world.entries;
  stale?.setStale(true);
  world.agents[1]?.setReachable(false);
  await world.move("water_board");
  await world.scheduler.advanceAsync(3_000);
  // The stale entry's word arrives before the answer of the store.
  world.storeFaults.set({ kind: "slow", delayMs: 500 });
  world.agents[0]?.restart([stale!]);
  const hasWork = () => world.agents[0]!.getTable().countRunning() > 0;
  expect(await world.advanceUntil(hasWork, 2_000)).toBe(false);
  expect(world.agents[0]?.getTable().getAssignment()).toMatchObject({
    state: "leaving",
  });
  for (const agent of world.agents) agent.setReachable(true);
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
  world.faultsOfWrites.set(name, fault);
  const asked = world.move("water_board");
  await world.scheduler.advanceAsync(3_000);
  const answer = await asked;
  const isRefused = name.startsWith("leaving") && fault.kind === "down";
  expect(answer.status).toBe(isRefused ? 503 : 200);
  // What was told as not changed has indeed not changed.
  if (isRefused) {
    expect(world.getRecord()).toMatchObject({ epoch: 1 });
    await world.move("water_board");
  }
  await awaitMove();
  expect(world.history).toHaveLength(3);
});

const phases: readonly (readonly [string, () => boolean])[] = [
  ["before the move", () => true],
  ["when leaving is written", isLeaving],
  [
    "when all ranks know it",
    () =>
      world.agents.every((agent) =>
        agent.getTable().getAssignment()?.state === "leaving"
      ),
  ],
  ["when the move is done", hasMoved],
];

test.each(phases)("the store goes away %s", async (name, hasBegun) => {
  const isBefore = name === "before the move";
  if (!isBefore) await world.move("water_board");
  await world.advanceUntil(hasBegun, patienceMs);
  world.storeFaults.set({ kind: "down" });
  const started = world.tally.started;
  await world.scheduler.advanceAsync(15_000);
  if (isBefore) {
    expect(await world.move("water_board")).toMatchObject({ status: 503 });
    expect(world.tally.started).toBeGreaterThan(started);
  }
  world.storeFaults.set({ kind: "none" });
  await world.scheduler.advanceAsync(12_000);
  if (isBefore) await world.move("water_board");
  await awaitMove();
});

test.each(phases)(
  "entries keep the view they had %s",
  async (_name, hasBegun) => {
    const [stale] = world.listOf("association");
    const [other] = world.listOf("water_board");
    if (hasBegun !== phases[0]?.[1]) await world.move("water_board");
    await world.advanceUntil(hasBegun, patienceMs);
    stale?.setStale(true);
    other?.setStale(true);
    await world.move("water_board", { at: 1 });
    expect(await world.advanceUntil(hasMoved, patienceMs)).toBe(true);
    // The stale entries go on sending; the invariants are checked for each.
    await world.scheduler.advanceAsync(5_000);
    expect(world.getRecord()).toMatchObject(moved);
  },
);
