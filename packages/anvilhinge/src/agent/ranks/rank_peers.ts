/**
 * The agents of one group as one of them knows them, and which of them leads:
 * the lowest rank that may lead and was heard of lately. Two may lead at once;
 * the rounds allow for it.
 */
import type * as clock from "@anvilhinge/coordination/clock";

/** What an agent tells the others of its rank. */
export interface RankStatus {
  readonly group: string;
  readonly size: number;
  readonly rank: number;
  readonly epoch: number;
  /** False for an agent that must not hold passes yet. */
  readonly canLead: boolean;
  readonly heldStep: number | undefined;
  /** Last pass that was begun. */
  readonly step: number;
}

export interface RankPeer {
  readonly address: string;
  readonly status: RankStatus;
  readonly heardAtMs: number;
}

export interface RankPeers {
  setOwn(status: RankStatus): void;
  getOwn(): RankStatus | undefined;
  record(status: RankStatus, address: string): void;
  /** Agents of the own group that were heard of lately, by rank. */
  listLive(): readonly RankPeer[];
  find(rank: number): RankPeer | undefined;
  /** Whether this rank tells all others of itself often. */
  isCandidate(): boolean;
  isLeading(): boolean;
}

export interface RankPeersOptions {
  readonly clock: clock.Clock;
  /**
   * Silence after which a candidate counts as gone, in milliseconds; three of
   * its messages.
   * @default 700
   */
  readonly candidateSilenceMs?: number;
  /**
   * The same for the others, which say something less often.
   * @default 3000
   */
  readonly silenceMs?: number;
}

const defaultCandidateSilenceMs = 700;
const defaultSilenceMs = 3_000;
/** Lowest ranks that tell all others of themselves often. */
const candidateCount = 3;

/** Creates a table without peers. */
export function createRankPeers(options: RankPeersOptions): RankPeers {
  const silenceMs = options.silenceMs ?? defaultSilenceMs;
  const candidateSilenceMs = options.candidateSilenceMs ??
    defaultCandidateSilenceMs;
  const peers = new Map<number, RankPeer>();
  let own: RankStatus | undefined;

  /** Peers that were heard of within the longer time, by rank. */
  function listKnown(): readonly RankPeer[] {
    const nowMs = options.clock.now();
    return [...peers.values()]
      .filter(({ status, heardAtMs }) =>
        status.group === own?.group && nowMs - heardAtMs < silenceMs
      )
      .sort((a, b) => a.status.rank - b.status.rank);
  }

  /** Whether fewer than `candidateCount` known ranks are lower. */
  function isCandidateRank(rank: number, known: readonly RankPeer[]): boolean {
    const ranks = known.map(({ status }) => status.rank);
    const lower = [...ranks, own?.rank ?? Infinity]
      .filter((other) => other < rank).length;
    return lower < candidateCount;
  }

  function listLive(): readonly RankPeer[] {
    const nowMs = options.clock.now();
    const known = listKnown();
    return known.filter(({ status, heardAtMs }) =>
      !isCandidateRank(status.rank, known) ||
      nowMs - heardAtMs < candidateSilenceMs
    );
  }

  return {
    setOwn(status) {
      own = status;
    },
    getOwn: () => own,
    record(status, address) {
      peers.set(status.rank, {
        address,
        status,
        heardAtMs: options.clock.now(),
      });
    },
    listLive,
    find: (rank) => listKnown().find(({ status }) => status.rank === rank),
    isCandidate: () =>
      own !== undefined && isCandidateRank(own.rank, listKnown()),
    isLeading() {
      const self = own;
      if (self === undefined || !self.canLead) return false;
      return listLive().every(({ status }) =>
        status.rank >= self.rank || !status.canLead
      );
    },
  };
}
