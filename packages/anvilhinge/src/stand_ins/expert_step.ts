/** Duration of a lock-step: the time of the slowest rank under an expert map. */
import type * as random from "@anvilhinge/coordination/random";

/** Which ranks hold each expert; a token of an expert is split evenly. */
export interface ExpertMap {
  readonly version: number;
  /** Ranks by expert number. */
  readonly holders: readonly (readonly number[])[];
}

export interface StepCosts {
  /** Time of a step without tokens, in milliseconds. */
  readonly baseMs: number;
  /** Time of one token at one expert, in milliseconds. */
  readonly tokenMs: number;
}

export interface RankState {
  /** 1 is the normal speed. */
  readonly speed: number;
  readonly crashed: boolean;
}

export interface StepLoad {
  readonly map: ExpertMap;
  readonly ranks: readonly RankState[];
  readonly tokensByExpert: readonly number[];
  readonly costs: StepCosts;
}

/** Creates a map that deals the experts out to the ranks in turn. */
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

/** Returns each rank's step time in milliseconds; 0 for a crashed rank. */
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

/** Tells whether some expert has no live rank, so that no step can complete. */
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
  /** 1 is even; the larger, the more tokens go to the low-numbered experts. */
  readonly skew: number;
}

/** Draws the experts of one token. */
export function chooseExperts(
  draw: random.RandomSource,
  { expertCount, expertsPerToken, skew }: RoutingOptions,
): number[] {
  return Array.from(
    { length: expertsPerToken },
    () => Math.floor(expertCount * draw() ** skew),
  );
}
