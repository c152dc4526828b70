/** Load of the ranks in one layer under a placement of its experts. */
import * as expertMap from "./expert_map.ts";

/** Shares of the experts and speeds of the ranks of one layer. */
export interface LayerLoad {
  readonly shares: readonly number[];
  /** 1 is the normal speed. */
  readonly speeds: readonly number[];
}

/** Placement of a layer's experts that is changed in place. */
export interface Placement {
  readonly ranks: number[][];
  /** Replicas by expert. */
  readonly replicaCounts: number[];
  /** Time by rank, in shares of the layer's tokens at normal speed. */
  readonly times: number[];
}

/** Computes the load of each rank; the tokens of an expert are split evenly. */
export function createPlacement(
  ranks: readonly (readonly number[])[],
  load: LayerLoad,
): Placement {
  const holders = expertMap.listHolders(ranks, load.shares.length);
  const counts = holders.map((list) => list.length);
  const times = ranks.map((experts, rank) =>
    experts.reduce(
      (sum, expert) => sum + load.shares[expert]! / counts[expert]!,
      0,
    ) / load.speeds[rank]!
  );
  return {
    ranks: ranks.map((experts) => [...experts]),
    replicaCounts: counts,
    times,
  };
}

/** Returns the time of the slowest rank. */
export function getSlowestTime({ times }: Pick<Placement, "times">): number {
  return Math.max(...times);
}

/** Returns the least time that any placement could reach. */
export function computeTimeLowerBound({ shares, speeds }: LayerLoad): number {
  const total = shares.reduce((sum, share) => sum + share, 0);
  return total / speeds.reduce((sum, speed) => sum + speed, 0);
}

/** Returns the time of the slowest rank over the mean, over all layers. */
export function computeSkew(
  map: expertMap.ExpertMap,
  load: {
    readonly shares: readonly (readonly number[])[];
    readonly speeds: readonly number[];
  },
): number {
  let slowest = 0;
  let mean = 0;
  map.layers.forEach((ranks, layer) => {
    const shares = load.shares[layer]!;
    const { times } = createPlacement(ranks, { ...load, shares });
    slowest += Math.max(...times);
    mean += times.reduce((sum, time) => sum + time, 0) / times.length;
  });
  return mean === 0 ? 1 : slowest / mean;
}

/** Counts the experts that ranks must load to go from one map to another. */
export function countExpertLoads(
  from: expertMap.ExpertMap,
  to: expertMap.ExpertMap,
): number {
  let loads = 0;
  to.layers.forEach((ranks, layer) =>
    ranks.forEach((experts, rank) => {
      const held = new Set(from.layers[layer]?.[rank]);
      loads += experts.filter((expert) => !held.has(expert)).length;
    })
  );
  return loads;
}
