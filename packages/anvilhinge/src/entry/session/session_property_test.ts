import fc from "fast-check";
import type * as frames from "../../ports/frames.ts";
import * as sessionDriver from "../../testing/session_driver.ts";
import type * as session from "./session.ts";

const chunkCount = 4;
const attemptCount = 4;
const seed = 20_261_203;

/** One input to a session. */
type SessionInput =
  /** The next frame of an attempt, in order. */
  | { readonly kind: "next"; readonly attempt: number }
  /** Any frame of an attempt: late, duplicate, out of order, or foreign. */
  | {
    readonly kind: "any";
    readonly attempt: number;
    readonly sequence: number;
    /** True if the frame belongs to another request. */
    readonly isForeign: boolean;
    /** Sequence number that the frame of another request carries. */
    readonly claimedSequence: number;
  }
  | { readonly kind: "lost"; readonly attempt: number }
  | { readonly kind: "stall" }
  | {
    readonly kind: "sealed";
    readonly attempt: number;
    readonly outcome: frames.SealOutcome;
  };

/** Frames of one attempt's answer; the texts of all answers differ. */
function buildAnswer(attempt: number): readonly frames.FrameBody[] {
  const chunks = Array.from(
    { length: chunkCount },
    (_, index) => sessionDriver.createChunk(formatPiece(attempt, index)),
  );
  const end = sessionDriver.createEnd(chunkCount + 2);
  return [sessionDriver.accepted, ...chunks, end];
}

function formatPiece(attempt: number, index: number): string {
  return `<${attempt}.${index}>`;
}

const attempt = fc.integer({ min: 1, max: attemptCount });
const sequence = fc.integer({ min: 0, max: chunkCount + 1 });
const anyInput: fc.Arbitrary<SessionInput> = fc.oneof(
  { weight: 20, arbitrary: fc.record({ kind: fc.constant("next"), attempt }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("any"),
      attempt,
      sequence,
      isForeign: fc.boolean(),
      claimedSequence: sequence,
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("lost"), attempt }) },
  { weight: 1, arbitrary: fc.constant({ kind: "stall" }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("sealed"),
      attempt,
      outcome: fc.constantFrom("sealed", "running", "finished", "unknown"),
    }),
  },
) as fc.Arbitrary<SessionInput>;

function feedInputs(
  inputs: readonly SessionInput[],
  request: Partial<session.Request>,
): sessionDriver.Driver {
  const driver = sessionDriver.createDriver({ request });
  const nextByAttempt = new Map<number, number>();
  for (const input of inputs) {
    switch (input.kind) {
      case "next": {
        const next = nextByAttempt.get(input.attempt) ?? 0;
        const body = buildAnswer(input.attempt)[next];
        nextByAttempt.set(input.attempt, next + 1);
        if (body !== undefined) driver.feedFrame(input.attempt, next, { body });
        break;
      }
      case "any": {
        // A frame of another request may have any content and sequence number.
        const frameSequence = input.isForeign
          ? input.claimedSequence
          : input.sequence;
        const body = buildAnswer(input.attempt)[input.sequence]!;
        const requestId = input.isForeign ? "r2" : "r1";
        driver.feedFrame(input.attempt, frameSequence, { body, requestId });
        break;
      }
      case "lost": {
        const attemptId = `a${input.attempt}`;
        const message = "broken";
        driver.feed({ kind: "lost", attemptId, sent: true, message });
        break;
      }
      case "stall":
        driver.feed({ kind: "timer", name: "stall" });
        break;
      case "sealed": {
        const attemptId = `a${input.attempt}`;
        const { outcome } = input;
        driver.feed({ kind: "seal_answered", attemptId, outcome });
        break;
      }
    }
  }
  return driver;
}

describe.each(
  [
    { isRepeatable: true, delivery: "streamed" },
    { isRepeatable: true, delivery: "whole" },
    { isRepeatable: false, delivery: "whole" },
  ] as const,
)("with events in any order, the answer to %j", (request) => {
  test("is a prefix of one attempt's answer, and complete only with an end frame", () => {
    let completed = 0;
    fc.assert(
      fc.property(
        fc.array(anyInput, { minLength: 10, maxLength: 60, size: "max" }),
        (inputs) => {
          const driver = feedInputs(inputs, request);
          const text = driver.getText();
          const answers = Array.from(
            { length: attemptCount },
            (_, index) =>
              Array.from(
                { length: chunkCount },
                (_, chunk) => formatPiece(index + 1, chunk),
              ).join(""),
          );
          expect(answers.some((full) => full.startsWith(text))).toBe(
            true,
          );
          const finalEffects = [
            ...driver.listEffects("end"),
            ...driver.listEffects("answer"),
          ];
          expect(finalEffects.length).toBeLessThanOrEqual(1);
          if (driver.listEffects("end").length === 1) {
            completed += 1;
            expect(answers).toContain(text);
          } else if (request.delivery === "whole") {
            expect(text).toBe("");
          }
        },
      ),
      { seed, numRuns: 1_500 },
    );
    // Ensures that the inputs complete enough answers for a meaningful check.
    expect(completed).toBeGreaterThan(100);
  });
});
