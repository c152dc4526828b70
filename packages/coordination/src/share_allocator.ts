/**
 * Hands out leased shares of one limit to the entries that serve it. The holder
 * counts for each entry the largest share that the entry may still believe it
 * has, and never lets the sum pass 1. A share is lowered only by the entry's
 * own acknowledgement or by expiry, so lost, late, doubled and reordered
 * messages cannot raise the sum. An entry that is cut off falls back to its
 * fixed share, which stays reserved for it much longer.
 */
import type * as clock from "./clock.ts";

/** What an entry sends to the holder, a few times within a lease. */
export interface ShareRequest {
  /** Id of the entry's present run; differs after a restart. */
  readonly entryId: string;
  /** Rises with every ask of the entry. */
  readonly sequence: number;
  /** Term and sequence of the grant that the entry has in force. */
  readonly adopted: { readonly term: number; readonly sequence: number };
  /** Share in force at the entry when it asked. */
  readonly held: number;
  /** Share that the entry's callers ask for; may pass 1. */
  readonly demand: number;
  /** Share taken by requests in progress; 0 for limits on rates. */
  readonly inUse: number;
}

export interface ShareGrant {
  /** Rises with every change of the holder. */
  readonly term: number;
  /** Sequence of the ask that this answers. */
  readonly sequence: number;
  readonly share: number;
}

/** Times and sizes that the holder and all entries must agree on. */
export interface ShareLeaseOptions {
  /** How long a granted share lasts after its ask was sent, in milliseconds. */
  readonly leaseMs: number;
  /** How long the fixed share lasts after an ask, in milliseconds. */
  readonly fixedLeaseMs: number;
  /** Share that an entry keeps when its lease lapses. */
  readonly fixedShare: number;
  /** Most entries that hold a fixed share at once. */
  readonly maxEntries: number;
}

export interface ShareAllocatorOptions extends ShareLeaseOptions {
  readonly clock: clock.Clock;
  /** Fencing number of the duty; rises with every change of the holder. */
  readonly term: number;
  /**
   * False only when nobody can have handed out shares of this limit before.
   * @default true
   */
  readonly hasPredecessor?: boolean;
  /**
   * Added to every lease for the drift of clocks, in milliseconds.
   * @default 500
   */
  readonly marginMs?: number;
  /**
   * How long work admitted under a share may go on after the share lapsed, in
   * milliseconds; 0 for limits on rates.
   * @default 0
   */
  readonly drainMs?: number;
}

export interface ShareAllocator {
  /** Answers an ask; undefined when it is older than one already answered. */
  answer(ask: ShareRequest): ShareGrant | undefined;
  /** Sum of what all entries may believe; never passes 1. */
  sumReserved(): number;
}

interface Reservation {
  /** Sequence of the grant; the grant in force is below or equal to it. */
  readonly sequence: number;
  readonly share: number;
  readonly untilMs: number;
}

interface Holding {
  sequence: number;
  /** True once the entry has adopted a grant of this term. */
  hasAcknowledged: boolean;
  reservations: Reservation[];
  fixedShare: number;
  fixedUntilMs: number;
  demand: number;
  demandUntilMs: number;
}

const defaultMarginMs = 500;

/**
 * Creates the holder of one limit for one term. The holder before it must have
 * stopped; what that one granted is unknown, so for the first lease this one
 * grants no more than entries show that they hold, and for the first fixed
 * lease it reserves the fixed shares of entries that it has not heard from.
 */
export function createShareAllocator(
  options: ShareAllocatorOptions,
): ShareAllocator {
  const { clock, leaseMs, fixedLeaseMs, maxEntries } = options;
  if (maxEntries * options.fixedShare > 1) {
    throw new RangeError("The fixed shares of all entries together pass 1");
  }
  const marginMs = (options.marginMs ?? defaultMarginMs) +
    (options.drainMs ?? 0);
  const startedAtMs = clock.now();
  const hasPredecessor = options.hasPredecessor ?? true;
  const holdings = new Map<string, Holding>();

  function reserve(holding: Holding): number {
    const nowMs = clock.now();
    let reserved = nowMs < holding.fixedUntilMs ? holding.fixedShare : 0;
    for (const { share, untilMs } of holding.reservations) {
      if (nowMs < untilMs) reserved = Math.max(reserved, share);
    }
    return reserved;
  }

  function removeLapsed(): void {
    const nowMs = clock.now();
    for (const [entryId, holding] of holdings) {
      holding.reservations = holding.reservations.filter((reservation) =>
        nowMs < reservation.untilMs
      );
      const isOver = holding.reservations.length === 0 &&
        nowMs >= holding.fixedUntilMs;
      if (isOver) holdings.delete(entryId);
    }
  }

  function isRecovering(): boolean {
    return hasPredecessor && clock.now() - startedAtMs < leaseMs + marginMs;
  }

  /** Fixed shares that entries unknown to this holder may still use. */
  function reserveUnknown(): number {
    const ageMs = clock.now() - startedAtMs;
    if (!hasPredecessor || ageMs >= fixedLeaseMs + marginMs) return 0;
    const known = [...holdings.values()].filter((holding) =>
      holding.hasAcknowledged
    );
    return Math.max(0, maxEntries - known.length) * options.fixedShare;
  }

  function sumOthers(own: Holding): number {
    let sum = 0;
    for (const holding of holdings.values()) {
      if (holding !== own) sum += reserve(holding);
    }
    return sum;
  }

  /** Each asking entry gets its fixed share and a part of the rest. */
  function computeTarget(own: Holding): number {
    const nowMs = clock.now();
    const asking = [...holdings.values()].filter((holding) =>
      nowMs < holding.demandUntilMs
    );
    const demand = asking.reduce((sum, { demand }) => sum + demand, 0);
    const weight = demand > 0 ? own.demand / demand : 1 / asking.length;
    const fixed = holdings.size * options.fixedShare;
    return options.fixedShare + Math.max(0, 1 - fixed) * weight;
  }

  function getHolding(ask: ShareRequest): Holding {
    const known = holdings.get(ask.entryId);
    if (known !== undefined) return known;
    const created: Holding = {
      sequence: 0,
      hasAcknowledged: false,
      reservations: [],
      fixedShare: 0,
      fixedUntilMs: -Infinity,
      demand: 0,
      demandUntilMs: -Infinity,
    };
    holdings.set(ask.entryId, created);
    return created;
  }

  /** Drops the grants that the entry has replaced by a later one. */
  function acknowledge(holding: Holding, ask: ShareRequest): void {
    if (ask.adopted.term !== options.term) return;
    holding.hasAcknowledged = true;
    holding.reservations = holding.reservations.filter((reservation) =>
      reservation.sequence >= ask.adopted.sequence
    );
  }

  function record(holding: Holding, ask: ShareRequest, share: number): void {
    const nowMs = clock.now();
    const shown = Math.max(ask.held, ask.inUse);
    const untilMs = nowMs + leaseMs + marginMs;
    // What the entry holds now counts until it acknowledges the new grant.
    holding.reservations.push({
      sequence: ask.sequence - 1,
      share: shown,
      untilMs,
    });
    holding.reservations.push({ sequence: ask.sequence, share, untilMs });
    holding.fixedShare = Math.min(share, options.fixedShare);
    holding.fixedUntilMs = nowMs + fixedLeaseMs + marginMs;
  }

  function hasFixedPlace(own: Holding): boolean {
    const taken = [...holdings.values()].filter((holding) =>
      holding !== own && holding.fixedShare > 0
    );
    return taken.length < maxEntries;
  }

  function computeGrant(own: Holding, ask: ShareRequest): number {
    const others = sumOthers(own);
    if (!hasFixedPlace(own)) return 0;
    if (isRecovering()) return Math.max(0, Math.min(ask.held, 1 - others));
    // What is reserved for the entry already may be granted again.
    const room = Math.max(reserve(own), 1 - others - reserveUnknown());
    const wanted = Math.max(computeTarget(own), ask.inUse);
    return Math.max(0, Math.min(wanted, room));
  }

  return {
    answer(ask) {
      removeLapsed();
      const holding = getHolding(ask);
      if (ask.sequence <= holding.sequence) return undefined;
      acknowledge(holding, ask);
      holding.demand = ask.demand;
      holding.demandUntilMs = clock.now() + leaseMs;
      const share = computeGrant(holding, ask);
      record(holding, ask, share);
      holding.sequence = ask.sequence;
      return { term: options.term, sequence: ask.sequence, share };
    },
    sumReserved() {
      let sum = 0;
      for (const holding of holdings.values()) sum += reserve(holding);
      return sum;
    },
  };
}
