/**
 * A lease on one key of a versioned store, as a deterministic state machine:
 * it takes events and returns effects, and neither sleeps nor calls anything.
 * To embed it, give it a clock, a random source, ids and the place of this node
 * among the candidates, and carry out its effects with `lease_driver.ts`.
 *
 * - It is acquired and renewed by conditional writes. The fencing number is the
 *   version of the object at the acquisition and rises with each takeover.
 * - The holder counts from before it sent the renewal and stops `marginMs`
 *   early. Others take over once they have seen one version unchanged for
 *   `durationMs` by their own clock; clocks are never compared.
 * - A paused holder may still believe that it holds the lease. Whoever carries
 *   out its orders must compare fencing numbers; see `fencing.ts`.
 * - A write whose answer was lost is settled by reading back its change id.
 * - The candidates in places 0 and 1 look every `pollIntervalMs`; each later
 *   one looks half as often as the one before it. All candidates of one lease
 *   together cause at most three reads per `pollIntervalMs`, however many nodes
 *   there are, and a list of nodes that names dead ones delays a takeover only.
 */
import type * as clock from "./clock.ts";
import * as leaseRecord from "./lease_record.ts";
import type * as random from "./random.ts";
import type * as versionedStore from "./versioned_store.ts";

export interface LeaseOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /** Returns an id that no other call on any node returns. */
  readonly createId: () => string;
  /** Id of this node, new at each start of its process. */
  readonly holder: string;
  /** Where others reach this node while it holds the lease. */
  readonly address: string;
  /** Returns the place of this node among the candidates; 0 = the first. */
  readonly getCandidateIndex: () => number;
  /** @default 4000 */
  readonly durationMs?: number;
  /** @default 500 */
  readonly marginMs?: number;
  /**
   * Time between renewals, shortened by up to a quarter at random.
   * @default 1200
   */
  readonly renewIntervalMs?: number;
  /** @default 1000 */
  readonly pollIntervalMs?: number;
}

/** `act` looks or renews; `expire` ends the belief in the own lease. */
export type TimerName = "act" | "expire";

export type LeaseEvent =
  | { readonly kind: "start" }
  | { readonly kind: "timer"; readonly name: TimerName }
  | { readonly kind: "read"; readonly outcome: versionedStore.ReadOutcome }
  | { readonly kind: "written"; readonly outcome: versionedStore.WriteOutcome }
  /** Give the lease up for good. */
  | { readonly kind: "stop" };

export type LeaseEffect =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly record: leaseRecord.LeaseRecord;
    readonly ifVersion: number;
  }
  /** Replaces the timer of the same name. */
  | {
    readonly kind: "set_timer";
    readonly name: TimerName;
    readonly delayMs: number;
  }
  | { readonly kind: "started_holding"; readonly fencingNumber: number }
  | { readonly kind: "stopped_holding" };

export interface Lease {
  handle(event: LeaseEvent): readonly LeaseEffect[];
  /** Returns the fencing number while the lease is held by the clock of now. */
  getHeldFencingNumber(): number | undefined;
}

interface Seen {
  readonly version: number;
  readonly record: leaseRecord.LeaseRecord | undefined;
  /** When this version was first seen here. */
  readonly sinceMs: number;
}

interface Held {
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
const renewJitter = 0.25;
const retryDelayMs = 200;
/** Candidates behind this place never look; the sum of the others is bounded. */
const maxLookingPlace = 8;

/** Creates the machine; it does nothing before its `start` event. */
export function createLease(options: LeaseOptions): Lease {
  const durationMs = options.durationMs ?? defaultDurationMs;
  const marginMs = options.marginMs ?? defaultMarginMs;
  const renewIntervalMs = options.renewIntervalMs ?? defaultRenewIntervalMs;
  const pollIntervalMs = options.pollIntervalMs ?? defaultPollIntervalMs;
  /** Writes that may have taken effect, by change id. */
  const sent = new Map<string, SentWrite>();
  let seen: Seen | undefined;
  let held: Held | undefined;
  let lastSent: SentWrite | undefined;
  let lookedAtMs = -Infinity;
  let isWaiting = false;
  let isStopping = false;
  let effects: LeaseEffect[] = [];

  function setTimer(name: TimerName, delayMs: number): void {
    effects.push({ kind: "set_timer", name, delayMs: Math.max(0, delayMs) });
  }

  function readObject(): void {
    isWaiting = true;
    lookedAtMs = options.clock.now();
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
    isWaiting = true;
    lastSent = { record, sentAtMs: options.clock.now() };
    sent.set(record.changeId, lastSent);
    effects.push({ kind: "write", record, ifVersion: seen?.version ?? 0 });
  }

  function endHolding(): void {
    if (held === undefined) return;
    held = undefined;
    effects.push({ kind: "stopped_holding" });
  }

  function endIfExpired(): void {
    if (held === undefined) return;
    if (options.clock.now() >= held.validUntilMs) endHolding();
  }

  /** Takes note that an own write is the present version. */
  function acceptWrite(write: SentWrite, version: number): void {
    const { record, sentAtMs } = write;
    seen = { version, record, sinceMs: options.clock.now() };
    sent.clear();
    if (record.released) return endHolding();
    const fencingNumber = leaseRecord.getFencingNumber(record, version);
    const validUntilMs = sentAtMs + durationMs - marginMs;
    if (options.clock.now() >= validUntilMs) {
      endHolding();
      setTimer("act", retryDelayMs);
      return;
    }
    // A renewal that lands after the belief has ended does not revive it: the
    // next acquisition brings a new number.
    if (held === undefined && record.fencingNumber !== 0) {
      setTimer("act", 0);
      return;
    }
    if (held === undefined) {
      effects.push({ kind: "started_holding", fencingNumber });
    }
    held = { fencingNumber, validUntilMs };
    setTimer("expire", validUntilMs - options.clock.now());
    const jitter = 1 - renewJitter * options.random();
    setTimer("act", renewIntervalMs * jitter);
  }

  function computePollDelay(): number {
    const place = options.getCandidateIndex();
    if (place > maxLookingPlace) return Infinity;
    return pollIntervalMs * 2 ** Math.max(0, place - 1);
  }

  /** Time at which the version seen last may be taken over. */
  function computeTakeoverMs(present: Seen): number {
    const { record, sinceMs } = present;
    const isFree = record === undefined || record.released;
    // The first candidate of a free lease goes ahead of the others.
    const headStartMs = Math.min(options.getCandidateIndex(), 2) *
      pollIntervalMs / 2;
    return sinceMs + (isFree ? headStartMs : durationMs);
  }

  function setNextLook(takeoverMs: number): void {
    const nowMs = options.clock.now();
    const untilTakeoverMs = takeoverMs > nowMs ? takeoverMs - nowMs : Infinity;
    setTimer("act", Math.min(pollIntervalMs, untilTakeoverMs));
  }

  function runTurn(): void {
    if (isWaiting) return;
    if (held !== undefined) return send(held.fencingNumber, false);
    const nowMs = options.clock.now();
    const delayMs = computePollDelay();
    const takeoverMs = seen === undefined || options.getCandidateIndex() > 1
      ? Infinity
      : computeTakeoverMs(seen);
    const isDue = delayMs !== Infinity &&
      (nowMs - lookedAtMs >= delayMs || nowMs >= takeoverMs);
    if (isDue) return readObject();
    setNextLook(takeoverMs);
  }

  function observe(version: number, value: unknown): void {
    const record = leaseRecord.parseLeaseRecord(value);
    const own = record === undefined ? undefined : sent.get(record.changeId);
    if (own !== undefined) return acceptWrite(own, version);
    const isNew = seen?.version !== version;
    if (isNew) seen = { version, record, sinceMs: options.clock.now() };
    if (isNew && held !== undefined) endHolding();
    decide();
  }

  function decide(): void {
    if (held !== undefined) return send(held.fencingNumber, false);
    if (seen === undefined) return;
    const isOwn = seen.record?.holder === options.holder;
    const takeoverMs = computeTakeoverMs(seen);
    if (isOwn || options.clock.now() >= takeoverMs) return send(0, false);
    setNextLook(takeoverMs);
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
        if (lastSent !== undefined) acceptWrite(lastSent, outcome.version);
        return;
      case "conflict":
      case "unknown":
        return readObject();
      case "unavailable":
        if (lastSent !== undefined) sent.delete(lastSent.record.changeId);
        return setTimer("act", retryDelayMs * (1 + options.random()));
    }
  }

  function stop(): void {
    isStopping = true;
    const wasHeld = held !== undefined;
    endHolding();
    if (wasHeld && !isWaiting) send(0, true);
  }

  /** A lease that is being given up reacts to nothing but its last renewal. */
  function handleWhileStopping(event: LeaseEvent): void {
    const isLateRenewal = event.kind === "written" &&
      event.outcome.kind === "accepted" && lastSent?.record.released === false;
    if (!isLateRenewal) return;
    seen = {
      version: event.outcome.version,
      record: lastSent?.record,
      sinceMs: options.clock.now(),
    };
    send(0, true);
  }

  function dispatch(event: LeaseEvent): void {
    if (event.kind === "read" || event.kind === "written") isWaiting = false;
    if (isStopping) return handleWhileStopping(event);
    endIfExpired();
    switch (event.kind) {
      case "start":
        return setTimer("act", pollIntervalMs * options.random());
      case "timer":
        return event.name === "act" ? runTurn() : undefined;
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
