/**
 * Allocates leased shares of one limit to the entries that enforce it. For each
 * entry, the allocator reserves the largest share that the entry may still have
 * in force. The sum of all reservations never exceeds 1. A reservation falls
 * only when the entry acknowledges a later grant or when the reservation
 * expires, so lost, late, duplicated and reordered messages cannot raise the
 * sum. A disconnected entry falls back to its fixed share, which stays reserved
 * for much longer than a lease.
 */
import type * as clock from "./clock.ts";

/** Request that an entry sends to the allocator several times per lease. */
export interface ShareRequest {
  /** Id of the entry's current incarnation; changes with each restart. */
  readonly entryId: string;
  /** Increases with every request of the entry. */
  readonly sequence: number;
  /** Term and sequence of the grant that the entry has in force. */
  readonly adopted: { readonly term: number; readonly sequence: number };
  /** Share in force at the entry when it sent the request. */
  readonly held: number;
  /** Share that the entry's callers demand; may exceed 1. */
  readonly demand: number;
  /** Share used by requests in flight; 0 for rate limits. */
  readonly inUse: number;
}

export interface ShareGrant {
  /** Increases with every change of the allocator. */
  readonly term: number;
  /** Sequence of the request that this grant answers. */
  readonly sequence: number;
  readonly share: number;
}

/** Lease settings that must be equal at the allocator and at all entries. */
export interface ShareLeaseOptions {
  /** Lifetime of a granted share, counted from its request, in milliseconds. */
  readonly leaseMs: number;
  /** Lifetime of the fixed share, counted from a request, in milliseconds. */
  readonly fixedLeaseMs: number;
  /** Share that an entry keeps after its lease expires. */
  readonly fixedShare: number;
  /** Maximum number of entries with a fixed share. */
  readonly maxEntries: number;
}

export interface ShareAllocatorOptions extends ShareLeaseOptions {
  readonly clock: clock.Clock;
  /** Fencing number of the allocator role; increases with every change. */
  readonly term: number;
  /**
   * False only if no other allocator can have granted shares of this limit.
   * @default true
   */
  readonly hasPredecessor?: boolean;
  /**
   * Added to every lease to cover clock drift, in milliseconds.
   * @default 500
   */
  readonly marginMs?: number;
  /**
   * Maximum time that admitted requests continue after the share expires, in
   * milliseconds; 0 for rate limits.
   * @default 0
   */
  readonly drainMs?: number;
}

export interface ShareAllocator {
  /** Answers a request; returns undefined for a duplicate or outdated one. */
  answer(request: ShareRequest): ShareGrant | undefined;
  /** Sum of the shares reserved for all entries; never exceeds 1. */
  sumReserved(): number;
}

interface Reservation {
  /**
   * Sequence of the reserved grant; an upper bound of it for a held share. The
   * reservation is removed when the entry acknowledges a grant with a higher
   * sequence.
   */
  readonly sequence: number;
  readonly share: number;
  readonly untilMs: number;
}

interface EntryState {
  /** Sequence of the last answered request. */
  lastSequence: number;
  /** Whether the entry has adopted a grant of this term. */
  hasAcknowledged: boolean;
  reservations: Reservation[];
  fixedShare: number;
  fixedUntilMs: number;
  demand: number;
  demandUntilMs: number;
}

const defaultMarginMs = 500;

/**
 * Creates the allocator of one limit for one term. The previous allocator must
 * have stopped. Its grants are unknown. Therefore, for the duration of one
 * lease, the new allocator grants at most the share that an entry reports as
 * held. For the duration of one fixed lease, it reserves the fixed shares of
 * entries that have not acknowledged a grant of this term.
 */
export function createShareAllocator(
  options: ShareAllocatorOptions,
): ShareAllocator {
  const { clock, leaseMs, fixedLeaseMs, maxEntries } = options;
  if (maxEntries * options.fixedShare > 1) {
    throw new RangeError("The sum of the fixed shares exceeds 1");
  }
  const marginMs = (options.marginMs ?? defaultMarginMs) +
    (options.drainMs ?? 0);
  const startedAtMs = clock.now();
  const hasPredecessor = options.hasPredecessor ?? true;
  const entries = new Map<string, EntryState>();

  function computeReserved(entry: EntryState): number {
    const nowMs = clock.now();
    let reserved = nowMs < entry.fixedUntilMs ? entry.fixedShare : 0;
    for (const { share, untilMs } of entry.reservations) {
      if (nowMs < untilMs) reserved = Math.max(reserved, share);
    }
    return reserved;
  }

  function removeExpired(): void {
    const nowMs = clock.now();
    for (const [entryId, entry] of entries) {
      entry.reservations = entry.reservations.filter((reservation) =>
        nowMs < reservation.untilMs
      );
      const isExpired = entry.reservations.length === 0 &&
        nowMs >= entry.fixedUntilMs;
      if (isExpired) entries.delete(entryId);
    }
  }

  function isRecovering(): boolean {
    return hasPredecessor && clock.now() - startedAtMs < leaseMs + marginMs;
  }

  /**
   * Sums the fixed shares that the previous allocator may have granted to
   * entries that have not acknowledged a grant of this term.
   */
  function sumUnacknowledgedFixed(): number {
    const ageMs = clock.now() - startedAtMs;
    if (!hasPredecessor || ageMs >= fixedLeaseMs + marginMs) return 0;
    const acknowledged = [...entries.values()].filter((entry) =>
      entry.hasAcknowledged
    );
    return Math.max(0, maxEntries - acknowledged.length) * options.fixedShare;
  }

  function sumReservedByOthers(requester: EntryState): number {
    let sum = 0;
    for (const entry of entries.values()) {
      if (entry !== requester) sum += computeReserved(entry);
    }
    return sum;
  }

  /** Computes the fixed share plus a demand-weighted part of the remainder. */
  function computeTarget(requester: EntryState): number {
    const nowMs = clock.now();
    const active = [...entries.values()].filter((entry) =>
      nowMs < entry.demandUntilMs
    );
    const demand = active.reduce((sum, { demand }) => sum + demand, 0);
    const weight = demand > 0 ? requester.demand / demand : 1 / active.length;
    const fixedTotal = entries.size * options.fixedShare;
    return options.fixedShare + Math.max(0, 1 - fixedTotal) * weight;
  }

  function getOrCreateEntry(request: ShareRequest): EntryState {
    const existing = entries.get(request.entryId);
    if (existing !== undefined) return existing;
    const entry: EntryState = {
      lastSequence: 0,
      hasAcknowledged: false,
      reservations: [],
      fixedShare: 0,
      fixedUntilMs: -Infinity,
      demand: 0,
      demandUntilMs: -Infinity,
    };
    entries.set(request.entryId, entry);
    return entry;
  }

  /** Removes the reservations that the entry's adopted grant replaces. */
  function acknowledge(entry: EntryState, request: ShareRequest): void {
    if (request.adopted.term !== options.term) return;
    entry.hasAcknowledged = true;
    entry.reservations = entry.reservations.filter((reservation) =>
      reservation.sequence >= request.adopted.sequence
    );
  }

  function recordGrant(
    entry: EntryState,
    request: ShareRequest,
    share: number,
  ): void {
    const nowMs = clock.now();
    const heldShare = Math.max(request.held, request.inUse);
    const untilMs = nowMs + leaseMs + marginMs;
    // The held share stays reserved until the entry acknowledges the new grant.
    entry.reservations.push({
      sequence: request.sequence - 1,
      share: heldShare,
      untilMs,
    });
    entry.reservations.push({ sequence: request.sequence, share, untilMs });
    entry.fixedShare = Math.min(share, options.fixedShare);
    entry.fixedUntilMs = nowMs + fixedLeaseMs + marginMs;
  }

  function hasRoomForEntry(requester: EntryState): boolean {
    const others = [...entries.values()].filter((entry) =>
      entry !== requester && entry.fixedShare > 0
    );
    return others.length < maxEntries;
  }

  function computeGrant(requester: EntryState, request: ShareRequest): number {
    const others = sumReservedByOthers(requester);
    if (!hasRoomForEntry(requester)) return 0;
    if (isRecovering()) return Math.max(0, Math.min(request.held, 1 - others));
    // The share already reserved for the requester may be granted again.
    const available = Math.max(
      computeReserved(requester),
      1 - others - sumUnacknowledgedFixed(),
    );
    const wanted = Math.max(computeTarget(requester), request.inUse);
    return Math.max(0, Math.min(wanted, available));
  }

  return {
    answer(request) {
      removeExpired();
      const entry = getOrCreateEntry(request);
      if (request.sequence <= entry.lastSequence) return undefined;
      acknowledge(entry, request);
      entry.demand = request.demand;
      entry.demandUntilMs = clock.now() + leaseMs;
      const share = computeGrant(entry, request);
      recordGrant(entry, request, share);
      entry.lastSequence = request.sequence;
      return { term: options.term, sequence: request.sequence, share };
    },
    sumReserved() {
      let sum = 0;
      for (const entry of entries.values()) sum += computeReserved(entry);
      return sum;
    },
  };
}
