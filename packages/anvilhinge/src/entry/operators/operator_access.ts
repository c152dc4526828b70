/** Access control of operators: bearer tokens, compared by SHA-256 digest. */
import * as crypto from "node:crypto";
import type * as process from "../../settings/process.ts";

export type Operator = process.EntrySettings["operators"][number];

/**
 * Returns the operators whose token is in the `Authorization` header. Each digest
 * is compared in constant time.
 */
export function matchOperators(
  operators: readonly Operator[],
  authorization: string,
): readonly Operator[] {
  const token = authorization.replace(/^Bearer /, "");
  const digest = crypto.createHash("sha256").update(token).digest();
  return operators.filter((operator) =>
    crypto.timingSafeEqual(digest, Buffer.from(operator.tokenSha256, "hex"))
  );
}

/** Finds the operator whose token is given and who may change the subtree. */
export function findOperator(
  operators: readonly Operator[],
  request: { readonly authorization: string; readonly subtree: string },
): Operator | undefined {
  return matchOperators(operators, request.authorization)
    .find(({ subtrees }) => subtrees.includes(request.subtree));
}
