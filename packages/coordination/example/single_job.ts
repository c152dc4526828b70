/**
 * Runs a job on one of several nodes at a time: each node competes for a lease,
 * and the job receives the fencing number of the lease.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as lease from "@anvilhinge/coordination/lease";
import * as leaseDriver from "@anvilhinge/coordination/lease_driver";
import type * as random from "@anvilhinge/coordination/random";
import type * as versionedStore from "@anvilhinge/coordination/versioned_store";

export interface SingleJobOptions {
  /** Id of this node, new at each start of its process. */
  readonly nodeId: string;
  /** Index of this node among the candidates for the lease; 0 is the first. */
  readonly candidateIndex: number;
  readonly store: versionedStore.VersionedStore;
  readonly clock: clock.Clock;
  readonly schedule: versionedStore.Schedule;
  readonly random: random.RandomSource;
  readonly createId: () => string;
  readonly signal: AbortSignal;
  /**
   * Starts the job. The systems that the job writes to must reject a
   * fencing number below the highest that they have seen, because a paused node
   * may still run the job after another node has taken it over.
   */
  readonly startJob: (fencingNumber: number) => void;
  readonly stopJob: () => void;
}

/** Runs the job while this node holds the lease `leases/report`. */
export function runSingleJob(
  options: SingleJobOptions,
): leaseDriver.LeaseDriver {
  const leaseMachine = lease.createLease({
    clock: options.clock,
    random: options.random,
    createId: options.createId,
    holder: options.nodeId,
    address: options.nodeId,
    getCandidateIndex: () => options.candidateIndex,
  });
  return leaseDriver.driveLease({
    lease: leaseMachine,
    key: "leases/report",
    store: options.store,
    schedule: options.schedule,
    signal: options.signal,
    onStarted: options.startJob,
    onStopped: options.stopJob,
  });
}
