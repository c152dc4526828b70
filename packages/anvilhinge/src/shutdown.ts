/**
 * Shutdown on signals: the first signal starts a graceful stop, the second
 * ends the process at once and reports the work that it interrupts.
 */

export interface ShutdownOptions {
  readonly writeError: (text: string) => void;
  readonly exit: (code: number) => void;
}

export interface Shutdown {
  /** Aborted at the first signal. */
  readonly signal: AbortSignal;
  handleSignal(): void;
  /** Registers the function that describes the work in progress. */
  registerWorkDescriber(describeWork: () => string): void;
}

/** Exit code of a process that ended before its work was complete. */
export const forcedExitCode = 1;

/** Creates the signal handler of a process and the signal that it aborts. */
export function createShutdown(options: ShutdownOptions): Shutdown {
  const controller = new AbortController();
  let describeWork = () => "nothing";
  return {
    signal: controller.signal,
    handleSignal() {
      if (!controller.signal.aborted) return controller.abort();
      options.writeError(`Ends at once and cuts ${describeWork()}\n`);
      options.exit(forcedExitCode);
    },
    registerWorkDescriber(describe) {
      describeWork = describe;
    },
  };
}
