/** HTTP adapter of one rank of the model engine stand-in. */
import type * as scheduler from "../ports/scheduler.ts";
import * as answer from "./answer.ts";
import * as chatFormat from "./chat_format.ts";
import * as engineOrders from "./engine_orders.ts";
import type * as engineRank from "./engine_rank.ts";
import type * as faults from "./faults.ts";
import * as httpServer from "./http_server.ts";
import type * as modelEngine from "./model_engine.ts";

const defaultDeadlineMs = 600_000;

export interface ModelEngineHttpOptions {
  readonly engine: modelEngine.ModelEngine;
  readonly rank: number;
  readonly faults: faults.FaultSwitch;
  readonly scheduler: scheduler.Scheduler;
}

/**
 * Creates the server of a rank: `POST /v1/chat/completions` (headers
 * `x-priority` and `x-deadline-ms`), `GET /load`, `GET /steps`,
 * `GET /events?since=`, `GET /orders` and `POST /orders`.
 */
export function createModelEngineHttp(
  options: ModelEngineHttpOptions,
): httpServer.StandInServer {
  const handler = (request: httpServer.HttpRequest) => handle(request, options);
  return httpServer.createServer({ ...options, handler });
}

function handle(
  request: httpServer.HttpRequest,
  { engine, rank }: ModelEngineHttpOptions,
): httpServer.HttpAnswer | Promise<httpServer.HttpAnswer> {
  switch (`${request.method} ${request.path}`) {
    case "POST /v1/chat/completions":
      return complete(request, { engine, rank });
    case "GET /load":
      return httpServer.encodeJson(200, engine.readLoad(rank));
    case "GET /steps":
      return httpServer.encodeJson(200, engine.readLastStep());
    case "GET /events": {
      const since = Number(request.query.get("since") ?? 0);
      const events = engine.listCacheEvents(rank, since);
      return httpServer.encodeJson(200, { events });
    }
    case "GET /orders":
      return httpServer.encodeJson(200, engine.readOrderState(rank));
    case "POST /orders":
      return handleOrder(request, { engine, rank });
    default:
      return httpServer.encodeError(404, `No ${request.path} here`);
  }
}

interface RankReference {
  readonly engine: modelEngine.ModelEngine;
  readonly rank: number;
}

function handleOrder(
  request: httpServer.HttpRequest,
  { engine, rank }: RankReference,
): httpServer.HttpAnswer {
  const json = httpServer.parseJson(request);
  const parsed = json.kind === "parsed"
    ? engineOrders.parseOrder(json.value)
    : json;
  if (parsed.kind === "invalid") {
    return httpServer.encodeError(400, parsed.message);
  }
  const outcome = engine.applyOrder(rank, parsed.order);
  switch (outcome.kind) {
    case "done":
      return httpServer.encodeJson(200, outcome);
    case "fenced":
      return httpServer.encodeJson(409, outcome);
    case "invalid":
      return httpServer.encodeError(400, outcome.message);
    case "crashed":
      return httpServer.encodeJson(503, outcome);
  }
}

function complete(
  request: httpServer.HttpRequest,
  { engine, rank }: RankReference,
): httpServer.HttpAnswer | Promise<httpServer.HttpAnswer> {
  const json = httpServer.parseJson(request);
  const parsed = json.kind === "parsed" ? answer.parseBody(json.value) : json;
  if (parsed.kind === "invalid") {
    return httpServer.encodeError(400, parsed.message);
  }
  const { body } = parsed;
  const sendAnswer = body.stream ? sendStream : sendWhole;
  return sendAnswer(body, (onEvent) =>
    engine.submit(rank, {
      body,
      priority: readNumber(request, "x-priority") ?? 0,
      deadlineMs: readNumber(request, "x-deadline-ms") ?? defaultDeadlineMs,
      signal: request.signal,
      onEvent,
    }));
}

type Submit = (onEvent: (event: engineRank.RankEvent) => void) => void;

function sendWhole(
  body: answer.ChatBody,
  submit: Submit,
): Promise<httpServer.HttpAnswer> {
  return new Promise((resolve) =>
    submit((event) => {
      if (event.kind === "failed") resolve(encodeFailure(event));
      if (event.kind !== "end") return;
      resolve({
        kind: "whole",
        status: 200,
        headers: { "content-type": "application/json" },
        body: chatFormat.renderCompletion(body),
      });
    })
  );
}

/**
 * Sends the status with the first event, so that a failure before any token is
 * answered with an error status.
 */
function sendStream(
  body: answer.ChatBody,
  submit: Submit,
): Promise<httpServer.HttpAnswer> {
  let buffered: engineRank.RankEvent[] = [];
  let sink: httpServer.Sink | undefined;

  function open(opened: httpServer.Sink): void {
    sink = opened;
    for (const event of buffered) writeEvent(body, { sink: opened, event });
    buffered = [];
  }

  return new Promise((resolve) =>
    submit((event) => {
      if (sink !== undefined) return writeEvent(body, { sink, event });
      if (event.kind === "failed" && buffered.length === 0) {
        return resolve(encodeFailure(event));
      }
      buffered.push(event);
      const headers = { "content-type": "text/event-stream" };
      resolve({ kind: "stream", status: 200, headers, open });
    })
  );
}

interface SinkEvent {
  readonly sink: httpServer.Sink;
  readonly event: engineRank.RankEvent;
}

function writeEvent(body: answer.ChatBody, { sink, event }: SinkEvent): void {
  switch (event.kind) {
    case "token":
      return sink.write(chatFormat.renderToken(body, event.text));
    case "end":
      sink.write(chatFormat.renderFinish(body) + chatFormat.doneEvent);
      return sink.end();
    case "failed":
      return sink.abort();
  }
}

function encodeFailure(
  event: Extract<engineRank.RankEvent, { readonly kind: "failed" }>,
): httpServer.HttpAnswer {
  return httpServer.encodeError(event.started ? 504 : 503, event.message);
}

function readNumber(
  request: httpServer.HttpRequest,
  name: string,
): number | undefined {
  const value = Number(request.headers[name] ?? Number.NaN);
  return Number.isFinite(value) ? value : undefined;
}
