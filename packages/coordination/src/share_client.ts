/**
 * Client of the share allocator at one entry, for the shares of one limit.
 * Adopts grants in order. Each lease is measured from the time before its
 * request was sent, so that it expires here before it expires at the allocator.
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

/** Shares of the limit that the entry's callers demand and use. */
export interface ShareUse {
  readonly demand: number;
  readonly inUse: number;
}

export interface ShareClient {
  /**
   * Creates the next request. It must be sent at once or not at all, because it
   * reports the share in force now.
   */
  createRequest(use: ShareUse): shareAllocator.ShareRequest;
  /** Adopts a grant unless a newer grant has already been adopted. */
  receive(grant: shareAllocator.ShareGrant): void;
  /** Returns the share in force, from 0 to 1. */
  getShare(): number;
}

interface ActiveGrant extends shareAllocator.ShareGrant {
  readonly untilMs: number;
  readonly fixedUntilMs: number;
}

const maxPendingRequests = 64;

/** Creates a client without a share. */
export function createShareClient(options: ShareClientOptions): ShareClient {
  const { clock, leaseMs, fixedLeaseMs, fixedShare } = options;
  const requestedAtMs = new Map<number, number>();
  let sequence = 0;
  let activeGrant: ActiveGrant = {
    term: 0,
    sequence: 0,
    share: 0,
    untilMs: -Infinity,
    fixedUntilMs: -Infinity,
  };

  function getShare(): number {
    const nowMs = clock.now();
    if (nowMs < activeGrant.untilMs) return activeGrant.share;
    if (nowMs >= activeGrant.fixedUntilMs) return 0;
    return Math.min(activeGrant.share, fixedShare);
  }

  function isNewer(grant: shareAllocator.ShareGrant): boolean {
    return grant.term > activeGrant.term ||
      (grant.term === activeGrant.term &&
        grant.sequence > activeGrant.sequence);
  }

  return {
    createRequest({ demand, inUse }) {
      sequence += 1;
      requestedAtMs.set(sequence, clock.now());
      requestedAtMs.delete(sequence - maxPendingRequests);
      const { term } = activeGrant;
      return {
        entryId: options.entryId,
        sequence,
        adopted: { term, sequence: activeGrant.sequence },
        held: getShare(),
        demand,
        inUse,
      };
    },
    receive(grant) {
      const sentAtMs = requestedAtMs.get(grant.sequence);
      if (sentAtMs === undefined || !isNewer(grant)) return;
      activeGrant = {
        ...grant,
        untilMs: sentAtMs + leaseMs,
        fixedUntilMs: sentAtMs + fixedLeaseMs,
      };
    },
    getShare,
  };
}
