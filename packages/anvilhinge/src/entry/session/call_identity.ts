/** What makes two calls the same call: its request id and its digest. */
import * as nodeCrypto from "node:crypto";

export interface Call {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Computes the request id of a call with an idempotency key, so that every
 * entry gives the same id to the same call.
 */
export function computeRequestId(workspace: string, key: string): string {
  const digest = nodeCrypto.createHash("sha256")
    .update(JSON.stringify([workspace, key]))
    .digest("hex");
  return `key-${digest.slice(0, 40)}`;
}

/** Computes the digest of what a call asks for. */
export function computeDigest(call: Call): string {
  return nodeCrypto.createHash("sha256")
    .update(JSON.stringify([call.service, call.method, call.path]))
    .update(call.body)
    .digest("hex");
}
