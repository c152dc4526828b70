/** Plain policies that the planner is measured against. */
import type * as expertMap from "./expert_map.ts";

export interface RepackInput {
  readonly shape: expertMap.GroupShape;
  readonly shares: readonly (readonly number[])[];
  readonly speeds: readonly number[];
}

/**
 * Packs every layer anew without regard to what the ranks hold: spare slots go
 * to the experts with the largest share for each replica, then replicas are
 * packed, the largest first, on the rank that they slow down least.
 */
export function packMap(input: RepackInput): expertMap.ExpertMap {
  return {
    layers: input.shares.map((shares) => packLayer(shares, input)),
  };
}

function packLayer(
  shares: readonly number[],
  { shape, speeds }: RepackInput,
): number[][] {
  const ranks: number[][] = speeds.map(() => []);
  const times = speeds.map(() => 0);
  const replicas = listReplicas(shares, shape);
  for (const { expert, share } of replicas) {
    const free = speeds.map((_speed, rank) => rank).filter((rank) =>
      ranks[rank]!.length < shape.slotsPerRank && !ranks[rank]!.includes(expert)
    );
    const [first, ...rest] = free;
    if (first === undefined) continue;
    const score = (rank: number) => times[rank]! + share / speeds[rank]!;
    const best = rest.reduce(
      (found, rank) => score(rank) < score(found) ? rank : found,
      first,
    );
    ranks[best]!.push(expert);
    times[best]! += share / speeds[best]!;
  }
  return ranks;
}

interface Replica {
  readonly expert: number;
  readonly share: number;
}

function listReplicas(
  shares: readonly number[],
  shape: expertMap.GroupShape,
): Replica[] {
  const rankCount = shape.failureDomains.length;
  const counts = shares.map(() => 1);
  let spare = rankCount * shape.slotsPerRank - shares.length;
  while (spare > 0) {
    let hottest = -1;
    shares.forEach((share, expert) => {
      if (counts[expert]! >= rankCount) return;
      const isHotter = hottest < 0 ||
        share / counts[expert]! > shares[hottest]! / counts[hottest]!;
      if (isHotter) hottest = expert;
    });
    if (hottest < 0) break;
    counts[hottest]! += 1;
    spare -= 1;
  }
  return shares
    .flatMap((share, expert) =>
      Array.from({ length: counts[expert]! }, () => ({
        expert,
        share: share / counts[expert]!,
      }))
    )
    .sort((a, b) => b.share - a.share);
}
