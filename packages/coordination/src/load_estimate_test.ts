import * as loadEstimate from "./load_estimate.ts";

const options = { lagMs: 100, halfLifeMs: 1_000, typicalLoad: 0 };

function report(running: number, queued = 0) {
  return { running, queued, stepUs: 0 };
}

describe("estimated load", () => {
  test("adds attempts dispatched after the report was measured", () => {
    const load = loadEstimate.createLoad();
    loadEstimate.recordSent(load, 800);
    loadEstimate.recordSent(load, 950);
    loadEstimate.recordSent(load, 1_000);
    loadEstimate.recordReport(load, report(5), { ...options, nowMs: 1_000 });
    expect(loadEstimate.estimateLoad(load, { ...options, nowMs: 1_000 }))
      .toBe(7);
  });

  test("subtracts reported attempts that have ended since", () => {
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

  test("decays to the typical load, but not below the node's open attempts", () => {
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

  test("ignores the end of an attempt that is not open", () => {
    const load = loadEstimate.createLoad();
    loadEstimate.recordReport(load, report(5), { ...options, nowMs: 0 });
    loadEstimate.recordEnded(load, { ...options, nowMs: 1 });
    expect(loadEstimate.estimateLoad(load, { ...options, nowMs: 0 })).toBe(5);
  });
});
