/** The platform's list of instances, which lags behind the truth. */
import type * as objectStore from "./object_store.ts";

/** One process of the system as the platform sees it. */
export interface Instance {
  readonly id: string;
  readonly role: "entry" | "agent";
  /** Half that runs the instance. */
  readonly half: string;
  /** Address as `host:port`. */
  readonly address: string;
  /** Address for other entries, as `host:port`; entries only. */
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
