import fc from "fast-check";
import * as clock from "./clock.ts";
import * as health from "./health.ts";
import * as progressWatch from "./progress_watch.ts";

function createHealth(count: number, maxEjectedShare = 0.5) {
  const manual = clock.createManualClock();
  const changes: health.HealthChange[] = [];
  const tested = health.createHealth({
    clock: manual,
    random: () => 0,
    onChange: (change) => changes.push(change),
  });
  const members = Array.from({ length: count }, (_, index) => `u${index}`);
  tested.setPool("model", { members, maxEjectedShare });
  return { tested, manual, members, changes };
}

function fail(tested: health.Health, id: string, times = 3): void {
  for (let time = 0; time < times; time += 1) tested.recordOutcome(id, "lost");
}

describe("ejection", () => {
  test("follows consecutive failures, and a success resets their count", () => {
    const { tested } = createHealth(4);
    fail(tested, "u0", 2);
    expect(tested.computePenalty("u0")).toBe(3);
    tested.recordOutcome("u0", "completed");
    fail(tested, "u0", 2);
    expect(tested.isAvailable("u0")).toBe(true);
    fail(tested, "u0", 1);
    expect(tested.isAvailable("u0")).toBe(false);
  });

  test("follows a high failure share without enough consecutive failures", () => {
    const { tested } = createHealth(4);
    for (let round = 0; round < 12; round += 1) {
      fail(tested, "u0", 2);
      tested.recordOutcome("u0", "completed");
    }
    expect(tested.isAvailable("u0")).toBe(false);
  });

  test("refusals do not count as failures", () => {
    const { tested } = createHealth(4);
    for (let time = 0; time < 50; time += 1) {
      tested.recordOutcome("u0", "refused");
    }
    expect(tested.isAvailable("u0")).toBe(true);
  });

  test("ends after one completed probe and doubles after a failed probe", () => {
    const { tested, manual, changes } = createHealth(4);
    fail(tested, "u0");
    manual.advance(4_999);
    expect(tested.isAvailable("u0")).toBe(false);
    manual.advance(1);
    expect(tested.isAvailable("u0")).toBe(true);
    tested.recordSent("u0");
    expect(tested.isAvailable("u0")).toBe(false);
    tested.recordOutcome("u0", "failed");
    manual.advance(9_999);
    expect(tested.isAvailable("u0")).toBe(false);
    manual.advance(1);
    tested.recordSent("u0");
    tested.recordOutcome("u0", "completed");
    expect(tested.getState("u0")).toEqual({ kind: "healthy" });
    expect(changes.map(({ kind }) => kind))
      .toEqual(["ejected", "ejected", "restored"]);
  });

  test("an attempt dispatched before the ejection does not count as a probe", () => {
    const { tested, manual } = createHealth(4);
    fail(tested, "u0");
    tested.recordOutcome("u0", "completed");
    expect(tested.isAvailable("u0")).toBe(false);
    manual.advance(5_000);
    tested.recordOutcome("u0", "completed");
    expect(tested.getState("u0").kind).toBe("half_open");
  });

  test("permits another probe when the first one times out", () => {
    const { tested, manual } = createHealth(4);
    fail(tested, "u0");
    manual.advance(5_000);
    tested.recordSent("u0");
    manual.advance(9_999);
    expect(tested.isAvailable("u0")).toBe(false);
    manual.advance(1);
    expect(tested.isAvailable("u0")).toBe(true);
  });

  test("never applies to the last available member of a group", () => {
    const { tested } = createHealth(10, 1);
    tested.setPool("group", { members: ["u0", "u1"], maxEjectedShare: 1 });
    fail(tested, "u0");
    fail(tested, "u1");
    expect(tested.isAvailable("u0")).toBe(false);
    expect(tested.isAvailable("u1")).toBe(true);
  });

  test("never exceeds the cap for any sequence of events", () => {
    const step = fc.tuple(
      fc.integer({ min: 0, max: 8 }),
      fc.constantFrom("sent", "completed", "failed", "lost", "stall", "wait"),
    );
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 300 }),
        fc.integer({ min: 1, max: 9 }),
        fc.double({ min: 0, max: 1, noNaN: true }),
        (steps, count, share) => {
          const { tested, manual, members } = createHealth(count, share);
          for (const [index, action] of steps) {
            const id = `u${index % count}`;
            if (action === "wait") manual.advance(1_000);
            else if (action === "sent") tested.recordSent(id);
            else if (action === "stall") tested.recordStall(id);
            else tested.recordOutcome(id, action as health.AttemptOutcome);
            const unhealthyCount = members.filter((member) =>
              tested.getState(member).kind !== "healthy"
            ).length;
            expect(unhealthyCount).toBeLessThanOrEqual(
              Math.floor(count * share),
            );
            expect(unhealthyCount).toBeLessThan(count);
          }
        },
      ),
      { seed: 5 },
    );
  });

  test("state of a member is removed when it has left every pool", () => {
    const { tested } = createHealth(4);
    fail(tested, "u0");
    tested.setPool("model", { members: ["u1", "u2"], maxEjectedShare: 0.5 });
    expect(tested.getState("u0")).toEqual({ kind: "healthy" });
    expect(tested.countEjected()).toBe(0);
  });
});

describe("stall detection", () => {
  function createWatch() {
    const manual = clock.createManualClock();
    return {
      manual,
      watch: progressWatch.createProgressWatch({ clock: manual }),
    };
  }

  test("reports an upstream without tokens while another makes progress", () => {
    const { manual, watch } = createWatch();
    watch.start("u0", "model");
    watch.start("u1", "model");
    for (let token = 0; token < 20; token += 1) {
      manual.advance(40);
      watch.recordProgress("u0");
      if (token < 5) watch.recordProgress("u1");
    }
    expect(watch.detectStalled()).toEqual([]);
    for (let token = 0; token < 20; token += 1) {
      manual.advance(40);
      watch.recordProgress("u0");
    }
    expect(watch.detectStalled()).toEqual(["u1"]);
    expect(watch.detectStalled()).toEqual([]);
  });

  test("ignores queued attempts while one attempt makes progress", () => {
    const { manual, watch } = createWatch();
    for (let attempt = 0; attempt < 9; attempt += 1) watch.start("u0", "model");
    for (let token = 0; token < 400; token += 1) {
      manual.advance(40);
      watch.recordProgress("u0");
      expect(watch.detectStalled()).toEqual([]);
    }
  });

  test("scales the deadline with the recent gap, up to a bound", () => {
    const { manual, watch } = createWatch();
    expect(watch.getDeadlineMs("model")).toBe(5_000);
    watch.start("u0", "model");
    manual.advance(600);
    watch.recordProgress("u0");
    expect(watch.getDeadlineMs("model")).toBe(2_400);
    manual.advance(2_200);
    expect(watch.detectStalled()).toEqual([]);
    manual.advance(200);
    expect(watch.detectStalled()).toEqual(["u0"]);
  });

  test("stops watching an upstream when its attempts have ended", () => {
    const { manual, watch } = createWatch();
    watch.start("u0", "model");
    watch.start("u0", "model");
    watch.end("u0");
    expect(watch.countWatched()).toBe(1);
    watch.end("u0");
    manual.advance(60_000);
    expect(watch.detectStalled()).toEqual([]);
    expect(watch.countWatched()).toBe(0);
  });

  test("ejects the stalled upstream at once", () => {
    const { tested } = createHealth(3);
    tested.recordStall("u0");
    expect(tested.isAvailable("u0")).toBe(false);
  });
});
