/** Finds the known name that is closest to a mistyped name. */

function computeEditDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (const [row, leftCharacter] of [...left].entries()) {
    const current = [row + 1];
    for (const [column, rightCharacter] of [...right].entries()) {
      const substitution = leftCharacter === rightCharacter ? 0 : 1;
      current.push(Math.min(
        previous[column + 1]! + 1,
        current[column]! + 1,
        previous[column]! + substitution,
      ));
    }
    previous = current;
  }
  return previous[right.length]!;
}

/**
 * Returns the known name with the least edit distance; undefined when each is
 * further away than a third of the name's length and than 2.
 */
export function findNearestName(
  name: string,
  knownNames: readonly string[],
): string | undefined {
  const maxDistance = Math.max(2, Math.floor(name.length / 3));
  return knownNames
    .map((known) => ({
      known,
      distance: computeEditDistance(name.toLowerCase(), known.toLowerCase()),
    }))
    .filter(({ distance }) => distance <= maxDistance)
    .sort((left, right) => left.distance - right.distance)[0]?.known;
}
