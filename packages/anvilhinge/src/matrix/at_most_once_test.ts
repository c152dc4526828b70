import type * as faultPlan from "./fault_plan.ts";
import * as simulation from "./simulation.ts";

function runFiling(
  ...planned: readonly faultPlan.PlannedFault[]
): Promise<simulation.SimulationRecord> {
  return simulation.runSimulation({ session: "filing", planned });
}

test("a paused entry that resumes after another entry took over starts nothing", async () => {
  const record = await runFiling({
    fault: "entry_pauses",
    step: "store_write#1",
  });
  expect(record.effects).toHaveLength(1);
  expect(record.submissions.map((send) => send.entry.id)).toEqual(["A", "B"]);
  expect(record.submissions[1]).toMatchObject({ isComplete: true });
});

test("an agent that restarts before the call arrives does not start the call", async () => {
  const record = await runFiling({
    fault: "agent_dies",
    step: "store_write#1",
  });
  expect(record.effects).toHaveLength(1);
  expect(record.starts[0]?.upstreamId).toBe("g1/0");
});

test("an agent that restarts during the call does not lead to a not_run answer", async () => {
  const record = await runFiling({
    fault: "agent_dies",
    step: "frame_accepted#1",
  });
  expect(record.effects).toHaveLength(1);
  expect(record.starts).toHaveLength(1);
  expect(record.submissions[0]?.final?.kind ?? "complete").not.toBe("not_run");
});

test("an answer that was lost after the effect is fetched again from the agent", async () => {
  const record = await runFiling({
    fault: "message_lost",
    step: "frame_end#1",
  });
  expect(record.effects).toHaveLength(1);
  expect(record.submissions[0]).toMatchObject({ isComplete: true });
  expect(record.callOutcome).toMatchObject({
    kind: "finished",
    answer: { status: 201 },
  });
});

test("a call that arrives after the time by which it must start is refused", async () => {
  const record = await runFiling({
    fault: "message_very_late",
    step: "run#1",
  });
  expect(record.effects).toHaveLength(1);
  expect(record.starts.map((start) => start.upstreamId)).toEqual(["g1/0"]);
});

test("a call during an object store outage is answered at once and does not start", async () => {
  const record = await runFiling({ fault: "store_down", step: "store_read#1" });
  const [first] = record.submissions;
  expect(first?.final).toMatchObject({ kind: "unknown", retryAfterMs: 1_000 });
  expect(first?.finalAtMs).toBeLessThan(100);
  // The outage lasts 5 s.
  expect(record.starts.filter(({ atMs }) => atMs < 5_000)).toEqual([]);
  expect(record.effects.length).toBeLessThanOrEqual(1);
});

test("the next entry settles the call of an entry that died after the claim", async () => {
  const record = await runFiling({ fault: "entry_dies", step: "run#1" });
  expect(record.effects).toHaveLength(1);
  expect(record.submissions.at(-1)).toMatchObject({ isComplete: true });
});

test("an entry whose attempt was replaced does not answer not_run", async () => {
  const record = await runFiling(
    { fault: "message_lost", step: "run#1" },
    { fault: "store_down", step: "seal#2" },
  );
  expect(record.effects).toHaveLength(1);
  const finals = record.submissions.map((send) => send.final?.kind);
  expect(finals).not.toContain("not_run");
});
