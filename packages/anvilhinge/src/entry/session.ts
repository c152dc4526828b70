/**
 * One caller's request at an entry, from arrival to its final answer: chooses
 * upstreams, follows the frames of the present attempt, retries work that did
 * not run, resumes a broken stream on the same generation, and seals attempts
 * whose start is uncertain. Deterministic: events in, effects out.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../ports/engine.ts";
import type * as frames from "../ports/frames.ts";

/** An upstream that a request may be sent to. */
export interface Upstream {
  /** `<group>/<rank>`. */
  readonly id: string;
  readonly group: string;
  readonly rank: number;
  /** Address of the agent as `host:port`. */
  readonly address: string;
  readonly half: string;
  readonly epoch: number;
}

export type Choice =
  | { readonly kind: "chosen"; readonly upstream: Upstream }
  | {
    readonly kind: "none";
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** The request as the caller sent it. */
export interface Request {
  readonly requestId: string;
  readonly workspace: string;
  readonly work: frames.Work;
  /** False when a second run would have a second effect. */
  readonly isRepeatable: boolean;
  readonly priority: number;
  /** Instant on the clock by which the caller wants the answer. */
  readonly deadlineAtMs: number;
  /**
   * `streamed` delivers data as it arrives; `whole` holds it back until the
   * end frame, so that an answer that breaks can be retried.
   */
  readonly delivery: "streamed" | "whole";
}

/** A point within the answer of an attempt that an earlier entry followed. */
export interface ResumePoint {
  readonly upstream: Upstream;
  readonly attemptId: string;
  readonly fromSequence: number;
}

export interface SessionOptions {
  readonly clock: clock.Clock;
  readonly createAttemptId: () => string;
  /** Chooses an upstream that is not in `tried`, if there is one. */
  readonly chooseUpstream: (tried: ReadonlySet<string>) => Choice;
  /** Takes one retry from the budget; false when the budget is used up. */
  readonly takeRetry: () => boolean;
  /**
   * Most attempts of one request.
   * @default 4
   */
  readonly maxAttempts?: number;
  /**
   * Most resumes of one attempt after its stream broke.
   * @default 3
   */
  readonly maxResumes?: number;
  /**
   * Longest silence of a running attempt before its stream counts as broken,
   * in milliseconds.
   * @default 5000
   */
  readonly stallMs?: number;
  /**
   * Most bytes of a whole answer that are held back; a longer answer is
   * delivered as it arrives.
   * @default 8388608
   */
  readonly wholeAnswerLimitBytes?: number;
  /** Continues this attempt instead of starting one. */
  readonly resumePoint?: ResumePoint;
}

export type SessionEvent =
  | { readonly kind: "arrived" }
  | { readonly kind: "frame"; readonly frame: frames.Frame }
  /** The call to the agent broke; `sent` is false when nothing left this node. */
  | {
    readonly kind: "lost";
    readonly attemptId: string;
    readonly sent: boolean;
    readonly message: string;
  }
  | {
    readonly kind: "seal_answered";
    readonly attemptId: string;
    readonly outcome: frames.SealOutcome | "unreachable";
  }
  | { readonly kind: "timer"; readonly name: TimerName }
  | { readonly kind: "caller_gone" };

export type TimerName = "deadline" | "stall";

/** The last word to a caller whose answer could not be completed. */
export type FinalAnswer =
  /** The request did not run. */
  | {
    readonly kind: "not_run";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** The request ran in part, or its answer was cut; it may be asked again. */
  | { readonly kind: "failed"; readonly message: string }
  /** Whether the request ran is not known; ask later with the request id. */
  | { readonly kind: "unknown"; readonly message: string }
  | { readonly kind: "deadline_exceeded"; readonly message: string };

export type SessionEffect =
  | {
    readonly kind: "dispatch";
    readonly upstream: Upstream;
    readonly attempt: frames.Attempt;
  }
  | {
    readonly kind: "resume";
    readonly upstream: Upstream;
    readonly attemptId: string;
    readonly fromSequence: number;
  }
  | {
    readonly kind: "seal";
    readonly upstream: Upstream;
    readonly attemptId: string;
  }
  | {
    readonly kind: "cancel";
    readonly upstream: Upstream;
    readonly attemptId: string;
  }
  | {
    readonly kind: "head";
    readonly head: engine.AnswerHead;
    readonly upstream: Upstream;
    readonly attemptId: string;
  }
  | {
    readonly kind: "data";
    readonly data: Uint8Array;
    readonly sequence: number;
  }
  | { readonly kind: "end" }
  | { readonly kind: "answer"; readonly answer: FinalAnswer }
  | {
    readonly kind: "set_timer";
    readonly name: TimerName;
    readonly delayMs: number;
  }
  /** An attempt ended; feeds health and load of the upstream. */
  | {
    readonly kind: "observe";
    readonly upstream: Upstream;
    readonly outcome: "completed" | "refused" | "failed" | "lost";
    readonly load?: engine.EngineLoad;
  }
  /** A frame that does not continue the present attempt was dropped. */
  | { readonly kind: "drop"; readonly frame: frames.Frame };

/** State machine of one request. */
export interface Session {
  handle(event: SessionEvent): readonly SessionEffect[];
  isDone(): boolean;
}

interface Running {
  readonly attemptId: string;
  readonly upstream: Upstream;
  nextSequence: number;
  resumes: number;
}

/** True when a call of the attempt may have reached its agent. */
function hasReached(running: Running): boolean {
  return running.nextSequence > 0 || running.resumes > 0;
}

const defaultMaxAttempts = 4;
const defaultMaxResumes = 3;
const defaultStallMs = 5_000;
const defaultWholeAnswerLimitBytes = 8 * 1024 * 1024;

/** Creates the state machine of one request; it acts on its first event. */
export function createSession(
  request: Request,
  options: SessionOptions,
): Session {
  const maxAttempts = options.maxAttempts ?? defaultMaxAttempts;
  const maxResumes = options.maxResumes ?? defaultMaxResumes;
  const stallMs = options.stallMs ?? defaultStallMs;
  const wholeAnswerLimitBytes = options.wholeAnswerLimitBytes ??
    defaultWholeAnswerLimitBytes;
  const tried = new Set<string>();
  let attempts = 0;
  let current: Running | undefined;
  /** Head and data that were received and not yet delivered. */
  let pending: SessionEffect[] = [];
  let pendingBytes = 0;
  let hasDelivered = false;
  let isDone = false;

  function finish(final: FinalAnswer): SessionEffect[] {
    isDone = true;
    current = undefined;
    return [{ kind: "answer", answer: final }];
  }

  function startFirst(): SessionEffect[] {
    const point = options.resumePoint;
    if (point === undefined) return startAttempt();
    const { upstream, attemptId, fromSequence } = point;
    attempts = maxAttempts;
    hasDelivered = true;
    current = {
      attemptId,
      upstream,
      nextSequence: fromSequence,
      resumes: 0,
    };
    return [
      { kind: "resume", upstream, attemptId, fromSequence },
      { kind: "set_timer", name: "stall", delayMs: stallMs },
    ];
  }

  function startAttempt(): SessionEffect[] {
    const leftMs = request.deadlineAtMs - options.clock.now();
    if (leftMs <= 0) {
      return finish({
        kind: "not_run",
        reason: "The deadline passed before an upstream was found",
        retryAfterMs: 0,
      });
    }
    const choice = options.chooseUpstream(tried);
    if (choice.kind === "none") {
      return finish({
        kind: "not_run",
        reason: choice.reason,
        retryAfterMs: choice.retryAfterMs,
      });
    }
    const upstream = choice.upstream;
    attempts += 1;
    tried.add(upstream.id);
    const attemptId = options.createAttemptId();
    pending = [];
    pendingBytes = 0;
    current = { attemptId, upstream, nextSequence: 0, resumes: 0 };
    const attempt: frames.Attempt = {
      requestId: request.requestId,
      attemptId,
      workspace: request.workspace,
      half: upstream.half,
      epoch: upstream.epoch,
      group: upstream.group,
      rank: upstream.rank,
      priority: request.priority,
      deadlineMs: leftMs,
      incarnation: "",
      work: request.work,
    };
    return [
      { kind: "dispatch", upstream, attempt },
      { kind: "set_timer", name: "stall", delayMs: stallMs },
    ];
  }

  /** Goes on after an attempt that surely did not run. */
  function retryNotRun(reason: string, retryAfterMs: number): SessionEffect[] {
    current = undefined;
    const mayRetry = attempts < maxAttempts && options.takeRetry();
    return mayRetry
      ? startAttempt()
      : finish({ kind: "not_run", reason, retryAfterMs });
  }

  /** Goes on after an attempt that ran, or may have run, without completing. */
  function retryFailed(message: string): SessionEffect[] {
    current = undefined;
    const mayRetry = request.isRepeatable && !hasDelivered &&
      attempts < maxAttempts && options.takeRetry();
    return mayRetry ? startAttempt() : finish({ kind: "failed", message });
  }

  function takePending(): SessionEffect[] {
    const taken = pending;
    pending = [];
    pendingBytes = 0;
    hasDelivered = true;
    return taken;
  }

  function receiveData(data: Uint8Array, sequence: number): SessionEffect[] {
    pending.push({ kind: "data", data, sequence });
    pendingBytes += data.byteLength;
    const mustDeliver = request.delivery === "streamed" || hasDelivered ||
      pendingBytes > wholeAnswerLimitBytes;
    return mustDeliver ? takePending() : [];
  }

  function handleLost(running: Running, message: string): SessionEffect[] {
    const { upstream, attemptId } = running;
    const observed: SessionEffect = {
      kind: "observe",
      upstream,
      outcome: "lost",
    };
    if (running.nextSequence > 0 && running.resumes < maxResumes) {
      running.resumes += 1;
      return [
        {
          kind: "resume",
          upstream,
          attemptId,
          fromSequence: running.nextSequence,
        },
        { kind: "set_timer", name: "stall", delayMs: stallMs },
      ];
    }
    if (request.isRepeatable) {
      return [
        observed,
        { kind: "cancel", upstream, attemptId },
        ...retryFailed(message),
      ];
    }
    if (running.nextSequence > 0) {
      return [observed, ...finish({ kind: "unknown", message })];
    }
    return [observed, { kind: "seal", upstream, attemptId }];
  }

  function handleFrame(frame: frames.Frame): SessionEffect[] {
    const running = current;
    if (
      running === undefined || frame.requestId !== request.requestId ||
      frame.attemptId !== running.attemptId ||
      frame.sequence < running.nextSequence
    ) {
      return [{ kind: "drop", frame }];
    }
    if (frame.sequence > running.nextSequence) {
      return [
        { kind: "drop", frame },
        ...handleLost(running, "Frames of the answer are missing"),
      ];
    }
    running.nextSequence += 1;
    return applyFrame(running, frame);
  }

  function applyFrame(running: Running, frame: frames.Frame): SessionEffect[] {
    const { upstream, attemptId } = running;
    const body = frame.body;
    switch (body.kind) {
      case "accepted":
        // Held back until the first data, so that work that fails before it
        // can still be retried elsewhere.
        pending = [{ kind: "head", head: body.head, upstream, attemptId }];
        return [{ kind: "set_timer", name: "stall", delayMs: stallMs }];
      case "chunk":
        return [
          ...receiveData(body.data, frame.sequence),
          { kind: "set_timer", name: "stall", delayMs: stallMs },
        ];
      case "end":
        if (body.frameCount !== frame.sequence + 1) {
          running.nextSequence -= 1;
          return handleLost(running, "The end frame does not match the answer");
        }
        isDone = true;
        current = undefined;
        return [
          { kind: "observe", upstream, outcome: "completed", load: body.load },
          ...takePending(),
          { kind: "end" },
        ];
      case "refused":
        return [
          { kind: "observe", upstream, outcome: "refused", load: body.load },
          ...retryNotRun(
            `Upstream ${upstream.id} refused: ${body.reason}`,
            body.retryAfterMs,
          ),
        ];
      case "failed":
        return [
          { kind: "observe", upstream, outcome: "failed", load: body.load },
          ...retryFailed(body.message),
        ];
      case "not_held":
        return handleNotHeld(upstream);
    }
  }

  function handleNotHeld(upstream: Upstream): SessionEffect[] {
    const message = `Upstream ${upstream.id} no longer holds the answer`;
    const observed: SessionEffect = {
      kind: "observe",
      upstream,
      outcome: "lost",
    };
    if (request.isRepeatable) return [observed, ...retryFailed(message)];
    return [observed, ...finish({ kind: "unknown", message })];
  }

  function handleSealAnswer(
    running: Running,
    outcome: frames.SealOutcome | "unreachable",
  ): SessionEffect[] {
    const { upstream, attemptId } = running;
    switch (outcome) {
      case "sealed":
        return retryNotRun(`Upstream ${upstream.id} did not start it`, 0);
      case "running":
      case "finished":
        running.resumes += 1;
        return [
          {
            kind: "resume",
            upstream,
            attemptId,
            fromSequence: running.nextSequence,
          },
          { kind: "set_timer", name: "stall", delayMs: stallMs },
        ];
      case "unreachable":
        return finish({
          kind: "unknown",
          message: `Contact with upstream ${upstream.id} was lost`,
        });
    }
  }

  function handleDeadline(): SessionEffect[] {
    const running = current;
    const message = "The deadline passed before the answer was complete";
    if (running === undefined) {
      return finish({ kind: "deadline_exceeded", message });
    }
    const { upstream, attemptId } = running;
    if (!request.isRepeatable) return finish({ kind: "unknown", message });
    return [
      { kind: "cancel", upstream, attemptId },
      ...finish({ kind: "deadline_exceeded", message }),
    ];
  }

  function handleCallerGone(): SessionEffect[] {
    const running = current;
    isDone = true;
    current = undefined;
    if (running === undefined || !request.isRepeatable) return [];
    const { upstream, attemptId } = running;
    return [{ kind: "cancel", upstream, attemptId }];
  }

  return {
    isDone: () => isDone,
    handle(event) {
      if (isDone) {
        return event.kind === "frame"
          ? [{ kind: "drop", frame: event.frame }]
          : [];
      }
      switch (event.kind) {
        case "arrived":
          return [
            {
              kind: "set_timer",
              name: "deadline",
              delayMs: Math.max(0, request.deadlineAtMs - options.clock.now()),
            },
            ...startFirst(),
          ];
        case "frame":
          return handleFrame(event.frame);
        case "lost":
          if (event.attemptId !== current?.attemptId) return [];
          // A refused connection proves that the attempt did not run only if no
          // earlier call of the attempt reached the agent.
          if (!event.sent && !hasReached(current)) {
            return [
              { kind: "observe", upstream: current.upstream, outcome: "lost" },
              ...retryNotRun(event.message, 0),
            ];
          }
          return handleLost(current, event.message);
        case "seal_answered":
          if (event.attemptId !== current?.attemptId) return [];
          return handleSealAnswer(current, event.outcome);
        case "timer":
          if (event.name === "deadline") return handleDeadline();
          return current === undefined
            ? []
            : handleLost(current, "The upstream sent nothing for too long");
        case "caller_gone":
          return handleCallerGone();
      }
    },
  };
}
