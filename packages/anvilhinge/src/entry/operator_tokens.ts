/** Finds the operator that a bearer token belongs to. */
import * as crypto from "node:crypto";
import type * as process from "../settings/process.ts";

export type Operator = process.EntrySettings["operators"][number];

/**
 * Returns the operator whose token the `Authorization` header carries. The
 * comparison takes the same time whichever digest matches.
 */
export function findOperator(
  operators: readonly Operator[],
  authorization: string,
): Operator | undefined {
  const token = authorization.replace(/^Bearer /, "");
  const digest = crypto.createHash("sha256").update(token).digest();
  const matches = operators.filter((operator) =>
    crypto.timingSafeEqual(digest, Buffer.from(operator.tokenSha256, "hex"))
  );
  return matches[0];
}
