/**
 * The control duties of one entry. The duties of a half are divided into
 * bundles with one lease each. An entry holds the duties of the bundles whose
 * lease it holds. Orders of a duty carry the fencing number of its lease; writes
 * of assignment records are conditional on the record's version instead (see
 * `handover.ts`).
 */
import * as bundle from "@anvilhinge/coordination/bundle";
import * as lease from "@anvilhinge/coordination/lease";
import * as leaseDriver from "@anvilhinge/coordination/lease_driver";
import * as leaseKey from "../../adapters/lease_key.ts";
import type * as context from "../context.ts";

export type DutiesContext = Pick<
  context.EntryContext,
  | "settings"
  | "store"
  | "scheduler"
  | "random"
  | "createId"
  | "listMembers"
  | "logger"
>;

export interface Duties {
  /** Whether this entry currently holds the lease of the duty. */
  isHolder(dutyKey: string): boolean;
  /** Fencing number of the duty's lease; undefined if it is not held here. */
  getFencingNumber(dutyKey: string): number | undefined;
  /** Numbers of the bundles whose lease this entry holds. */
  listHeldBundles(): readonly number[];
  /** Competes for the leases; other entries reach a holder at its `address`. */
  start(address: string): void;
  /** Releases all held leases. */
  stop(): Promise<void>;
}

interface RunningLease {
  readonly machine: lease.Lease;
  readonly driver: leaseDriver.LeaseDriver;
}

/** Creates the duties of one entry; it holds no leases before `start`. */
export function createDuties(
  entry: DutiesContext,
  options: { readonly signal: AbortSignal },
): Duties {
  const { settings, scheduler, logger } = entry;
  const holder = `${settings.id}/${entry.createId()}`;
  const leases: RunningLease[] = [];

  function startLease(bundleNumber: number, address: string): RunningLease {
    const key = leaseKey.formatLeaseKey(settings.half, bundleNumber);
    const machine = lease.createLease({
      clock: scheduler,
      random: entry.random,
      createId: entry.createId,
      holder,
      address,
      getCandidateIndex() {
        const liveMembers = entry.listMembers().filter((member) =>
          member.state === "live"
        );
        return bundle.computeCandidateIndex(liveMembers, {
          key,
          id: settings.id,
        });
      },
    });
    const driver = leaseDriver.driveLease({
      lease: machine,
      key,
      store: entry.store,
      schedule: scheduler.schedule,
      signal: options.signal,
      onStarted: (fencingNumber) =>
        logger.info(`Acquired lease ${key}, fencing number ${fencingNumber}`),
      onStopped: () => logger.info(`Lost or released lease ${key}`),
    });
    return { machine, driver };
  }

  function getFencingNumber(dutyKey: string): number | undefined {
    const { bundlesPerHalf } = leaseKey;
    const bundleNumber = bundle.selectBundle(dutyKey, bundlesPerHalf);
    return leases[bundleNumber]?.machine.getHeldFencingNumber();
  }

  return {
    isHolder: (dutyKey) => getFencingNumber(dutyKey) !== undefined,
    getFencingNumber,
    listHeldBundles: () =>
      leases.flatMap(({ machine }, bundleNumber) =>
        machine.getHeldFencingNumber() === undefined ? [] : [bundleNumber]
      ),
    start(address) {
      for (let number = 0; number < leaseKey.bundlesPerHalf; number += 1) {
        leases.push(startLease(number, address));
      }
    },
    async stop() {
      await Promise.all(leases.map(({ driver }) => driver.release()));
    },
  };
}
