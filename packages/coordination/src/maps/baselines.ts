/** Repacking of all layers: the baseline that the planner is compared with. */
import type * as expertMap from "./expert_map.ts";

export interface RepackInput {
  readonly shape: expertMap.GroupShape;
  readonly shares: readonly (readonly number[])[];
  readonly speeds: readonly number[];
}

/**
 * Packs every layer from scratch, ignoring the current map. Spare slots go to
 * the experts with the largest share per replica. Replicas are then placed
 * greedily, largest share first, on the rank with the lowest resulting time.
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
  const rankTimes = speeds.map(() => 0);
  const replicas = listReplicas(shares, shape);
  for (const { expert, share } of replicas) {
    const candidates = speeds.map((_speed, rank) => rank).filter((rank) =>
      ranks[rank]!.length < shape.slotsPerRank && !ranks[rank]!.includes(expert)
    );
    const [first, ...rest] = candidates;
    if (first === undefined) continue;
    const computeTime = (rank: number) =>
      rankTimes[rank]! + share / speeds[rank]!;
    const bestRank = rest.reduce(
      (fastest, rank) =>
        computeTime(rank) < computeTime(fastest) ? rank : fastest,
      first,
    );
    ranks[bestRank]!.push(expert);
    rankTimes[bestRank]! += share / speeds[bestRank]!;
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
  let spareSlots = rankCount * shape.slotsPerRank - shares.length;
  while (spareSlots > 0) {
    let mostLoaded = -1;
    shares.forEach((share, expert) => {
      if (counts[expert]! >= rankCount) return;
      const isMoreLoaded = mostLoaded < 0 ||
        share / counts[expert]! > shares[mostLoaded]! / counts[mostLoaded]!;
      if (isMoreLoaded) mostLoaded = expert;
    });
    if (mostLoaded < 0) break;
    counts[mostLoaded]! += 1;
    spareSlots -= 1;
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
