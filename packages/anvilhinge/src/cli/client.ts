/** Client of the operators' HTTP interface of an entry. */
import type * as outcome from "./outcome.ts";

export interface HttpRequest {
  readonly method: string;
  readonly headers: Record<string, string>;
  readonly body?: string;
  readonly signal: AbortSignal;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: { get(name: string): string | null };
  text(): Promise<string>;
}

/** The subset of `fetch` that the commands use. */
export type HttpFetch = (
  url: string,
  request: HttpRequest,
) => Promise<HttpResponse>;

export interface EntryResponse {
  readonly kind: "answered";
  readonly status: number;
  readonly etag: string | null;
  readonly text: string;
}

/** Response to a request, or the command's outcome if the request failed. */
export type RequestOutcome =
  | EntryResponse
  | Exclude<outcome.CommandOutcome, { readonly kind: "done" | "usage" }>;

export interface ClientOptions {
  /** Base URL of an entry. */
  readonly entry: string;
  readonly token?: string;
  readonly fetch: HttpFetch;
  readonly signal: AbortSignal;
}

export interface RequestOptions {
  readonly method?: "GET" | "PUT" | "POST";
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

export interface Client {
  request(path: string, options?: RequestOptions): Promise<RequestOutcome>;
}

interface ErrorBody {
  readonly error?: { readonly message?: string };
  readonly current?: { readonly version?: number };
  readonly outcome?: string;
  readonly changeId?: string;
}

const requestTimeoutMs = 15_000;

/** Error codes that prove that no connection was established. */
const connectErrorCodes: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Parses the body of a response; undefined when it is not JSON. */
export function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function parseErrorBody(text: string): ErrorBody {
  const body = parseBody(text);
  return typeof body === "object" && body !== null ? body : {};
}

function convertFailure(error: unknown, isWrite: boolean): RequestOutcome {
  const { message, cause } = error as Error & { cause?: { code?: unknown } };
  const wasSent = !connectErrorCodes.has(cause?.code);
  if (isWrite && wasSent) {
    return { kind: "unknown", message: `The answer was lost: ${message}` };
  }
  return {
    kind: "unreachable",
    message: `The entry can't be reached: ${message}. Try another entry`,
  };
}

function convertResponse(
  response: EntryResponse,
  isWrite: boolean,
): RequestOutcome {
  const { status, text } = response;
  const body = parseErrorBody(text);
  if (status === 202 && body.outcome === "unknown") {
    const message = "The entry can't determine whether the change was accepted";
    return { kind: "unknown", message, changeId: body.changeId };
  }
  if (status >= 200 && status < 300) return response;
  const message = body.error?.message ?? `The entry answered status ${status}`;
  if (status === 409 || status === 412) {
    return {
      kind: "conflict",
      message,
      currentVersion: body.current?.version,
    };
  }
  // The entry answers 503 only when nothing took effect.
  if (status === 503) return { kind: "unreachable", message };
  if (status < 500) return { kind: "refused", message, status };
  return { kind: isWrite ? "unknown" : "unreachable", message };
}

/** Creates a client of one entry. Its promises never reject. */
export function createClient(options: ClientOptions): Client {
  const { entry, token, fetch, signal } = options;
  const authorization: Record<string, string> = token === undefined
    ? {}
    : { authorization: `Bearer ${token}` };
  return {
    async request(path, { method = "GET", headers = {}, body } = {}) {
      const isWrite = method !== "GET";
      const timeout = AbortSignal.timeout(requestTimeoutMs);
      try {
        const response = await fetch(entry.replace(/\/+$/, "") + path, {
          method,
          headers: { ...authorization, ...headers },
          body,
          signal: AbortSignal.any([signal, timeout]),
        });
        const entryResponse: EntryResponse = {
          kind: "answered",
          status: response.status,
          etag: response.headers.get("etag"),
          text: await response.text(),
        };
        return convertResponse(entryResponse, isWrite);
      } catch (error) {
        return convertFailure(error, isWrite);
      }
    },
  };
}
