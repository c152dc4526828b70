/**
 * The messages between an entry and an agent, as the state machines see them.
 * A frame belongs to one attempt of one request; sequence numbers count from 0
 * without gaps within an attempt.
 */
import type * as engine from "./engine.ts";

/** Why an agent did not start an attempt, and never will. */
export type RefusalReason =
  | "wrong_epoch"
  | "leaving"
  | "not_yet_owned"
  | "stopping"
  | "sealed"
  | "overloaded"
  | "wrong_incarnation"
  /** The address belongs to another group or upstream now. */
  | "wrong_group"
  /** The process beside the agent took no work. */
  | "engine_unavailable"
  /** The call arrived after the instant by which it had to start. */
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
    /** Number of frames of the attempt, this one included. */
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
  /** Answer to a resume: this agent holds no such attempt. */
  | { readonly kind: "not_held" };

export interface Frame {
  readonly requestId: string;
  readonly attemptId: string;
  readonly sequence: number;
  readonly body: FrameBody;
}

/** What a request asks an upstream to do. */
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

/** One attempt to run a request at one upstream. */
export interface Attempt {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly half: string;
  readonly epoch: number;
  readonly group: string;
  readonly rank: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left in milliseconds. */
  readonly deadlineMs: number;
  /** Incarnation of the agent that may run it; all others refuse. */
  readonly incarnation: string;
  /** Instant on the agent's clock after which it must not start. */
  readonly startByMs: number;
  /** False when a second run would have a second effect. */
  readonly isRepeatable: boolean;
  readonly work: Work;
  /** Id of the event after which a stream goes on. */
  readonly resumeAfter?: string;
}

/** An agent's incarnation and its clock, on which attempts expire. */
export interface AgentDescription {
  readonly incarnation: string;
  readonly nowMs: number;
}

/** Names one attempt together with the limits of its start. */
export interface SealRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly incarnation: string;
  readonly startByMs: number;
}

/**
 * What a seal found. `sealed`: it did not start and never will. `unknown`: the
 * agent has restarted, or its record is past retention.
 */
export type SealOutcome = "sealed" | "running" | "finished" | "unknown";

/** How long after its description an attempt may start, in milliseconds. */
export const startWindowMs = 10_000;
