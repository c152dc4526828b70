import * as random from "@anvilhinge/coordination/random";
import fastCheck from "fast-check";
import * as manualScheduler from "../testing/manual_scheduler.ts";
import * as answer from "./answer.ts";
import type * as engineRank from "./engine_rank.ts";
import * as modelEngine from "./model_engine.ts";
import type * as modelEngineOptions from "./model_engine_options.ts";

function createGroup(
  options: Partial<modelEngineOptions.ModelEngineOptions> = {},
) {
  const scheduler = manualScheduler.createManualScheduler();
  const engine = modelEngine.createModelEngine({
    scheduler,
    random: random.createRandomSource(1),
    rankCount: 2,
    expertCount: 4,
    tokenMs: 0,
    ...options,
  });
  return { scheduler, engine };
}

function createBody(content: string, maxTokens?: number): answer.ChatBody {
  const messages = [{ role: "user", content }];
  return { model: "m", messages, max_tokens: maxTokens };
}

interface SendOptions {
  readonly rank?: number;
  readonly body?: answer.ChatBody;
  readonly priority?: number;
  readonly deadlineMs?: number;
}

function send(engine: modelEngine.ModelEngine, options: SendOptions = {}) {
  const events: engineRank.RankEvent[] = [];
  const controller = new AbortController();
  engine.submit(options.rank ?? 0, {
    body: options.body ?? createBody("hello", 3),
    priority: options.priority ?? 0,
    deadlineMs: options.deadlineMs ?? 60_000,
    signal: controller.signal,
    onEvent: (event) => events.push(event),
  });
  return { events, controller };
}

describe("model engine", () => {
  test("delivers exactly the tokens of generateTokens under any other load", () => {
    const bodies = fastCheck.array(
      fastCheck.tuple(
        fastCheck.string({ maxLength: 200 }),
        fastCheck.nat({ max: 1 }),
      ),
      { minLength: 1, maxLength: 12 },
    );
    fastCheck.assert(
      fastCheck.property(bodies, (cases) => {
        const { scheduler, engine } = createGroup({ batchLimit: 2 });
        const sent = cases.map(([content, rank]) => {
          const body = createBody(content);
          return { body, events: send(engine, { rank, body }).events };
        });
        scheduler.advance(60_000);
        for (const { body, events } of sent) {
          const tokens = answer.generateTokens(body)
            .map((text) => ({ kind: "token", text }));
          expect(events).toEqual([...tokens, { kind: "end" }]);
        }
      }),
      { seed: 7, numRuns: 50 },
    );
  });

  test("waits for the slowest rank in each step", () => {
    const { scheduler, engine } = createGroup();
    engine.setSpeed(1, 0.5);
    const { events } = send(engine);
    scheduler.advance(39);
    expect(events).toHaveLength(0);
    scheduler.advance(1);
    expect(events).toHaveLength(1);
    engine.stall(1, { durationMs: 100 });
    scheduler.advance(99);
    expect(events).toHaveLength(1);
    scheduler.advance(1);
    expect(events).toHaveLength(2);
  });

  test("takes longer steps under a map that puts all experts on one rank", () => {
    const measure = (holders: number[][]) => {
      const { scheduler, engine } = createGroup({ tokenMs: 1, reportLagMs: 0 });
      for (const rank of [0, 1]) {
        engine.applyOrder(rank, {
          kind: "install_map",
          fencingNumber: 1,
          version: 1,
          holders,
        });
      }
      for (let index = 0; index < 8; index += 1) {
        send(engine, { rank: index % 2, body: createBody(`${index}`) });
      }
      scheduler.advance(100);
      return engine.readLastStep();
    };
    const single = measure([[0], [0], [0], [0]]);
    const even = measure([[0, 1], [0, 1], [0, 1], [0, 1]]);
    expect(single.mapVersion).toBe(1);
    expect(single.rankUs[1]).toBe(20_000);
    expect(single.durationUs).toBe(Math.max(...single.rankUs));
    expect(even.durationUs).toBeLessThan(single.durationUs);
    expect(even.tokensByExpert.reduce((sum, count) => sum + count))
      // The first request starts a step alone; the others join the next step.
      .toBe(2 + (even.stepCount - 1) * 8 * 2);
  });

  test("starts urgent requests first and keeps to the batch limit", () => {
    const { scheduler, engine } = createGroup({ batchLimit: 1 });
    const first = send(engine, { priority: 5 });
    const low = send(engine, { priority: 5 });
    const high = send(engine, { priority: 1 });
    scheduler.advance(60);
    expect(first.events.at(-1)).toEqual({ kind: "end" });
    scheduler.advance(60);
    expect(high.events.at(-1)).toEqual({ kind: "end" });
    expect(low.events).toEqual([]);
  });

  test("removes a request at its deadline and when it is cancelled", () => {
    const { scheduler, engine } = createGroup({
      batchLimit: 1,
      reportLagMs: 0,
    });
    const running = send(engine, { deadlineMs: 30 });
    const queued = send(engine, { deadlineMs: 10 });
    const cancelled = send(engine);
    cancelled.controller.abort();
    scheduler.advance(100);
    expect(running.events.map((event) => event.kind))
      .toEqual(["token", "failed"]);
    expect(running.events.at(-1)).toMatchObject({ started: true });
    expect(queued.events).toMatchObject([{ kind: "failed", started: false }]);
    expect(cancelled.events).toEqual([]);
    expect(engine.readLoad(0)).toMatchObject({ running: 0, queued: 0 });
    expect(scheduler.countTimers()).toBe(0);
  });

  test("delivers the first token sooner when the prefix is cached", () => {
    const { scheduler, engine } = createGroup({ eventLossRatio: 0 });
    const body = createBody("word ".repeat(1_023), 1);
    const first = send(engine, { body });
    scheduler.advance(79);
    expect(first.events).toEqual([]);
    scheduler.advance(1);
    expect(first.events).toHaveLength(2);
    const second = send(engine, { body });
    scheduler.advance(20);
    expect(second.events).toHaveLength(2);
    scheduler.advance(99);
    expect(engine.listCacheEvents(0, 0)).toEqual([]);
    scheduler.advance(1);
    expect(engine.listCacheEvents(0, 0)).toHaveLength(64);
  });

  test("evicts blocks beyond the cache capacity and loses some cache events", () => {
    const { scheduler, engine } = createGroup({
      cacheBlocks: 8,
      eventLossRatio: 0.5,
      eventLagMs: 0,
    });
    send(engine, { body: createBody("word ".repeat(400), 1) });
    scheduler.advance(200);
    const events = engine.listCacheEvents(0, 0);
    const kinds = new Set(events.map((event) => event.kind));
    expect(kinds).toEqual(new Set(["stored", "evicted"]));
    expect(events.length).toBeLessThan(events.at(-1)!.sequence);
  });

  test("reports load with the report lag", () => {
    const { scheduler, engine } = createGroup({ reportLagMs: 100 });
    scheduler.advance(500);
    send(engine);
    scheduler.advance(99);
    expect(engine.readLoad(0)).toEqual({ running: 0, queued: 0, stepUs: 0 });
    scheduler.advance(30);
    expect(engine.readLoad(0)).toEqual({
      running: 1,
      queued: 0,
      stepUs: 20_000,
    });
  });

  test("refuses an old fencing number only when checksFencing is set", () => {
    const createRoleOrder = (fencingNumber: number, name: string) =>
      ({ kind: "set_role", fencingNumber, role: name }) as const;
    const strict = createGroup().engine;
    strict.applyOrder(0, createRoleOrder(5, "new"));
    expect(strict.applyOrder(0, createRoleOrder(4, "old")))
      .toEqual({ kind: "fenced", highestFencingNumber: 5 });
    expect(strict.readOrderState(0).role).toBe("new");
    const permissive = createGroup({ checksFencing: false }).engine;
    permissive.applyOrder(0, createRoleOrder(5, "new"));
    expect(permissive.applyOrder(0, createRoleOrder(4, "old"))).toEqual({
      kind: "done",
    });
    expect(permissive.readOrderState(0).role).toBe("old");
  });

  test("rejects an invalid map and activates a map that all ranks installed", () => {
    const { scheduler, engine } = createGroup({ reportLagMs: 0 });
    const installMap = (rank: number, holders: number[][]) =>
      engine.applyOrder(rank, {
        kind: "install_map",
        fencingNumber: 1,
        version: 7,
        holders,
      });
    expect(installMap(0, [[0], [1], [0]]).kind).toBe("invalid");
    expect(installMap(0, [[0], [1], [0], [2]]).kind).toBe("invalid");
    expect(installMap(0, [[0], [1], [0], [1]]).kind).toBe("done");
    send(engine, { body: createBody("long", 8) });
    scheduler.advance(20);
    expect(engine.readLastStep().mapVersion).toBe(0);
    installMap(1, [[0], [1], [0], [1]]);
    scheduler.advance(20);
    expect(engine.readLastStep().mapVersion).toBe(0);
    scheduler.advance(20);
    expect(engine.readLastStep().mapVersion).toBe(7);
  });

  test("fails the requests of a crashed rank and pauses the group until a new map", () => {
    const { scheduler, engine } = createGroup();
    const failed = send(engine, { rank: 1 });
    const survivor = send(engine, { rank: 0 });
    scheduler.advance(20);
    engine.crash(1);
    expect(failed.events.at(-1)).toMatchObject({
      kind: "failed",
      started: true,
    });
    expect(send(engine, { rank: 1 }).events)
      .toMatchObject([{ kind: "failed", started: false }]);
    scheduler.advance(1_000);
    expect(survivor.events.at(-1)).toMatchObject({ kind: "token" });
    engine.applyOrder(0, {
      kind: "install_map",
      fencingNumber: 1,
      version: 1,
      holders: [[0], [0], [0], [0]],
    });
    scheduler.advance(50);
    expect(survivor.events.at(-1)).toEqual({ kind: "end" });
  });
});
