/**
 * Bundles of control duties, which are tasks that one node at a time performs.
 * A duty is identified by a key, for example the name of the group that it
 * controls. Each bundle has one lease. A fixed number of bundles keeps the
 * number of leases independent of the number of duties and nodes.
 */
import murmurhash from "murmurhash";
import * as rendezvous from "./rendezvous.ts";

/** Returns the index of the bundle that a duty belongs to. */
export function selectBundle(dutyKey: string, bundleCount: number): number {
  return murmurhash.v3(dutyKey) % bundleCount;
}

/**
 * Returns the index of node `id` among the candidates for a lease, in
 * rendezvous order. If the members do not contain the node, for example because
 * their list is delayed, the node is treated as a member.
 */
export function computeCandidateIndex(
  members: readonly rendezvous.Member[],
  options: { readonly key: string; readonly id: string },
): number {
  const { key, id } = options;
  const ownScore = rendezvous.scoreMember(key, { id });
  return members.filter((member) => {
    if (member.id === id) return false;
    const score = rendezvous.scoreMember(key, { id: member.id });
    return score > ownScore || (score === ownScore && member.id < id);
  }).length;
}
