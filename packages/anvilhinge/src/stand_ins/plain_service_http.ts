/** HTTP adapter of the plain service stand-in. */
import type * as scheduler from "../ports/scheduler.ts";
import type * as faults from "./faults.ts";
import * as httpServer from "./http_server.ts";
import * as plainService from "./plain_service.ts";

const recordsPath = "/records/";

export interface PlainServiceHttpOptions {
  readonly service: plainService.PlainService;
  readonly faults: faults.FaultSwitch;
  readonly scheduler: scheduler.Scheduler;
}

/**
 * Creates the server: `GET /records/<id>`, `POST /filings` (not repeatable)
 * and `GET /ledger`.
 */
export function createPlainServiceHttp(
  options: PlainServiceHttpOptions,
): httpServer.StandInServer {
  const handler = (request: httpServer.HttpRequest) =>
    handle(request, options.service);
  return httpServer.createServer({ ...options, handler });
}

function handle(
  request: httpServer.HttpRequest,
  service: plainService.PlainService,
): httpServer.HttpAnswer {
  const { method, path } = request;
  if (method === "GET" && path.startsWith(recordsPath)) {
    const id = httpServer.decodePath(path.slice(recordsPath.length));
    if (id === undefined) return httpServer.encodeError(400, "Bad identifier");
    return httpServer.encodeJson(200, service.readRecord(id));
  }
  if (method === "GET" && path === "/ledger") {
    return httpServer.encodeJson(200, { entries: service.getLedger() });
  }
  if (method === "POST" && path === "/filings") {
    return submitFiling(request, service);
  }
  return httpServer.encodeError(404, `No ${method} ${path} here`);
}

function submitFiling(
  request: httpServer.HttpRequest,
  service: plainService.PlainService,
): httpServer.HttpAnswer {
  const json = httpServer.parseJson(request);
  const parsed = json.kind === "parsed"
    ? plainService.parseFiling(json.value)
    : json;
  if (parsed.kind === "invalid") {
    return httpServer.encodeError(400, parsed.message);
  }
  return httpServer.encodeJson(201, service.submitFiling(parsed.filing));
}
