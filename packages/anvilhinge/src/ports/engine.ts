/**
 * Interface between an agent and the local process that it fronts: a rank of a
 * model group, or a replica of a plain service.
 */

/** Status and headers of an answer, available before the first body byte. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
}

export type EngineEvent =
  | { readonly kind: "head"; readonly head: AnswerHead }
  | { readonly kind: "data"; readonly data: Uint8Array }
  | { readonly kind: "end" }
  /** `started` is false only if the work certainly did not begin. */
  | {
    readonly kind: "failed";
    readonly message: string;
    readonly started: boolean;
  };

export interface EngineRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  /** Path and query, with a leading slash. */
  readonly path: string;
  readonly headers: readonly (readonly [name: string, value: string])[];
  readonly body: Uint8Array;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Cancels the work. */
  readonly signal: AbortSignal;
  readonly onEvent: (event: EngineEvent) => void;
}

/** Load that the engine last reported, which may be out of date. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  /** Duration of the last forward pass in microseconds; 0 when unknown. */
  readonly stepUs: number;
}

export interface Engine {
  /** Starts work; emits `head`, `data`..., then either `end` or `failed`. */
  start(request: EngineRequest): void;
  readLoad(): EngineLoad;
}
