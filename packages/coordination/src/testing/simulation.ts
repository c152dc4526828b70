/**
 * Virtual time, an object store with faults and nodes that can pause, for tests
 * and benchmarks of the state machines of this package.
 */
import type * as versionedStore from "../versioned_store.ts";

/** Virtual time; timers fire in the order of their due times. */
export interface Simulation {
  now(): number;
  readonly schedule: versionedStore.Schedule;
  /** Moves time forward and runs the callbacks that become due. */
  advance(durationMs: number): void;
}

interface Timer {
  readonly dueMs: number;
  readonly callback: () => void;
  readonly signal?: AbortSignal;
}

/** Creates a simulation at time 0. */
export function createSimulation(): Simulation {
  const timers: Timer[] = [];
  let nowMs = 0;

  function findInsertIndex(dueMs: number): number {
    let low = 0;
    let high = timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      // Sorted with the earliest timer last, so that removing it is cheap.
      if ((timers[middle] as Timer).dueMs > dueMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  return {
    now: () => nowMs,
    schedule(callback, { delayMs, signal }) {
      const dueMs = nowMs + Math.max(0, delayMs);
      timers.splice(findInsertIndex(dueMs), 0, { dueMs, callback, signal });
    },
    advance(durationMs) {
      const limitMs = nowMs + durationMs;
      for (;;) {
        const next = timers.at(-1);
        if (next === undefined || next.dueMs > limitMs) break;
        timers.pop();
        nowMs = Math.max(nowMs, next.dueMs);
        if (!next.signal?.aborted) next.callback();
      }
      nowMs = limitMs;
    },
  };
}

/**
 * A node whose callbacks are deferred while it is paused and dropped after it
 * is killed.
 */
export interface SimulatedNode {
  run(callback: () => void): void;
  pause(): void;
  resume(): void;
  kill(): void;
  isDead(): boolean;
}

/** Creates a running node. */
export function createNode(): SimulatedNode {
  let state: "running" | "paused" | "dead" = "running";
  let deferred: (() => void)[] = [];
  return {
    run(callback) {
      if (state === "running") callback();
      if (state === "paused") deferred.push(callback);
    },
    pause() {
      if (state === "running") state = "paused";
    },
    resume() {
      if (state !== "paused") return;
      state = "running";
      for (const callback of deferred.splice(0)) callback();
    },
    kill() {
      state = "dead";
      deferred = [];
    },
    isDead: () => state === "dead",
  };
}

/** Fault of one call to the object store. */
export type StoreFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  /** The call takes effect, but its answer is lost. */
  | { readonly kind: "answer_lost" }
  /** The answer is lost; a write takes effect after the delay. */
  | { readonly kind: "late"; readonly delayMs: number };

export interface SimulatedStore {
  read(
    key: string,
    onAnswer: (outcome: versionedStore.ReadOutcome) => void,
  ): void;
  write(
    request: {
      readonly key: string;
      readonly value: unknown;
      readonly ifVersion: number;
    },
    onAnswer: (outcome: versionedStore.WriteOutcome) => void,
  ): void;
  /** Adds faults for the next calls, one for each call. */
  addFaults(...faults: readonly StoreFault[]): void;
  /** While true, all calls fail as unavailable. */
  setDown(isDown: boolean): void;
  /** Returns the current object; not counted as a call. */
  getObject(key: string): versionedStore.StoredObject | undefined;
  countCalls(): { readonly reads: number; readonly writes: number };
}

/** Time after which a call without an answer fails. */
const callTimeoutMs = 300;

/** Creates an empty store; `latencyMs` is the one-way network latency. */
export function createSimulatedStore(
  simulation: Simulation,
  latencyMs = 2,
): SimulatedStore {
  const objects = new Map<string, versionedStore.StoredObject>();
  const faults: StoreFault[] = [];
  const unavailable = { kind: "unavailable", message: "down" } as const;
  const unknown = { kind: "unknown", message: "no answer" } as const;
  let isDown = false;
  let version = 0;
  let reads = 0;
  let writes = 0;

  function takeFault(): StoreFault {
    if (isDown) return { kind: "down" };
    return faults.shift() ?? { kind: "none" };
  }

  function wait(delayMs: number, callback: () => void): void {
    simulation.schedule(callback, { delayMs });
  }

  function executeRead(key: string): versionedStore.ReadOutcome {
    const object = objects.get(key);
    return object === undefined
      ? { kind: "missing" }
      : { kind: "found", object };
  }

  function executeWrite(
    key: string,
    value: unknown,
    ifVersion: number,
  ): versionedStore.WriteOutcome {
    const current = objects.get(key);
    if ((current?.version ?? 0) !== ifVersion) {
      return { kind: "conflict", current };
    }
    version += 1;
    objects.set(key, { key, value, version });
    return { kind: "accepted", version };
  }

  return {
    read(key, onAnswer) {
      reads += 1;
      const fault = takeFault();
      wait(latencyMs, () => {
        const outcome = executeRead(key);
        if (fault.kind === "none") {
          return wait(latencyMs, () => onAnswer(outcome));
        }
        const delayMs = fault.kind === "down" ? latencyMs : callTimeoutMs;
        wait(delayMs, () => onAnswer(unavailable));
      });
    },
    write({ key, value, ifVersion }, onAnswer) {
      writes += 1;
      const fault = takeFault();
      const execute = () => executeWrite(key, value, ifVersion);
      switch (fault.kind) {
        case "none":
          return wait(latencyMs, () => {
            const outcome = execute();
            wait(latencyMs, () => onAnswer(outcome));
          });
        case "down":
          return wait(2 * latencyMs, () => onAnswer(unavailable));
        case "answer_lost":
          wait(latencyMs, execute);
          return wait(callTimeoutMs, () => onAnswer(unknown));
        case "late":
          wait(fault.delayMs, execute);
          return wait(callTimeoutMs, () => onAnswer(unknown));
      }
    },
    addFaults: (...added) => void faults.push(...added),
    setDown(value) {
      isDown = value;
    },
    getObject: (key) => objects.get(key),
    countCalls: () => ({ reads, writes }),
  };
}
