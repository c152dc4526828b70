/**
 * Duration of a step. All ranks of a group run each forward pass in lock-step,
 * so it lasts as long as the slowest rank needs under the expert map.
 */
import type * as random from "@anvilhinge/coordination/random";

/** Assignment of experts to ranks; live holders share the tokens evenly. */
export interface ExpertMap {
  readonly version: number;
  /** Ranks that hold each expert, indexed by expert number. */
  readonly holders: readonly (readonly number[])[];
}

export interface StepCosts {
  /** Duration of a step without tokens, in milliseconds. */
  readonly baseMs: number;
  /** Added duration for one token at one expert, in milliseconds. */
  readonly tokenMs: number;
}

export interface RankState {
  /** Speed relative to a normal rank; 1 is normal. */
  readonly speed: number;
  readonly crashed: boolean;
}

export interface StepLoad {
  readonly map: ExpertMap;
  readonly ranks: readonly RankState[];
  readonly tokensByExpert: readonly number[];
  readonly costs: StepCosts;
}

/** Creates a map that assigns the experts to the ranks in round-robin order. */
export function createEvenMap(
  expertCount: number,
  rankCount: number,
): ExpertMap {
  const holders = Array.from(
    { length: expertCount },
    (_value, expert) => [expert % rankCount],
  );
  return { version: 0, holders };
}

/** Returns the step time of each rank in milliseconds; 0 for a crashed rank. */
export function computeRankTimes(load: StepLoad): number[] {
  const tokens = load.ranks.map(() => 0);
  load.map.holders.forEach((holders, expert) => {
    const live = filterLive(load, holders);
    for (const rank of live) {
      tokens[rank]! += (load.tokensByExpert[expert] ?? 0) / live.length;
    }
  });
  const { baseMs, tokenMs } = load.costs;
  return load.ranks.map(({ speed, crashed }, rank) =>
    crashed ? 0 : (baseMs + tokens[rank]! * tokenMs) / speed
  );
}

/** Returns whether an expert has no live rank, so that no step can complete. */
export function hasLostExpert(load: Pick<StepLoad, "map" | "ranks">): boolean {
  return load.map.holders
    .some((holders) => filterLive(load, holders).length === 0);
}

function filterLive(
  load: Pick<StepLoad, "ranks">,
  holders: readonly number[],
): number[] {
  return holders.filter((rank) => load.ranks[rank]?.crashed === false);
}

export interface RoutingOptions {
  readonly expertCount: number;
  readonly expertsPerToken: number;
  /** 1 is uniform; a larger skew sends more tokens to low-numbered experts. */
  readonly skew: number;
}

/** Chooses the experts of one token at random, with replacement. */
export function chooseExperts(
  drawRandom: random.RandomSource,
  { expertCount, expertsPerToken, skew }: RoutingOptions,
): number[] {
  return Array.from(
    { length: expertsPerToken },
    () => Math.floor(expertCount * drawRandom() ** skew),
  );
}
