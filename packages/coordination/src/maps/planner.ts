/**
 * Plans the expert map of a group as a sequence of small moves. A move loads an
 * expert into a slot of a rank (replacing a spare replica of another expert if
 * no slot is free), or exchanges two experts. A move is accepted only if the
 * step time that it saves while the forecast is valid outweighs the time to
 * load its weights. Agents plan with `bounded_planner.ts` instead.
 */
import * as expertMap from "./expert_map.ts";
import * as layerLoad from "./layer_load.ts";

export interface PlannerOptions {
  readonly shape: expertMap.GroupShape;
  /**
   * Weight of the step-time skew against the cost of rebalancing: 0 considers
   * only the cost, 1 only the skew.
   */
  readonly skewWeight: number;
  /** Size of one expert's weights in one layer, in bytes. */
  readonly expertBytes: number;
  /**
   * Rate at which the store of the model weights serves the whole group, in
   * bytes per millisecond.
   */
  readonly bytesPerMs: number;
  /**
   * Minimum saving of a move, as a share of its layer's time, at `skewWeight`
   * 0; falls linearly to 0 at `skewWeight` 1.
   * @default 0.02
   */
  readonly hysteresis?: number;
  /**
   * Minimum saving of a whole switch, as a share of the step time, at
   * `skewWeight` 0; falls linearly to 0 at `skewWeight` 1.
   * @default 0.03
   */
  readonly minSaving?: number;
}

/** Current map, load estimate and measured speeds as input of a plan. */
export interface PlanInput {
  readonly map: expertMap.ExpertMap;
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
  /** Measured speed by rank; 1 is the normal speed. */
  readonly speeds: readonly number[];
  /** Time for which the forecast is valid, in milliseconds. */
  readonly horizonMs: number;
  /** Tokens per layer behind the forecast; fewer tokens mean more noise. */
  readonly tokensPerLayer: number;
}

export type Plan =
  | {
    readonly kind: "move";
    readonly map: expertMap.ExpertMap;
    /** Size of the weights that ranks must load. */
    readonly bytes: number;
    readonly skewBefore: number;
    readonly skewAfter: number;
  }
  | { readonly kind: "stay"; readonly skewBefore: number };

/** Change of a placement: at `rank`, `added` takes the slot of `removed`. */
interface Move {
  readonly rank: number;
  readonly added: number;
  readonly removed: number | undefined;
  /** Rank that gets `removed` for `added`; undefined without an exchange. */
  readonly exchangeRank: number | undefined;
  /** Time of the slowest rank after the move. */
  readonly slowest: number;
  /** Number of experts that ranks must load. */
  readonly loads: number;
}

const defaultHysteresis = 0.02;
const defaultMinSaving = 0.03;

/** Plans a map whose moves outweigh their cost; `stay` if there are none. */
export function planMap(input: PlanInput, options: PlannerOptions): Plan {
  const skewBefore = layerLoad.computeSkew(input.map, input);
  const layers = input.map.layers.map((ranks, layer) =>
    planLayer(ranks, { input, options, shares: input.shares[layer]! })
  );
  const map = { layers };
  const loads = layerLoad.countExpertCopies(input.map, map);
  if (loads === 0) return { kind: "stay", skewBefore };
  const skewAfter = layerLoad.computeSkew(map, input);
  const minSaving = (options.minSaving ?? defaultMinSaving) *
    (1 - options.skewWeight);
  if (skewBefore - skewAfter <= minSaving * skewBefore) {
    return { kind: "stay", skewBefore };
  }
  return {
    kind: "move",
    map,
    bytes: loads * options.expertBytes,
    skewBefore,
    skewAfter,
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
 * Returns the thresholds for the saving of a move, in layer time. The saving
 * must exceed `floor`: the hysteresis or, if higher, the amount by which
 * sampling noise alone raises the time of the slowest of many ranks. It must
 * also exceed the cost, `perLoad` for each expert that a rank loads.
 */
function computeSavingThreshold(
  { input, options }: LayerInput,
  slowest: number,
): {
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
  const costShare = (1 - skewWeight) / Math.max(skewWeight, 1e-9) *
    loadMs * layerCount / input.horizonMs;
  const hysteresis = (options.hysteresis ?? defaultHysteresis) *
    (1 - skewWeight);
  return {
    perLoad: costShare * slowest,
    floor: Math.max(hysteresis, noise) * slowest,
  };
}

/** Returns the move off the slowest rank with the highest net saving. */
function findBestMove(
  placement: layerLoad.Placement,
  layer: LayerInput,
): Move | undefined {
  const slowest = layerLoad.getSlowestTime(placement);
  const slowestRank = placement.times.indexOf(slowest);
  const threshold = computeSavingThreshold(layer, slowest);
  let best: Move | undefined;
  let bestNet = 0;
  for (const move of listMoves(placement, slowestRank, layer)) {
    const saving = slowest - move.slowest;
    const net = saving - threshold.perLoad * move.loads;
    if (saving <= threshold.floor || net <= bestNet) continue;
    best = move;
    bestNet = net;
  }
  return best;
}

function* listMoves(
  placement: layerLoad.Placement,
  slowestRank: number,
  layer: LayerInput,
): Generator<Move> {
  const { ranks, replicaCounts } = placement;
  const { slotsPerRank, failureDomains } = layer.options.shape;
  for (const added of ranks[slowestRank]!) {
    for (let rank = 0; rank < ranks.length; rank += 1) {
      if (rank === slowestRank || ranks[rank]!.includes(added)) continue;
      const hasFreeSlot = ranks[rank]!.length < slotsPerRank;
      const removable = hasFreeSlot ? [undefined] : ranks[rank]!;
      for (const removed of removable) {
        const isSpare = removed === undefined || replicaCounts[removed]! > 1;
        const canExchange = removed !== undefined &&
          !ranks[slowestRank]!.includes(removed);
        const exchangeRanks = [
          ...(isSpare ? [undefined] : []),
          ...(canExchange ? [slowestRank] : []),
        ];
        for (const exchangeRank of exchangeRanks) {
          const move = { rank, added, removed, exchangeRank };
          const next = applyMove(placement, move);
          const changedExperts = removed === undefined
            ? [added]
            : [added, removed];
          if (!hasDomainSpread(next, changedExperts, failureDomains)) continue;
          yield {
            ...move,
            slowest: estimateSlowestTime(placement, move, layer),
            loads: exchangeRank === undefined ? 1 : 2,
          };
        }
      }
    }
  }
}

/** Computes the slowest time after a move without building the placement. */
function estimateSlowestTime(
  { ranks, replicaCounts, times }: layerLoad.Placement,
  move: Omit<Move, "slowest" | "loads">,
  { input, shares }: LayerInput,
): number {
  const { rank, added, removed, exchangeRank } = move;
  const { speeds } = input;
  const newTimes = [...times];
  const share = shares[added]!;
  if (exchangeRank !== undefined && removed !== undefined) {
    const shareDifference = share / replicaCounts[added]! -
      shares[removed]! / replicaCounts[removed]!;
    newTimes[rank]! += shareDifference / speeds[rank]!;
    newTimes[exchangeRank]! -= shareDifference / speeds[exchangeRank]!;
    return Math.max(...newTimes);
  }
  const shareBefore = share / replicaCounts[added]!;
  const shareAfter = share / (replicaCounts[added]! + 1);
  const removedShare = removed === undefined ? 0 : shares[removed]!;
  const removedCount = removed === undefined ? 0 : replicaCounts[removed]!;
  ranks.forEach((experts, holder) => {
    if (holder !== rank && experts.includes(added)) {
      newTimes[holder]! -= (shareBefore - shareAfter) / speeds[holder]!;
    }
    if (removed !== undefined && holder !== rank && experts.includes(removed)) {
      const extraShare = removedShare / (removedCount - 1) -
        removedShare / removedCount;
      newTimes[holder]! += extraShare / speeds[holder]!;
    }
  });
  const droppedShare = removed === undefined ? 0 : removedShare / removedCount;
  newTimes[rank]! += (shareAfter - droppedShare) / speeds[rank]!;
  return Math.max(...newTimes);
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

/**
 * Returns whether replicated experts span several failure domains; always true
 * in a group of one domain.
 */
function hasDomainSpread(
  ranks: readonly (readonly number[])[],
  experts: readonly number[],
  domains: readonly string[],
): boolean {
  if (new Set(domains).size === 1) return true;
  return experts.every((expert) => {
    const usedDomains = domains.filter((_domain, rank) =>
      ranks[rank]!.includes(expert)
    );
    return usedDomains.length < 2 || new Set(usedDomains).size > 1;
  });
}
