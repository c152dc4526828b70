/**
 * A job that one of several nodes runs at a time: each node competes for a
 * lease and hands the job its fencing number.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as lease from "@anvilhinge/coordination/lease";
import * as leaseDriver from "@anvilhinge/coordination/lease_driver";
import type * as random from "@anvilhinge/coordination/random";
import type * as versionedStore from "@anvilhinge/coordination/versioned_store";

export interface SingleJobOptions {
  /** Id of this node, new at each start of its process. */
  readonly node: string;
  /** Place of this node among the candidates; 0 = the first. */
  readonly place: number;
  readonly store: versionedStore.VersionedStore;
  readonly clock: clock.Clock;
  readonly schedule: versionedStore.Schedule;
  readonly random: random.RandomSource;
  readonly createId: () => string;
  readonly signal: AbortSignal;
  /** Starts the job; whoever obeys it must refuse a lower fencing number. */
  readonly startJob: (fencingNumber: number) => void;
  readonly stopJob: () => void;
}

/** Runs the job whenever this node holds the lease `leases/report`. */
export function runSingleJob(
  options: SingleJobOptions,
): leaseDriver.LeaseDriver {
  const machine = lease.createLease({
    clock: options.clock,
    random: options.random,
    createId: options.createId,
    holder: options.node,
    address: options.node,
    getCandidateIndex: () => options.place,
  });
  return leaseDriver.driveLease({
    lease: machine,
    key: "leases/report",
    store: options.store,
    schedule: options.schedule,
    signal: options.signal,
    onStarted: options.startJob,
    onStopped: options.stopJob,
  });
}
