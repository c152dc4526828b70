/**
 * HTTP client of an engine: a rank of a model group, or a replica of a plain
 * service. Answer bodies are forwarded as raw bytes.
 */
import type * as undici from "undici";
import * as zod from "zod";
import type * as engine from "../ports/engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import * as httpClient from "./http_client.ts";
import * as httpHeaders from "./http_headers.ts";

/** Headers that are not forwarded in either direction. */
const excludedHeaders = new Set([
  ...httpHeaders.hopByHopHeaders,
  "expect",
  "host",
]);

const loadTimeoutMs = 1_000;

const loadSchema = zod.object({
  running: zod.number(),
  queued: zod.number(),
  stepUs: zod.number(),
});

export interface HttpEngineOptions {
  readonly baseUrl: string;
  /** Interval between reads of `GET /load`, in milliseconds. */
  readonly loadIntervalMs: number;
  readonly scheduler: scheduler.Scheduler;
  /** Stops reading the load and cancels all work. */
  readonly signal: AbortSignal;
}

/**
 * Creates a client of one engine. While the engine reports no load, `readLoad`
 * returns the number of this client's requests in flight.
 */
export function createHttpEngine(options: HttpEngineOptions): engine.Engine {
  const { scheduler: timers, signal, loadIntervalMs } = options;
  const pool = httpClient.createResetCountingPool();
  const { dispatcher } = pool;
  const target = httpClient.parseTarget(options.baseUrl);
  let reportedLoad: engine.EngineLoad | undefined;
  let inFlight = 0;

  async function updateLoad(): Promise<void> {
    reportedLoad = await fetchLoad({ dispatcher, target, signal });
    if (signal.aborted) return;
    timers.schedule(updateLoad, { delayMs: loadIntervalMs, signal });
  }

  async function run(request: engine.EngineRequest): Promise<void> {
    inFlight += 1;
    const outcome = await execute(request, { pool, target, signal });
    inFlight -= 1;
    request.onEvent(outcome);
  }

  signal.addEventListener("abort", () => void dispatcher.destroy(), {
    once: true,
  });
  void updateLoad();
  return {
    start: (request) => void run(request),
    readLoad: () => reportedLoad ?? { running: inFlight, queued: 0, stepUs: 0 },
  };
}

interface Connection {
  readonly pool: httpClient.ResetCountingPool;
  readonly target: httpClient.Target;
  readonly signal: AbortSignal;
}

type LastEvent = Extract<
  engine.EngineEvent,
  { readonly kind: "end" | "failed" }
>;

/** Runs a request; emits all events except the last, which it returns. */
async function execute(
  request: engine.EngineRequest,
  { pool, target, signal }: Connection,
): Promise<LastEvent> {
  try {
    const resetsBefore = await pool.countResets();
    const response = await pool.dispatcher.request({
      origin: target.origin,
      path: target.basePath + request.path,
      method: request.method as undici.Dispatcher.HttpMethod,
      headers: composeHeaders(request),
      body: request.body.length === 0 ? null : request.body,
      signal: AbortSignal.any([signal, request.signal]),
    });
    const headers = convertHeaders(response.headers);
    const head = { status: response.statusCode, headers };
    request.onEvent({ kind: "head", head });
    for await (const data of response.body) {
      request.onEvent({ kind: "data", data });
    }
    // It is not known which connection was reset, so that an answer that ends with
    // its connection also fails if another connection was.
    const isWhole = !isCloseDelimited(response.headers) ||
      await pool.countResets() === resetsBefore;
    if (isWhole) return { kind: "end" };
    const message = "The connection was reset before the answer's end";
    return { kind: "failed", message, started: true };
  } catch (error) {
    const message = httpClient.describeError(error);
    const started = !httpClient.isConnectionRefused(error);
    return { kind: "failed", message, started };
  }
}

/** Whether the body, if there is one, ends with the connection. */
function isCloseDelimited(
  headers: Readonly<Record<string, unknown>>,
): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

function composeHeaders(request: engine.EngineRequest): string[] {
  const forwarded = request.headers.filter(([name]) => isForwarded(name));
  return [
    ...forwarded.flat(),
    "x-request-id",
    request.requestId,
    "x-attempt-id",
    request.attemptId,
    "x-priority",
    String(request.priority),
    "x-deadline-ms",
    String(Math.max(0, Math.floor(request.deadlineMs))),
  ];
}

/** Excludes `Content-Length` too, which the HTTP library sets. */
function isForwarded(name: string): boolean {
  const lower = name.toLowerCase();
  return lower !== "content-length" && !excludedHeaders.has(lower);
}

function convertHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): [string, string][] {
  return Object.entries(headers)
    .filter(([name]) => !excludedHeaders.has(name))
    .flatMap(([name, value = []]) =>
      [value].flat().map((item): [string, string] => [name, item])
    );
}

/** Fetches the load; undefined if the engine does not report it. */
async function fetchLoad(
  { dispatcher, target, signal }: {
    readonly dispatcher: undici.Dispatcher;
    readonly target: httpClient.Target;
    readonly signal: AbortSignal;
  },
): Promise<engine.EngineLoad | undefined> {
  try {
    const response = await dispatcher.request({
      origin: target.origin,
      path: `${target.basePath}/load`,
      method: "GET",
      signal: AbortSignal.any([signal, AbortSignal.timeout(loadTimeoutMs)]),
    });
    const result = loadSchema.safeParse(await response.body.json());
    return result.data;
  } catch {
    return undefined;
  }
}
