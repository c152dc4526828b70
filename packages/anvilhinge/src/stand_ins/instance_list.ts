/** Core of the instance list stand-in, which readers see with a lag. */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as ports from "../ports/instance_list.ts";
import type * as faults from "./faults.ts";
import * as laggedValue from "./lagged_value.ts";

export interface InstanceRegistryOptions {
  readonly clock: clock.Clock;
  /** Age of the listed state, in milliseconds. */
  readonly lagMs: number;
}

/** Instances in the order of their registration. */
export interface InstanceRegistry {
  /** Adds an instance or replaces the instance with that identifier. */
  register(instance: ports.Instance): void;
  /** Marks an instance as leaving. */
  markLeaving(id: string): void;
  remove(id: string): void;
  /** Returns the instances as of `lagMs` ago. */
  list(): readonly ports.Instance[];
}

/** Creates an empty registry. */
export function createInstanceRegistry(
  options: InstanceRegistryOptions,
): InstanceRegistry {
  const instances = laggedValue.createLaggedValue<readonly ports.Instance[]>({
    ...options,
    initial: [],
  });

  function update(
    change: (list: readonly ports.Instance[]) => readonly ports.Instance[],
  ): void {
    instances.set(change(instances.getCurrent()));
  }

  return {
    register: (instance) =>
      update((list) => [
        ...list.filter(({ id }) => id !== instance.id),
        instance,
      ]),
    markLeaving: (leavingId) =>
      update((list) =>
        list.map((instance) =>
          instance.id === leavingId
            ? { ...instance, state: "leaving" }
            : instance
        )
      ),
    remove: (removedId) =>
      update((list) => list.filter(({ id }) => id !== removedId)),
    list: () => instances.get(),
  };
}

/**
 * Creates the port on a registry in the same process. Under any fault except
 * `duplicated`, the list is unavailable.
 */
export function createLocalInstanceList(
  registry: InstanceRegistry,
  options: { readonly faults: faults.FaultSwitch },
): ports.InstanceList {
  return {
    list() {
      const fault = options.faults.take();
      if (fault.kind === "none" || fault.kind === "duplicated") {
        return Promise.resolve({ kind: "listed", instances: registry.list() });
      }
      const message = "The instance list is unavailable; try again later";
      return Promise.resolve({ kind: "unavailable", message });
    },
  };
}
