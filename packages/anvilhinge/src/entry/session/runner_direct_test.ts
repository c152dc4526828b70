import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as sessionDriver from "../../testing/session_driver.ts";
import type * as agentClient from "./agent_client.ts";
import * as runner from "./runner.ts";
import * as session from "./session.ts";

function createRequest(): session.Request {
  return {
    requestId: "r1",
    workspace: "w",
    work: {
      kind: "service",
      service: "s",
      method: "GET",
      path: "/",
      headers: [],
      body: new Uint8Array(),
    },
    isRepeatable: true,
    isNamed: false,
    digest: "",
    priority: 1,
    deadlineAtMs: 1_000,
    delivery: "whole",
  };
}

/** Runs a session whose streams the test feeds. */
function startSession(
  options: Pick<runner.RunOptions, "request" | "sink" | "onObserve"> & {
    readonly reports: string[];
    readonly stallMs?: number;
  },
) {
  const { request, reports, stallMs } = options;
  const scheduler = manualScheduler.createManualScheduler();
  const streams: agentClient.StreamOptions[] = [];
  let attempts = 0;
  const done = runner.runSession({
    request,
    session: session.createSession(request, {
      gate: "none",
      clock: scheduler,
      readWallMs: () => 0,
      createAttemptId: () => `a${++attempts}`,
      chooseUpstream: (attemptedIds) => ({
        kind: "chosen",
        upstream: sessionDriver.createUpstream(attemptedIds.size),
      }),
      takeRetry: () => true,
      maxAttempts: 2,
      stallMs,
    }),
    client: {
      run: (_attempt, stream) => void streams.push(stream),
      resume: () => {},
      seal: () => Promise.resolve("unreachable"),
      cancel: () => {},
    },
    scheduler,
    sink: options.sink,
    callerSignal: new AbortController().signal,
    onDispatch: ({ id }) => void reports.push(`sent ${id}`),
    onObserve: options.onObserve,
  });
  return { scheduler, streams, done };
}

test("without agents, each attempt is reported once at its start and end", async () => {
  const reports: string[] = [];
  const { streams, done } = startSession({
    request: createRequest(),
    reports,
    sink: { head() {}, data() {}, end() {}, answer() {} },
    onObserve: ({ upstream, outcome }) =>
      void reports.push(`${outcome} ${upstream.id}`),
  });
  streams[0]!.onEnd({ kind: "broken", sent: true, message: "reset" });
  const name = { requestId: "r1", attemptId: "a2" };
  const head = { status: 200, headers: [] };
  const frames = [
    { kind: "accepted", incarnation: "", head },
    { kind: "end", frameCount: 2, load: sessionDriver.noLoad },
  ] as const;
  frames.forEach((body, sequence) =>
    streams[1]!.onFrame({ ...name, sequence, body })
  );
  await done;
  expect(reports).toEqual([
    "sent g/0",
    "lost g/0",
    "sent g/1",
    "completed g/1",
  ]);
});

describe("a caller that is behind", () => {
  /** Runs a session whose caller has yet to take the first event. */
  function createBehind() {
    const reports: string[] = [];
    let caughtUp = () => {};
    let isBehind = true;
    const { scheduler, streams, done } = startSession({
      request: { ...createRequest(), delivery: "events" },
      reports,
      stallMs: 100,
      sink: {
        head() {},
        data() {},
        end() {},
        answer: ({ kind }) => void reports.push(`answer ${kind}`),
        flow: {
          isBehind: () => isBehind,
          onceCaughtUp: (listener) => void (caughtUp = listener),
        },
      },
      onObserve: ({ upstream, outcome, cause }) =>
        void reports.push(`${outcome} ${cause} ${upstream.id}`),
    });
    const name = { requestId: "r1", attemptId: "a1" };
    const head = { status: 200, headers: [] };
    const data = Buffer.from("id: 1\n\n");
    [
      { kind: "accepted", incarnation: "", head } as const,
      { kind: "chunk", data } as const,
    ].forEach((body, sequence) =>
      streams[0]!.onFrame({ ...name, sequence, body })
    );
    streams[0]!.flow!.onceCaughtUp(() => {});
    return {
      scheduler,
      reports,
      done,
      catchUp() {
        isBehind = false;
        caughtUp();
      },
    };
  }

  test("does not make its upstream seem stalled or lost", async () => {
    const { scheduler, reports, done } = createBehind();
    scheduler.advance(500);
    expect(reports).toEqual(["sent g/0"]);
    scheduler.advance(500);
    await done;
    expect(reports).toEqual([
      "sent g/0",
      "abandoned deadline g/0",
      "answer deadline_exceeded",
    ]);
  });

  test("has its upstream's silence measured from when it caught up", () => {
    const { scheduler, reports, catchUp } = createBehind();
    scheduler.advance(250);
    catchUp();
    scheduler.advance(99);
    expect(reports).toEqual(["sent g/0"]);
    scheduler.advance(1);
    expect(reports).toEqual(["sent g/0", "sent g/1"]);
  });
});
