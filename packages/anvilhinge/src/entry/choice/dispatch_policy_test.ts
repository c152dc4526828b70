import * as stream from "node:stream";
import * as logger from "../../telemetry/logger.ts";
import * as metrics from "../../telemetry/metrics.ts";
import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as sessionDriver from "../../testing/session_driver.ts";
import type * as agentClient from "../session/agent_client.ts";
import type * as session from "../session/session.ts";
import * as sessionCore from "../session/session_core.ts";
import * as dispatchPolicy from "./dispatch_policy.ts";

const location = { failureDomain: "milan_a", region: "lombardy" };
const request: session.Request = {
  requestId: "r1",
  workspace: "w",
  work: { kind: "model", model: "drafting", body: new Uint8Array() },
  isRepeatable: true,
  isNamed: false,
  digest: "",
  priority: 1,
  deadlineAtMs: 60_000,
  delivery: "streamed",
};

/** Starts a request at a policy of two upstreams. */
function startRequest() {
  const scheduler = manualScheduler.createManualScheduler();
  const log = new stream.PassThrough();
  const policy = dispatchPolicy.createDispatchPolicy({
    scheduler,
    random: () => 0.5,
    nodeId: "entry-1",
    location,
    signal: new AbortController().signal,
    findLimits: () => undefined,
    listMembers: () => [],
    logger: logger.createLogger({
      component: "entry",
      level: "info",
      stream: log,
    }),
    metrics: metrics.createMetrics(),
  });
  for (const group of ["group-0", "group-1"]) {
    const agent = `127.0.0.1:${group.at(-1)}`;
    policy.upstreams.setGroup({
      name: group,
      kind: "model",
      serves: "drafting",
      ranks: [{ agent, ...location }],
    });
    const half = "association";
    const state = "serving";
    policy.upstreams.setAssignment({ group, half, epoch: 1, state });
  }
  const requestPolicy = policy.startRequest(request, {
    need: { half: "association", kind: "model", serves: "drafting" },
    isAdmitted: false,
  });
  return { scheduler, log, policy, requestPolicy };
}

/** Streams that a policy has opened at its upstreams, by upstream id. */
function watchStreams(requestPolicy: dispatchPolicy.RequestPolicy) {
  const streams = new Map<string, agentClient.StreamOptions>();
  const client = requestPolicy.watchFrames({
    describe: () => Promise.resolve("unreachable"),
    run: (_attempt, opened) => void streams.set(opened.upstreamId, opened),
    resume() {},
    seal: () => Promise.resolve("unreachable"),
    cancel() {},
  });

  function dispatch(upstream: session.Upstream): void {
    requestPolicy.recordDispatch(upstream);
    client.run({} as Parameters<typeof client.run>[0], {
      upstreamId: upstream.id,
      address: upstream.address,
      signal: new AbortController().signal,
      onFrame() {},
      onEnd() {},
    });
  }

  function receive(upstreamId: string, sequence: number): void {
    streams.get(upstreamId)?.onFrame({
      requestId: "r1",
      attemptId: "a1",
      sequence,
      body: sessionDriver.createChunk("x"),
    });
  }

  return { dispatch, receive };
}

test("an upstream is ejected for a stall before a session ends the attempt for it", () => {
  const { scheduler, log, requestPolicy } = startRequest();
  const { dispatch, receive } = watchStreams(requestPolicy);
  const choice = requestPolicy.chooseUpstream(new Set());
  if (choice.kind !== "chosen") throw new Error(choice.kind);
  const { upstream } = choice;
  dispatch(upstream);
  // A gap so long that the deadline is as late as it can be.
  scheduler.advance(2_100);
  receive(upstream.id, 1);
  scheduler.advance(sessionCore.defaultStallMs);
  requestPolicy.recordOutcome({
    kind: "observe",
    upstream,
    outcome: "lost",
    cause: "stalled",
  });
  scheduler.advance(1_000);
  expect(String(log.read())).toContain(
    `Ejected upstream ${upstream.id}: stall`,
  );
  requestPolicy.end();
});

test("progress of a stalled attempt does not count for its replacement", () => {
  const { scheduler, log, requestPolicy } = startRequest();
  const { dispatch, receive } = watchStreams(requestPolicy);
  const upstreams: session.Upstream[] = [];
  for (let count = 0; count < 2; count += 1) {
    const ids = new Set(upstreams.map(({ id }) => id));
    const choice = requestPolicy.chooseUpstream(ids);
    if (choice.kind !== "chosen") throw new Error(choice.kind);
    upstreams.push(choice.upstream);
    dispatch(choice.upstream);
  }
  const [stalled, replacement] = upstreams;
  for (let seconds = 0; seconds < 8; seconds += 1) {
    scheduler.advance(1_000);
    receive(stalled!.id, seconds);
  }
  const written = String(log.read());
  expect(written).toContain(`Ejected upstream ${replacement!.id}: stall`);
  expect(written).not.toContain(`Ejected upstream ${stalled!.id}`);
  requestPolicy.end();
});
