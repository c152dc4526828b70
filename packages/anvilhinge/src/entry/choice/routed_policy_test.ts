import * as stream from "node:stream";
import type * as routing from "../../settings/routing.ts";
import * as logger from "../../telemetry/logger.ts";
import * as manualScheduler from "../../testing/manual_scheduler.ts";
import type * as session from "../session/session.ts";
import * as routedPolicy from "./routed_policy.ts";
import type * as slotCoordinator from "./slot_coordinator.ts";

const engine: routing.EngineSpec = {
  slots: 1,
  memoryTokens: 1_000,
  stepsPerPass: 6,
  stepMs: 5,
  perSequenceMs: 0.5,
  contextMsPerKilotoken: 0,
  prefillTokensPerMs: 75,
  prefillChunkTokens: 512,
  usualPromptTokens: 800,
  usualAnswerTokens: 150,
  reportLagMs: 200,
  experts: undefined,
};

function createRoute(service: string): routing.Route {
  return {
    name: service,
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    targets: [{ service, weight: 1 }],
    maxUpstreams: 2,
    timeoutMs: 8_000,
    latencyTargetMs: 400,
    gapTargetMs: 120,
    priority: 1,
    isPublic: false,
    isResumable: true,
  };
}

function createListed(
  id: string,
  options: Partial<routing.ListedUpstream> = {},
): routing.ListedUpstream {
  return {
    id,
    service: "models",
    address: `10.0.0.1:${id.slice(1)}`,
    failureDomain: "a",
    slots: 1,
    state: "serving",
    startedAtMs: 1,
    ...options,
  };
}

const settings: routing.RoutingSettings = {
  version: 1,
  routes: [createRoute("models"), createRoute("registry")],
  services: [
    { name: "models", healthPath: "/", maxConnections: 10, engine },
    {
      name: "registry",
      healthPath: "/",
      maxConnections: 10,
      engine: undefined,
    },
  ],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  workspaces: [],
};

function createPolicy(
  upstreams: readonly routing.ListedUpstream[],
  { isHub = true, send = () => {} }: {
    readonly isHub?: boolean;
    /** Called with each message to another entry. */
    readonly send?: (message: unknown) => void;
  } = {},
) {
  const scheduler = manualScheduler.createManualScheduler();
  const abort = new AbortController();
  const policy = routedPolicy.createRoutedPolicy({
    entryId: "e1",
    failureDomain: "a",
    members: {
      getHub: () => ({ id: "e1", address: "10.0.0.9:1" }),
      isHub: () => isHub,
      countEntries: () => isHub ? 1 : 2,
      getEntryIndex: () => 0,
      computeReachableShare: () => 1,
    },
    retries: { share: 0.2, extra: 20, windowMs: 10_000 },
    scheduler,
    elapsed: scheduler,
    random: () => 0.5,
    logger: logger.createLogger({
      component: "entry",
      level: "error",
      stream: new stream.PassThrough(),
    }),
    metrics: {
      recordRetry() {},
      recordDecision() {},
      recordLimitedDispatch() {},
    },
    sockets: { send },
    openEngine: () => ({ sendOrder: () => Promise.resolve("refused") }),
    signal: abort.signal,
  });
  policy.setRouting(settings);
  policy.setUpstreams(upstreams);

  function start(requestId: string, service = "models") {
    const decisions: string[] = [];
    const requestPolicy = policy.startRequest({
      requestId,
      service,
      route: createRoute(service),
      workspace: "w",
      priority: 1,
      size: undefined,
      deadlineAtMs: scheduler.now() + 8_000,
    }, (event) => {
      if (event.kind === "denied") return void decisions.push("denied");
      decisions.push(event.upstream.id);
      requestPolicy.recordDispatch(event.upstream);
    });
    return { requestPolicy, decisions };
  }

  return { policy, scheduler, start };
}

function createUpstream(id: string): session.Upstream {
  return { id, group: "", rank: 0, address: "", half: "", epoch: 0 };
}

test("the next attempt may request a slot before the last outcome is recorded", () => {
  const { scheduler, start } = createPolicy([
    createListed("u1"),
    createListed("u2"),
  ]);
  const { requestPolicy, decisions } = start("r1");
  requestPolicy.chooseUpstream(new Set());
  scheduler.advance(5);
  const [first] = decisions;
  // The session requests the next slot while it handles the refusal. Only then
  // does it record the outcome of the refused attempt.
  requestPolicy.chooseUpstream(new Set([first!]));
  requestPolicy.recordOutcome({
    kind: "observe",
    upstream: createUpstream(first!),
    outcome: "refused",
  });
  scheduler.advance(5);
  expect(decisions).toHaveLength(2);
  expect(decisions[1]).not.toBe(first);
});

test("a slot is released when its request ends", () => {
  const { scheduler, start } = createPolicy([createListed("u1")]);
  const first = start("r1");
  first.requestPolicy.chooseUpstream(new Set());
  scheduler.advance(5);
  const second = start("r2");
  second.requestPolicy.chooseUpstream(new Set());
  scheduler.advance(50);
  expect([first.decisions, second.decisions]).toEqual([["u1"], []]);
  first.requestPolicy.end();
  scheduler.advance(5);
  expect(second.decisions).toEqual(["u1"]);
});

test("a request that ends while it waits is removed from the queue", () => {
  const { scheduler, start } = createPolicy([createListed("u1")]);
  start("r1").requestPolicy.chooseUpstream(new Set());
  scheduler.advance(5);
  const ended = start("r2");
  ended.requestPolicy.chooseUpstream(new Set());
  ended.requestPolicy.end();
  scheduler.advance(3_000);
  expect(ended.decisions).toEqual([]);
});

test("of two upstreams with equal addresses, only the last started is used", () => {
  const { scheduler, start } = createPolicy([
    createListed("u1", { address: "10.0.0.1:7", startedAtMs: 5 }),
    createListed("u2", { address: "10.0.0.1:7", startedAtMs: 9 }),
  ]);
  const first = start("r1");
  const second = start("r2");
  first.requestPolicy.chooseUpstream(new Set());
  second.requestPolicy.chooseUpstream(new Set());
  scheduler.advance(5);
  expect([first.decisions, second.decisions]).toEqual([["u2"], []]);
});

test("without an engine, requests go to the upstream with the fewest open attempts", () => {
  const { start } = createPolicy([
    createListed("u1", { service: "registry" }),
    createListed("u2", { service: "registry" }),
  ]);
  const chosen = ["r1", "r2"].map((id) => {
    const { requestPolicy } = start(id, "registry");
    const choice = requestPolicy.chooseUpstream(new Set());
    if (choice.kind !== "chosen") throw new Error(choice.kind);
    requestPolicy.recordDispatch(choice.upstream);
    return choice.upstream.id;
  });
  expect([...chosen].sort()).toEqual(["u1", "u2"]);
});

test("a leaving upstream gets no new requests", () => {
  const { policy, start } = createPolicy([
    createListed("u1", { service: "registry" }),
  ]);
  policy.setUpstreams([
    createListed("u1", { service: "registry", state: "leaving" }),
  ]);
  const { requestPolicy } = start("r1", "registry");
  expect(requestPolicy.chooseUpstream(new Set()).kind).toBe("none");
});

test("retries are limited to this entry's share of the budget", () => {
  const { start } = createPolicy([createListed("u1")]);
  const { requestPolicy } = start("r1");
  let taken = 0;
  while (requestPolicy.takeRetry()) taken += 1;
  expect(taken).toBeGreaterThan(0);
  expect(taken).toBeLessThanOrEqual(10);
});

test("a stalled attempt and its replacement occupy a slot each until they end", () => {
  const { policy, scheduler, start } = createPolicy([
    createListed("u1"),
    createListed("u2"),
  ]);
  const { requestPolicy, decisions } = start("r1");
  const countTaken = () => policy.describePools()[0]?.taken;
  requestPolicy.chooseUpstream(new Set());
  scheduler.advance(5);
  requestPolicy.chooseUpstream(new Set(decisions));
  scheduler.advance(300);
  expect([...decisions].sort()).toEqual(["u1", "u2"]);
  expect(countTaken()).toBe(2);
  requestPolicy.recordOutcome({
    kind: "observe",
    upstream: createUpstream(decisions[0]!),
    outcome: "lost",
    cause: "stalled",
  });
  scheduler.advance(300);
  expect(countTaken()).toBe(1);
  expect(requestPolicy.describe().attempts).toMatchObject([
    { upstream: decisions[0], outcome: "lost", cause: "stalled" },
    { upstream: decisions[1] },
  ]);
  requestPolicy.end();
  scheduler.advance(300);
  expect(countTaken()).toBe(0);
});

test("a slot that is withdrawn after its grant is released", () => {
  const { policy, scheduler, start } = createPolicy([createListed("u1")]);
  const requestPolicy = policy.startRequest({
    requestId: "r1",
    service: "models",
    route: createRoute("models"),
    workspace: "w",
    priority: 1,
    size: undefined,
    deadlineAtMs: scheduler.now() + 8_000,
  }, () => requestPolicy.withdrawSlotRequest());
  requestPolicy.chooseUpstream(new Set());
  scheduler.advance(5);
  const second = start("r2");
  second.requestPolicy.chooseUpstream(new Set());
  scheduler.advance(50);
  expect(second.decisions).toEqual(["u1"]);
});

test("an open attempt is released although the upstreams were listed again", () => {
  const listed = ["u1", "u2"].map((id) =>
    createListed(id, { service: "registry" })
  );
  const { policy, start } = createPolicy(listed);
  const chooseNext = (requestId: string) => {
    const { requestPolicy } = start(requestId, "registry");
    const choice = requestPolicy.chooseUpstream(new Set());
    if (choice.kind !== "chosen") throw new Error(choice.kind);
    requestPolicy.recordDispatch(choice.upstream);
    return { requestPolicy, id: choice.upstream.id };
  };
  const first = chooseNext("r1");
  policy.setUpstreams(listed);
  first.requestPolicy.end();
  // Both upstreams are idle, so the choice is the same again.
  expect(chooseNext("r2").id).toBe(first.id);
});

test("a slot at an upstream that has gone is requested again elsewhere", () => {
  const { policy, scheduler, start } = createPolicy([createListed("u1")]);
  const { requestPolicy, decisions } = start("r1");
  requestPolicy.chooseUpstream(new Set());
  const grants = [{ key: "r1/1", upstreamId: "gone" }];
  policy.handleMessage(
    { kind: "decisions", decisions: { sequence: 1, grants, denials: [] } },
    "10.0.0.9:1",
  );
  scheduler.advance(5);
  expect(decisions).toEqual(["u1"]);
});

// Guards against grants of a hub whose view of the upstreams is outdated.
test("a slot at an upstream that leaves, as this entry knows, is requested again elsewhere", () => {
  const { policy, scheduler, start } = createPolicy([
    createListed("u1"),
    createListed("u2", { state: "leaving" }),
  ]);
  const { requestPolicy, decisions } = start("r1");
  requestPolicy.chooseUpstream(new Set());
  const grants = [{ key: "r1/1", upstreamId: "u2" }];
  policy.handleMessage(
    { kind: "decisions", decisions: { sequence: 1, grants, denials: [] } },
    "10.0.0.9:1",
  );
  scheduler.advance(5);
  expect(decisions).toEqual(["u1"]);
});

test("a slot request to the hub names the upstreams that leave", () => {
  const sent: slotCoordinator.DispatchMessage[] = [];
  const { scheduler, start } = createPolicy([
    createListed("u1"),
    createListed("u2", { state: "leaving" }),
    createListed("i1", { service: "registry", state: "leaving" }),
  ], {
    isHub: false,
    send: (message) => sent.push(message as slotCoordinator.DispatchMessage),
  });
  start("r1").requestPolicy.chooseUpstream(new Set());
  scheduler.advance(30);
  expect(sent.at(-1)).toMatchObject({
    kind: "work",
    state: { waiting: [{ key: "r1/1", avoided: ["u2"] }] },
  });
});

describe("upstreams with a rate limit, of a service without engines", () => {
  const listed = [
    createListed("i1", { service: "registry", slots: 4 }),
    createListed("i2", { service: "registry", slots: 4 }),
  ];

  function createLimitedPolicy(options: { readonly isHub: boolean }) {
    const setup = createPolicy(listed, options);
    setup.policy.recordRateLimit({
      upstreamId: "i1",
      notice: { kind: "limited", requestsPerSecond: 1 },
      sentAtMs: 0,
    });
    return setup;
  }

  test.each([true, false])(
    "get no request in the first second, as hub: %s",
    (isHub) => {
      const { scheduler, start } = createLimitedPolicy({ isHub });
      scheduler.advance(100);
      const chosen: string[] = [];
      for (let count = 0; count < 8; count += 1) {
        const { requestPolicy, decisions } = start(`r${count}`, "registry");
        const choice = requestPolicy.chooseUpstream(new Set());
        if (choice.kind === "chosen") chosen.push(choice.upstream.id);
        scheduler.advance(50);
        chosen.push(...decisions);
        requestPolicy.end();
      }
      expect(chosen).toEqual(Array.from({ length: 8 }, () => "i2"));
    },
  );

  test("get a request once the limit allows it", () => {
    const { scheduler, start } = createLimitedPolicy({ isHub: true });
    scheduler.advance(1_000);
    const { requestPolicy, decisions } = start("r1", "registry");
    expect(requestPolicy.chooseUpstream(new Set(["i2"]))).toEqual({
      kind: "wait",
    });
    scheduler.advance(50);
    expect(decisions).toEqual(["i1"]);
  });
});
