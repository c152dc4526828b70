/**
 * Versions of maps that no other leader uses for another map, also after a
 * restart: the wall clock in the high digits, the leader's rank in the low ones.
 */

export interface MapVersionGeneratorOptions {
  /** Rank of the leader in its group. */
  readonly rank: number;
  /** Wall-clock time in milliseconds. */
  readonly readWallMs: () => number;
}

/** Creates versions, each above all that it created and all that are known. */
export type CreateMapVersion = (known: number) => number;

/** Above the number of ranks of any group. */
const rankSlots = 1_000;

/** Creates the source of one leader's versions. */
export function createMapVersionGenerator(
  { rank, readWallMs }: MapVersionGeneratorOptions,
): CreateMapVersion {
  let last = 0;
  return (known) => {
    const least = Math.max(
      Math.floor(readWallMs()),
      Math.floor(Math.max(known, last) / rankSlots) + 1,
    );
    last = least * rankSlots + rank;
    return last;
  };
}

/** Returns the rank of the leader that created a version. */
export function getLeaderRank(version: number): number {
  return version % rankSlots;
}
