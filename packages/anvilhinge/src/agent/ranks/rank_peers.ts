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
  /** Time since the last pass began, in milliseconds; 0 without requests. */
  readonly stalledMs: number;
  /** Address of the rank's engine, as `host:port`. */
  readonly engine: string;
}

export interface RankPeer {
  readonly address: string;
  readonly status: RankStatus;
  readonly lastSeenAtMs: number;
}

export interface RankPeers {
  setOwn(status: RankStatus): void;
  getOwn(): RankStatus | undefined;
  record(status: RankStatus, address: string): void;
  /** Agents of the own group that were heard of lately, by rank. */
  listLive(): readonly RankPeer[];
  /** Whether the peer was heard of lately, by the measure for its rank. */
  isLive(peer: RankPeer): boolean;
  /** Whether the peer was heard of within the longer time. */
  isRecent(peer: RankPeer): boolean;
  /** Returns the last agent of a rank in the present epoch, live or not. */
  findLastSeen(rank: number): RankPeer | undefined;
  /** Whether this rank tells all others of itself often. */
  isCandidate(): boolean;
  isLeading(): boolean;
}

export interface RankPeersOptions {
  readonly clock: clock.Clock;
  /**
   * Silence after which a candidate counts as gone, in milliseconds; four of
   * its messages. A leader that is taken over too soon does no harm.
   * @default 450
   */
  readonly candidateTimeoutMs?: number;
  /**
   * The same for the others, which say something less often.
   * @default 3000
   */
  readonly peerTimeoutMs?: number;
}

const defaultCandidateSilenceMs = 450;
const defaultSilenceMs = 3_000;
/** Lowest ranks that tell all others of themselves often. */
const candidateCount = 3;

/** Creates a table without peers. */
export function createRankPeers(options: RankPeersOptions): RankPeers {
  const silenceMs = options.peerTimeoutMs ?? defaultSilenceMs;
  const candidateSilenceMs = options.candidateTimeoutMs ??
    defaultCandidateSilenceMs;
  const peers = new Map<number, RankPeer>();
  let own: RankStatus | undefined;

  function isKnown({ status, lastSeenAtMs: heardAtMs }: RankPeer): boolean {
    return status.group === own?.group &&
      options.clock.now() - heardAtMs < silenceMs;
  }

  /** Peers that were heard of within the longer time, by rank. */
  function listKnown(): readonly RankPeer[] {
    return [...peers.values()]
      .filter(isKnown)
      .sort((a, b) => a.status.rank - b.status.rank);
  }

  /** Whether fewer than `candidateCount` known ranks are lower. */
  function isCandidateRank(rank: number, known: readonly RankPeer[]): boolean {
    const ranks = known.map(({ status }) => status.rank);
    const lower = [...ranks, own?.rank ?? Infinity]
      .filter((other) => other < rank).length;
    return lower < candidateCount;
  }

  function isLiveAmong(peer: RankPeer, known: readonly RankPeer[]): boolean {
    return !isCandidateRank(peer.status.rank, known) ||
      options.clock.now() - peer.lastSeenAtMs < candidateSilenceMs;
  }

  function listLive(): readonly RankPeer[] {
    const known = listKnown();
    return known.filter((peer) => isLiveAmong(peer, known));
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
        lastSeenAtMs: options.clock.now(),
      });
    },
    listLive,
    isLive: (peer) => isKnown(peer) && isLiveAmong(peer, listKnown()),
    isRecent: isKnown,
    findLastSeen(rank) {
      const peer = peers.get(rank);
      const isOfEpoch = peer?.status.group === own?.group &&
        peer?.status.epoch === own?.epoch;
      return isOfEpoch ? peer : undefined;
    },
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
