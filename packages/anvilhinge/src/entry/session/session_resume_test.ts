import * as clock from "@anvilhinge/coordination/clock";
import type * as frames from "../../ports/frames.ts";
import * as session from "./session.ts";

function createUpstream(rank: number): session.Upstream {
  return {
    id: `drafting-1/${rank}`,
    group: "drafting-1",
    rank,
    address: `127.0.0.1:${rank + 1}`,
    half: "association",
    epoch: 1,
  };
}

function createFrame(
  attemptId: string,
  sequence: number,
  body: frames.FrameBody,
): frames.Frame {
  return { requestId: "request-1", attemptId, sequence, body };
}

test("an attempt whose agent crashes after the first data is not run again", () => {
  let attempts = 0;
  const machine = session.createSession({
    requestId: "request-1",
    workspace: "drafting/milan",
    work: { kind: "model", model: "drafting", body: new Uint8Array() },
    isRepeatable: true,
    isNamed: false,
    digest: "",
    priority: 4,
    deadlineAtMs: 60_000,
    delivery: "streamed",
  }, {
    clock: clock.createManualClock(),
    readWallMs: () => 0,
    createAttemptId: () => `attempt-${attempts++}`,
    chooseUpstream: () => ({
      kind: "chosen",
      upstream: createUpstream(attempts),
    }),
    takeRetry: () => true,
  });
  machine.handle({ kind: "arrived" });
  const dispatched = machine.handle({
    kind: "prepared",
    attemptId: "attempt-0",
    outcome: { kind: "described", incarnation: "a", nowMs: 0 },
  });
  expect(dispatched.map((effect) => effect.kind)).toContain("dispatch");
  // A duplicate `prepared` event is ignored.
  machine.handle({
    kind: "prepared",
    attemptId: "attempt-0",
    outcome: { kind: "described", incarnation: "a", nowMs: 0 },
  });
  machine.handle({
    kind: "frame",
    frame: createFrame("attempt-0", 0, {
      kind: "accepted",
      incarnation: "a",
      head: { status: 200, headers: [] },
    }),
  });
  machine.handle({
    kind: "frame",
    frame: createFrame("attempt-0", 1, {
      kind: "chunk",
      data: new Uint8Array([1]),
    }),
  });
  const effects: session.SessionEffect[] = [];
  for (let lost = 0; lost < 10; lost += 1) {
    effects.push(...machine.handle({
      kind: "lost",
      attemptId: "attempt-0",
      sent: lost === 0,
      message: "connection refused",
    }));
  }
  const kinds = effects.map((effect) => effect.kind);
  expect(kinds).not.toContain("prepare");
  expect(kinds).not.toContain("dispatch");
  expect(effects.at(-1)).toMatchObject({
    kind: "answer",
    answer: { kind: "failed" },
  });
});
