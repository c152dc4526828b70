/**
 * Bundles of control duties. A duty has a key, for example the name of the
 * group that it looks after; a fixed number of bundles keeps the number of
 * leases independent of the number of duties and of nodes.
 */
import murmurhash from "murmurhash";
import * as rendezvous from "./rendezvous.ts";

/** Returns the number of the bundle, from 0, that a duty belongs to. */
export function selectBundle(dutyKey: string, bundleCount: number): number {
  return murmurhash.v3(dutyKey) % bundleCount;
}

/**
 * Returns the place of `id` among the candidates for a lease, from 0. A node
 * that the members lack, for example because their list lags, counts as one.
 */
export function computeCandidateIndex(
  members: readonly rendezvous.Member[],
  options: { readonly key: string; readonly id: string },
): number {
  const { key, id } = options;
  const own = rendezvous.scoreMember(key, { id });
  return members.filter((member) => {
    if (member.id === id) return false;
    const score = rendezvous.scoreMember(key, { id: member.id });
    return score > own || (score === own && member.id < id);
  }).length;
}
