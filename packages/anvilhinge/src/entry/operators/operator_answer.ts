/** Error answers of the operators' HTTP. */
import type Koa from "koa";

export interface OperatorError {
  readonly code: string;
  readonly message: string;
}

/** Writes an error with its code and what to do. */
export function writeError(
  koa: Koa.Context,
  status: number,
  error: OperatorError,
): void {
  koa.status = status;
  koa.body = { error };
}

/** Writes that the object has another version than the change needs. */
export function writeConflict(
  koa: Koa.Context,
  status: 409 | 412,
  error: OperatorError & { readonly version: number },
): void {
  const { code, message, version } = error;
  koa.status = status;
  koa.body = { error: { code, message }, current: { version } };
}

/** Writes that the store is away, so that nothing can be changed. */
export function writeUnavailable(koa: Koa.Context, message: string): void {
  koa.set("Retry-After", "1");
  writeError(koa, 503, {
    code: "unavailable",
    message: `The object API is away; nothing was changed: ${message}`,
  });
}
