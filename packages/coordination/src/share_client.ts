/**
 * An entry's side of the shares of one limit: asks the holder, adopts grants in
 * order, and measures each lease from before its ask was sent.
 */
import type * as clock from "./clock.ts";
import type * as shareAllocator from "./share_allocator.ts";

export interface ShareClientOptions extends
  Pick<
    shareAllocator.ShareLeaseOptions,
    "leaseMs" | "fixedLeaseMs" | "fixedShare"
  > {
  readonly clock: clock.Clock;
  readonly entryId: string;
}

/** What the entry's callers use and ask for, as shares of the limit. */
export interface ShareUse {
  readonly demand: number;
  readonly inUse: number;
}

export interface ShareClient {
  /** Builds the next ask; it must be sent at once or not at all. */
  createRequest(use: ShareUse): shareAllocator.ShareRequest;
  /** Adopts a grant unless a later one is in force. */
  receive(grant: shareAllocator.ShareGrant): void;
  /** Returns the share in force now, from 0 to 1. */
  getShare(): number;
}

interface Adopted extends shareAllocator.ShareGrant {
  readonly untilMs: number;
  readonly fixedUntilMs: number;
}

const maxAsks = 64;

/** Creates a taker that has no share. */
export function createShareClient(options: ShareClientOptions): ShareClient {
  const { clock, leaseMs, fixedLeaseMs, fixedShare } = options;
  const askedAtMs = new Map<number, number>();
  let sequence = 0;
  let adopted: Adopted = {
    term: 0,
    sequence: 0,
    share: 0,
    untilMs: -Infinity,
    fixedUntilMs: -Infinity,
  };

  function getShare(): number {
    const nowMs = clock.now();
    if (nowMs < adopted.untilMs) return adopted.share;
    if (nowMs >= adopted.fixedUntilMs) return 0;
    return Math.min(adopted.share, fixedShare);
  }

  function isLater(grant: shareAllocator.ShareGrant): boolean {
    return grant.term > adopted.term ||
      (grant.term === adopted.term && grant.sequence > adopted.sequence);
  }

  return {
    createRequest({ demand, inUse }) {
      sequence += 1;
      askedAtMs.set(sequence, clock.now());
      askedAtMs.delete(sequence - maxAsks);
      const { term } = adopted;
      return {
        entryId: options.entryId,
        sequence,
        adopted: { term, sequence: adopted.sequence },
        held: getShare(),
        demand,
        inUse,
      };
    },
    receive(grant) {
      const sentAtMs = askedAtMs.get(grant.sequence);
      if (sentAtMs === undefined || !isLater(grant)) return;
      adopted = {
        ...grant,
        untilMs: sentAtMs + leaseMs,
        fixedUntilMs: sentAtMs + fixedLeaseMs,
      };
    },
    getShare,
  };
}
