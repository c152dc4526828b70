/**
 * Expert map of one group: for each layer and rank, the experts in the rank's
 * memory slots. A token routed to an expert goes to a rank that holds the
 * expert.
 */

/** Experts that each rank of a group holds. */
export interface ExpertMap {
  /** Expert numbers by layer, then by rank; the order of slots is arbitrary. */
  readonly layers: readonly (readonly (readonly number[])[])[];
}

/** Size of a group and the failure domains of its ranks. */
export interface GroupShape {
  readonly layerCount: number;
  readonly expertCount: number;
  /** Maximum number of experts that one rank holds in each layer. */
  readonly slotsPerRank: number;
  /** Failure domain of each rank; the length is the number of ranks. */
  readonly failureDomains: readonly string[];
}

/** Violation of a rule by a map. */
export interface MapProblem {
  readonly layer: number;
  readonly message: string;
}

export type MapCheck =
  | { readonly kind: "feasible" }
  | {
    readonly kind: "infeasible";
    readonly problems: readonly [MapProblem, ...MapProblem[]];
  };

/** Returns the ranks that hold each expert of one layer. */
export function listHolders(
  ranks: readonly (readonly number[])[],
  expertCount: number,
): number[][] {
  const holders: number[][] = Array.from({ length: expertCount }, () => []);
  ranks.forEach((experts, rank) => {
    for (const expert of experts) holders[expert]?.push(rank);
  });
  return holders;
}

/** Creates a map that assigns each layer's experts to ranks round-robin. */
export function createEvenMap(shape: GroupShape): ExpertMap {
  const rankCount = shape.failureDomains.length;
  const ranks: number[][] = Array.from({ length: rankCount }, () => []);
  for (let expert = 0; expert < shape.expertCount; expert += 1) {
    ranks[expert % rankCount]!.push(expert);
  }
  return { layers: Array.from({ length: shape.layerCount }, () => ranks) };
}

/**
 * Checks that a map fits a group, contains every expert, and spreads replicas
 * over failure domains.
 */
export function checkMap(map: ExpertMap, shape: GroupShape): MapCheck {
  const [first, ...rest] = listProblems(map, shape);
  if (first === undefined) return { kind: "feasible" };
  return { kind: "infeasible", problems: [first, ...rest] };
}

function listProblems(map: ExpertMap, shape: GroupShape): MapProblem[] {
  if (map.layers.length !== shape.layerCount) {
    const message = `The map has ${map.layers.length} layers; ` +
      `the group has ${shape.layerCount}`;
    return [{ layer: 0, message }];
  }
  return map.layers.flatMap((ranks, layer) =>
    listLayerProblems(ranks, shape).map((message) => ({ layer, message }))
  );
}

function listLayerProblems(
  ranks: readonly (readonly number[])[],
  shape: GroupShape,
): string[] {
  const rankCount = shape.failureDomains.length;
  if (ranks.length !== rankCount) {
    return [`The map has ${ranks.length} ranks; the group has ${rankCount}`];
  }
  return [
    ...ranks.flatMap((experts, rank) => listRankProblems(experts, rank, shape)),
    ...listExpertProblems(ranks, shape),
  ];
}

function listRankProblems(
  experts: readonly number[],
  rank: number,
  shape: GroupShape,
): string[] {
  const problems: string[] = [];
  if (experts.length > shape.slotsPerRank) {
    problems.push(
      `Rank ${rank} holds ${experts.length} experts; ` +
        `it has ${shape.slotsPerRank} slots`,
    );
  }
  if (new Set(experts).size < experts.length) {
    problems.push(
      `Rank ${rank} holds an expert twice; the duplicate wastes a slot`,
    );
  }
  const unknownExpert = experts.find((expert) =>
    !Number.isInteger(expert) || expert < 0 || expert >= shape.expertCount
  );
  if (unknownExpert !== undefined) {
    problems.push(
      `Rank ${rank} holds expert ${unknownExpert}; ` +
        `the layer has experts 0 to ${shape.expertCount - 1}`,
    );
  }
  return problems;
}

/**
 * Lists experts without a holder, and experts whose replicas share one failure
 * domain although the group spans several.
 */
function listExpertProblems(
  ranks: readonly (readonly number[])[],
  shape: GroupShape,
): string[] {
  const domains = shape.failureDomains;
  const spansDomains = new Set(domains).size > 1;
  return listHolders(ranks, shape.expertCount).flatMap((holders, expert) => {
    if (holders.length === 0) return [`No rank holds expert ${expert}`];
    const covered = new Set(holders.map((rank) => domains[rank]));
    if (!spansDomains || holders.length === 1 || covered.size > 1) return [];
    return [
      `All ${holders.length} replicas of expert ${expert} are in ` +
      `failure domain ${domains[holders[0]!]}; move one to another domain`,
    ];
  });
}
