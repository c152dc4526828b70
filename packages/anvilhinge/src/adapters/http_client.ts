/** Helpers shared by the HTTP client adapters. */
import type * as net from "node:net";
import * as undici from "undici";
import * as connectionEnd from "./connection_end.ts";

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

/** Connection pool that counts the connections that were reset. */
export interface ResetCountingPool {
  readonly dispatcher: undici.Dispatcher;
  /** Resolves after the reported ends have been checked for resets. */
  countResets(): Promise<number>;
}

/**
 * Creates a pool like `createDispatcher`. The library takes a reset for the end of
 * an answer without a length or chunks; the count shows that there was one.
 */
export function createResetCountingPool(): ResetCountingPool {
  const connect = undici.buildConnector({
    allowHalfOpen: true,
    // Replaced by the port of each origin.
    port: 0,
  });
  const checks = new Set<Promise<void>>();
  let resets = 0;

  function checkEnd(socket: net.Socket): void {
    const check = new Promise<void>((resolve) =>
      connectionEnd.checkEnd(socket, (end) => {
        if (end === "reset") resets += 1;
        resolve();
      })
    );
    checks.add(check);
    void check.then(() => checks.delete(check));
  }

  return {
    dispatcher: new undici.Agent({
      headersTimeout: 0,
      bodyTimeout: 0,
      connect(options, callback) {
        connect(options, (...result) => {
          const [, socket] = result;
          socket?.once("end", () => checkEnd(socket));
          // The library also ends connections by errors of its own.
          socket?.on("error", (error) => {
            if (readField(error, "code") === "ECONNRESET") resets += 1;
          });
          callback(...result);
        });
      },
    }),
    async countResets() {
      await Promise.all(checks);
      return resets;
    },
  };
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
