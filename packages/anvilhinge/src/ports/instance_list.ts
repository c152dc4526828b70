/** The platform's list of instances, which lags behind the actual state. */
import type * as objectStore from "./object_store.ts";

/** One process of the system as registered with the platform. */
export interface Instance {
  readonly id: string;
  readonly role: "entry" | "agent";
  /** Half that operates the instance. */
  readonly half: string;
  /** Address as `host:port`. */
  readonly address: string;
  /** Address that other entries use, as `host:port`; entries only. */
  readonly controlAddress?: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
}

export type InstancesOutcome =
  | { readonly kind: "listed"; readonly instances: readonly Instance[] }
  | objectStore.Unavailable;

export interface InstanceList {
  list(): Promise<InstancesOutcome>;
}
