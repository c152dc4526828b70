/** Load of the ranks in one layer under a given placement of experts. */
import * as expertMap from "./expert_map.ts";

/** Shares of the experts and speeds of the ranks of one layer. */
export interface LayerLoad {
  /** Share of the layer's tokens by expert. */
  readonly shares: readonly number[];
  /** Relative speed by rank; 1 is the normal speed. */
  readonly speeds: readonly number[];
}

/** Mutable placement of a layer's experts. */
export interface Placement {
  readonly ranks: number[][];
  /** Number of replicas by expert. */
  readonly replicaCounts: number[];
  /**
   * Time by rank: its share of the layer's tokens, divided by its speed. A rank
   * of normal speed processes all tokens of the layer in time 1.
   */
  readonly times: number[];
}

/** Computes rank times; replicas of an expert share its tokens evenly. */
export function createPlacement(
  ranks: readonly (readonly number[])[],
  load: LayerLoad,
): Placement {
  const holders = expertMap.listHolders(ranks, load.shares.length);
  const replicaCounts = holders.map((list) => list.length);
  const times = ranks.map((experts, rank) =>
    experts.reduce(
      (sum, expert) => sum + load.shares[expert]! / replicaCounts[expert]!,
      0,
    ) / load.speeds[rank]!
  );
  return {
    ranks: ranks.map((experts) => [...experts]),
    replicaCounts,
    times,
  };
}

/** Returns the time of the slowest rank. */
export function getSlowestTime({ times }: Pick<Placement, "times">): number {
  return Math.max(...times);
}

/** Returns a lower bound for the slowest rank's time under any placement. */
export function computeTimeLowerBound({ shares, speeds }: LayerLoad): number {
  const total = shares.reduce((sum, share) => sum + share, 0);
  return total / speeds.reduce((sum, speed) => sum + speed, 0);
}

/**
 * Returns the ratio of the slowest to the mean rank time. Both are summed over
 * the layers first; `bounded_planner.ts` averages the ratios of the layers.
 */
export function computeSkew(
  map: expertMap.ExpertMap,
  load: {
    readonly shares: readonly (readonly number[])[];
    readonly speeds: readonly number[];
  },
): number {
  let slowestSum = 0;
  let meanSum = 0;
  map.layers.forEach((ranks, layer) => {
    const shares = load.shares[layer]!;
    const { times } = createPlacement(ranks, { ...load, shares });
    slowestSum += Math.max(...times);
    meanSum += times.reduce((sum, time) => sum + time, 0) / times.length;
  });
  return meanSum === 0 ? 1 : slowestSum / meanSum;
}

/** Counts the experts that ranks must load to switch between two maps. */
export function countExpertCopies(
  from: expertMap.ExpertMap,
  to: expertMap.ExpertMap,
): number {
  let loads = 0;
  to.layers.forEach((ranks, layer) =>
    ranks.forEach((experts, rank) => {
      const heldExperts = new Set(from.layers[layer]?.[rank]);
      loads += experts.filter((expert) => !heldExperts.has(expert)).length;
    })
  );
  return loads;
}
