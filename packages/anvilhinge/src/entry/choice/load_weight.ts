/**
 * Weight of an entry: its share of the workspaces, computed from the
 * utilization of its event loop. The weight changes in few steps with
 * hysteresis, because each change moves workspaces to other entries.
 */

/** Weight of an entry that is not under load. */
export const fullWeight = 1;

const minWeight = 0.25;
const highUtilization = 0.8;
const lowUtilization = 0.5;

/** Computes the next weight from the event loop's utilization, 0 to 1. */
export function computeWeight(weight: number, utilization: number): number {
  if (utilization > highUtilization) return Math.max(minWeight, weight / 2);
  if (utilization < lowUtilization) return Math.min(fullWeight, weight * 2);
  return weight;
}
