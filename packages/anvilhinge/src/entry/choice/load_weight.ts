/**
 * The share of workspaces that an entry should get, from how busy its loop is.
 * The share moves in few steps with hysteresis, because each step moves
 * workspaces to other entries.
 */

/** Share of an entry that is not under load. */
export const fullWeight = 1;

const minWeight = 0.25;
const highUtilization = 0.8;
const lowUtilization = 0.5;

/** Computes the next weight from the loop's utilization, 0 to 1. */
export function computeWeight(weight: number, utilization: number): number {
  if (utilization > highUtilization) return Math.max(minWeight, weight / 2);
  if (utilization < lowUtilization) return Math.min(fullWeight, weight * 2);
  return weight;
}
