/**
 * Membership of a cluster as seen by one node. Its sources are a delayed
 * instance list, direct probes, and records that other nodes forward. A member
 * that does not answer is suspected first. It refutes a suspicion by raising
 * its incarnation, and is removed only if it does not do so in time.
 */
import murmurhash from "murmurhash";
import type * as random from "./random.ts";

/** Identity and addresses of a member; the state machine uses only the id. */
export interface Peer {
  readonly id: string;
  /** Address that callers use, as `host:port`. */
  readonly address: string;
  /** Address that other members use, as `host:port`. */
  readonly controlAddress: string;
  readonly failureDomain: string;
  /** Share of keys relative to the other members; 0 = not ready. */
  readonly weight: number;
}

export type MemberState = "live" | "suspect" | "leaving" | "removed";

/** State of a member; a later record replaces an earlier one. */
export interface MemberRecord extends Peer {
  /** Raised only by the member itself. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A member as listed by the instance list. */
export interface ListedPeer extends Peer {
  readonly state: "live" | "leaving";
}

export interface MembershipOptions {
  readonly self: Peer;
  /**
   * Should be higher than in earlier processes with this id, such as the start
   * time in milliseconds since 1970. A value that is too low is raised when
   * another member sends a record with a higher incarnation.
   */
  readonly incarnation: number;
  readonly random: random.RandomSource;
  /**
   * Time after which a suspected member is removed, in milliseconds.
   * @default 5000
   */
  readonly suspicionMs?: number;
}

export interface Membership {
  getSelf(): MemberRecord;
  find(id: string): MemberRecord | undefined;
  /** Members that are not removed, including the node itself. */
  list(): readonly MemberRecord[];
  /** Members other than the node itself that messages may be sent to. */
  listPeers(): readonly MemberRecord[];
  /** Applies the instance list; returns the changed records. */
  applyInstanceList(
    listed: readonly ListedPeer[],
    nowMs: number,
  ): readonly MemberRecord[];
  /** Applies records from other nodes; returns the changed records. */
  apply(
    records: readonly MemberRecord[],
    nowMs: number,
  ): readonly MemberRecord[];
  /** Marks a member suspect after all attempts of a probe timed out. */
  suspect(id: string, nowMs: number): readonly MemberRecord[];
  /**
   * Removes members whose suspicion expired, and drops records of removed
   * members after their retention; returns the changed records.
   */
  expire(nowMs: number): readonly MemberRecord[];
  /** Extends all deadlines, because this node itself was paused. */
  extendDeadlines(durationMs: number): void;
  /** Marks this node as leaving; returns its new record. */
  leave(): readonly MemberRecord[];
  setWeight(weight: number): readonly MemberRecord[];
  /** Returns the next member to probe: each once per round, in random order. */
  pickProbeTarget(): MemberRecord | undefined;
  /** Returns a removed member that is still in the instance list. */
  pickRemovedTarget(): MemberRecord | undefined;
  /** Hash of the records of all members that are not removed. */
  hash(): number;
  /** Returns up to `limit` records: latest changes, then others round-robin. */
  listBatch(limit: number): readonly MemberRecord[];
}

const defaultSuspicionMs = 5_000;
const removedRetentionMs = 600_000;

const stateOrder: Readonly<Record<MemberState, number>> = {
  live: 0,
  suspect: 1,
  leaving: 2,
  removed: 3,
};

/** Returns whether `next` supersedes `current` for the member. */
export function isLater(
  next: MemberRecord,
  current: MemberRecord | undefined,
): boolean {
  if (current === undefined) return true;
  if (next.incarnation !== current.incarnation) {
    return next.incarnation > current.incarnation;
  }
  return stateOrder[next.state] > stateOrder[current.state];
}

function hashRecord(record: MemberRecord | undefined): number {
  if (record === undefined || record.state === "removed") return 0;
  const { id, incarnation, state } = record;
  return murmurhash.v3(`${id}\u0000${incarnation}\u0000${state}`);
}

/** Creates a membership that contains only the node itself. */
export function createMembership(options: MembershipOptions): Membership {
  const suspicionMs = options.suspicionMs ?? defaultSuspicionMs;
  const selfId = options.self.id;
  const records = new Map<string, MemberRecord>();
  const deadlines = new Map<string, number>();
  const listedIds = new Set<string>();
  let probeOrder: string[] = [];
  let batchCursor = 0;
  let membersHash = 0;

  let self: MemberRecord = {
    ...options.self,
    incarnation: options.incarnation,
    state: "live",
  };
  put(self, 0);

  /** Stores a record as the latest change. */
  function put(record: MemberRecord, nowMs: number): void {
    membersHash ^= hashRecord(records.get(record.id)) ^ hashRecord(record);
    records.delete(record.id);
    records.set(record.id, record);
    deadlines.delete(record.id);
    if (record.state === "suspect") {
      deadlines.set(record.id, nowMs + suspicionMs);
    }
    if (record.state === "removed") {
      deadlines.set(record.id, nowMs + removedRetentionMs);
    }
  }

  function putSelf(change: Partial<MemberRecord>): readonly MemberRecord[] {
    self = { ...self, ...change };
    put(self, 0);
    return [self];
  }

  /** Raises the incarnation to refute another node's record of this node. */
  function raiseOwnIncarnation(record: MemberRecord): readonly MemberRecord[] {
    const isOutdated = record.incarnation < self.incarnation;
    const isOwnRecord = record.incarnation === self.incarnation &&
      stateOrder[record.state] <= stateOrder[self.state] &&
      record.state !== "suspect";
    if (isOutdated || isOwnRecord) return [];
    return putSelf({ incarnation: record.incarnation + 1 });
  }

  function applyRecord(
    record: MemberRecord,
    nowMs: number,
  ): readonly MemberRecord[] {
    if (record.id === selfId) return raiseOwnIncarnation(record);
    if (!isLater(record, records.get(record.id))) return [];
    put(record, nowMs);
    return [record];
  }

  function applyListed(
    { state, ...peer }: ListedPeer,
    nowMs: number,
  ): readonly MemberRecord[] {
    if (peer.id === selfId) return [];
    const current = records.get(peer.id);
    const incarnation = current?.incarnation ?? 0;
    // The list is delayed, so it only adds members and marks them as leaving.
    if (current !== undefined && state === "live") return [];
    return applyRecord({ ...current ?? peer, incarnation, state }, nowMs);
  }

  function expireRecord(id: string, nowMs: number): readonly MemberRecord[] {
    const record = records.get(id);
    deadlines.delete(id);
    if (record?.state === "removed") records.delete(id);
    if (record?.state !== "suspect") return [];
    const removed: MemberRecord = { ...record, state: "removed" };
    put(removed, nowMs);
    return [removed];
  }

  function isPeer(record: MemberRecord): boolean {
    return record.id !== selfId && record.state !== "removed";
  }

  function listPeers(): readonly MemberRecord[] {
    return [...records.values()].filter(isPeer);
  }

  function shuffle(ids: string[]): string[] {
    for (let index = ids.length - 1; index > 0; index -= 1) {
      const other = Math.floor(options.random() * (index + 1));
      [ids[index], ids[other]] = [ids[other]!, ids[index]!];
    }
    return ids;
  }

  return {
    getSelf: () => self,
    find: (id) => records.get(id),
    list: () =>
      [...records.values()].filter((record) => record.state !== "removed"),
    listPeers,
    applyInstanceList(listed, nowMs) {
      listedIds.clear();
      for (const peer of listed) listedIds.add(peer.id);
      return listed.flatMap((peer) => applyListed(peer, nowMs));
    },
    apply: (received, nowMs) =>
      received.flatMap((record) => applyRecord(record, nowMs)),
    suspect(id, nowMs) {
      const record = records.get(id);
      if (record?.state === "live") {
        return applyRecord({ ...record, state: "suspect" }, nowMs);
      }
      // A leaving member that no longer answers has stopped.
      if (record?.state === "leaving") {
        return applyRecord({ ...record, state: "removed" }, nowMs);
      }
      return [];
    },
    expire(nowMs) {
      const due = [...deadlines].filter(([, deadline]) => deadline <= nowMs);
      return due.flatMap(([id]) => expireRecord(id, nowMs));
    },
    extendDeadlines(durationMs) {
      for (const [id, deadline] of deadlines) {
        deadlines.set(id, deadline + durationMs);
      }
    },
    leave: () =>
      putSelf({ state: "leaving", incarnation: self.incarnation + 1 }),
    setWeight: (weight) =>
      putSelf({ weight, incarnation: self.incarnation + 1 }),
    pickProbeTarget() {
      for (let round = 0; round < 2; round += 1) {
        while (probeOrder.length > 0) {
          const record = records.get(probeOrder.pop()!);
          if (record !== undefined && isPeer(record)) return record;
        }
        probeOrder = shuffle(listPeers().map((record) => record.id));
      }
      return undefined;
    },
    pickRemovedTarget() {
      const removed = [...records.values()].filter((record) =>
        record.state === "removed" && listedIds.has(record.id)
      );
      return removed[Math.floor(options.random() * removed.length)];
    },
    hash: () => membersHash >>> 0,
    listBatch(limit) {
      const all = [...records.values()].reverse();
      const recent = all.slice(0, Math.ceil(limit / 2));
      const others = all.slice(recent.length);
      const count = Math.min(limit - recent.length, others.length);
      const roundRobin = Array.from(
        { length: count },
        (_, index) => others[(batchCursor + index) % others.length]!,
      );
      batchCursor += count;
      return [...recent, ...roundRobin];
    },
  };
}
