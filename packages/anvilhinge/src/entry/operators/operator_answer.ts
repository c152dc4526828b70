/** Error answers of the HTTP API for operators. */
import type Koa from "koa";

export interface OperatorError {
  readonly code: string;
  readonly message: string;
}

/** Writes an error answer. */
export function writeError(
  koa: Koa.Context,
  status: number,
  error: OperatorError,
): void {
  koa.status = status;
  koa.body = { error };
}

/** Writes that the object does not have the version that the change requires. */
export function writeConflict(
  koa: Koa.Context,
  status: 409 | 412,
  error: OperatorError & { readonly version: number },
): void {
  const { code, message, version } = error;
  koa.status = status;
  koa.body = { error: { code, message }, current: { version } };
}

/** Writes that the object store is unavailable and nothing was changed. */
export function writeUnavailable(koa: Koa.Context, message: string): void {
  koa.set("Retry-After", "1");
  writeError(koa, 503, {
    code: "unavailable",
    message: `The object API is away; nothing was changed: ${message}`,
  });
}
