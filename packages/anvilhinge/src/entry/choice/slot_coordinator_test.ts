import * as stream from "node:stream";
import * as rateLimits from "@anvilhinge/coordination/dispatch/rate_limits";
import type * as work from "@anvilhinge/coordination/dispatch/work";
import * as random from "@anvilhinge/coordination/random";
import * as rateWindow from "@anvilhinge/coordination/testing/rate_window";
import * as logger from "../../telemetry/logger.ts";
import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as simulatedNetwork from "../../testing/simulated_network.ts";
import * as rosterNode from "../control/roster_node.ts";
import * as slotCoordinator from "./slot_coordinator.ts";

type Message = rosterNode.RosterMessage | slotCoordinator.DispatchMessage;

const log = logger.createLogger({
  component: "entry",
  level: "error",
  stream: new stream.PassThrough(),
});
const messageDelayMs = 1;
const serviceMs = 50;
const requestsPerNodeAndSecond = 4;

function getAddress(index: number): string {
  return `10.0.0.${index + 1}:1`;
}

function getId(address: string): string {
  return `e${Number(address.split(/[.:]/)[3]) - 1}`;
}

interface SystemOptions {
  readonly entryCount: number;
  readonly seed: number;
  /** Limits per second of the upstreams; undefined without a limit. */
  readonly limits: readonly (number | undefined)[];
}

/** Entries with their rosters and slot coordinators on a simulated network. */
function createSystem({ entryCount, seed, limits }: SystemOptions) {
  const scheduler = manualScheduler.createManualScheduler();
  const draw = random.createRandomSource(seed);
  const upstreams: readonly work.UpstreamSpec[] = limits.map((_, index) => ({
    id: `u${index}`,
    pool: "p",
    failureDomain: "a",
    slots: 8,
  }));
  const startedMs = new Map(upstreams.map(({ id }) => [id, [] as number[]]));
  const nodes = new Map<string, ReturnType<typeof startNode>>();
  let isConnected = (_from: string, _to: string): boolean => true;
  let lossShare = 0;
  const network = simulatedNetwork.createSimulatedNetwork({
    scheduler,
    messageDelayMs,
    isLost: (from, to) =>
      !isConnected(getId(from), getId(to)) || draw() < lossShare,
  });
  let refused = 0;

  function startNode(index: number) {
    const id = `e${index}`;
    const address = getAddress(index);
    const node = network.startNode(address, handle);
    const { scheduler: ownScheduler, sockets } = node;
    const { signal } = node.abort;

    function handle(received: unknown, from: string): void {
      const message = received as Message;
      if (message.kind === "hello" || message.kind === "roster") {
        return roster.handle(message);
      }
      coordinator.handle(message, from);
    }

    const roster = rosterNode.startRosterNode({
      self: {
        id,
        address,
        incarnation: scheduler.now() + index / 1_000,
        details: {
          callers: "",
          failureDomain: "a",
          region: "r",
          isReady: true,
          isLeaving: false,
        },
      },
      seeds: ["10.0.0.1:1", "10.0.0.2:1"],
      scheduler: ownScheduler,
      elapsed: scheduler,
      readStatus: () => ({}) as never,
      onHubStatus() {},
      onMemberStatus() {},
      isViewOutdated: () => false,
      sockets,
      logger: log,
      signal,
    });
    const table = rateLimits.createRateLimits({
      clock: scheduler,
      onChange: () => coordinator.reportRateLimit(),
    });
    table.setUpstreams(new Set(upstreams.map((upstream) => upstream.id)));
    const coordinator = slotCoordinator.startSlotCoordinator({
      entryId: id,
      failureDomain: "a",
      members: {
        getHub: roster.getHub,
        isHub: roster.isHub,
        countEntries: () => roster.listLive().length,
        getEntryIndex: roster.getEntryIndex,
        computeReachableShare: roster.computeReachableShare,
      },
      scheduler: ownScheduler,
      elapsed: scheduler,
      random: draw,
      sockets,
      logger: log,
      rateLimits: table,
      signal,
      onEvent(event) {
        if (event.kind === "denied") return void (refused += 1);
        dispatch(event.key, event.upstreamId);
      },
    });
    coordinator.setUpstreams(upstreams, []);

    function dispatch(key: string, upstreamId: string): void {
      const sentAtMs = scheduler.now();
      startedMs.get(upstreamId)!.push(sentAtMs);
      coordinator.recordStart({
        key,
        upstreamId,
        workspace: "w",
        promptTokens: 0,
      });
      const limit = limits[Number(upstreamId.slice(1))];
      ownScheduler.schedule(() => {
        coordinator.drop(key);
        table.observe({
          upstreamId,
          sentAtMs,
          notice: limit === undefined
            ? { kind: "unlimited" }
            : { kind: "limited", requestsPerSecond: limit },
        });
      }, { delayMs: serviceMs });
    }

    let sent = 0;
    function requestSlot(): void {
      sent += 1;
      coordinator.requestSlot({
        key: `${id}/${scheduler.now()}/${sent}`,
        pool: "p",
        priority: 1,
        workspace: "w",
        promptTokens: 0,
        answerTokens: 0,
        aimLeftMs: 300,
        leftMs: 2_000,
        avoided: [],
      });
      const intervalMs = 1_000 / requestsPerNodeAndSecond;
      ownScheduler.schedule(requestSlot, { delayMs: intervalMs });
    }
    ownScheduler.schedule(requestSlot, { delayMs: 1_000 * draw() });

    return { table };
  }

  const start = (index: number) =>
    void nodes.set(`e${index}`, startNode(index));
  for (let index = 0; index < entryCount; index += 1) start(index);

  return {
    scheduler,
    start,
    kill(index: number) {
      network.kill(getAddress(index));
      nodes.delete(`e${index}`);
    },
    pause(index: number, durationMs: number) {
      network.pause(getAddress(index), durationMs);
    },
    setConnected(check: typeof isConnected) {
      isConnected = check;
    },
    setLoss(share: number) {
      lossShare = share;
    },
    listTables: () => [...nodes.values()].map(({ table }) => table),
    countRefused: () => refused,
    /** Largest number of requests at an upstream in a window from then on. */
    countMostInWindow: (index: number, fromMs: number) =>
      rateWindow.countMostInWindow(
        startedMs.get(`u${index}`)!.filter((atMs) => atMs >= fromMs),
      ),
    countAll: (index: number) => startedMs.get(`u${index}`)!.length,
  };
}

type System = ReturnType<typeof createSystem>;
const faults: readonly [string, (system: System) => void][] = [
  ["nothing fails", () => {}],
  ["the hub crashes", (system) => system.kill(0)],
  ["two hubs crash one after the other", (system) => {
    system.kill(0);
    system.scheduler.advance(1_500);
    system.kill(1);
  }],
  ["the hub pauses", (system) => system.pause(0, 3_000)],
  ["another entry pauses", (system) => system.pause(4, 4_000)],
  ["the entries are divided into halves", (system) => {
    const isLow = (id: string) => Number(id.slice(1)) < 6;
    system.setConnected((from, to) => isLow(from) === isLow(to));
    system.scheduler.advance(8_000);
    system.setConnected(() => true);
  }],
  ["the hub is cut off", (system) => {
    system.setConnected((from, to) => from !== "e0" && to !== "e0");
    system.scheduler.advance(8_000);
    system.setConnected(() => true);
  }],
  ["a third of the messages is lost", (system) => {
    system.setLoss(0.33);
    system.scheduler.advance(8_000);
    system.setLoss(0);
  }],
  ["the entries restart in turn", (system) => {
    for (let index = 0; index < 6; index += 1) {
      system.kill(index);
      system.scheduler.advance(700);
      system.start(index);
      system.scheduler.advance(700);
    }
  }],
];

describe.each(faults)("when %s", (_, fail) => {
  test.each([1, 2, 3])(
    "no upstream gets more than its rate limit (seed %d)",
    (seed) => {
      const limits = [1.8, 3.7, undefined];
      const system = createSystem({ entryCount: 13, seed, limits });
      system.scheduler.advance(4_000);
      const sinceMs = system.scheduler.now();
      fail(system);
      system.scheduler.advance(6_000);
      for (const index of [0, 1]) {
        expect(system.countMostInWindow(index, sinceMs)).toBeLessThanOrEqual(
          rateWindow.computeAllowed(limits[index]!),
        );
      }
      for (const table of system.listTables()) {
        expect(table.list()).toHaveLength(2);
      }
    },
  );
});

/** Faults that overlap: crashes, pauses, divisions, loss and restarts. */
function injectFault(
  system: System,
  { entryCount, draw, killed }: {
    readonly entryCount: number;
    readonly draw: random.RandomSource;
    readonly killed: Set<number>;
  },
): void {
  const index = Math.floor(draw() * entryCount);
  const restart = () => {
    for (const killedIndex of killed) system.start(killedIndex);
    killed.clear();
  };
  const faultsByKind = [
    () => {
      system.kill(index);
      killed.add(index);
    },
    () => system.pause(index, 500 + draw() * 4_000),
    () => {
      const isLow = (id: string) => Number(id.slice(1)) < index;
      system.setConnected((from, to) => isLow(from) === isLow(to));
    },
    () => system.setConnected(() => true),
    () => system.setLoss(draw() * 0.3),
    restart,
  ];
  faultsByKind[Math.floor(draw() * faultsByKind.length)]!();
}

describe("when faults overlap", () => {
  test.each([1, 2, 3, 20, 29, 53])(
    "no upstream gets more than its rate limit (seed %d)",
    (seed) => {
      const limits = [1.8, 3.7, undefined];
      const entryCount = [5, 13, 21][seed % 3]!;
      const system = createSystem({ entryCount, seed, limits });
      const draw = random.createRandomSource(seed * 7_919);
      const killed = new Set<number>();
      system.scheduler.advance(4_000);
      const sinceMs = system.scheduler.now();
      for (let step = 0; step < 12; step += 1) {
        injectFault(system, { entryCount, draw, killed });
        system.scheduler.advance(200 + draw() * 1_500);
      }
      system.setConnected(() => true);
      system.setLoss(0);
      for (const index of killed) system.start(index);
      system.scheduler.advance(12_000);
      for (const index of [0, 1]) {
        expect(system.countMostInWindow(index, sinceMs)).toBeLessThanOrEqual(
          rateWindow.computeAllowed(limits[index]!),
        );
      }
      for (const table of system.listTables()) {
        expect(table.list()).toHaveLength(2);
      }
    },
  );
});

test("with limits at all upstreams, what they allow is served", () => {
  const system = createSystem({ entryCount: 13, seed: 1, limits: [2, 3, 4] });
  system.scheduler.advance(14_000);
  [2, 3, 4].forEach((perSecond, index) => {
    expect(system.countAll(index)).toBeGreaterThan(0.8 * perSecond * 13);
    expect(system.countMostInWindow(index, 4_000)).toBeLessThanOrEqual(
      rateWindow.computeAllowed(perSecond),
    );
  });
  expect(system.countRefused()).toBeGreaterThan(0);
});

test("an entry that joins learns the limits before it sends a request", () => {
  const system = createSystem({ entryCount: 5, seed: 1, limits: [1, 1] });
  system.scheduler.advance(4_000);
  system.start(5);
  system.scheduler.advance(100);
  expect(system.listTables()[5]!.list()).toHaveLength(2);
});

/** A hub that sends its decisions to entries that only the test plays. */
function startHub() {
  const scheduler = manualScheduler.createManualScheduler();
  const decisions: work.Decisions[] = [];
  const coordinator = slotCoordinator.startSlotCoordinator({
    entryId: "hub",
    failureDomain: "a",
    members: {
      getHub: () => ({ id: "hub", address: "10.0.0.1:1" }),
      isHub: () => true,
      countEntries: () => 3,
      getEntryIndex: () => 0,
      computeReachableShare: () => 1,
    },
    scheduler,
    elapsed: scheduler,
    random: () => 0.5,
    sockets: {
      send: (message) =>
        void decisions.push(
          (message as { decisions: work.Decisions }).decisions,
        ),
    },
    logger: log,
    rateLimits: rateLimits.createRateLimits({ clock: scheduler }),
    signal: new AbortController().signal,
    onEvent() {},
  });
  coordinator.setUpstreams(
    [{ id: "u0", pool: "p", failureDomain: "a", slots: 1 }],
    [],
  );
  return { scheduler, decisions, coordinator };
}

function createWork(
  entryId: string,
  options: { readonly sequence?: number; readonly priority: number },
): slotCoordinator.DispatchMessage {
  const request = {
    key: `${entryId}/1`,
    pool: "p",
    priority: options.priority,
    workspace: "w",
    promptTokens: 0,
    answerTokens: 0,
    ageMs: 0,
    aimLeftMs: 300,
    leftMs: 2_000,
    avoided: [],
  };
  const state = {
    entryId,
    failureDomain: "a",
    sequence: options.sequence ?? 1,
    waiting: [request],
    running: [],
    passes: [],
  };
  return { kind: "work", state };
}

test("the hub decides once on states that arrive together", () => {
  const { scheduler, decisions, coordinator } = startHub();
  scheduler.advance(1_000);
  const urgent = createWork("e2", { priority: 0 });
  for (let sequence = 1; sequence <= 20; sequence += 1) {
    const message = createWork("e1", { sequence, priority: 5 });
    coordinator.handle(message, "10.0.0.2:1");
  }
  coordinator.handle(urgent, "10.0.0.3:1");
  scheduler.advance(10);
  const grants = decisions.flatMap((decision) => decision.grants);
  expect(grants).toEqual([{ key: "e2/1", upstreamId: "u0" }]);
  expect(decisions).toHaveLength(2);
});
