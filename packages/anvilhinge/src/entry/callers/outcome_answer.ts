/** Writes the outcome of a call, for `GET /v1/requests/<request id>`. */
import type Koa from "koa";
import type * as outcomeLookup from "../session/outcome_lookup.ts";
import type * as requestChecks from "./request_checks.ts";

const retryAfterMs = 1_000;

/** JSON body; `answer` is set if the call has finished. */
export interface OutcomeBody {
  readonly request_id: string;
  readonly state: "running" | "finished" | "not_run" | "unknown";
  readonly message?: string;
  readonly answer?: {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
    /** Text of the body; undefined if the body was too large to keep. */
    readonly body?: string;
  };
}

/** Writes the outcome, or returns the error with which to answer. */
export function writeOutcome(
  koa: Koa.Context,
  outcome: outcomeLookup.CallOutcome,
): { readonly kind: "ok" } | requestChecks.Refusal {
  switch (outcome.kind) {
    case "missing":
      return {
        kind: "error",
        error: {
          status: 404,
          code: "not_found",
          message:
            "No call of this id is on record; only calls that may not be repeated are recorded, and their outcome for 10 minutes",
          ran: "unknown",
        },
      };
    case "unavailable":
      return {
        kind: "error",
        error: {
          status: 503,
          code: "record_unavailable",
          message: outcome.message,
          retryAfterMs,
        },
      };
    case "running":
    case "finished":
    case "not_run":
    case "unknown":
      koa.body = buildBody(String(koa.state.requestId), outcome);
      return { kind: "ok" };
  }
}

function buildBody(
  requestId: string,
  outcome: Exclude<
    outcomeLookup.CallOutcome,
    { readonly kind: "missing" | "unavailable" }
  >,
): OutcomeBody {
  const common = { request_id: requestId, state: outcome.kind };
  switch (outcome.kind) {
    case "running":
    case "not_run":
      return common;
    case "unknown":
      return { ...common, message: outcome.message };
    case "finished": {
      const { status, headers, body } = outcome.answer;
      const text = body === undefined
        ? undefined
        : Buffer.from(body, "base64").toString("utf8");
      return { ...common, answer: { status, headers, body: text } };
    }
  }
}
