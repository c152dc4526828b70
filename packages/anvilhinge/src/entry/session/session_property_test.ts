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
      case "stall": {
        const answerCount = driver.listEffects("answer").length;
        driver.feed({ kind: "timer", name: "stall" });
        expect(driver.listEffects("answer")).toHaveLength(answerCount);
        break;
      }
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

const eventCount = 5;

/** One input to a session of a stream without agents. */
type StreamInput =
  | AttemptInput
  | { readonly kind: "stall" | "slot" | "granted" | "denied" };

interface AttemptInput {
  readonly kind:
    | "next"
    | "partial"
    | "misplaced"
    | "empty"
    | "lost"
    | "unsent"
    | "refused"
    | "failed"
    | "failure_status";
  /** Selects one of the open attempts. */
  readonly choice: number;
}

const choice = fc.integer({ min: 0, max: 1 });
const streamInput: fc.Arbitrary<StreamInput> = fc.oneof(
  { weight: 24, arbitrary: fc.record({ kind: fc.constant("next"), choice }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "partial",
        "misplaced",
        "empty",
        "lost",
        "unsent",
        "refused",
        "failed",
        "failure_status",
      ),
      choice,
    }),
  },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant("stall") }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("slot") }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant("granted") }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("denied") }) },
) as fc.Arbitrary<StreamInput>;

function formatEvent(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** Frames of an answer that continues after an event. */
function buildEvents(resumeAfter: string | undefined) {
  const first = Number(resumeAfter ?? 0) + 1;
  const chunks = Array.from(
    { length: eventCount - first + 1 },
    (_, index) => sessionDriver.createChunk(formatEvent(first + index)),
  );
  const end = sessionDriver.createEnd(chunks.length + 2);
  return [sessionDriver.accepted, ...chunks, end];
}

/** Session of a stream whose choices either wait for a slot or are immediate. */
function createStreamDriver(isWaiting: boolean) {
  let isSlotRequested = false;
  let grantedCount = 0;
  /** Attempts that ended by themselves. */
  const ended = new Set<string>();
  /** Attempts whose answer became unusable; the session may cancel them. */
  const spoiled = new Set<string>();
  /** Attempts that sent part of an event and send no more. */
  const silent = new Set<string>();
  let hasEarlyEnd = false;
  const nextByAttempt = new Map<string, number>();
  const driver = sessionDriver.createDriver({
    request: { isRepeatable: true, delivery: "events" },
    options: {
      gate: "none",
      maxAttempts: attemptCount,
      chooseUpstream(attemptedIds) {
        if (isWaiting) {
          isSlotRequested = true;
          return { kind: "wait" };
        }
        const upstream = sessionDriver.createUpstream(attemptedIds.size);
        return { kind: "chosen", upstream };
      },
      withdrawSlotRequest: () => void (isSlotRequested = false),
    },
  });

  function listOpen(): readonly string[] {
    const cancelled = driver.listEffects("cancel");
    return driver.listEffects("dispatch")
      .map((effect) => effect.attempt.attemptId)
      .filter((id) =>
        !ended.has(id) && !cancelled.some(({ attemptId }) => attemptId === id)
      );
  }

  function buildNext(attemptId: string) {
    const dispatched = driver.listEffects("dispatch")
      .find((effect) => effect.attempt.attemptId === attemptId);
    return buildEvents(dispatched?.attempt.resumeAfter)[
      nextByAttempt.get(attemptId) ?? 0
    ];
  }

  /** Builds a frame, or returns undefined if the attempt can't send it now. */
  function buildBody(
    kind: Exclude<AttemptInput["kind"], "lost" | "unsent">,
    attemptId: string,
  ): frames.FrameBody | undefined {
    const isBegun = nextByAttempt.has(attemptId);
    const load = sessionDriver.noLoad;
    switch (kind) {
      case "next":
        return spoiled.has(attemptId) || silent.has(attemptId)
          ? undefined
          : buildNext(attemptId);
      case "partial":
        return isBegun ? sessionDriver.createChunk("id: ") : undefined;
      case "misplaced":
        return isBegun && !silent.has(attemptId) && driver.getText() !== ""
          ? sessionDriver.createChunk(formatEvent(90))
          : undefined;
      case "empty":
        return isBegun
          ? sessionDriver.createEnd((nextByAttempt.get(attemptId) ?? 0) + 1)
          : undefined;
      case "refused":
        return isBegun ? undefined : sessionDriver.createRefusal("overloaded");
      case "failure_status":
        return isBegun
          ? undefined
          : { kind: "accepted", incarnation: "i", head: failureHead };
      case "failed":
        return { kind, message: "broken", load };
    }
  }

  function feedSlot(kind: "granted" | "denied"): void {
    if (!isSlotRequested) return;
    isSlotRequested = false;
    grantedCount += 1;
    driver.feed(
      kind === "denied"
        ? { kind, reason: "full", retryAfterMs: 0 }
        : { kind, upstream: sessionDriver.createUpstream(grantedCount) },
    );
  }

  function feedLost(attemptId: string, isSent: boolean): void {
    if (!isSent && nextByAttempt.has(attemptId)) return;
    ended.add(attemptId);
    const message = "broken";
    driver.feed({ kind: "lost", attemptId, sent: isSent, message });
  }

  function feedAttempt({ kind, choice }: AttemptInput): void {
    const open = listOpen();
    const attemptId = open[choice % open.length];
    if (attemptId === undefined) return;
    if (kind === "lost" || kind === "unsent") {
      return feedLost(attemptId, kind === "lost");
    }
    const body = buildBody(kind, attemptId);
    if (body === undefined) return;
    const sequence = nextByAttempt.get(attemptId) ?? 0;
    nextByAttempt.set(attemptId, sequence + 1);
    if (kind === "partial") silent.add(attemptId);
    else if (kind !== "next") spoiled.add(attemptId);
    hasEarlyEnd ||= kind === "empty";
    if (body.kind !== "accepted" && body.kind !== "chunk") ended.add(attemptId);
    driver.feedFrame(Number(attemptId.slice(1)), sequence, { body });
  }

  function feedInput(input: StreamInput): void {
    switch (input.kind) {
      case "stall":
      case "slot":
        return driver.feed({ kind: "timer", name: input.kind });
      case "granted":
      case "denied":
        return feedSlot(input.kind);
      default:
        return feedAttempt(input);
    }
  }

  /** Whether a timer to request a slot is set and has not fired. */
  function isSlotTimerSet(): boolean {
    const isFired = (effect: session.SessionEffect) =>
      effect.kind === "set_timer" && effect.name === "slot";
    return driver.effects.some(isFired);
  }

  return {
    driver,
    listOpen,
    /** Whether an upstream said that its answer was whole too early. */
    hasEarlyEnd: () => hasEarlyEnd,
    isSlotExpected: () => isSlotRequested || isSlotTimerSet(),
    feed(input: StreamInput): void {
      if (driver.session.isDone()) return;
      const openBefore = listOpen();
      feedInput(input);
      const open = listOpen();
      const isCancelled = openBefore.some((id) =>
        !open.includes(id) && !ended.has(id) && !spoiled.has(id)
      );
      if (!isCancelled || driver.listEffects("end").length > 0) return;
      expect(openBefore.some((id) => open.includes(id) && !spoiled.has(id)))
        .toBe(true);
    },
  };
}

const failureHead = { status: 503, headers: [] };

describe.each([["waits for a slot", true], ["is immediate", false]])(
  "when the choice of an upstream %s, a stream",
  (_, isWaiting) => {
    it("is in order, and broken off only when no attempt is left", () => {
      const counts = { completed: 0, failed: 0, replaced: 0 };
      fc.assert(
        fc.property(
          fc.array(streamInput, { minLength: 10, maxLength: 60, size: "max" }),
          (inputs) => {
            const { driver, ...stream } = createStreamDriver(isWaiting);
            for (const input of inputs) stream.feed(input);
            const ids = Array.from({ length: eventCount }, (_, n) => n + 1);
            const whole = ids.map(formatEvent).join("");
            expect(whole.startsWith(driver.getText())).toBe(true);
            const answers = driver.listEffects("answer");
            const ends = driver.listEffects("end");
            expect(answers.length + ends.length)
              .toBe(driver.session.isDone() ? 1 : 0);
            if (answers.length === 1) {
              counts.failed += 1;
              expect(stream.listOpen()).toEqual([]);
            }
            if (ends.length === 1) {
              counts.completed += 1;
              if (!stream.hasEarlyEnd()) expect(driver.getText()).toBe(whole);
            }
            if (!driver.session.isDone()) {
              const open = stream.listOpen().length;
              expect(open).toBeLessThanOrEqual(2);
              expect(open > 0 || stream.isSlotExpected()).toBe(true);
            }
            counts.replaced += driver.listEffects("observe")
              .filter(({ cause }) => cause === "stalled").length;
          },
        ),
        { seed, numRuns: 2_500 },
      );
      // Ensures that the inputs reach each outcome often.
      for (const count of Object.values(counts)) {
        expect(count).toBeGreaterThan(100);
      }
    });
  },
);
