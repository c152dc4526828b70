/** Events, effects and options of the state machine of one request. */
import type * as claims from "@anvilhinge/coordination/claims";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../../ports/engine.ts";
import type * as frames from "../../ports/frames.ts";

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

export type UpstreamChoice =
  | { readonly kind: "chosen"; readonly upstream: Upstream }
  /** All upstreams are busy; a `granted` or `denied` event follows. */
  | { readonly kind: "wait" }
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
  /** True when the caller named it, so that it may have been sent before. */
  readonly isNamed: boolean;
  /** Digest of method, path and body; empty for repeatable work. */
  readonly digest: string;
  readonly priority: number;
  /** Instant on the clock by which the caller wants the answer. */
  readonly deadlineAtMs: number;
  /**
   * `streamed` delivers data as it arrives; `whole` holds it back until the
   * end frame, so that an answer that breaks can be retried; `events` delivers
   * whole server-sent events, so that a stream that breaks can go on elsewhere.
   */
  readonly delivery: "streamed" | "whole" | "events";
  /** Id of the last event that the caller has of an earlier answer. */
  readonly resumeAfter?: string;
}

/** A point within the answer of an attempt that an earlier entry followed. */
export interface ResumePoint {
  readonly upstream: Upstream;
  readonly attemptId: string;
  readonly fromSequence: number;
}

/**
 * What stands before an upstream. `agent`: an agent that describes itself,
 * admits claimed attempts and can seal them. `none`: the upstream itself; what
 * may have reached it may have run.
 */
export type UpstreamGate = "agent" | "none";

export interface SessionOptions {
  /** @default "agent" */
  readonly gate?: UpstreamGate;
  readonly clock: clock.Clock;
  /** Wall-clock time in milliseconds since 1970, for the age of claims. */
  readonly readWallMs: () => number;
  readonly createAttemptId: () => string;
  /** Chooses an upstream that is not in `tried`, if there is one. */
  readonly chooseUpstream: (tried: ReadonlySet<string>) => UpstreamChoice;
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

/** What is known of the agent before an attempt is sent to it. */
export type PrepareOutcome =
  | (frames.AgentDescription & { readonly kind: "described" })
  /** Nothing of the attempt was sent. */
  | { readonly kind: "unreachable" };

export type SealResult = frames.SealOutcome | "unreachable";

export type SessionEvent =
  | { readonly kind: "arrived" }
  | {
    readonly kind: "prepared";
    readonly attemptId: string;
    readonly outcome: PrepareOutcome;
  }
  /** A place was found for a session that waits. */
  | { readonly kind: "granted"; readonly upstream: Upstream }
  /** A session that waits gets no place. */
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
    readonly outcome: SealResult;
  }
  | { readonly kind: "timer"; readonly name: TimerName }
  | { readonly kind: "caller_gone" };

export type TimerName = "deadline" | "stall";

/** Whether a request had any effect. */
export type RunStatus = "no" | "yes" | "unknown";

/** The last word to a caller whose answer could not be completed. */
export type FinalAnswer =
  /** The request did not run. */
  | {
    readonly kind: "not_run";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** A repeatable request did not complete; it may be sent again. */
  | {
    readonly kind: "failed";
    readonly message: string;
    readonly ran: RunStatus;
  }
  /** Whether the request ran is not known; ask later with the request id. */
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
  /** The request's id or key was used for another body; nothing ran now. */
  | { readonly kind: "other_body" }
  /** The request ran earlier; its answer was too large to be recorded. */
  | { readonly kind: "already_run"; readonly status: number };

export type SessionEffect =
  /** Learn the agent's incarnation and clock; answered by `prepared`. */
  | {
    readonly kind: "prepare";
    readonly upstream: Upstream;
    readonly attemptId: string;
  }
  /** Make a claim durable; answered by `claim_answered`. */
  | {
    readonly kind: "claim";
    readonly claim: claims.NewClaim;
    readonly replaces?: string;
  }
  /** Look the call up among the claims; answered by `found`. */
  | { readonly kind: "find" }
  /** Record how a claimed attempt ended. */
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
  /** Keep the attempt from starting; answered by `seal_answered`. */
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
