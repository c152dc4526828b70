/**
 * Object keys of leases. Control duties are grouped into bundles with one lease
 * for each bundle.
 */
import * as bundle from "@anvilhinge/coordination/bundle";

/** Number of bundles of control duties per half. */
export const bundlesPerHalf = 8;

/** Formats the key of a bundle's lease, `leases/<half>/<bundle>`. */
export function formatLeaseKey(half: string, bundleNumber: number): string {
  return `leases/${half}/${bundleNumber}`;
}

/** Formats the key of the lease that covers a duty of a half. */
export function formatDutyLeaseKey(half: string, dutyKey: string): string {
  const bundleNumber = bundle.selectBundle(dutyKey, bundlesPerHalf);
  return formatLeaseKey(half, bundleNumber);
}
