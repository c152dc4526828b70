/** Graceful stop of a process, and the description of its work in progress. */

export interface RunRoleOptions {
  /** Requests a graceful stop. */
  readonly signal: AbortSignal;
  /** Registers the function that describes the work in progress. */
  readonly registerWorkDescriber?: (describeWork: () => string) => void;
}
