/**
 * Object store client that calls the core of the object API stand-in directly,
 * in the same process, and applies faults.
 */
import type * as objectStore from "../ports/object_store.ts";
import * as delay from "../adapters/delay.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as faults from "./faults.ts";
import type * as objectApi from "./object_api.ts";

const defaultTimeoutMs = 1_000;

export interface LocalObjectStoreOptions {
  readonly faults: faults.FaultSwitch;
  readonly scheduler: scheduler.Scheduler;
  /**
   * Time after which a stalled call fails.
   * @default 1000
   */
  readonly timeoutMs?: number;
}

interface Call<Outcome> {
  readonly execute: () => Outcome;
  /** Outcome when the store refuses the call before it takes effect. */
  readonly refused: Outcome;
  /** Outcome when no answer arrives. */
  readonly unanswered: Outcome;
}

const unavailable: objectStore.Unavailable = {
  kind: "unavailable",
  message: "The object API is unavailable; try again later",
};

const unansweredWrite: objectStore.WriteOutcome = {
  kind: "unknown",
  message: "The object API did not answer the write; read the key again",
};

/** Creates a client of `api` that opens no sockets. */
export function createLocalObjectStore(
  api: objectApi.ObjectApi,
  options: LocalObjectStoreOptions,
): objectStore.ObjectStore {
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
  const timers = options.scheduler;

  async function run<Outcome>(call: Call<Outcome>): Promise<Outcome> {
    const fault = options.faults.take();
    switch (fault.kind) {
      case "none":
        return call.execute();
      case "down":
      case "crash":
        return call.refused;
      case "slow":
        await delay.waitFor(timers, { delayMs: fault.delayMs });
        return call.execute();
      case "answer_lost":
        call.execute();
        return call.unanswered;
      case "late":
        timers.schedule(call.execute, { delayMs: fault.delayMs });
        return call.unanswered;
      case "duplicated": {
        const outcome = call.execute();
        call.execute();
        return outcome;
      }
      case "stall":
        await delay.waitFor(timers, { delayMs: timeoutMs });
        return call.unanswered;
    }
  }

  function runWrite(
    execute: () => objectApi.ApiWriteOutcome,
  ): Promise<objectStore.WriteOutcome> {
    return run<objectStore.WriteOutcome>({
      execute: () => convertWriteOutcome(execute()),
      refused: unavailable,
      unanswered: unansweredWrite,
    });
  }

  return {
    read: (key) =>
      run<objectStore.ReadOutcome>({
        execute: () => api.read(key),
        refused: unavailable,
        unanswered: unavailable,
      }),
    list: (prefix) =>
      run<objectStore.ListOutcome>({
        execute: () => api.list(prefix),
        refused: unavailable,
        unanswered: unavailable,
      }),
    write: (key, value, condition) =>
      runWrite(() => api.write(key, value, condition)),
    remove: (key, condition) => runWrite(() => api.remove(key, condition)),
    watch: (prefix, watchOptions) =>
      startWatch(api, { prefix, watchOptions, ...options }),
  };
}

/** Converts an outcome of the core to an outcome of the port. */
export function convertWriteOutcome(
  outcome: objectApi.ApiWriteOutcome,
): objectStore.WriteOutcome {
  if (outcome.kind !== "too_large") return outcome;
  return { kind: "unavailable", message: outcome.message };
}

interface WatchStart extends LocalObjectStoreOptions {
  readonly prefix: string;
  readonly watchOptions: objectStore.WatchOptions;
}

/**
 * Delivers events from a queue with one timer for each, so that no event
 * arrives while its writer is still running, and no event overtakes an earlier
 * event when the delay changes.
 */
function startWatch(api: objectApi.ObjectApi, start: WatchStart): void {
  const { sinceVersion, signal, onEvent } = start.watchOptions;
  const closed = new AbortController();
  const endSignal = AbortSignal.any([signal, closed.signal]);
  const queue: objectStore.WatchEvent[] = [];

  function deliverNext(): void {
    if (endSignal.aborted || start.faults.get().kind === "stall") return;
    const event = queue.shift();
    if (event === undefined) return;
    if (event.kind === "closed") closed.abort();
    onEvent(event);
  }

  function scheduleDelivery(): void {
    const fault = start.faults.get();
    const delayMs = fault.kind === "slow" ? fault.delayMs : 0;
    start.scheduler.schedule(deliverNext, { delayMs, signal: endSignal });
  }

  function enqueue(event: objectStore.WatchEvent): void {
    queue.push(event);
    scheduleDelivery();
  }

  function handleFault(fault: faults.Fault): void {
    if (isUnavailable(fault)) return enqueueClosed();
    // The timers that fired during a stall delivered nothing.
    for (const _event of queue) scheduleDelivery();
  }

  function enqueueClosed(): void {
    enqueue({ kind: "closed", message: unavailable.message });
  }

  if (isUnavailable(start.faults.take())) return enqueueClosed();
  start.faults.subscribe(handleFault, endSignal);
  api.watch(start.prefix, {
    sinceVersion,
    signal: endSignal,
    onEvent: enqueue,
  });
}

function isUnavailable(fault: faults.Fault): boolean {
  return fault.kind === "down" || fault.kind === "crash";
}
