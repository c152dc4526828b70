import * as admission from "./admission.ts";
import * as clock from "./clock.ts";

function createLoadedAdmission(queued: number) {
  const manual = clock.createManualClock();
  const tested = admission.createAdmission({
    clock: manual,
    readLoad: () => ({ running: 4, queued }),
    safetyFactor: 1,
  });
  // One request ends every 100 ms.
  for (let end = 0; end < 200; end += 1) {
    tested.recordStart(4);
    manual.advance(100);
    tested.recordEnd(4);
  }
  return { tested, manual };
}

test("admits all requests while the queue is empty or the rate is unknown", () => {
  const withoutQueue = createLoadedAdmission(0).tested;
  expect(withoutQueue.decide({ priority: 9, deadlineMs: 1 }).kind).toBe(
    "admitted",
  );
  const withoutRate = admission.createAdmission({
    clock: clock.createManualClock(),
    readLoad: () => ({ running: 4, queued: 50 }),
  });
  expect(withoutRate.decide({ priority: 9, deadlineMs: 1 }).kind).toBe(
    "admitted",
  );
});

test("refuses a request that cannot meet its deadline, with a retry delay", () => {
  const { tested } = createLoadedAdmission(10);
  for (let open = 0; open < 14; open += 1) tested.recordStart(4);
  // 10 queued requests of 100 ms each, then 4 x 100 ms of work: 1.4 s.
  expect(tested.decide({ priority: 4, deadlineMs: 1_500 }).kind)
    .toBe("admitted");
  const refused = tested.decide({ priority: 4, deadlineMs: 1_000 });
  expect(refused.kind).toBe("overloaded");
  const retryAfterMs = refused.kind === "overloaded" ? refused.retryAfterMs : 0;
  expect(retryAfterMs).toBeGreaterThan(350);
  expect(retryAfterMs).toBeLessThan(450);
});

test("sheds the least urgent requests first", () => {
  const { tested } = createLoadedAdmission(10);
  for (let open = 0; open < 14; open += 1) tested.recordStart(4);
  const deadlineMs = 1_000;
  expect(tested.decide({ priority: 2, deadlineMs }).kind).toBe("admitted");
  expect(tested.decide({ priority: 6, deadlineMs }).kind).toBe("overloaded");
});

test("admits a request again after others have ended", () => {
  const { tested, manual } = createLoadedAdmission(10);
  for (let open = 0; open < 14; open += 1) tested.recordStart(4);
  const request = { priority: 4, deadlineMs: 1_300 };
  expect(tested.decide(request).kind).toBe("overloaded");
  for (let end = 0; end < 3; end += 1) {
    manual.advance(100);
    tested.recordEnd(4);
  }
  expect(tested.decide(request).kind).toBe("admitted");
});
