/**
 * Shutdown by signals: the first asks for a graceful stop, the second ends the
 * process at once and says what it cuts.
 */

export interface ShutdownOptions {
  readonly writeError: (text: string) => void;
  readonly exit: (code: number) => void;
}

export interface Shutdown {
  /** Aborts at the first signal. */
  readonly signal: AbortSignal;
  handleSignal(): void;
  /** Sets the function that names the work in progress. */
  setWorkDescription(describeWork: () => string): void;
}

/** Exit code of a process that cut its work. */
export const forcedExitCode = 1;

/** Creates the state of a process that was not asked to stop. */
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
    setWorkDescription(describe) {
      describeWork = describe;
    },
  };
}
