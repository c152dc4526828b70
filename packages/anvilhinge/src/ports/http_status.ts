/** Classes of HTTP statuses. */

const minSuccessStatus = 200;
const minRedirectStatus = 300;
/** Lowest status that counts as a failure of the upstream. */
const minFailureStatus = 500;
const bodylessStatuses: readonly number[] = [204, 304];

/** Whether an answer with this status holds what the request asked for. */
export function isSuccess(status: number): boolean {
  return status >= minSuccessStatus && status < minRedirectStatus;
}

/** Whether an answer with this status counts as a failure of the upstream. */
export function isFailure(status: number): boolean {
  return status >= minFailureStatus;
}

/** Whether an answer with this status never has a body. */
export function isBodyless(status: number): boolean {
  return bodylessStatuses.includes(status);
}
