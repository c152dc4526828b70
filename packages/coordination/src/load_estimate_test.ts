import * as loadEstimate from "./load_estimate.ts";

const options = { lagMs: 100, halfLifeMs: 1_000, typicalLoad: 0 };

function report(running: number, queued = 0) {
  return { running, queued, stepUs: 0 };
}

describe("an estimated load", () => {
  test("adds what was sent after the instant that the report describes", () => {
    const load = loadEstimate.createLoad();
    loadEstimate.recordSent(load, 800);
    loadEstimate.recordSent(load, 950);
    loadEstimate.recordSent(load, 1_000);
    loadEstimate.recordReport(load, report(5), { ...options, nowMs: 1_000 });
    expect(loadEstimate.estimateLoad(load, { ...options, nowMs: 1_000 }))
      .toBe(7);
  });

  test("leaves out what the report counts and has ended since", () => {
    const load = loadEstimate.createLoad();
    loadEstimate.recordSent(load, 800);
    loadEstimate.recordSent(load, 850);
    loadEstimate.recordEnded(load, { ...options, nowMs: 950, sentAtMs: 850 });
    loadEstimate.recordReport(load, report(5), { ...options, nowMs: 1_000 });
    expect(loadEstimate.estimateLoad(load, { ...options, nowMs: 1_000 }))
      .toBe(4);
    loadEstimate.recordEnded(load, { ...options, nowMs: 1_000, sentAtMs: 800 });
    expect(loadEstimate.estimateLoad(load, { ...options, nowMs: 1_000 }))
      .toBe(3);
  });

  test("fades into the typical load, never below the own open attempts", () => {
    const load = loadEstimate.createLoad();
    loadEstimate.recordReport(load, report(40), { ...options, nowMs: 0 });
    const typical = { ...options, typicalLoad: 8 };
    expect(loadEstimate.estimateLoad(load, { ...typical, nowMs: 1_000 }))
      .toBe(24);
    for (let sent = 0; sent < 20; sent += 1) loadEstimate.recordSent(load, 0);
    loadEstimate.recordReport(load, report(20), { ...options, nowMs: 200 });
    expect(loadEstimate.estimateLoad(load, { ...options, nowMs: 90_000 }))
      .toBe(20);
  });

  test("an end that belongs to no open attempt changes nothing", () => {
    const load = loadEstimate.createLoad();
    loadEstimate.recordReport(load, report(5), { ...options, nowMs: 0 });
    loadEstimate.recordEnded(load, { ...options, nowMs: 1 });
    expect(loadEstimate.estimateLoad(load, { ...options, nowMs: 0 })).toBe(5);
  });
});
