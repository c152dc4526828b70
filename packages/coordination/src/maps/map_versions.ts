/**
 * Map versions that are unique across leaders and restarts: the high digits are
 * the wall-clock time, the low digits the leader's rank.
 */

export interface MapVersionGeneratorOptions {
  /** Rank of the leader in its group. */
  readonly rank: number;
  /** Wall-clock time in milliseconds. */
  readonly readWallMs: () => number;
}

/**
 * Returns a new version, above all versions returned before and above
 * `knownVersion`, the highest version that the caller has observed.
 */
export type CreateMapVersion = (knownVersion: number) => number;

/** Exclusive upper bound of ranks, which are the low digits of a version. */
const maxRanks = 1_000;

/** Creates the version generator of one leader. */
export function createMapVersionGenerator(
  { rank, readWallMs }: MapVersionGeneratorOptions,
): CreateMapVersion {
  let lastVersion = 0;
  return (knownVersion) => {
    const timePart = Math.max(
      Math.floor(readWallMs()),
      Math.floor(Math.max(knownVersion, lastVersion) / maxRanks) + 1,
    );
    lastVersion = timePart * maxRanks + rank;
    return lastVersion;
  };
}

/** Returns the rank of the leader that created a version. */
export function getLeaderRank(version: number): number {
  return version % maxRanks;
}
