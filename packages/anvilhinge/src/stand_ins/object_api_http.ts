/**
 * HTTP adapter of the object API stand-in. `GET`, `PUT` and `DELETE` of
 * `/objects/<key>` carry the version as entity tag; `GET /objects?prefix=`
 * lists objects; `GET /watch?prefix=&since=` stays open and sends one JSON
 * event per line; `GET /counts` returns the number of calls by kind.
 */
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as faults from "./faults.ts";
import * as httpServer from "./http_server.ts";
import type * as objectApi from "./object_api.ts";

const objectsPath = "/objects/";

export interface ObjectApiHttpOptions {
  readonly api: objectApi.ObjectApi;
  readonly faults: faults.FaultSwitch;
  readonly scheduler: scheduler.Scheduler;
}

/** Creates the server of an object API. */
export function createObjectApiHttp(
  options: ObjectApiHttpOptions,
): httpServer.StandInServer {
  const handler = (request: httpServer.HttpRequest) =>
    handle(request, options.api);
  return httpServer.createServer({ ...options, handler });
}

function handle(
  request: httpServer.HttpRequest,
  api: objectApi.ObjectApi,
): httpServer.HttpAnswer {
  const { method, path, query } = request;
  if (path.startsWith(objectsPath)) return handleObject(request, api);
  switch (`${method} ${path}`) {
    case "GET /objects":
      return httpServer.encodeJson(200, api.list(query.get("prefix") ?? ""));
    case "GET /watch":
      return watch(request, api);
    case "GET /counts":
      return httpServer.encodeJson(200, api.getCallCounts());
    default:
      return httpServer.encodeError(404, `No ${method} ${path} here`);
  }
}

function handleObject(
  request: httpServer.HttpRequest,
  api: objectApi.ObjectApi,
): httpServer.HttpAnswer {
  const key = httpServer.decodePath(request.path.slice(objectsPath.length));
  if (key === undefined) return httpServer.encodeError(400, "Bad key");
  if (request.method === "GET") return encodeRead(api.read(key));
  const condition = parseCondition(request);
  if (condition === undefined) {
    const message = `${request.method} of "${key}" needs If-Match with a ` +
      "version or If-None-Match: *";
    return httpServer.encodeError(428, message);
  }
  if (request.method === "DELETE") {
    return encodeWrite(api.remove(key, condition));
  }
  if (request.method !== "PUT") {
    return httpServer.encodeError(405, `No ${request.method} of objects`);
  }
  const json = httpServer.parseJson(request);
  if (json.kind === "invalid") return httpServer.encodeError(400, json.message);
  return encodeWrite(api.write(key, json.value, condition));
}

function parseCondition(
  { headers }: httpServer.HttpRequest,
): objectStore.WriteCondition | undefined {
  if (headers["if-none-match"] === "*") return { ifVersion: 0 };
  const version = /^"(\d+)"$/.exec(headers["if-match"] ?? "")?.[1];
  return version === undefined ? undefined : { ifVersion: Number(version) };
}

function encodeRead(outcome: objectApi.ApiReadOutcome): httpServer.HttpAnswer {
  if (outcome.kind === "missing") {
    return httpServer.encodeError(404, "No such key");
  }
  const { value, version } = outcome.object;
  return addTag(httpServer.encodeJson(200, value), version);
}

function encodeWrite(
  outcome: objectApi.ApiWriteOutcome,
): httpServer.HttpAnswer {
  switch (outcome.kind) {
    case "accepted":
      return addTag(httpServer.encodeJson(200, outcome), outcome.version);
    case "conflict":
      return httpServer.encodeJson(412, outcome);
    case "too_large":
      return httpServer.encodeError(413, outcome.message);
  }
}

function addTag(
  answer: httpServer.HttpAnswer,
  version: number,
): httpServer.HttpAnswer {
  return { ...answer, headers: { ...answer.headers, etag: `"${version}"` } };
}

function watch(
  { query, signal }: httpServer.HttpRequest,
  api: objectApi.ObjectApi,
): httpServer.HttpAnswer {
  const prefix = query.get("prefix") ?? "";
  const sinceVersion = Number(query.get("since") ?? Number.NaN);
  if (!Number.isSafeInteger(sinceVersion)) {
    const message = "Query parameter since must be the version of a list";
    return httpServer.encodeError(400, message);
  }
  return {
    kind: "stream",
    status: 200,
    headers: { "content-type": "application/jsonl" },
    open: (sink) =>
      api.watch(prefix, {
        sinceVersion,
        signal,
        onEvent(event) {
          sink.write(`${JSON.stringify(event)}\n`);
          if (event.kind === "closed") sink.end();
        },
      }),
  };
}
