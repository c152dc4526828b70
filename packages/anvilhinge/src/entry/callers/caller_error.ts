/** Error answers for callers: typed JSON with a machine-readable code. */
import type * as session from "../session/session.ts";

/** Code of an error answer. */
export type CallerErrorCode =
  | "missing_workspace"
  | "unknown_workspace"
  | "unknown_model"
  | "unknown_service"
  | "invalid_body"
  | "body_too_large"
  | "invalid_header"
  | "not_found"
  | "not_run"
  | "failed"
  | "outcome_unknown"
  | "deadline_exceeded"
  | "other_body"
  | "already_run"
  | "record_unavailable"
  | "not_ready"
  | "internal";

/** An error answer before it is written to a connection. */
export interface CallerError {
  readonly status: number;
  readonly code: CallerErrorCode;
  /** Describes the problem, where it is, and how to solve it. */
  readonly message: string;
  /** Suggested delay before a retry, in milliseconds; 0 = no suggestion. */
  readonly retryAfterMs?: number;
  /** Whether the request ran; set if it does not follow from the code. */
  readonly ran?: session.RunStatus;
}

/** JSON body of an error answer. */
export interface CallerErrorBody {
  readonly error: {
    readonly code: CallerErrorCode;
    readonly message: string;
    readonly request_id: string;
    /** Whether the request ran, at least in part, and may have had an effect. */
    readonly ran: session.RunStatus;
  };
}

const millisecondsPerSecond = 1_000;

/** Converts the final answer of a session into an error answer. */
export function convertFinalAnswer(final: session.FinalAnswer): CallerError {
  switch (final.kind) {
    case "not_run":
      return {
        status: 503,
        code: "not_run",
        message: `The request did not run: ${final.reason}`,
        retryAfterMs: final.retryAfterMs,
      };
    case "failed":
      return {
        status: 502,
        code: "failed",
        message: `${final.message}; the call may be sent again`,
        ran: final.ran,
      };
    case "unknown":
      return {
        status: 504,
        code: "outcome_unknown",
        message: `${final.message}; ask GET /v1/requests/<request id> later`,
        retryAfterMs: final.retryAfterMs,
      };
    case "deadline_exceeded":
      return {
        status: 504,
        code: "deadline_exceeded",
        message: final.message,
        ran: final.ran,
      };
    case "other_body":
      return {
        status: 422,
        code: "other_body",
        message:
          "The idempotency key or request id was used for another call; choose a new one",
      };
    case "already_run":
      return {
        status: 409,
        code: "already_run",
        message:
          `The call ran before and was answered with status ${final.status}; its answer was too large to keep`,
      };
  }
}

function resolveRunStatus(error: CallerError): session.RunStatus {
  if (error.ran !== undefined) return error.ran;
  switch (error.code) {
    case "already_run":
      return "yes";
    case "outcome_unknown":
    case "record_unavailable":
    case "failed":
    case "deadline_exceeded":
    case "internal":
      return "unknown";
    default:
      return "no";
  }
}

/** Renders the JSON body of an error answer. */
export function renderCallerError(
  error: CallerError,
  requestId: string,
): CallerErrorBody {
  return {
    error: {
      code: error.code,
      message: error.message,
      request_id: requestId,
      ran: resolveRunStatus(error),
    },
  };
}

/** Returns the value of `Retry-After` in whole seconds, if there is any. */
export function computeRetryAfter(error: CallerError): string | undefined {
  const retryAfterMs = error.retryAfterMs ?? 0;
  if (retryAfterMs === 0) return undefined;
  return String(Math.ceil(retryAfterMs / millisecondsPerSecond));
}
