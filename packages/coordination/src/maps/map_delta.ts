/**
 * Differences between two expert maps. A switch changes few ranks in each layer,
 * so that a difference is much shorter than the map, and the time to send it to
 * all ranks does not grow with the number of layers.
 */
import type * as rankOrders from "./rank_orders.ts";

/** Experts of one rank in one layer of the next map. */
export interface RowChange {
  readonly layer: number;
  readonly rank: number;
  readonly experts: readonly number[];
}

export type MapDelta = readonly RowChange[];

function isSameRow(a: readonly number[], b: readonly number[]): boolean {
  return a.length === b.length &&
    a.every((expert, slot) => expert === b[slot]);
}

/** Lists the rows in which `next` differs from `base`, a map of equal size. */
export function computeDelta(
  base: rankOrders.MapLayers,
  next: rankOrders.MapLayers,
): MapDelta {
  return next.flatMap((ranks, layer) =>
    ranks.flatMap((experts, rank) =>
      isSameRow(experts, base[layer]?.[rank] ?? [])
        ? []
        : [{ layer, rank, experts }]
    )
  );
}

/**
 * Returns the map that results from a difference to `base`; undefined if the
 * difference is to a map of another size.
 */
export function applyDelta(
  base: rankOrders.MapLayers,
  delta: MapDelta,
): rankOrders.MapLayers | undefined {
  const layers = base.map((ranks) => [...ranks]);
  for (const { layer, rank, experts } of delta) {
    const ranks = layers[layer];
    if (ranks?.[rank] === undefined) return undefined;
    ranks[rank] = experts;
  }
  return layers;
}
