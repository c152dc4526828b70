/**
 * A simulated node that runs the lease state machine against a simulated object
 * store.
 */
import * as lease from "../lease.ts";
import type * as random from "../random.ts";
import type * as simulation from "./simulation.ts";

export interface LeaseNodeOptions {
  readonly id: string;
  readonly key: string;
  readonly simulation: simulation.Simulation;
  readonly store: simulation.SimulatedStore;
  readonly random: random.RandomSource;
  readonly getCandidateIndex: () => number;
  readonly node: simulation.SimulatedNode;
  readonly onStartedHolding?: (fencingNumber: number) => void;
}

/**
 * Starts the lease on the node. Tests can inspect the returned lease and feed
 * events to it; its effects are executed by the node, not returned.
 */
export function runLeaseNode(options: LeaseNodeOptions): lease.Lease {
  const { node, store, key } = options;
  const timers = new Map<lease.TimerName, AbortController>();
  let nextId = 0;
  const machine = lease.createLease({
    clock: options.simulation,
    random: options.random,
    createId: () => `${options.id}-${nextId++}`,
    holder: options.id,
    address: `${options.id}:1`,
    getCandidateIndex: options.getCandidateIndex,
  });

  function setTimer(name: lease.TimerName, delayMs: number): void {
    timers.get(name)?.abort();
    const controller = new AbortController();
    timers.set(name, controller);
    const { signal } = controller;
    options.simulation.schedule(
      () => node.run(() => signal.aborted || feed({ kind: "timer", name })),
      { delayMs, signal },
    );
  }

  function execute(effect: lease.LeaseEffect): void {
    switch (effect.kind) {
      case "read":
        return store.read(
          key,
          (outcome) => node.run(() => feed({ kind: "read", outcome })),
        );
      case "write":
        return store.write(
          { key, value: effect.record, ifVersion: effect.ifVersion },
          (outcome) => node.run(() => feed({ kind: "written", outcome })),
        );
      case "set_timer":
        return setTimer(effect.name, effect.delayMs);
      case "started_holding":
        return options.onStartedHolding?.(effect.fencingNumber);
      case "stopped_holding":
        return;
    }
  }

  function feed(event: lease.LeaseEvent): void {
    for (const effect of machine.handle(event)) execute(effect);
  }

  feed({ kind: "start" });
  return {
    ...machine,
    handle(event) {
      feed(event);
      return [];
    },
  };
}
