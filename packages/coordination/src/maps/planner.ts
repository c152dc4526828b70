/**
 * Plans a group's expert map in small moves. A move loads one expert into one
 * slot of a rank, in place of another expert's spare replica if no slot is
 * free, or exchanges two experts. It is taken only when the step time that it
 * saves until the forecast fails repays the time to load its weights.
 */
import * as expertMap from "./expert_map.ts";
import * as layerLoad from "./layer_load.ts";

export interface PlannerOptions {
  readonly shape: expertMap.GroupShape;
  /** 0 weighs only rebalancing cost, 1 only step-time skew. */
  readonly skewWeight: number;
  /** Size of one expert's weights in one layer, in bytes. */
  readonly expertBytes: number;
  /** Rate at which the weight store serves the group, in bytes. */
  readonly bytesPerMs: number;
  /**
   * Least saving of a move, as a share of its layer's time, at weight 0; falls
   * to 0 at weight 1.
   * @default 0.02
   */
  readonly hysteresis?: number;
  /**
   * Least saving of a whole switch, as a share of the step time, at weight 0;
   * falls to 0 at weight 1.
   * @default 0.03
   */
  readonly minSaving?: number;
}

/** What is known when a plan is made. */
export interface PlanInput {
  readonly map: expertMap.ExpertMap;
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
  /** Measured speed by rank; 1 is the normal speed. */
  readonly speeds: readonly number[];
  /** Time for which the forecast holds, in milliseconds. */
  readonly horizonMs: number;
  /** Tokens of a layer behind the forecast; the fewer, the more it is noise. */
  readonly tokensPerLayer: number;
}

export type Plan =
  | {
    readonly kind: "move";
    readonly map: expertMap.ExpertMap;
    /** Weights that ranks must load. */
    readonly bytes: number;
    readonly skewBefore: number;
    readonly skewAfter: number;
  }
  | { readonly kind: "stay"; readonly skewBefore: number };

/** Change of a placement: `added` goes to `rank` in place of `removed`. */
interface Move {
  readonly rank: number;
  readonly added: number;
  readonly removed: number | undefined;
  /** Rank that takes `removed` in exchange for `added`. */
  readonly exchangeRank: number | undefined;
  readonly slowest: number;
  readonly loads: number;
}

const defaultHysteresis = 0.02;
const defaultLeastSaving = 0.03;

/** Returns moves that repay their cost, or says that there are none. */
export function planMap(input: PlanInput, options: PlannerOptions): Plan {
  const before = layerLoad.computeSkew(input.map, input);
  const layers = input.map.layers.map((ranks, layer) =>
    planLayer(ranks, { input, options, shares: input.shares[layer]! })
  );
  const map = { layers };
  const loads = layerLoad.countExpertLoads(input.map, map);
  if (loads === 0) return { kind: "stay", skewBefore: before };
  const after = layerLoad.computeSkew(map, input);
  const least = (options.minSaving ?? defaultLeastSaving) *
    (1 - options.skewWeight);
  if (before - after <= least * before) {
    return { kind: "stay", skewBefore: before };
  }
  return {
    kind: "move",
    map,
    bytes: loads * options.expertBytes,
    skewBefore: before,
    skewAfter: after,
  };
}

interface LayerInput {
  readonly input: PlanInput;
  readonly options: PlannerOptions;
  readonly shares: readonly number[];
}

function planLayer(
  ranks: readonly (readonly number[])[],
  layer: LayerInput,
): readonly (readonly number[])[] {
  const { input, options, shares } = layer;
  const load = { shares, speeds: input.speeds };
  const { slotsPerRank } = options.shape;
  const moveLimit = slotsPerRank * ranks.length;
  let placement = layerLoad.createPlacement(ranks, load);
  for (let count = 0; count < moveLimit; count += 1) {
    const move = findBestMove(placement, layer);
    if (move === undefined) break;
    placement = layerLoad.createPlacement(applyMove(placement, move), load);
  }
  return placement.ranks;
}

/**
 * Returns the least saving of one load, as a time of the layer: the cost of the
 * load, the hysteresis, and what the slowest of many ranks gains by noise alone.
 */
function computeLeastSaving({ input, options }: LayerInput, slowest: number): {
  readonly perLoad: number;
  readonly floor: number;
} {
  const { skewWeight, expertBytes, bytesPerMs } = options;
  const rankCount = input.speeds.length;
  const noise = Math.sqrt(
    2 * Math.log(rankCount) * rankCount / Math.max(1, input.tokensPerLayer),
  );
  const loadMs = expertBytes / bytesPerMs;
  const layerCount = input.map.layers.length;
  const repaid = (1 - skewWeight) / Math.max(skewWeight, 1e-9) *
    loadMs * layerCount / input.horizonMs;
  const hysteresis = (options.hysteresis ?? defaultHysteresis) *
    (1 - skewWeight);
  return {
    perLoad: repaid * slowest,
    floor: Math.max(hysteresis, noise) * slowest,
  };
}

/** Returns the move off the slowest rank that saves most beyond its cost. */
function findBestMove(
  placement: layerLoad.Placement,
  layer: LayerInput,
): Move | undefined {
  const slowest = layerLoad.getSlowestTime(placement);
  const source = placement.times.indexOf(slowest);
  const least = computeLeastSaving(layer, slowest);
  let best: Move | undefined;
  let bestNet = 0;
  for (const move of listMoves(placement, source, layer)) {
    const saving = slowest - move.slowest;
    const net = saving - least.perLoad * move.loads;
    if (saving <= least.floor || net <= bestNet) continue;
    best = move;
    bestNet = net;
  }
  return best;
}

function* listMoves(
  placement: layerLoad.Placement,
  source: number,
  layer: LayerInput,
): Generator<Move> {
  const { ranks, replicaCounts: counts } = placement;
  const { slotsPerRank, failureDomains } = layer.options.shape;
  for (const added of ranks[source]!) {
    for (let rank = 0; rank < ranks.length; rank += 1) {
      if (rank === source || ranks[rank]!.includes(added)) continue;
      const hasFreeSlot = ranks[rank]!.length < slotsPerRank;
      const removable = hasFreeSlot ? [undefined] : ranks[rank]!;
      for (const removed of removable) {
        const isSpare = removed === undefined || counts[removed]! > 1;
        const canExchange = removed !== undefined &&
          !ranks[source]!.includes(removed);
        const kinds = [
          ...(isSpare ? [undefined] : []),
          ...(canExchange ? [source] : []),
        ];
        for (const exchangeRank of kinds) {
          const move = { rank, added, removed, exchangeRank };
          const next = applyMove(placement, move);
          const touched = removed === undefined ? [added] : [added, removed];
          if (!hasSpread(next, touched, failureDomains)) continue;
          yield {
            ...move,
            slowest: estimateSlowest(placement, move, layer),
            loads: exchangeRank === undefined ? 1 : 2,
          };
        }
      }
    }
  }
}

/** Computes the slowest time after a move without building the placement. */
function estimateSlowest(
  { ranks, replicaCounts: counts, times }: layerLoad.Placement,
  move: Omit<Move, "slowest" | "loads">,
  { input, shares }: LayerInput,
): number {
  const { rank, added, removed, exchangeRank } = move;
  const { speeds } = input;
  const after = [...times];
  const share = shares[added]!;
  if (exchangeRank !== undefined && removed !== undefined) {
    const part = share / counts[added]! - shares[removed]! / counts[removed]!;
    after[rank]! += part / speeds[rank]!;
    after[exchangeRank]! -= part / speeds[exchangeRank]!;
    return Math.max(...after);
  }
  const before = share / counts[added]!;
  const split = share / (counts[added]! + 1);
  const freed = removed === undefined ? 0 : shares[removed]!;
  const removedCount = removed === undefined ? 0 : counts[removed]!;
  ranks.forEach((experts, holder) => {
    if (holder !== rank && experts.includes(added)) {
      after[holder]! -= (before - split) / speeds[holder]!;
    }
    if (removed !== undefined && holder !== rank && experts.includes(removed)) {
      const grown = freed / (removedCount - 1) - freed / removedCount;
      after[holder]! += grown / speeds[holder]!;
    }
  });
  const dropped = removed === undefined ? 0 : freed / removedCount;
  after[rank]! += (split - dropped) / speeds[rank]!;
  return Math.max(...after);
}

function applyMove(
  { ranks }: layerLoad.Placement,
  { rank, added, removed, exchangeRank }: Omit<Move, "slowest" | "loads">,
): number[][] {
  return ranks.map((experts, index) => {
    if (index === rank) {
      return [...experts.filter((expert) => expert !== removed), added];
    }
    if (index === exchangeRank && removed !== undefined) {
      return [...experts.filter((expert) => expert !== added), removed];
    }
    return experts;
  });
}

/** Replicas of an expert are in more than one domain where the group is. */
function hasSpread(
  ranks: readonly (readonly number[])[],
  experts: readonly number[],
  domains: readonly string[],
): boolean {
  if (new Set(domains).size === 1) return true;
  return experts.every((expert) => {
    const used = domains.filter((_domain, rank) =>
      ranks[rank]!.includes(expert)
    );
    return used.length < 2 || new Set(used).size > 1;
  });
}
