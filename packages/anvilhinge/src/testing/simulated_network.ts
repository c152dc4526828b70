/**
 * Nodes of a test on a network in simulated time: messages are copied and arrive
 * after a delay, and a node that is paused runs its callbacks after the pause.
 */
import type * as scheduler from "../ports/scheduler.ts";

export interface SimulatedNode {
  /** Runs callbacks of this node; none after its signal has aborted. */
  readonly scheduler: scheduler.Scheduler;
  readonly sockets: { send(message: unknown, to: string): void };
  readonly abort: AbortController;
}

export interface SimulatedNetworkOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly messageDelayMs: number;
  /** Whether a message between two addresses is lost. @default () => false */
  readonly isLost?: (from: string, to: string) => boolean;
}

export interface SimulatedNetwork {
  /** Starts a node, in place of any earlier one at the address. */
  startNode(
    address: string,
    handle: (message: unknown, from: string) => void,
  ): SimulatedNode;
  /** Stops a node without notice. */
  kill(address: string): void;
  pause(address: string, durationMs: number): void;
}

/** Creates a network without nodes. */
export function createSimulatedNetwork(
  { scheduler, messageDelayMs, isLost = () => false }: SimulatedNetworkOptions,
): SimulatedNetwork {
  const receivers = new Map<string, {
    readonly signal: AbortSignal;
    readonly handle: (message: unknown, from: string) => void;
  }>();
  const aborts = new Map<string, AbortController>();
  const pausedUntilMs = new Map<string, number>();

  /** Runs a callback of a node, after its pause if it is paused. */
  function runAt(
    address: string,
    signal: AbortSignal,
    callback: () => void,
  ): void {
    if (signal.aborted) return;
    const delayMs = (pausedUntilMs.get(address) ?? 0) - scheduler.now();
    if (delayMs <= 0) return callback();
    scheduler.schedule(() => runAt(address, signal, callback), {
      delayMs,
      signal,
    });
  }

  return {
    startNode(address, handle) {
      const abort = new AbortController();
      const { signal } = abort;
      aborts.set(address, abort);
      receivers.set(address, { signal, handle });
      return {
        abort,
        scheduler: {
          now: scheduler.now,
          schedule: (callback, options) =>
            scheduler.schedule(() => runAt(address, signal, callback), {
              ...options,
              signal: options.signal ?? signal,
            }),
        },
        sockets: {
          send(message, to) {
            if (isLost(address, to)) return;
            const copy: unknown = JSON.parse(JSON.stringify(message));
            scheduler.schedule(() => {
              const receiver = receivers.get(to);
              if (receiver === undefined) return;
              runAt(to, receiver.signal, () => receiver.handle(copy, address));
            }, { delayMs: messageDelayMs });
          },
        },
      };
    },
    kill(address) {
      aborts.get(address)?.abort();
      receivers.delete(address);
    },
    pause(address, durationMs) {
      pausedUntilMs.set(address, scheduler.now() + durationMs);
    },
  };
}
