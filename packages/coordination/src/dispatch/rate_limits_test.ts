import * as clock from "../clock.ts";
import * as rateLimits from "./rate_limits.ts";

function createSetup() {
  const manual = clock.createManualClock();
  const changes: (number | undefined)[] = [];
  const limits = rateLimits.createRateLimits({
    clock: manual,
    onChange: (_, requestsPerSecond) => void changes.push(requestsPerSecond),
  });
  const observe = (
    requestsPerSecond: number | undefined,
    sentAtMs = manual.now(),
  ) =>
    limits.observe({
      upstreamId: "u1",
      sentAtMs,
      notice: requestsPerSecond === undefined
        ? { kind: "unlimited" }
        : { kind: "limited", requestsPerSecond },
    });
  return { limits, manual, changes, observe };
}

test("the latest limit counts until an answer to a later request names none", () => {
  const { limits, manual, changes, observe } = createSetup();
  observe(undefined);
  observe(2);
  manual.advance(10);
  observe(2);
  observe(0);
  expect(limits.list()).toEqual([{ upstreamId: "u1", requestsPerSecond: 0 }]);
  manual.advance(10);
  observe(undefined);
  expect(limits.get("u1")).toBeUndefined();
  expect(changes).toEqual([2, 0, undefined]);
});

test("an answer to an earlier request does not end a limit", () => {
  const { limits, manual, observe } = createSetup();
  const sentAtMs = manual.now();
  manual.advance(10);
  observe(2);
  manual.advance(10);
  observe(undefined, sentAtMs);
  expect(limits.get("u1")).toBe(2);
});

test("a limit that can't be read leaves the last one in force", () => {
  const { limits, manual, observe } = createSetup();
  observe(2);
  manual.advance(10);
  limits.observe({
    upstreamId: "u1",
    notice: { kind: "unreadable" },
    sentAtMs: manual.now(),
  });
  expect(limits.get("u1")).toBe(2);
});

describe("tables of several entries", () => {
  function createTables(count: number) {
    const manual = clock.createManualClock();
    const tables = Array.from(
      { length: count },
      () => rateLimits.createRateLimits({ clock: manual }),
    );
    let hubHash: number | undefined;
    /** Sends messages between the first table and each other one. */
    function sendAll(): number {
      const [hub, ...others] = tables;
      let reports = 0;
      for (const table of others) {
        const state = table.buildMessage(hubHash);
        hub!.merge(state);
        const answer = hub!.buildMessage(state.hash);
        table.merge(answer);
        hubHash = answer.hash;
        reports += state.reports.length + answer.reports.length;
        manual.advance(1);
      }
      return reports;
    }
    const observe = (
      index: number,
      upstreamId: string,
      requestsPerSecond?: number,
    ) =>
      tables[index]!.observe({
        upstreamId,
        sentAtMs: manual.now(),
        notice: requestsPerSecond === undefined
          ? { kind: "unlimited" }
          : { kind: "limited", requestsPerSecond },
      });
    return { manual, tables, sendAll, observe };
  }

  test("learn a limit and its end, and then send no reports", () => {
    const { manual, tables, sendAll, observe } = createTables(4);
    observe(2, "u1", 1.8);
    sendAll();
    sendAll();
    for (const table of tables) expect(table.get("u1")).toBe(1.8);
    expect(sendAll()).toBe(0);
    manual.advance(100);
    observe(3, "u1");
    sendAll();
    sendAll();
    for (const table of tables) expect(table.get("u1")).toBeUndefined();
    expect(sendAll()).toBe(0);
  });

  test("keep a limit that a late report contradicts", () => {
    const { manual, tables, observe } = createTables(2);
    observe(0, "u1", 1);
    manual.advance(10);
    observe(0, "u1");
    const late = tables[0]!.buildMessage(undefined);
    manual.advance(10);
    observe(1, "u1", 2);
    tables[1]!.merge({
      ...late,
      reports: late.reports.map((report) => ({ ...report, ageMs: 10 })),
    });
    expect(tables[1]!.get("u1")).toBe(2);
  });

  test("agree on more limits than one message holds", () => {
    const { tables, sendAll, observe } = createTables(2);
    for (let index = 0; index < 1_000; index += 1) {
      observe(index % 2, `u${index}`, 1 + index);
    }
    for (let round = 0; round < 30; round += 1) sendAll();
    for (const table of tables) expect(table.list()).toHaveLength(1_000);
    expect(sendAll()).toBe(0);
  });

  test("keep the limit of a listed upstream, and drop that of a departed one in time", () => {
    const { manual, tables, sendAll, observe } = createTables(2);
    for (const table of tables) table.setUpstreams(new Set(["u1"]));
    observe(0, "u1", 1);
    observe(0, "u2", 1);
    manual.advance(30_000);
    sendAll();
    sendAll();
    for (const table of tables) expect(table.list()).toHaveLength(2);
    manual.advance(31_000);
    sendAll();
    sendAll();
    for (const table of tables) {
      expect(table.list()).toEqual([{
        upstreamId: "u1",
        requestsPerSecond: 1,
      }]);
    }
  });
});
