/** Events, effects and options of the session state machine. */
import type * as claims from "@anvilhinge/coordination/claims";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../../ports/engine.ts";
import type * as frames from "../../ports/frames.ts";

/** An upstream to which an attempt can be dispatched. */
export interface Upstream {
  /** `<group>/<rank>`; the platform's id of a routed upstream. */
  readonly id: string;
  /** Name of the group; the service of a routed upstream. */
  readonly group: string;
  readonly rank: number;
  /** Address of the agent or of the routed upstream, as `host:port`. */
  readonly address: string;
  /** Half to which the group is assigned. */
  readonly half: string;
  /** Epoch of that assignment. */
  readonly epoch: number;
}

/** Result of choosing an upstream for the next attempt. */
export type UpstreamChoice =
  | { readonly kind: "chosen"; readonly upstream: Upstream }
  /** A slot was requested; a `granted` or `denied` event follows. */
  | { readonly kind: "wait" }
  | {
    readonly kind: "none";
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** A request as received from the caller. */
export interface Request {
  readonly requestId: string;
  readonly workspace: string;
  readonly work: frames.Work;
  /** False when running the request twice would take effect twice. */
  readonly isRepeatable: boolean;
  /**
   * True when the caller supplied the id or idempotency key, so that an earlier
   * submission of the request may exist.
   */
  readonly isNamed: boolean;
  /** Digest of service, method, path and body; empty if repeatable. */
  readonly digest: string;
  readonly priority: number;
  /** Time on the entry's clock by which the caller expects the answer. */
  readonly deadlineAtMs: number;
  /**
   * How the answer is delivered. `streamed`: data is forwarded as it arrives.
   * `whole`: data is buffered until the end frame, so that an interrupted
   * answer can be retried. `events`: only complete server-sent events are
   * forwarded, so that an interrupted stream can continue at another upstream.
   */
  readonly delivery: "streamed" | "whole" | "events";
  /** Id of the last event that the caller received from an earlier answer. */
  readonly resumeAfter?: string;
}

/** Position at which to resume an attempt that an entry followed earlier. */
export interface ResumePoint {
  readonly upstream: Upstream;
  readonly attemptId: string;
  readonly fromSequence: number;
}

/**
 * What admits attempts in front of an upstream. `agent`: an agent, which
 * reports its incarnation and clock, admits claimed attempts and can seal them.
 * `none`: attempts go directly to the upstream, so an attempt that may have
 * reached it may have run.
 */
export type UpstreamGate = "agent" | "none";

export interface SessionOptions {
  /** @default "agent" */
  readonly gate?: UpstreamGate;
  readonly clock: clock.Clock;
  /** Wall-clock time in milliseconds since 1970, for the age of claims. */
  readonly readWallMs: () => number;
  readonly createAttemptId: () => string;
  /** Chooses an upstream whose id is not in `attemptedIds`, if there is one. */
  readonly chooseUpstream: (
    attemptedIds: ReadonlySet<string>,
  ) => UpstreamChoice;
  /**
   * Withdraws the slot request of a `wait` choice, or releases its slot if the
   * slot was granted and no attempt was dispatched. Required if `chooseUpstream`
   * returns `wait`.
   */
  readonly withdrawSlotRequest?: () => void;
  /** Takes one retry from the retry budget; false when it is exhausted. */
  readonly takeRetry: () => boolean;
  /**
   * Maximum number of attempts per request.
   * @default 4
   */
  readonly maxAttempts?: number;
  /**
   * Maximum number of times that the broken stream of one attempt is resumed.
   * Also the number of stalls in sequence that only resume a started attempt;
   * later stalls also request its replacement.
   * @default 3
   */
  readonly maxResumes?: number;
  /**
   * Time without a frame after which a running attempt is considered stalled,
   * in milliseconds.
   * @default 5000
   */
  readonly stallMs?: number;
  /**
   * Maximum number of bytes of an answer that the session buffers. A longer
   * whole answer is passed to the sink as it arrives; a longer event ends its
   * attempt.
   * @default 8388608
   */
  readonly bufferLimitBytes?: number;
  /** Resumes an existing attempt instead of starting an attempt. */
  readonly resumePoint?: ResumePoint;
}

/** Outcome of a request for the agent's description, before the dispatch. */
export type PrepareOutcome =
  | (frames.AgentDescription & { readonly kind: "described" })
  /** The agent did not respond; the attempt was not dispatched. */
  | { readonly kind: "unreachable" };

/** Outcome of a seal; `unreachable` when the agent did not respond. */
export type SealResult = frames.SealOutcome | "unreachable";

export type SessionEvent =
  | { readonly kind: "arrived" }
  | {
    readonly kind: "prepared";
    readonly attemptId: string;
    readonly outcome: PrepareOutcome;
  }
  /** The waiting session received a slot at an upstream. */
  | { readonly kind: "granted"; readonly upstream: Upstream }
  /** The waiting session will not receive a slot. */
  | {
    readonly kind: "denied";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  | {
    readonly kind: "claim_answered";
    readonly attemptId: string;
    readonly result: claims.ClaimResult;
  }
  | { readonly kind: "found"; readonly result: claims.ClaimResult }
  | { readonly kind: "frame"; readonly frame: frames.Frame }
  /**
   * The call to the agent or upstream failed; `sent` is false when no part of
   * it left this node.
   */
  | {
    readonly kind: "lost";
    readonly attemptId: string;
    readonly sent: boolean;
    readonly message: string;
  }
  | {
    readonly kind: "seal_answered";
    readonly attemptId: string;
    readonly outcome: SealResult;
  }
  | {
    readonly kind: "timer";
    readonly name: TimerName;
    /** Whether the caller has yet to take data that it was sent. */
    readonly isCallerBehind?: boolean;
  }
  | { readonly kind: "caller_gone" };

/** `slot`: a slot is requested again after a refusal. */
export type TimerName = "deadline" | "stall" | "slot";

/** Whether a request ran, at least in part, and so may have had an effect. */
export type RunStatus = "no" | "yes" | "unknown";

/**
 * Why the session ended an attempt before its answer was whole. `broken`: the
 * connection to the upstream or agent ended, or the answer was short. `invalid`:
 * it can't be the answer to the request. `misplaced`: a part of the answer
 * was missing or repeated. `oversized`: an event exceeded the buffer's limit, so
 * it may never end. `stalled`: another attempt replaced it. `redundant`: the
 * attempt that it was to replace delivered data or completed.
 */
export type AttemptEndCause =
  | "broken"
  | "invalid"
  | "misplaced"
  | "oversized"
  | "stalled"
  | "redundant"
  | "deadline"
  | "caller_gone";

/** Final result for a caller whose answer could not be completed. */
export type FinalAnswer =
  /** The request did not run. */
  | {
    readonly kind: "not_run";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** A repeatable request did not complete; the caller may send it again. */
  | {
    readonly kind: "failed";
    readonly message: string;
    readonly ran: RunStatus;
  }
  /**
   * Whether the request ran is unknown. If upstreams have agents, the caller can
   * query the outcome later by the request id.
   */
  | {
    readonly kind: "unknown";
    readonly message: string;
    readonly retryAfterMs: number;
  }
  | {
    readonly kind: "deadline_exceeded";
    readonly message: string;
    readonly ran: RunStatus;
  }
  /**
   * The request id or idempotency key was already used for a different service,
   * method, path or body; this request did not run.
   */
  | { readonly kind: "other_body" }
  /** The request ran earlier, and its answer was too large to record. */
  | { readonly kind: "already_run"; readonly status: number };

export type SessionEffect =
  /** Obtain the agent's incarnation and clock; answered by `prepared`. */
  | {
    readonly kind: "prepare";
    readonly upstream: Upstream;
    readonly attemptId: string;
  }
  /** Store a claim durably; answered by `claim_answered`. */
  | {
    readonly kind: "claim";
    readonly claim: claims.NewClaim;
    readonly replaces?: string;
  }
  /** Look up the claim of this call; answered by `found`. */
  | { readonly kind: "find" }
  /** Record the outcome of a claimed attempt. */
  | {
    readonly kind: "settle";
    readonly attemptId: string;
    readonly state: Exclude<claims.ClaimState, { readonly kind: "claimed" }>;
    readonly claim?: claims.NewClaim;
  }
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
  /** Prevent the attempt from starting; answered by `seal_answered`. */
  | {
    readonly kind: "seal";
    readonly upstream: Upstream;
    readonly seal: frames.SealRequest;
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
  /**
   * Report the end of an attempt, for the health and load of the upstream.
   * `completed` includes attempts that the session ended before their dispatch,
   * and attempts that made progress until their caller disconnected.
   * `abandoned`: the session ended the attempt for a reason unrelated to the
   * upstream.
   */
  | {
    readonly kind: "observe";
    readonly upstream: Upstream;
    readonly outcome:
      | "completed"
      | "refused"
      | "failed"
      | "lost"
      | "abandoned";
    readonly load?: engine.EngineLoad;
    readonly cause?: AttemptEndCause;
  }
  /** Drop a frame that is not the next one of the current attempt. */
  | { readonly kind: "drop"; readonly frame: frames.Frame };

/** State machine that handles one request. */
export interface Session {
  handle(event: SessionEvent): readonly SessionEffect[];
  isDone(): boolean;
}
