/** Helpers shared by the HTTP client adapters. */
import * as undici from "undici";

/** Destination of an adapter's requests. */
export interface Target {
  readonly origin: string;
  /** Path of the base URL without a trailing slash. */
  readonly basePath: string;
}

/** Splits a base URL such as `http://127.0.0.1:8080/api`. */
export function parseTarget(baseUrl: string): Target {
  const { origin, pathname } = new URL(baseUrl);
  return { origin, basePath: pathname.replace(/\/+$/, "") };
}

/** Creates a connection pool without timeouts; callers pass abort signals. */
export function createDispatcher(): undici.Dispatcher {
  return new undici.Agent({ headersTimeout: 0, bodyTimeout: 0 });
}

/** Whether the connection was refused, so that nothing was sent. */
export function isConnectionRefused(error: unknown): boolean {
  return readField(error, "code") === "ECONNREFUSED";
}

/** Describes an error of the client library. */
export function describeError(error: unknown): string {
  return readField(error, "message") || readField(error, "code") ||
    String(error);
}

/** Avoids `instanceof`, which fails for errors from another realm. */
function readField(error: unknown, name: "code" | "message"): string {
  if (typeof error !== "object" || error === null) return "";
  const value: unknown = Reflect.get(error, name);
  return typeof value === "string" ? value : "";
}
