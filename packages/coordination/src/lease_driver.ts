/** Executes the effects of a lease with the given store and timers. */
import type * as lease from "./lease.ts";
import type * as versionedStore from "./versioned_store.ts";

export interface LeaseDriverOptions {
  readonly lease: lease.Lease;
  /** Key of the lease object. */
  readonly key: string;
  readonly store: versionedStore.VersionedStore;
  readonly schedule: versionedStore.Schedule;
  /** Stops immediately, without releasing the lease. */
  readonly signal: AbortSignal;
  readonly onStarted?: (fencingNumber: number) => void;
  readonly onStopped?: () => void;
}

/** Handle of a running lease. */
export interface LeaseDriver {
  /** Releases the lease; resolves when the store has answered. */
  release(): Promise<void>;
}

/** Runs the lease until the signal aborts. */
export function driveLease(options: LeaseDriverOptions): LeaseDriver {
  const { key, store, signal } = options;
  const timers = new Map<lease.TimerName, AbortController>();

  function setTimer(name: lease.TimerName, delayMs: number): void {
    timers.get(name)?.abort();
    const timer = new AbortController();
    timers.set(name, timer);
    options.schedule(() => {
      if (timer.signal.aborted || signal.aborted) return;
      void feed({ kind: "timer", name });
    }, { delayMs, signal: timer.signal });
  }

  async function execute(effect: lease.LeaseEffect): Promise<void> {
    switch (effect.kind) {
      case "read":
        return await feed({ kind: "read", outcome: await store.read(key) });
      case "write": {
        const { record, ifVersion } = effect;
        const outcome = await store.write(key, record, { ifVersion });
        return await feed({ kind: "written", outcome });
      }
      case "set_timer":
        return setTimer(effect.name, effect.delayMs);
      case "started_holding":
        return options.onStarted?.(effect.fencingNumber);
      case "stopped_holding":
        return options.onStopped?.();
    }
  }

  async function feed(event: lease.LeaseEvent): Promise<void> {
    if (signal.aborted) return;
    await Promise.all(options.lease.handle(event).map(execute));
  }

  signal.addEventListener("abort", () => {
    for (const active of timers.values()) active.abort();
  }, { once: true });
  void feed({ kind: "start" });
  return { release: () => feed({ kind: "stop" }) };
}
