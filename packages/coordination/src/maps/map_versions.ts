/**
 * Map versions that are unique across leaders and restarts: the last three
 * decimal digits are the leader's rank, the digits before are the wall-clock
 * time in milliseconds, or one above those of the highest known version.
 */

export interface MapVersionGeneratorOptions {
  /** Rank of the leader in its group. */
  readonly rank: number;
  /** Returns the wall-clock time in milliseconds. */
  readonly readWallMs: () => number;
}

/**
 * Returns a new version, above all versions returned before and above
 * `knownVersion`, the highest version that the caller has observed.
 */
export type CreateMapVersion = (knownVersion: number) => number;

/** Ranks are below this number and fit into the low digits of a version. */
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
