/**
 * Messages between an entry and an agent in the form that the state machines
 * use. A frame belongs to one attempt of one request; sequence numbers start at
 * 0 and have no gaps within an attempt.
 */
import type * as engine from "./engine.ts";

/** Why an agent refused an attempt, which it will never start. */
export type RefusalReason =
  | "wrong_epoch"
  | "leaving"
  | "not_yet_owned"
  | "stopping"
  | "sealed"
  | "overloaded"
  | "wrong_incarnation"
  /** The address now belongs to another group or upstream. */
  | "wrong_group"
  /** The local process that the agent fronts accepted no work. */
  | "engine_unavailable"
  /** The attempt arrived after the latest time at which it could start. */
  | "expired";

export type FrameBody =
  | {
    readonly kind: "accepted";
    readonly incarnation: string;
    readonly head: engine.AnswerHead;
  }
  | { readonly kind: "chunk"; readonly data: Uint8Array }
  | {
    readonly kind: "end";
    /** Number of frames of the attempt, including the `end` frame. */
    readonly frameCount: number;
    readonly load: engine.EngineLoad;
  }
  /** The attempt did not start and never will. */
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
    readonly load: engine.EngineLoad;
  }
  /** The attempt started and did not complete. */
  | {
    readonly kind: "failed";
    readonly message: string;
    readonly load: engine.EngineLoad;
  }
  /** Answer to a resume request: the agent does not hold the attempt. */
  | { readonly kind: "not_held" };

export interface Frame {
  readonly requestId: string;
  readonly attemptId: string;
  readonly sequence: number;
  readonly body: FrameBody;
}

/** Payload of a request to an upstream. */
export type Work =
  | {
    readonly kind: "model";
    readonly model: string;
    readonly body: Uint8Array;
  }
  | {
    readonly kind: "service";
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
  };

/** One dispatch of a request to one upstream. */
export interface Attempt {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  /** Half that dispatches the attempt. */
  readonly half: string;
  /** Epoch of the group's assignment to that half. */
  readonly epoch: number;
  readonly group: string;
  readonly rank: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Incarnation of the agent that may run the attempt; others refuse it. */
  readonly incarnation: string;
  /** Time on the agent's clock after which the agent refuses the attempt. */
  readonly startByMs: number;
  /** False if a second run would repeat the effect (not idempotent). */
  readonly isRepeatable: boolean;
  readonly work: Work;
  /** Id of the event after which the upstream continues the stream. */
  readonly resumeAfter?: string;
}

/** An agent's incarnation and clock reading, from which start limits derive. */
export interface AgentDescription {
  readonly incarnation: string;
  readonly nowMs: number;
}

/** Identifies an attempt and the limits within which it could start. */
export interface SealRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly incarnation: string;
  readonly startByMs: number;
}

/**
 * Outcome of sealing an attempt; sealing forbids the start of an attempt that
 * has not started yet. `sealed`: the attempt did not start and never will.
 * `unknown`: the agent has restarted, or its record is past retention.
 */
export type SealOutcome = "sealed" | "running" | "finished" | "unknown";

/** Longest time from an `AgentDescription` to the start of an attempt. */
export const startWindowMs = 10_000;
