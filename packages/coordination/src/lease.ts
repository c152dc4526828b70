/**
 * A lease on one key of a versioned object store, as a deterministic state
 * machine: it receives events and returns effects, and performs no I/O itself.
 * To embed it, provide a clock, a random source, unique ids and the index of
 * this node among the candidates, and execute its effects with
 * `lease_driver.ts`.
 *
 * - The lease is acquired and renewed by conditional writes. The fencing number
 *   is the version of the object at the acquisition and increases with each
 *   takeover.
 * - The holder measures the duration from before it sent the renewal and stops
 *   `marginMs` before the expiry. Other nodes take over after they have seen
 *   one version unchanged for `durationMs` by their own clock; clocks of
 *   different nodes are never compared.
 * - A paused holder may still assume that it holds the lease, so the receiver
 *   of its orders must compare fencing numbers; see `fencing.ts`.
 * - A write whose answer was lost is settled by reading back its change id.
 * - Candidates 0 and 1 poll every `pollIntervalMs`; each later candidate polls
 *   half as often as the candidate before it. All candidates of a lease
 *   together cause at most three reads per `pollIntervalMs`, however many nodes
 *   there are, and dead nodes in the list of candidates only delay a takeover.
 */
import type * as clock from "./clock.ts";
import * as leaseRecord from "./lease_record.ts";
import type * as random from "./random.ts";
import type * as versionedStore from "./versioned_store.ts";

export interface LeaseOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /** Returns an id that is unique across all calls and nodes. */
  readonly createId: () => string;
  /** Id of this node, new at each start of its process. */
  readonly holder: string;
  /** Address of this node for the other nodes while it holds the lease. */
  readonly address: string;
  /** Returns the index of this node among the candidates; 0 is the first. */
  readonly getCandidateIndex: () => number;
  /** @default 4000 */
  readonly durationMs?: number;
  /**
   * Time before the expiry at which the holder stops, in milliseconds.
   * @default 500
   */
  readonly marginMs?: number;
  /**
   * Interval between renewals, shortened by a random jitter of up to a quarter.
   * @default 1200
   */
  readonly renewIntervalMs?: number;
  /**
   * Interval between two reads of candidate 0 or 1, in milliseconds.
   * @default 1000
   */
  readonly pollIntervalMs?: number;
}

/** `act` polls or renews; `expire` stops the holder when the lease expires. */
export type TimerName = "act" | "expire";

export type LeaseEvent =
  | { readonly kind: "start" }
  | { readonly kind: "timer"; readonly name: TimerName }
  | { readonly kind: "read"; readonly outcome: versionedStore.ReadOutcome }
  | { readonly kind: "written"; readonly outcome: versionedStore.WriteOutcome }
  /** Release the lease and stop. */
  | { readonly kind: "stop" };

export type LeaseEffect =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly record: leaseRecord.LeaseRecord;
    readonly ifVersion: number;
  }
  /** Set the named timer, replacing an earlier setting. */
  | {
    readonly kind: "set_timer";
    readonly name: TimerName;
    readonly delayMs: number;
  }
  | { readonly kind: "started_holding"; readonly fencingNumber: number }
  | { readonly kind: "stopped_holding" };

export interface Lease {
  handle(event: LeaseEvent): readonly LeaseEffect[];
  /** Returns the fencing number while the lease is held and has not expired. */
  getHeldFencingNumber(): number | undefined;
}

/** Version of the lease object that was read or written last. */
interface ObservedVersion {
  readonly version: number;
  readonly record: leaseRecord.LeaseRecord | undefined;
  /** Local time at which this version was first seen. */
  readonly sinceMs: number;
}

interface HeldLease {
  readonly fencingNumber: number;
  readonly validUntilMs: number;
}

interface SentWrite {
  readonly record: leaseRecord.LeaseRecord;
  readonly sentAtMs: number;
}

const defaultDurationMs = 4_000;
const defaultMarginMs = 500;
const defaultRenewIntervalMs = 1_200;
const defaultPollIntervalMs = 1_000;
const maxRenewJitterShare = 0.25;
const retryDelayMs = 200;
/** Candidates after this index never poll, which bounds the total reads. */
const maxPollingIndex = 8;

/** Creates the state machine; it does nothing before its `start` event. */
export function createLease(options: LeaseOptions): Lease {
  const durationMs = options.durationMs ?? defaultDurationMs;
  const marginMs = options.marginMs ?? defaultMarginMs;
  const renewIntervalMs = options.renewIntervalMs ?? defaultRenewIntervalMs;
  const pollIntervalMs = options.pollIntervalMs ?? defaultPollIntervalMs;
  /** Writes that may have taken effect, by change id. */
  const unsettled = new Map<string, SentWrite>();
  let lastSeen: ObservedVersion | undefined;
  let held: HeldLease | undefined;
  let lastSent: SentWrite | undefined;
  let lastReadAtMs = -Infinity;
  /** Whether a call to the store is in flight. */
  let isInFlight = false;
  let isStopping = false;
  let effects: LeaseEffect[] = [];

  function setTimer(name: TimerName, delayMs: number): void {
    effects.push({ kind: "set_timer", name, delayMs: Math.max(0, delayMs) });
  }

  function readObject(): void {
    isInFlight = true;
    lastReadAtMs = options.clock.now();
    effects.push({ kind: "read" });
  }

  function send(fencingNumber: number, released: boolean): void {
    const record = {
      holder: options.holder,
      address: options.address,
      changeId: options.createId(),
      fencingNumber,
      released,
    };
    isInFlight = true;
    lastSent = { record, sentAtMs: options.clock.now() };
    unsettled.set(record.changeId, lastSent);
    effects.push({ kind: "write", record, ifVersion: lastSeen?.version ?? 0 });
  }

  function endHolding(): void {
    if (held === undefined) return;
    held = undefined;
    effects.push({ kind: "stopped_holding" });
  }

  function checkExpiry(): void {
    if (held === undefined) return;
    if (options.clock.now() >= held.validUntilMs) endHolding();
  }

  /** Records that a write of this node produced the current version. */
  function recordOwnWrite(write: SentWrite, version: number): void {
    const { record, sentAtMs } = write;
    lastSeen = { version, record, sinceMs: options.clock.now() };
    unsettled.clear();
    if (record.released) return endHolding();
    const fencingNumber = leaseRecord.getFencingNumber(record, version);
    const validUntilMs = sentAtMs + durationMs - marginMs;
    if (options.clock.now() >= validUntilMs) {
      endHolding();
      setTimer("act", retryDelayMs);
      return;
    }
    // A renewal that is accepted after the local expiry does not revive the
    // lease; the next acquisition brings a new fencing number.
    if (held === undefined && record.fencingNumber !== 0) {
      setTimer("act", 0);
      return;
    }
    if (held === undefined) {
      effects.push({ kind: "started_holding", fencingNumber });
    }
    held = { fencingNumber, validUntilMs };
    setTimer("expire", validUntilMs - options.clock.now());
    const jitterFactor = 1 - maxRenewJitterShare * options.random();
    setTimer("act", renewIntervalMs * jitterFactor);
  }

  function computePollDelay(): number {
    const candidateIndex = options.getCandidateIndex();
    if (candidateIndex > maxPollingIndex) return Infinity;
    return pollIntervalMs * 2 ** Math.max(0, candidateIndex - 1);
  }

  /** Computes when the lease may be taken over from an observed version. */
  function computeTakeoverMs(observed: ObservedVersion): number {
    const { record, sinceMs } = observed;
    const isFree = record === undefined || record.released;
    // Staggers the candidates, so that the first candidate gets a free lease.
    const staggerMs = Math.min(options.getCandidateIndex(), 2) *
      pollIntervalMs / 2;
    return sinceMs + (isFree ? staggerMs : durationMs);
  }

  function schedulePoll(takeoverMs: number): void {
    const nowMs = options.clock.now();
    const untilTakeoverMs = takeoverMs > nowMs ? takeoverMs - nowMs : Infinity;
    setTimer("act", Math.min(pollIntervalMs, untilTakeoverMs));
  }

  function pollOrRenew(): void {
    if (isInFlight) return;
    if (held !== undefined) return send(held.fencingNumber, false);
    const nowMs = options.clock.now();
    const pollDelayMs = computePollDelay();
    const takeoverMs = lastSeen === undefined || options.getCandidateIndex() > 1
      ? Infinity
      : computeTakeoverMs(lastSeen);
    const isDue = pollDelayMs !== Infinity &&
      (nowMs - lastReadAtMs >= pollDelayMs || nowMs >= takeoverMs);
    if (isDue) return readObject();
    schedulePoll(takeoverMs);
  }

  function observe(version: number, value: unknown): void {
    const record = leaseRecord.parseLeaseRecord(value);
    const ownWrite = record === undefined
      ? undefined
      : unsettled.get(record.changeId);
    if (ownWrite !== undefined) return recordOwnWrite(ownWrite, version);
    const isNew = lastSeen?.version !== version;
    if (isNew) lastSeen = { version, record, sinceMs: options.clock.now() };
    if (isNew && held !== undefined) endHolding();
    decide();
  }

  /** Renews or acquires the lease, or schedules the next poll. */
  function decide(): void {
    if (held !== undefined) return send(held.fencingNumber, false);
    if (lastSeen === undefined) return;
    const isOwn = lastSeen.record?.holder === options.holder;
    const takeoverMs = computeTakeoverMs(lastSeen);
    if (isOwn || options.clock.now() >= takeoverMs) return send(0, false);
    schedulePoll(takeoverMs);
  }

  function handleRead(outcome: versionedStore.ReadOutcome): void {
    switch (outcome.kind) {
      case "found":
        return observe(outcome.object.version, outcome.object.value);
      case "missing":
        return observe(0, undefined);
      case "unavailable":
        return setTimer(
          "act",
          held === undefined ? pollIntervalMs : retryDelayMs,
        );
    }
  }

  function handleWritten(outcome: versionedStore.WriteOutcome): void {
    switch (outcome.kind) {
      case "accepted":
        if (lastSent !== undefined) recordOwnWrite(lastSent, outcome.version);
        return;
      case "conflict":
      case "unknown":
        return readObject();
      case "unavailable":
        if (lastSent !== undefined) unsettled.delete(lastSent.record.changeId);
        return setTimer("act", retryDelayMs * (1 + options.random()));
    }
  }

  function stop(): void {
    isStopping = true;
    const wasHolding = held !== undefined;
    endHolding();
    if (wasHolding && !isInFlight) send(0, true);
  }

  /** While stopping, releases a renewal that was still in flight. */
  function handleWhileStopping(event: LeaseEvent): void {
    const isPendingRenewal = event.kind === "written" &&
      event.outcome.kind === "accepted" && lastSent?.record.released === false;
    if (!isPendingRenewal) return;
    lastSeen = {
      version: event.outcome.version,
      record: lastSent?.record,
      sinceMs: options.clock.now(),
    };
    send(0, true);
  }

  function dispatch(event: LeaseEvent): void {
    if (event.kind === "read" || event.kind === "written") isInFlight = false;
    if (isStopping) return handleWhileStopping(event);
    checkExpiry();
    switch (event.kind) {
      case "start":
        return setTimer("act", pollIntervalMs * options.random());
      case "timer":
        return event.name === "act" ? pollOrRenew() : undefined;
      case "read":
        return handleRead(event.outcome);
      case "written":
        return handleWritten(event.outcome);
      case "stop":
        return stop();
    }
  }

  return {
    handle(event) {
      effects = [];
      dispatch(event);
      return effects;
    },
    getHeldFencingNumber() {
      const isValid = held !== undefined &&
        options.clock.now() < held.validUntilMs;
      return isValid ? held?.fencingNumber : undefined;
    },
  };
}
