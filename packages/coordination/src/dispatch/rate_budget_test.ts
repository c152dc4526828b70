import * as clock from "../clock.ts";
import * as rateWindow from "../testing/rate_window.ts";
import * as rateBudget from "./rate_budget.ts";
import * as rateLimits from "./rate_limits.ts";
import type * as work from "./work.ts";
import * as workHub from "./work_hub.ts";

test.each([0, 0.3, 1.8, 3.7, 40])(
  "a limit of %d a second is used and kept in each window, after a pause too",
  (perSecond) => {
    const manual = clock.createManualClock();
    const limits = rateLimits.createRateLimits({ clock: manual });
    const budget = rateBudget.createRateBudget({ clock: manual, limits });
    limits.observe({
      upstreamId: "u1",
      notice: { kind: "limited", requestsPerSecond: perSecond },
      sentAtMs: 0,
    });
    const takenMs: number[] = [];
    for (let elapsedMs = 0; elapsedMs < 40_000; elapsedMs += 5) {
      const isPaused = elapsedMs > 15_000 && elapsedMs < 20_000;
      if (!isPaused && budget.hasToken("u1")) {
        budget.take("u1");
        takenMs.push(manual.now());
      }
      manual.advance(5);
    }
    expect(rateWindow.countMostInWindow(takenMs)).toBeLessThanOrEqual(
      rateWindow.computeAllowed(perSecond),
    );
    // At least the probes, and nine tenths of the limit outside the pause.
    const least = Math.max(35 / 5 - 1, 0.9 * 35 * perSecond);
    expect(takenMs.length).toBeGreaterThanOrEqual(least);
  },
);

interface HubRun {
  readonly entryCount: number;
  /** Limits of the upstreams at a time; undefined without a limit. */
  readonly readLimits: (elapsedMs: number) => readonly (number | undefined)[];
  readonly requestsPerSecond: number;
  readonly durationMs?: number;
}

/**
 * Sends requests from the entries in turn to one hub. Each request ends after
 * 100 ms; its entry reports the limit that the upstream names then.
 */
function runHub(run: HubRun) {
  const manual = clock.createManualClock();
  const hub = workHub.createWorkHub({ clock: manual, random: () => 0.5 });
  const upstreamIds = run.readLimits(0).map((_, index) => `u${index}`);
  hub.setUpstreams(
    upstreamIds.map((id) => ({ id, pool: "p", failureDomain: "a", slots: 8 })),
  );
  const entries = Array.from({ length: run.entryCount }, (_, index) => ({
    id: `e${index}`,
    sequence: 0,
    waiting: new Map<string, number>(),
    running: new Map<string, { upstreamId: string; startedAtMs: number }>(),
    table: rateLimits.createRateLimits({ clock: manual }),
    hubHash: undefined as number | undefined,
  }));
  const startedMs = new Map(upstreamIds.map((id) => [id, [] as number[]]));
  const refusals: work.Denial[] = [];
  let longestRefusalMs = 0;
  let sent = 0;
  const stepMs = 25;
  const { durationMs = 14_000 } = run;

  function report(entry: (typeof entries)[number]): void {
    entry.sequence += 1;
    const nowMs = manual.now();
    for (const [key, { upstreamId, startedAtMs }] of entry.running) {
      if (nowMs - startedAtMs < 100) continue;
      entry.running.delete(key);
      const limit = run.readLimits(nowMs)[upstreamIds.indexOf(upstreamId)];
      entry.table.observe({
        upstreamId,
        sentAtMs: startedAtMs,
        notice: limit === undefined
          ? { kind: "unlimited" }
          : { kind: "limited", requestsPerSecond: limit },
      });
    }
    const decided = hub.receive({
      entryId: entry.id,
      failureDomain: "a",
      sequence: entry.sequence,
      passes: [],
      running: [...entry.running].map(([key, { upstreamId }]) => ({
        key,
        upstreamId,
        workspace: "w",
        promptTokens: 0,
      })),
      waiting: [...entry.waiting].map(([key, sinceMs]) => ({
        key,
        pool: "p",
        priority: 1,
        workspace: "w",
        promptTokens: 0,
        answerTokens: 0,
        ageMs: nowMs - sinceMs,
        aimLeftMs: 300,
        leftMs: 5_000,
        avoided: [],
      })),
      rateLimits: entry.table.buildMessage(entry.hubHash),
    });
    for (const [entryId, decisions] of decided) {
      const receiver = entries.find(({ id }) => id === entryId)!;
      if (decisions.rateLimits !== undefined) {
        receiver.hubHash = decisions.rateLimits.hash;
        receiver.table.merge(decisions.rateLimits);
      }
      for (const { key, upstreamId } of decisions.grants) {
        if (!receiver.waiting.delete(key)) continue;
        receiver.running.set(key, { upstreamId, startedAtMs: nowMs });
        startedMs.get(upstreamId)!.push(nowMs);
      }
      for (const denial of decisions.denials) {
        const sinceMs = receiver.waiting.get(denial.key);
        if (sinceMs === undefined) continue;
        receiver.waiting.delete(denial.key);
        refusals.push(denial);
        longestRefusalMs = Math.max(longestRefusalMs, nowMs - sinceMs);
      }
    }
  }

  while (manual.now() < durationMs) {
    const due = Math.floor(manual.now() * run.requestsPerSecond / 1_000);
    for (; sent < due; sent += 1) {
      const entry = entries[sent % entries.length]!;
      entry.waiting.set(`k${sent}`, manual.now());
      report(entry);
    }
    for (const entry of entries) {
      if (entry.running.size > 0 || entry.waiting.size > 0) report(entry);
    }
    manual.advance(stepMs);
  }
  const countFrom = (fromMs: number) =>
    upstreamIds.map((id) =>
      startedMs.get(id)!.filter((atMs) => atMs >= fromMs)
    );
  return { countFrom, refusals, longestRefusalMs, entries, sent };
}

describe("the hub keeps rate limits", () => {
  const settleMs = 3_000;

  test.each([1, 21, 430])("of one upstream before %d entries", (entryCount) => {
    const run = runHub({
      entryCount,
      requestsPerSecond: 40,
      readLimits: () => [1.8, undefined],
    });
    const [limited, other] = run.countFrom(settleMs);
    expect(rateWindow.countMostInWindow(limited!)).toBeLessThanOrEqual(
      rateWindow.computeAllowed(1.8),
    );
    expect(limited!.length).toBeGreaterThan(0.8 * 1.8 * 11);
    expect(run.refusals).toEqual([]);
    expect(other!.length).toBeGreaterThan(0.9 * 38 * 11);
  });

  test.each<[string, HubRun["readLimits"], readonly number[]]>([
    ["of all upstreams that differ", () => [0.3, 2, 6], [0.3, 2, 6]],
    ["of all but one", () => [1, 1, undefined], [1, 1, Infinity]],
    ["that fall", (ms) => [ms < 5_000 ? 20 : 2, 1], [20, 1]],
    ["that rise", (ms) => [ms < 7_000 ? 1 : 8, 1], [8, 1]],
    ["of zero", () => [0, undefined], [0, Infinity]],
  ])("%s", (_, readLimits, highest) => {
    const run = runHub({ entryCount: 13, requestsPerSecond: 30, readLimits });
    run.countFrom(settleMs).forEach((timesMs, index) => {
      const allowed = rateWindow.computeAllowed(highest[index]!);
      expect(rateWindow.countMostInWindow(timesMs)).toBeLessThanOrEqual(
        allowed,
      );
    });
  });

  test("that fell, from the time at which the entries know", () => {
    const run = runHub({
      entryCount: 13,
      requestsPerSecond: 30,
      readLimits: (ms) => [ms < 5_000 ? 20 : 2, undefined],
    });
    const [limited] = run.countFrom(5_500);
    expect(rateWindow.countMostInWindow(limited!)).toBeLessThanOrEqual(
      rateWindow.computeAllowed(2),
    );
  });

  test("and uses an upstream like the others once its limit ended", () => {
    const run = runHub({
      entryCount: 13,
      requestsPerSecond: 30,
      readLimits: (ms) => [ms < 7_000 ? 1 : undefined, undefined],
    });
    const [ended, other] = run.countFrom(9_000);
    expect(ended!.length).toBeGreaterThan(other!.length / 2);
    for (const { table } of run.entries) expect(table.list()).toEqual([]);
  });

  test("and refuses at once, with a delay, what they don't allow", () => {
    const run = runHub({
      entryCount: 13,
      requestsPerSecond: 30,
      readLimits: () => [2, 3],
    });
    const served = run.countFrom(settleMs).flat().length;
    expect(served).toBeGreaterThan(0.9 * 5 * 11);
    const refused = run.refusals.slice(-100);
    for (const { cause, retryAfterMs } of refused) {
      expect(cause).toBe("rate_limits");
      expect(retryAfterMs).toBeGreaterThan(0);
    }
    expect(run.longestRefusalMs).toBeLessThan(1_500);
  });
});
