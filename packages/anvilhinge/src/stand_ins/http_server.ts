/** Base of all HTTP stand-ins: reads bodies, applies faults, sends answers. */
import * as http from "node:http";
import type * as net from "node:net";
import type * as scheduler from "../ports/scheduler.ts";
import * as faults from "./faults.ts";

const bodyLimitBytes = 4 * 1024 * 1024;

/**
 * Paths that clients poll. An active fault applies to them, but they don't
 * count as calls, so that polling does not use up the fault's call count.
 */
const polledPaths: ReadonlySet<string> = new Set(["/load", "/ledger"]);

export interface HttpRequest {
  readonly method: string;
  /** Path as sent, still percent-encoded, without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Uint8Array;
  /** Aborted when the caller disconnects before the end of the answer. */
  readonly signal: AbortSignal;
}

/** Receives the body of a streamed answer in parts. */
export interface Sink {
  write(text: string): void;
  end(): void;
  /** Destroys the connection. */
  abort(): void;
}

interface AnswerHead {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
}

export type HttpAnswer =
  | AnswerHead & { readonly kind: "whole"; readonly body: string }
  | AnswerHead & {
    readonly kind: "stream";
    readonly open: (sink: Sink) => void;
  };

export type Handler = (
  request: HttpRequest,
) => HttpAnswer | Promise<HttpAnswer>;

export interface ServerOptions {
  readonly handler: Handler;
  readonly faults: faults.FaultSwitch;
  readonly scheduler: scheduler.Scheduler;
}

export interface ListenOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  /** Closes the server and its connections when aborted. */
  readonly signal: AbortSignal;
}

export interface Address {
  readonly host: string;
  readonly port: number;
  /** `http://<host>:<port>`. */
  readonly baseUrl: string;
}

export interface StandInServer {
  listen(options: ListenOptions): Promise<Address>;
}

interface Exchange extends ServerOptions {
  readonly request: HttpRequest;
  readonly response: http.ServerResponse;
}

/** Creates a server that applies the active fault and serves `PUT /faults`. */
export function createServer(options: ServerOptions): StandInServer {
  const server = http.createServer((incoming, response) => {
    serve({ ...options, incoming, response }).catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else sendAnswer(response, encodeError(500, String(error)));
    });
  });
  return {
    listen: (listenOptions) => listen(server, { ...options, ...listenOptions }),
  };
}

/** Creates an answer with a JSON body. */
export function encodeJson(status: number, value: unknown): HttpAnswer {
  return {
    kind: "whole",
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(value),
  };
}

/** Creates an answer with an error message. */
export function encodeError(status: number, message: string): HttpAnswer {
  return encodeJson(status, { error: { message } });
}

export type JsonOutcome =
  | { readonly kind: "parsed"; readonly value: unknown }
  | { readonly kind: "invalid"; readonly message: string };

/** Parses the body of a request as JSON. */
export function parseJson(request: HttpRequest): JsonOutcome {
  try {
    const value: unknown = JSON.parse(Buffer.from(request.body).toString());
    return { kind: "parsed", value };
  } catch {
    const message = `Body of ${request.method} ${request.path} is not JSON`;
    return { kind: "invalid", message };
  }
}

/** Decodes part of a path; returns undefined when its encoding is invalid. */
export function decodePath(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

function listen(
  server: http.Server,
  options: ListenOptions & ServerOptions,
): Promise<Address> {
  const { host, port, signal } = options;
  options.faults.subscribe((fault) => {
    if (fault.kind === "crash") server.closeAllConnections();
  }, signal);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      const bound = server.address() as net.AddressInfo;
      const baseUrl = `http://${host}:${bound.port}`;
      resolve({ host, port: bound.port, baseUrl });
    });
    signal.addEventListener("abort", () => {
      server.close();
      server.closeAllConnections();
    }, { once: true });
  });
}

interface Incoming extends ServerOptions {
  readonly incoming: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

async function serve(options: Incoming): Promise<void> {
  const { incoming, response } = options;
  const body = await readBody(incoming);
  if (body === undefined) {
    const message = `Body is larger than ${bodyLimitBytes} bytes; send less`;
    return sendAnswer(response, encodeError(413, message));
  }
  const disconnected = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) disconnected.abort();
  });
  const [path = "/", query = ""] = (incoming.url ?? "/").split("?", 2);
  const request: HttpRequest = {
    method: incoming.method ?? "GET",
    path,
    query: new URLSearchParams(query),
    headers: incoming.headers,
    body,
    signal: disconnected.signal,
  };
  const exchange = { ...options, request };
  if (path === "/faults" && request.method === "PUT") setFault(exchange);
  else await serveWithFault(exchange);
}

/** Returns undefined when the body is too large. */
async function readBody(
  incoming: http.IncomingMessage,
): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = [];
  let sizeBytes = 0;
  for await (const chunk of incoming) {
    sizeBytes += chunk.length;
    if (sizeBytes <= bodyLimitBytes) chunks.push(chunk);
  }
  return sizeBytes > bodyLimitBytes ? undefined : Buffer.concat(chunks);
}

function setFault({ request, response, faults: faultSwitch }: Exchange): void {
  const json = parseJson(request);
  const parsed = json.kind === "parsed" ? faults.parseFault(json.value) : json;
  if (parsed.kind === "invalid") {
    return sendAnswer(response, encodeError(400, parsed.message));
  }
  faultSwitch.set(parsed.fault, { callCount: parsed.callCount });
  sendAnswer(response, encodeJson(200, faultSwitch.get()));
}

async function serveWithFault(exchange: Exchange): Promise<void> {
  const { handler, request, response, scheduler: timers } = exchange;
  const isPolled = polledPaths.has(request.path);
  const fault = isPolled ? exchange.faults.get() : exchange.faults.take();
  switch (fault.kind) {
    case "none":
      return sendAnswer(response, await handler(request));
    case "down":
      return sendAnswer(response, encodeError(503, "Down; try again later"));
    case "slow":
      await new Promise<void>((resolve) => timers.schedule(resolve, fault));
      return sendAnswer(response, await handler(request));
    case "answer_lost":
      await execute(exchange);
      response.destroy();
      return;
    case "late":
      timers.schedule(() => void execute(exchange), fault);
      response.destroy();
      return;
    case "duplicated":
      sendAnswer(response, await handler(request));
      return execute(exchange);
    case "stall":
      return;
    case "crash":
      response.destroy();
      return;
  }
}

/** Executes a request and discards its answer. */
async function execute({ handler, request }: Exchange): Promise<void> {
  const signal = new AbortController().signal;
  const answer = await handler({ ...request, signal });
  if (answer.kind === "whole") return;
  answer.open({ write: () => {}, end: () => {}, abort: () => {} });
}

function sendAnswer(response: http.ServerResponse, answer: HttpAnswer): void {
  if (response.destroyed) return;
  response.writeHead(answer.status, answer.headers);
  if (answer.kind === "whole") {
    response.end(answer.body);
    return;
  }
  response.flushHeaders();
  answer.open({
    write: (text) => void response.write(text),
    end: () => void response.end(),
    abort: () => void response.destroy(),
  });
}
