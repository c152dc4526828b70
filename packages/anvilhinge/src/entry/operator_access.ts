/** Who may change which subtree: bearer tokens known by their digests. */
import * as crypto from "node:crypto";
import type * as process from "../settings/process.ts";

export type Operator = process.EntrySettings["operators"][number];

/**
 * Returns the operator that the `Authorization` header belongs to, if it may
 * change the subtree. Every digest is compared in constant time.
 */
export function findOperator(
  operators: readonly Operator[],
  request: { readonly authorization: string; readonly subtree: string },
): Operator | undefined {
  const token = request.authorization.replace(/^Bearer /, "");
  const digest = crypto.createHash("sha256").update(token).digest();
  const known = operators.filter((operator) =>
    crypto.timingSafeEqual(digest, Buffer.from(operator.tokenSha256, "hex"))
  );
  return known.find(({ subtrees }) => subtrees.includes(request.subtree));
}
