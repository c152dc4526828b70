import * as clock from "@anvilhinge/coordination/clock";
import * as stopAdmission from "./stop_admission.ts";

const stopAtMs = 7_600;
const size = { route: "r", maxTokens: 100, targetMs: undefined };

function createAdmission({ startMs = 0, isStopping = true } = {}) {
  const manual = clock.createManualClock(startMs);
  const admission = stopAdmission.createStopAdmission({
    clock: manual,
    getStopAtMs: () => isStopping ? stopAtMs : undefined,
  });
  return {
    admission,
    record(count: number, tookMs: number, answer = size) {
      for (let index = 0; index < count; index += 1) {
        admission.recordAnswer(answer, tookMs);
      }
    },
  };
}

test("before a stop every request has time", () => {
  const { admission } = createAdmission({ isStopping: false });
  expect(admission.hasTimeFor(size, Infinity)).toBe(true);
});

test.each([
  ["a deadline before the end", 3_000, 7_500, 0, true],
  ["a deadline after the end, no answers known", 0, 8_000, 0, false],
  ["too few answers known", 0, 8_000, 19, false],
  ["enough answers known, early", 3_000, 11_000, 20, true],
  ["enough answers known, late", 6_000, 14_000, 20, false],
])("%s", (_name, startMs, deadlineAtMs, answers, expected) => {
  const { admission, record } = createAdmission({ startMs });
  record(answers, 2_000);
  expect(admission.hasTimeFor(size, deadlineAtMs)).toBe(expected);
});

test.each([
  ["early", 6_900, true],
  ["late", 7_100, false],
])(
  "a whole answer of which too few are known, %s",
  (_name, startMs, expected) => {
    const { admission, record } = createAdmission({ startMs });
    record(19, 5_000);
    expect(admission.hasTimeFor({ ...size, targetMs: 200 }, 20_000))
      .toBe(expected);
  },
);

test.each([
  ["as long as the known ones", 100, true],
  ["shorter", 1, true],
  ["four times as long", 400, false],
])("an answer that may be %s", (_name, maxTokens, expected) => {
  const { admission, record } = createAdmission({ startMs: 3_000 });
  record(50, 1_000);
  expect(admission.hasTimeFor({ ...size, maxTokens }, 20_000)).toBe(expected);
});

test("one slow answer counts until enough later ones are known", () => {
  const { admission, record } = createAdmission({ startMs: 3_000 });
  record(1, 5_000);
  record(49, 100);
  expect(admission.hasTimeFor(size, 20_000)).toBe(false);
  record(1, 100);
  expect(admission.hasTimeFor(size, 20_000)).toBe(true);
});

test("answers of other routes don't count, and old routes are dropped", () => {
  const { admission, record } = createAdmission({ startMs: 3_000 });
  record(50, 100, { ...size, route: "other" });
  expect(admission.hasTimeFor({ ...size, route: "other" }, 20_000)).toBe(true);
  expect(admission.hasTimeFor(size, 20_000)).toBe(false);
  for (let index = 0; index < 1_000; index += 1) {
    record(1, 100, { ...size, route: `route ${index}` });
  }
  expect(admission.hasTimeFor({ ...size, route: "other" }, 20_000)).toBe(false);
});
