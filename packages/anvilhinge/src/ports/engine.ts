/**
 * What an agent asks of the process that it stands beside: a rank of a model
 * group, or a replica of a plain service.
 */

/** Status and headers of an answer, known before its first byte. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  /**
   * True when only the end of the connection ends the body: nobody can tell
   * whether it is whole.
   */
  readonly isCloseDelimited?: boolean;
}

export type EngineEvent =
  | { readonly kind: "head"; readonly head: AnswerHead }
  | { readonly kind: "data"; readonly data: Uint8Array }
  | { readonly kind: "end" }
  /** `started` is false only when the work surely did not begin. */
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
  /** Time left in milliseconds. */
  readonly deadlineMs: number;
  /** Cancels the work. */
  readonly signal: AbortSignal;
  readonly onEvent: (event: EngineEvent) => void;
}

/** Load as the engine reports it; lags behind the truth. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  /** Duration of the last step in microseconds; 0 when unknown. */
  readonly stepUs: number;
}

export interface Engine {
  /** Starts work; delivers `head`, `data`..., then one `end` or `failed`. */
  start(request: EngineRequest): void;
  readLoad(): EngineLoad;
}
