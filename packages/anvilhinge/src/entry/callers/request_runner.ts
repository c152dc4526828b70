/** Runs requests of callers, each with its own session, span and answer. */
import * as api from "@opentelemetry/api";
import type * as limits from "@anvilhinge/coordination/limits";
import type Koa from "koa";
import * as tracing from "../../telemetry/tracing.ts";
import * as answerWriter from "./answer_writer.ts";
import type * as context from "../context.ts";
import type * as eventId from "../session/event_id.ts";
import * as requestChecks from "./request_checks.ts";
import * as runner from "../session/runner.ts";
import * as session from "../session/session.ts";
import type * as upstreams from "../choice/upstreams.ts";
import type * as dispatchPolicy from "../choice/dispatch_policy.ts";

export interface RunOptions {
  readonly need: upstreams.Need;
  /** Set if the caller resumes a stream. */
  readonly resumePoint?: eventId.EventPoint;
}

/** Runs a request of a caller; resolves when Koa may send the response. */
export type RunRequest = (
  koa: Koa.Context,
  request: session.Request,
  options: RunOptions,
) => Promise<void>;

/** Creates the function that runs requests, and registers its metrics. */
export function createRequestRunner(entry: context.EntryContext): RunRequest {
  const countAttempt = entry.metrics.createCounter({
    name: "anvilhinge_attempts_total",
    help: "Attempts sent to upstreams",
  });
  const countDrop = entry.metrics.createCounter({
    name: "anvilhinge_dropped_frames_total",
    help: "Frames dropped because they do not continue the present attempt",
  });
  entry.metrics.registerGauge({
    name: "anvilhinge_ejected_upstreams",
    help: "Upstreams that are ejected or wait for a probe",
    read: () => [{ value: entry.policy.countEjected() }],
  });
  entry.metrics.registerGauge({
    name: "anvilhinge_retry_budget",
    help: "Retries that the budget allows now",
    read: () => [{ value: entry.policy.countRetriesLeft() }],
  });
  const countRetry = entry.metrics.createCounter({
    name: "anvilhinge_retries_total",
    help: "Retries asked of the budget by outcome",
    labelNames: ["outcome"],
  });

  function takeRetry(policy: dispatchPolicy.RequestPolicy): boolean {
    const isTaken = policy.takeRetry();
    countRetry({ labels: { outcome: isTaken ? "taken" : "refused" } });
    return isTaken;
  }

  function startSpan(
    koa: Koa.Context,
    request: session.Request,
    need: upstreams.Need,
  ): api.Span {
    const parent = tracing.extractContext(
      koa.headers as Readonly<Record<string, string>>,
    );
    return entry.tracing.tracer.startSpan("entry", {
      kind: api.SpanKind.SERVER,
      attributes: {
        "request.id": request.requestId,
        "workspace": request.workspace,
        [`${need.kind}.name`]: need.serves,
      },
    }, parent);
  }

  function getTraceHeaders(span: api.Span): Readonly<Record<string, string>> {
    const active = api.trace.setSpan(api.ROOT_CONTEXT, span);
    return tracing.injectContext(active) as Readonly<Record<string, string>>;
  }

  /** Refuses a request of a workspace that is over one of its limits. */
  function writeLimitExceeded(
    koa: Koa.Context,
    workspace: string,
    { limit, retryAfterMs }: Extract<limits.AdmitOutcome, { kind: "refused" }>,
  ): void {
    answerWriter.writeCallerError(koa, {
      status: 429,
      code: "not_run",
      message:
        `The request did not run: workspace "${workspace}" is over its limit ${limit}; come back as Retry-After says`,
      retryAfterMs,
    });
  }

  /** Runs a request; resolves when the response is set or the session ends. */
  async function runRequest(
    koa: Koa.Context,
    request: session.Request,
    { need, resumePoint }: RunOptions,
  ): Promise<void> {
    // A resumed request is not checked against the limits.
    const isAdmitted = resumePoint === undefined;
    if (isAdmitted) {
      const admitted = entry.policy.admit(request.workspace);
      if (admitted.kind === "refused") {
        return writeLimitExceeded(koa, request.workspace, admitted);
      }
    }
    const writer = answerWriter.createAnswerWriter({
      context: koa,
      requestId: request.requestId,
      resumePoint,
    });
    const span = startSpan(koa, request, need);
    const callerAbort = new AbortController();
    const responseClosed = new Promise<void>((resolve) =>
      koa.res.once("close", () => {
        if (!koa.res.writableFinished) callerAbort.abort();
        resolve();
      })
    );
    entry.state.openRequests += 1;
    const requestPolicy = entry.policy.startRequest(request, {
      need,
      isAdmitted,
    });
    const sessionDone = runner.runSession({
      request,
      session: session.createSession(request, {
        clock: entry.scheduler,
        readWallMs: entry.readWallMs,
        createAttemptId: entry.createId,
        chooseUpstream: requestPolicy.chooseUpstream,
        takeRetry: () => takeRetry(requestPolicy),
        resumePoint: resumePoint === undefined ? undefined : {
          upstream: requestChecks.findUpstream(entry, resumePoint),
          attemptId: resumePoint.attemptId,
          fromSequence: resumePoint.sequence,
        },
      }),
      client: requestPolicy.watchFrames(entry.client),
      agents: { descriptions: entry.descriptions, claims: entry.claims },
      scheduler: entry.scheduler,
      sink: writer,
      callerSignal: callerAbort.signal,
      headers: getTraceHeaders(span),
      onDispatch(upstream) {
        countAttempt();
        requestPolicy.recordDispatch(upstream);
        span.addEvent("dispatch", { upstream: upstream.id });
      },
      onObserve: requestPolicy.recordOutcome,
      onDrop: () => countDrop(),
    });
    // A planned stop waits until the last byte has been sent to the caller, not
    // only until the last frame has arrived.
    void Promise.all([sessionDone, responseClosed]).then(() => {
      entry.state.openRequests -= 1;
      requestPolicy.end();
      span.end();
    });
    await Promise.race([writer.ready, sessionDone]);
    span.setAttribute("http.response.status_code", koa.status);
  }

  return runRequest;
}
