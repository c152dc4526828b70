/** Keys of leases in the object API, and the bundle that a duty belongs to. */
import * as bundle from "@anvilhinge/coordination/bundle";

/** Bundles of control duties that each half has. */
export const bundlesPerHalf = 8;

/** Formats the key of a bundle's lease, `leases/<half>/<bundle>`. */
export function formatLeaseKey(half: string, bundleNumber: number): string {
  return `leases/${half}/${bundleNumber}`;
}

/** Formats the key of the lease that a duty of a half comes under. */
export function formatDutyLeaseKey(half: string, dutyKey: string): string {
  const bundleNumber = bundle.selectBundle(dutyKey, bundlesPerHalf);
  return formatLeaseKey(half, bundleNumber);
}
