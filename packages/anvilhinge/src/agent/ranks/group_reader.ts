/**
 * Reads the ranks of a group: their states, and the expert map that they use
 * together.
 */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import * as switchRound from "@anvilhinge/coordination/maps/switch_round";
import type * as routing from "../../settings/routing.ts";
import type * as rankCallRouter from "./rank_call_router.ts";
import type * as rankPeers from "./rank_peers.ts";
import type * as rankRpc from "./rank_rpc.ts";

/** Report and experts of a rank, read in one call. */
export type RankSnapshot = Extract<
  rankRpc.RankAnswer,
  { readonly kind: "experts" }
>;

/** Snapshots by rank; undefined for a rank that did not answer. */
export type GroupSnapshot = readonly (RankSnapshot | undefined)[];

/** Expert map that the group uses. */
export interface GroupMap {
  readonly epoch: number;
  readonly version: number;
  readonly layers: rankOrders.MapLayers;
}

export interface GroupReader {
  /** Reads all ranks; a rank that does not answer is undefined. */
  readSnapshots(
    status: rankPeers.RankStatus,
    options: rankCallRouter.CallOptions,
  ): Promise<GroupSnapshot>;
  /** Reads the states of all ranks; undefined unless all ranks answer. */
  readStates(
    status: rankPeers.RankStatus,
    options: rankCallRouter.CallOptions,
  ): Promise<readonly rankOrders.RankState[] | undefined>;
}

/** Creates a reader that calls the ranks. */
export function createGroupReader(
  { callRank }: { readonly callRank: rankCallRouter.CallRank },
): GroupReader {
  function requestAll(
    { size }: rankPeers.RankStatus,
    { call, options }: {
      readonly call: rankRpc.RankCall;
      readonly options: rankCallRouter.CallOptions;
    },
  ): Promise<readonly (rankRpc.RankAnswer | undefined)[]> {
    return Promise.all(
      Array.from(
        { length: size },
        (_, rank) => callRank(rank, call, options),
      ),
    );
  }

  return {
    async readSnapshots(status, options) {
      const call = { kind: "experts" } as const;
      const answers = await requestAll(status, { call, options });
      return answers.map((answer) =>
        answer?.kind === "experts" ? answer : undefined
      );
    },
    async readStates(status, options) {
      const call = { kind: "report" } as const;
      const answers = await requestAll(status, { call, options });
      const states = answers.flatMap((answer) =>
        answer?.kind === "report" ? answer.report.state : []
      );
      return states.length === status.size ? states : undefined;
    },
  };
}

/**
 * Merges the experts of all ranks into one map; undefined while the ranks differ
 * in epoch or map version. A rank without a snapshot is assumed to hold the
 * experts that no other rank holds.
 */
export function mergeMap(
  snapshots: GroupSnapshot,
  { epoch, experts }: {
    readonly epoch: number;
    readonly experts: routing.ExpertSpec;
  },
): GroupMap | undefined {
  const version = snapshots.find((snapshot) => snapshot)?.experts.version;
  if (version === undefined) return undefined;
  const isConsistent = snapshots.every((snapshot, rank) =>
    snapshot === undefined ||
    (snapshot.report.state.rank === rank &&
      snapshot.report.state.epoch === epoch &&
      snapshot.experts.epoch === epoch &&
      snapshot.experts.version === version)
  );
  if (!isConsistent) return undefined;
  const layers = Array.from({ length: experts.sets }, (_, layer) => {
    const lists = snapshots.map((snapshot) => snapshot?.experts.experts[layer]);
    const reported = new Set(lists.flatMap((list) => list ?? []));
    const missing = Array.from(
      { length: experts.expertsPerSet },
      (_, expert) => expert,
    ).filter((expert) => !reported.has(expert));
    return lists.map((list) => list ?? missing);
  });
  return { epoch, version, layers };
}

/** Finds the state of a rank that holds a pass. */
export function findHeldState(
  snapshots: GroupSnapshot,
): rankOrders.RankState | undefined {
  return snapshots
    .flatMap((snapshot) => snapshot?.report.state ?? [])
    .find(({ heldStep }) => heldStep !== undefined);
}

/** Whether a round of an agent that answered uses the hold. */
export function isHoldInUse(
  snapshots: GroupSnapshot,
  held: rankOrders.RankState | undefined,
): boolean {
  return held?.heldStep !== undefined &&
    snapshots.some((snapshot) => snapshot?.roundStep === held.heldStep);
}

export function listSilentRanks(snapshots: GroupSnapshot): readonly number[] {
  return [...snapshots.keys()].filter((rank) => snapshots[rank] === undefined);
}

/**
 * Whether the snapshots suffice to end a hold or to rule one out: at most the
 * leader that placed the hold may be silent.
 */
export function isConclusive(snapshots: GroupSnapshot): boolean {
  const silent = listSilentRanks(snapshots);
  const held = findHeldState(snapshots);
  const holdLeader = held &&
    switchRound.getHoldLeader(held.rank, snapshots.length);
  return silent.every((rank) => rank === holdLeader);
}
