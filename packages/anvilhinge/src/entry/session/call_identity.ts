/** Identifies repeated submissions of a call by request id and digest. */
import * as nodeCrypto from "node:crypto";

export interface Call {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Computes the request id of a call from its idempotency key, so that all
 * entries assign the same id to a repeated call.
 */
export function computeRequestId(workspace: string, key: string): string {
  const digest = nodeCrypto.createHash("sha256")
    .update(JSON.stringify([workspace, key]))
    .digest("hex");
  return `key-${digest.slice(0, 40)}`;
}

/** Computes the digest of the service, method, path and body of a call. */
export function computeDigest(call: Call): string {
  return nodeCrypto.createHash("sha256")
    .update(JSON.stringify([call.service, call.method, call.path]))
    .update(call.body)
    .digest("hex");
}
