/**
 * Plans the next expert map of a group with a bound on the experts that each
 * rank copies. The bound keeps the switch fast: popularity may change within
 * seconds, and a map comes into use only after the slowest rank has copied its
 * experts.
 *
 * Greedy search: in each layer, the planner takes single moves while they
 * balance the ranks. A move adds a replica of an expert on another rank, in a
 * free slot or in place of a spare replica, exchanges two experts, or drops a
 * replica, which copies nothing. Layers share the bound of a rank; the layer with
 * the highest skew moves next.
 *
 * The load of a rank is the time that its experts take, so that a slow rank is
 * left with few tokens: all ranks wait for it in each forward pass.
 */
import type * as expertMap from "./expert_map.ts";

export interface BoundedPlanOptions {
  readonly map: expertMap.ExpertMap;
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
  /**
   * Time for a unit of work by rank, relative to a sound rank.
   * @default 1 for each rank
   */
  readonly paces?: readonly number[];
  readonly slotsPerRank: number;
  /** Maximum number of experts that one rank copies in one layer. */
  readonly maxNewPerLayer: number;
  /** Maximum number of experts that one rank copies over all layers. */
  readonly maxNewPerRank: number;
  /**
   * Skew at which further copies are not worth their cost.
   * @default copies are limited by `maxNewPerRank` only
   */
  readonly targetSkew?: number;
}

export interface BoundedPlan {
  readonly map: expertMap.ExpertMap;
  /** Experts to copy, over all ranks and layers. */
  readonly copies: number;
  /** Highest number of experts that one rank must copy. */
  readonly mostCopiesPerRank: number;
  /**
   * Ratio of the highest rank load to the load of a sound rank in an even map, as
   * a mean over layers.
   */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/**
 * Exponent of rank loads in a layer's cost; lets the highest loads dominate.
 */
const loadExponent = 8;
/**
 * Minimum gain of a move, relative to the cost of the most loaded rank; smaller
 * gains are noise of the counts.
 */
const minRelativeGain = 0.01;
/**
 * Number of least loaded ranks that are considered as targets of a move, among
 * those that may still copy experts.
 */
const maxTargetRanks = 8;

interface Layer {
  readonly ranks: number[][];
  /** Ranks that hold each expert. */
  readonly holders: number[][];
  readonly shares: readonly number[];
  readonly paces: readonly number[];
  readonly loads: number[];
  /** Experts in the original map, by rank. */
  readonly originalExperts: readonly ReadonlySet<number>[];
  /** Number of experts that each rank must copy. */
  readonly copies: number[];
  isConverged: boolean;
}

type Move = AddMove | ExchangeMove | DropMove;

interface AddMove {
  readonly kind: "add";
  readonly expert: number;
  readonly to: number;
  /** Expert replaced at `to`. */
  readonly removed: number | undefined;
}

interface ExchangeMove extends Omit<AddMove, "kind"> {
  readonly kind: "exchange";
  readonly from: number;
  /** Moves from `to` to `from`. */
  readonly removed: number;
}

interface DropMove {
  readonly kind: "drop";
  readonly expert: number;
  readonly from: number;
}

function createLayer(
  ranks: readonly (readonly number[])[],
  shares: readonly number[],
  paces: readonly number[] = ranks.map(() => 1),
): Layer {
  const layer: Layer = {
    ranks: ranks.map((experts) => [...experts]),
    holders: shares.map(() => []),
    shares,
    paces,
    loads: ranks.map(() => 0),
    originalExperts: ranks.map((experts) => new Set(experts)),
    copies: ranks.map(() => 0),
    isConverged: false,
  };
  ranks.forEach((experts, rank) => {
    for (const expert of experts) layer.holders[expert]!.push(rank);
  });
  ranks.forEach((_, rank) => updateLoad(layer, rank));
  return layer;
}

function updateLoad(layer: Layer, rank: number): void {
  let load = 0;
  for (const expert of layer.ranks[rank]!) {
    load += layer.shares[expert]! / layer.holders[expert]!.length;
  }
  layer.loads[rank] = load * layer.paces[rank]!;
}

function computeSkew({ loads, shares }: Layer): number {
  const total = shares.reduce((sum, share) => sum + share, 0);
  return total === 0 ? 1 : Math.max(...loads) * loads.length / total;
}

function computeMeanSkew(layers: readonly Layer[]): number {
  const sum = layers.reduce((total, layer) => total + computeSkew(layer), 0);
  return sum / Math.max(1, layers.length);
}

/** Applies a move to the placement; returns the ranks whose load changed. */
function applyMove(layer: Layer, move: Move): readonly number[] {
  const changedRanks = new Set(layer.holders[move.expert]!);
  if (move.kind === "drop") {
    removeValue(layer.ranks[move.from]!, move.expert);
    removeValue(layer.holders[move.expert]!, move.from);
  } else {
    const { expert, to, removed } = move;
    changedRanks.add(to);
    if (removed === undefined) {
      layer.ranks[to]!.push(expert);
      layer.holders[expert]!.push(to);
    } else {
      for (const rank of layer.holders[removed]!) changedRanks.add(rank);
      replaceExpert(layer, { rank: to, removed, added: expert });
    }
    if (move.kind === "exchange") {
      const { from } = move;
      const added = move.removed;
      replaceExpert(layer, { rank: from, removed: expert, added });
    }
  }
  for (const rank of changedRanks) updateLoad(layer, rank);
  return [...changedRanks];
}

function removeValue(values: number[], value: number): void {
  values.splice(values.indexOf(value), 1);
}

function replaceExpert(
  layer: Layer,
  { rank, removed, added }: {
    readonly rank: number;
    readonly removed: number;
    readonly added: number;
  },
): void {
  const experts = layer.ranks[rank]!;
  experts[experts.indexOf(removed)] = added;
  removeValue(layer.holders[removed]!, rank);
  layer.holders[added]!.push(rank);
}

/** Undoes a move; the caller restores the loads. */
function restorePlacement(layer: Layer, move: Move): void {
  const { expert } = move;
  if (move.kind === "drop") {
    layer.ranks[move.from]!.push(expert);
    layer.holders[expert]!.push(move.from);
    return;
  }
  const { to, removed } = move;
  if (removed === undefined) {
    layer.ranks[to]!.pop();
    removeValue(layer.holders[expert]!, to);
    return;
  }
  if (move.kind === "exchange") {
    replaceExpert(layer, { rank: move.from, removed, added: expert });
  }
  replaceExpert(layer, { rank: to, removed: expert, added: removed });
}

/** Counts the experts that a rank must copy in a layer after a change. */
function countCopies(
  layer: Layer,
  change: {
    readonly rank: number;
    readonly added: number;
    readonly removed: number | undefined;
  },
): number {
  const { rank, added, removed } = change;
  const originalExperts = layer.originalExperts[rank]!;
  const savedCopies = removed !== undefined && !originalExperts.has(removed)
    ? 1
    : 0;
  return layer.copies[rank]! + (originalExperts.has(added) ? 0 : 1) -
    savedCopies;
}

/** Lists the ranks whose experts a move changes. */
function listRanks(move: Move): readonly number[] {
  switch (move.kind) {
    case "add":
      return [move.to];
    case "exchange":
      return [move.to, move.from];
    case "drop":
      return [move.from];
  }
}

class Planner {
  readonly #options: BoundedPlanOptions;
  readonly #layers: readonly Layer[];
  readonly #copiesByRank: number[];
  /** Current limit on the copies of one rank. */
  #maxNewPerRank = 0;

  constructor(options: BoundedPlanOptions) {
    this.#options = options;
    this.#layers = options.map.layers.map((ranks, index) =>
      createLayer(ranks, options.shares[index]!, options.paces)
    );
    this.#copiesByRank = (options.map.layers[0] ?? []).map(() => 0);
  }

  #isWithinBounds(
    layer: Layer,
    change: {
      readonly rank: number;
      readonly added: number;
      readonly removed: number | undefined;
    },
  ): boolean {
    const copies = countCopies(layer, change);
    const otherLayersCopies = this.#copiesByRank[change.rank]! -
      layer.copies[change.rank]!;
    return copies <= this.#options.maxNewPerLayer &&
      otherLayersCopies + copies <= this.#maxNewPerRank;
  }

  *#listMoves(layer: Layer, sourceRank: number): Generator<Move> {
    const targetRanks = layer.loads.map((_, rank) => rank)
      .filter((rank) =>
        rank !== sourceRank && this.#copiesByRank[rank]! < this.#maxNewPerRank
      )
      .sort((a, b) => layer.loads[a]! - layer.loads[b]!)
      .slice(0, maxTargetRanks);
    const sourceExperts = [...layer.ranks[sourceRank]!];
    for (const expert of sourceExperts) {
      if (layer.holders[expert]!.length > 1) {
        yield { kind: "drop", expert, from: sourceRank };
      }
      for (const to of targetRanks) {
        if (layer.ranks[to]!.includes(expert)) continue;
        yield* this.#listMovesTo(layer, { expert, to, sourceRank });
      }
    }
  }

  *#listMovesTo(
    layer: Layer,
    { expert, to, sourceRank }: {
      readonly expert: number;
      readonly to: number;
      readonly sourceRank: number;
    },
  ): Generator<Move> {
    const targetExperts = [...layer.ranks[to]!];
    if (targetExperts.length < this.#options.slotsPerRank) {
      const change = { rank: to, added: expert, removed: undefined };
      if (this.#isWithinBounds(layer, change)) {
        yield { kind: "add", expert, to, removed: undefined };
      }
    }
    for (const removed of targetExperts) {
      const change = { rank: to, added: expert, removed };
      if (!this.#isWithinBounds(layer, change)) continue;
      if (layer.holders[removed]!.length > 1) {
        yield { kind: "add", expert, to, removed };
      }
      const sourceChange = {
        rank: sourceRank,
        added: removed,
        removed: expert,
      };
      const canExchange = !layer.ranks[sourceRank]!.includes(removed) &&
        this.#isWithinBounds(layer, sourceChange);
      if (canExchange) {
        yield { kind: "exchange", expert, from: sourceRank, to, removed };
      }
    }
  }

  /**
   * Computes by how much a move lowers the cost of the loads, per added expert;
   * an exchange adds two. A move that adds none counts as one.
   */
  #computeGain(layer: Layer, move: Move): number {
    const loadsBefore = [...layer.loads];
    const changedRanks = applyMove(layer, move);
    let gain = 0;
    for (const rank of changedRanks) {
      gain += loadsBefore[rank]! ** loadExponent -
        layer.loads[rank]! ** loadExponent;
    }
    restorePlacement(layer, move);
    for (const rank of changedRanks) layer.loads[rank] = loadsBefore[rank]!;
    return move.kind === "exchange" ? gain / 2 : gain;
  }

  #takeMove(layer: Layer, move: Move): void {
    applyMove(layer, move);
    const ranks = listRanks(move);
    for (const rank of ranks) {
      const copies = layer.ranks[rank]!.filter((expert) =>
        !layer.originalExperts[rank]!.has(expert)
      ).length;
      this.#copiesByRank[rank]! += copies - layer.copies[rank]!;
      layer.copies[rank] = copies;
    }
  }

  /**
   * Takes the best move off the most loaded rank; returns false if no move
   * gains enough.
   */
  #improve(layer: Layer): boolean {
    const highestLoad = Math.max(...layer.loads);
    const sourceRank = layer.loads.indexOf(highestLoad);
    let best: Move | undefined;
    let bestGain = minRelativeGain * highestLoad ** loadExponent;
    for (const move of this.#listMoves(layer, sourceRank)) {
      const gain = this.#computeGain(layer, move);
      if (gain <= bestGain) continue;
      best = move;
      bestGain = gain;
    }
    if (best === undefined) return false;
    this.#takeMove(layer, best);
    return true;
  }

  plan(): BoundedPlan {
    const skewBefore = computeMeanSkew(this.#layers);
    const { maxNewPerRank, targetSkew } = this.#options;
    this.#maxNewPerRank = targetSkew === undefined ? maxNewPerRank : 1;
    this.#improveAll();
    while (
      this.#maxNewPerRank < maxNewPerRank &&
      computeMeanSkew(this.#layers) > targetSkew!
    ) {
      this.#maxNewPerRank += 1;
      this.#improveAll();
    }
    return {
      map: { layers: this.#layers.map(({ ranks }) => ranks) },
      copies: this.#copiesByRank.reduce((sum, count) => sum + count, 0),
      mostCopiesPerRank: Math.max(0, ...this.#copiesByRank),
      skewBefore,
      skewAfter: computeMeanSkew(this.#layers),
    };
  }

  /** Takes moves until none gains enough within the limit on copies. */
  #improveAll(): void {
    for (const layer of this.#layers) layer.isConverged = false;
    while (true) {
      const improvableLayers = this.#layers.filter(({ isConverged }) =>
        !isConverged
      );
      const [first, ...rest] = improvableLayers;
      if (first === undefined) break;
      const mostSkewed = rest.reduce(
        (highest, layer) =>
          computeSkew(layer) > computeSkew(highest) ? layer : highest,
        first,
      );
      mostSkewed.isConverged = !this.#improve(mostSkewed);
    }
  }
}

/** Plans a map that balances the ranks within the bounds on copies. */
export function planBounded(options: BoundedPlanOptions): BoundedPlan {
  return new Planner(options).plan();
}

/**
 * Returns the skew of a map under the given shares and paces, as a mean over
 * layers.
 */
export function measureSkew(
  { map, shares, paces }: Pick<BoundedPlanOptions, "map" | "shares" | "paces">,
): number {
  return computeMeanSkew(
    map.layers.map((ranks, index) =>
      createLayer(ranks, shares[index] ?? [], paces)
    ),
  );
}
