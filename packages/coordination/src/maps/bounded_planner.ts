/**
 * Plans the next expert map of a group under a bound on what each rank must
 * copy, so that the switch comes soon: popularity may change within seconds,
 * and a map is in force only after the slowest rank has copied its experts.
 *
 * In each layer, single moves are taken while they even out the ranks: a
 * replica of an expert on another rank in place of a spare replica or in a free
 * slot, or an exchange of two experts. Layers share the bound of a rank; the
 * layer whose slowest rank stands out most moves next.
 */
import type * as expertMap from "./expert_map.ts";

export interface BoundedPlanOptions {
  readonly map: expertMap.ExpertMap;
  /** Share of a layer's tokens by layer, then by expert. */
  readonly shares: readonly (readonly number[])[];
  readonly slotsPerRank: number;
  /** Experts that one rank may copy in one layer. */
  readonly maxNewPerLayer: number;
  /** Experts that one rank may copy in all layers together. */
  readonly maxNewPerRank: number;
}

export interface BoundedPlan {
  readonly map: expertMap.ExpertMap;
  /** Experts that ranks must copy, over all ranks and layers. */
  readonly copies: number;
  /** Most experts that one rank must copy. */
  readonly mostCopiesPerRank: number;
  /** Load of the most loaded rank over the mean, as a mean over layers. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Exponent under which the most loaded ranks dominate the sum. */
const evennessExponent = 8;
/** Least relative gain of a move, below which counts are noise. */
const leastGain = 0.01;
/** Ranks that a move looks at as takers of a replica, the least loaded first. */
const maxTakers = 8;

interface Layer {
  readonly ranks: number[][];
  readonly holders: number[][];
  readonly shares: readonly number[];
  readonly loads: number[];
  /** Experts of the map before, by rank. */
  readonly before: readonly ReadonlySet<number>[];
  /** Experts that each rank must copy. */
  readonly added: number[];
  isSettled: boolean;
}

interface Move {
  readonly expert: number;
  /** Rank that the expert leaves; undefined when it gets one replica more. */
  readonly from: number | undefined;
  readonly to: number;
  /** Expert that makes room at `to`; goes to `from` in an exchange. */
  readonly removed: number | undefined;
}

function createLayer(
  ranks: readonly (readonly number[])[],
  shares: readonly number[],
): Layer {
  const layer: Layer = {
    ranks: ranks.map((experts) => [...experts]),
    holders: shares.map(() => []),
    shares,
    loads: ranks.map(() => 0),
    before: ranks.map((experts) => new Set(experts)),
    added: ranks.map(() => 0),
    isSettled: false,
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
  layer.loads[rank] = load;
}

function computeSkew({ loads, shares }: Layer): number {
  const total = shares.reduce((sum, share) => sum + share, 0);
  return total === 0 ? 1 : Math.max(...loads) * loads.length / total;
}

function computeMeanSkew(layers: readonly Layer[]): number {
  const sum = layers.reduce((found, layer) => found + computeSkew(layer), 0);
  return sum / Math.max(1, layers.length);
}

/** Changes the placement; returns the ranks whose load changed. */
function applyMove(layer: Layer, move: Move): readonly number[] {
  const { expert, from, to, removed } = move;
  const touched = new Set([...layer.holders[expert]!, to]);
  if (removed !== undefined) {
    for (const rank of layer.holders[removed]!) touched.add(rank);
    replaceExpert(layer, { rank: to, removed, added: expert });
    if (from !== undefined) {
      replaceExpert(layer, { rank: from, removed: expert, added: removed });
    }
  } else {
    layer.ranks[to]!.push(expert);
    layer.holders[expert]!.push(to);
  }
  for (const rank of touched) updateLoad(layer, rank);
  return [...touched];
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
  const holders = layer.holders[removed]!;
  holders.splice(holders.indexOf(rank), 1);
  layer.holders[added]!.push(rank);
}

function restoreMove(layer: Layer, move: Move): void {
  const { expert, from, to, removed } = move;
  if (removed === undefined) {
    layer.ranks[to]!.pop();
    const holders = layer.holders[expert]!;
    holders.splice(holders.indexOf(to), 1);
    return;
  }
  if (from !== undefined) {
    replaceExpert(layer, { rank: from, removed, added: expert });
  }
  replaceExpert(layer, { rank: to, removed: expert, added: removed });
}

/** Counts what a rank would have to copy in place of one of its experts. */
function countAdded(
  layer: Layer,
  change: {
    readonly rank: number;
    readonly added: number;
    readonly removed: number | undefined;
  },
): number {
  const { rank, added, removed } = change;
  const before = layer.before[rank]!;
  const dropped = removed !== undefined && !before.has(removed) ? 1 : 0;
  return layer.added[rank]! + (before.has(added) ? 0 : 1) - dropped;
}

class Planner {
  readonly #options: BoundedPlanOptions;
  readonly #layers: readonly Layer[];
  readonly #addedOfRank: number[];

  constructor(options: BoundedPlanOptions) {
    this.#options = options;
    this.#layers = options.map.layers.map((ranks, index) =>
      createLayer(ranks, options.shares[index]!)
    );
    this.#addedOfRank = (options.map.layers[0] ?? []).map(() => 0);
  }

  #isAffordable(
    layer: Layer,
    change: {
      readonly rank: number;
      readonly added: number;
      readonly removed: number | undefined;
    },
  ): boolean {
    const added = countAdded(layer, change);
    const others = this.#addedOfRank[change.rank]! - layer.added[change.rank]!;
    return added <= this.#options.maxNewPerLayer &&
      others + added <= this.#options.maxNewPerRank;
  }

  *#listMoves(layer: Layer, source: number): Generator<Move> {
    const takers = layer.loads.map((_, rank) => rank)
      .filter((rank) => rank !== source)
      .sort((a, b) => layer.loads[a]! - layer.loads[b]!)
      .slice(0, maxTakers);
    const given = [...layer.ranks[source]!];
    for (const expert of given) {
      for (const to of takers) {
        if (layer.ranks[to]!.includes(expert)) continue;
        yield* this.#listMovesTo(layer, { expert, to, source });
      }
    }
  }

  *#listMovesTo(
    layer: Layer,
    { expert, to, source }: {
      readonly expert: number;
      readonly to: number;
      readonly source: number;
    },
  ): Generator<Move> {
    const taken = [...layer.ranks[to]!];
    if (taken.length < this.#options.slotsPerRank) {
      const change = { rank: to, added: expert, removed: undefined };
      if (this.#isAffordable(layer, change)) {
        yield { expert, from: undefined, to, removed: undefined };
      }
    }
    for (const removed of taken) {
      const change = { rank: to, added: expert, removed };
      if (!this.#isAffordable(layer, change)) continue;
      if (layer.holders[removed]!.length > 1) {
        yield { expert, from: undefined, to, removed };
      }
      const back = { rank: source, added: removed, removed: expert };
      const canExchange = !layer.ranks[source]!.includes(removed) &&
        this.#isAffordable(layer, back);
      if (canExchange) yield { expert, from: source, to, removed };
    }
  }

  /** Computes how much a move evens the ranks out for each copy. */
  #computeGain(layer: Layer, move: Move): number {
    const before = [...layer.loads];
    const touched = applyMove(layer, move);
    let gain = 0;
    for (const rank of touched) {
      gain += before[rank]! ** evennessExponent -
        layer.loads[rank]! ** evennessExponent;
    }
    restoreMove(layer, move);
    for (const rank of touched) layer.loads[rank] = before[rank]!;
    return move.from === undefined ? gain : gain / 2;
  }

  #takeMove(layer: Layer, move: Move): void {
    const ranks = move.from === undefined ? [move.to] : [move.to, move.from];
    applyMove(layer, move);
    for (const rank of ranks) {
      const added = layer.ranks[rank]!.filter((expert) =>
        !layer.before[rank]!.has(expert)
      ).length;
      this.#addedOfRank[rank]! += added - layer.added[rank]!;
      layer.added[rank] = added;
    }
  }

  /** Takes the best move off the slowest rank; false when none gains. */
  #improve(layer: Layer): boolean {
    const slowest = Math.max(...layer.loads);
    const source = layer.loads.indexOf(slowest);
    let best: Move | undefined;
    let bestGain = leastGain * slowest ** evennessExponent;
    for (const move of this.#listMoves(layer, source)) {
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
    while (true) {
      const open = this.#layers.filter(({ isSettled }) => !isSettled);
      const [first, ...rest] = open;
      if (first === undefined) break;
      const worst = rest.reduce(
        (found, layer) =>
          computeSkew(layer) > computeSkew(found) ? layer : found,
        first,
      );
      worst.isSettled = !this.#improve(worst);
    }
    return {
      map: { layers: this.#layers.map(({ ranks }) => ranks) },
      copies: this.#addedOfRank.reduce((sum, added) => sum + added, 0),
      mostCopiesPerRank: Math.max(0, ...this.#addedOfRank),
      skewBefore,
      skewAfter: computeMeanSkew(this.#layers),
    };
  }
}

/** Plans a map that even ranks out within the bounds on copies. */
export function planBounded(options: BoundedPlanOptions): BoundedPlan {
  return new Planner(options).plan();
}

/** Returns the skew of a map under some demand, as a mean over its layers. */
export function measureSkew(
  { map, shares }: Pick<BoundedPlanOptions, "map" | "shares">,
): number {
  return computeMeanSkew(
    map.layers.map((ranks, index) => createLayer(ranks, shares[index] ?? [])),
  );
}
