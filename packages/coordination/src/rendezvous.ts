/**
 * Weighted rendezvous hashing (highest random weight): all nodes compute an
 * identical ranking of members for a key. If a member leaves, only the keys
 * that were mapped to it move. Source: Thaler and Ravishankar, "Using
 * name-based mappings to increase hit rates", 1998.
 */
import murmurhash from "murmurhash";

const hashRange = 2 ** 32;

/** A member that keys can be mapped to. */
export interface Member {
  readonly id: string;
  /**
   * Weight of the member; its share of the keys is proportional to it.
   * @default 1
   */
  readonly weight?: number;
}

/** Computes the score of a member for a key; the highest score wins. */
export function scoreMember(key: string, member: Member): number {
  const hash = murmurhash.v3(`${key}\u0000${member.id}`);
  const unit = (hash + 0.5) / hashRange;
  return (member.weight ?? 1) / -Math.log(unit);
}

/** Returns up to `count` members for `key`, highest score first. */
export function selectMembers<T extends Member>(
  members: readonly T[],
  options: { readonly key: string; readonly count: number },
): readonly T[] {
  return members
    .map((member) => ({ member, score: scoreMember(options.key, member) }))
    .sort((a, b) => b.score - a.score || compareIds(a.member, b.member))
    .slice(0, options.count)
    .map((scored) => scored.member);
}

function compareIds(a: Member, b: Member): number {
  if (a.id === b.id) return 0;
  return a.id < b.id ? -1 : 1;
}
