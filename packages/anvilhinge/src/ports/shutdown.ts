/** How a process is asked to stop, and what it says of the work it has. */

export interface RunRoleOptions {
  /** Asks for a graceful stop. */
  readonly signal: AbortSignal;
  /** Takes the function that names the work in progress. */
  readonly registerWorkDescriber?: (describeWork: () => string) => void;
}
