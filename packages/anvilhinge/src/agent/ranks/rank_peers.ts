/**
 * The agents of one group as seen by one of them. The leader, which switches
 * maps, is the lowest rank that may lead and was seen recently. The deputy, which
 * ends abandoned holds, is the lowest rank that may lead and is live: as a hold
 * stops the whole group, the deputy changes after a much shorter silence. Two
 * agents may act at once; switch rounds tolerate that, but rounds of two agents
 * rarely complete a switch.
 */
import type * as clock from "@anvilhinge/coordination/clock";

/** Status of a rank that its agent sends to the other agents. */
export interface RankStatus {
  readonly group: string;
  readonly size: number;
  readonly rank: number;
  readonly epoch: number;
  /**
   * False while the agent can't run switch rounds: the group is not open, or the
   * spec has not been read.
   */
  readonly canLead: boolean;
  /** Pass that is held at the rank. */
  readonly heldStep: number | undefined;
  /** Last pass that began. */
  readonly step: number;
  /** Version of the map in use. */
  readonly mapVersion: number;
  /** Number of requests that are running at the rank. */
  readonly running: number;
  /** Time since the last pass began, in milliseconds; 0 without requests. */
  readonly stalledMs: number;
  /** Time for a unit of work relative to a sound rank; above 1 = slow. */
  readonly pace: number;
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
  /** Records a status of an agent of any group. */
  record(status: RankStatus, address: string): void;
  /** Records that a message other than a status arrived from an agent. */
  recordMessage(address: string): void;
  /** Returns the group of the agent at an address; undefined if unknown. */
  findGroup(address: string): string | undefined;
  /** Lists the live agents of this agent's group, sorted by rank. */
  listLive(): readonly RankPeer[];
  /** Lists the recently seen agents of this group, sorted by rank. */
  listRecent(): readonly RankPeer[];
  /** Whether the peer's last status is within the timeout for its rank. */
  isLive(peer: RankPeer): boolean;
  /** Whether the peer is of this group and was seen within `peerTimeoutMs`. */
  isRecent(peer: RankPeer): boolean;
  /** Returns the agent last seen at a rank in this epoch, live or not. */
  findLastSeen(rank: number): RankPeer | undefined;
  /**
   * Lists the other candidates if this rank is one: the ranks that may lead next
   * and send each other their status often.
   */
  listCandidates(): readonly RankPeer[];
  /** Whether this agent is the leader in its own view of the group. */
  isLeading(): boolean;
  /** Whether this agent is the deputy in its own view of the group. */
  isDeputy(): boolean;
}

export interface RankPeersOptions {
  readonly clock: clock.Clock;
  /**
   * Silence after which a candidate isn't live, in milliseconds: four of its
   * status messages.
   * @default 450
   */
  readonly candidateTimeoutMs?: number;
  /**
   * Silence after which any peer isn't seen recently, in milliseconds: three of
   * the status messages of a rank that is no candidate.
   * @default 3000
   */
  readonly peerTimeoutMs?: number;
}

const defaultCandidateTimeoutMs = 450;
const defaultPeerTimeoutMs = 3_000;
/** Number of lowest ranks that send their status often. */
const candidateCount = 3;

/** Creates a table without peers. */
export function createRankPeers(options: RankPeersOptions): RankPeers {
  const peerTimeoutMs = options.peerTimeoutMs ?? defaultPeerTimeoutMs;
  const candidateTimeoutMs = options.candidateTimeoutMs ??
    defaultCandidateTimeoutMs;
  /**
   * Agents by address: ranks are numbered within their group, and a service may
   * have several groups.
   */
  const peers = new Map<string, RankPeer>();
  let own: RankStatus | undefined;

  function isRecent({ status, lastSeenAtMs }: RankPeer): boolean {
    return status.group === own?.group &&
      options.clock.now() - lastSeenAtMs < peerTimeoutMs;
  }

  /** Keeps the last seen agent of each rank, sorted by rank. */
  function selectLastSeen(candidates: readonly RankPeer[]): RankPeer[] {
    const byRank = new Map<number, RankPeer>();
    for (const peer of candidates) {
      const other = byRank.get(peer.status.rank);
      const isLater = other === undefined ||
        peer.lastSeenAtMs > other.lastSeenAtMs;
      if (isLater) byRank.set(peer.status.rank, peer);
    }
    return [...byRank.values()].sort((a, b) => a.status.rank - b.status.rank);
  }

  /** Lists the peers seen within `peerTimeoutMs`, sorted by rank. */
  function listRecent(): readonly RankPeer[] {
    return selectLastSeen([...peers.values()].filter(isRecent));
  }

  /** Whether fewer than `candidateCount` recently seen ranks are lower. */
  function isCandidateRank(rank: number, recent: readonly RankPeer[]): boolean {
    const ranks = recent.map(({ status }) => status.rank);
    const lowerCount = [...ranks, own?.rank ?? Infinity]
      .filter((other) => other < rank).length;
    return lowerCount < candidateCount;
  }

  /** Only the candidates send their status often, and only to each other. */
  function isLiveAmong(peer: RankPeer, recent: readonly RankPeer[]): boolean {
    const isOftenSeen = isCandidateRank(peer.status.rank, recent) &&
      own !== undefined && isCandidateRank(own.rank, recent);
    return !isOftenSeen ||
      options.clock.now() - peer.lastSeenAtMs < candidateTimeoutMs;
  }

  function listLive(): readonly RankPeer[] {
    const recent = listRecent();
    return recent.filter((peer) => isLiveAmong(peer, recent));
  }

  /** Whether this agent may lead and none of the lower ranks may. */
  function isLowestAmong(others: readonly RankPeer[]): boolean {
    const ownStatus = own;
    if (ownStatus === undefined || !ownStatus.canLead) return false;
    return others.every(({ status }) =>
      status.rank >= ownStatus.rank || !status.canLead
    );
  }

  return {
    setOwn(status) {
      own = status;
    },
    getOwn: () => own,
    record(status, address) {
      const lastSeenAtMs = options.clock.now();
      peers.set(address, { address, status, lastSeenAtMs });
    },
    recordMessage(address) {
      const peer = peers.get(address);
      if (peer === undefined) return;
      peers.set(address, { ...peer, lastSeenAtMs: options.clock.now() });
    },
    findGroup: (address) => peers.get(address)?.status.group,
    listLive,
    listRecent,
    isLive: (peer) => isRecent(peer) && isLiveAmong(peer, listRecent()),
    isRecent,
    findLastSeen(rank) {
      const ofRank = [...peers.values()].filter(({ status }) =>
        status.rank === rank && status.group === own?.group &&
        status.epoch === own?.epoch
      );
      return selectLastSeen(ofRank)[0];
    },
    listCandidates() {
      const recent = listRecent();
      if (own === undefined || !isCandidateRank(own.rank, recent)) return [];
      return recent.filter(({ status }) =>
        isCandidateRank(status.rank, recent)
      );
    },
    isLeading: () => isLowestAmong(listRecent()),
    isDeputy: () => isLowestAmong(listLive()),
  };
}
