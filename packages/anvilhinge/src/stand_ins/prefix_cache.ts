/**
 * Prefix cache of one rank: holds prompt prefixes in blocks of tokens and
 * evicts the least recently used blocks. Changes are published as events with a
 * lag; some events are lost.
 */
import * as crypto from "node:crypto";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as random from "@anvilhinge/coordination/random";

/** Number of tokens in one block. */
export const blockTokens = 16;

/** Minimum number of events kept for readers. */
const eventLimit = 4_096;

export interface PrefixCacheOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  readonly capacityBlocks: number;
  readonly eventLagMs: number;
  /** Share of the events that are never published, 0 to 1. */
  readonly eventLossRatio: number;
}

export interface CacheEvent {
  /** Counts all events, including unpublished events. */
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  /** Hash of all tokens from the start of the prompt to the block's end. */
  readonly prefixHash: string;
}

export interface PrefixCache {
  /** Returns the number of leading tokens that the cache holds. */
  countCachedTokens(tokens: readonly string[]): number;
  store(tokens: readonly string[]): void;
  /** Returns the published events with a sequence above `since`. */
  listEvents(since: number): readonly CacheEvent[];
  clear(): void;
}

interface LoggedEvent {
  readonly atMs: number;
  readonly event: CacheEvent;
}

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  const blocks = new Set<string>();
  let events: LoggedEvent[] = [];
  let sequence = 0;

  function emit(kind: CacheEvent["kind"], prefixHash: string): void {
    sequence += 1;
    if (options.random() < options.eventLossRatio) return;
    const event = { sequence, kind, prefixHash };
    events.push({ atMs: options.clock.now(), event });
    if (events.length > 2 * eventLimit) events = events.slice(-eventLimit);
  }

  function storeBlock(hash: string): void {
    const wasCached = blocks.delete(hash);
    blocks.add(hash);
    if (!wasCached) emit("stored", hash);
  }

  function evictOldest(): void {
    const [oldest] = blocks;
    if (oldest === undefined) return;
    blocks.delete(oldest);
    emit("evicted", oldest);
  }

  return {
    countCachedTokens(tokens) {
      const hashes = hashPrefixes(tokens);
      const firstMissing = hashes.findIndex((hash) => !blocks.has(hash));
      return blockTokens * (firstMissing < 0 ? hashes.length : firstMissing);
    },
    store(tokens) {
      // Later blocks first, so that a prefix is evicted after its extensions.
      for (const hash of hashPrefixes(tokens).reverse()) storeBlock(hash);
      while (blocks.size > options.capacityBlocks) evictOldest();
    },
    listEvents(since) {
      const publishedUntilMs = options.clock.now() - options.eventLagMs;
      return events
        .filter(({ atMs, event }) =>
          atMs <= publishedUntilMs && event.sequence > since
        )
        .map(({ event }) => event);
    },
    clear() {
      while (blocks.size > 0) evictOldest();
    },
  };
}

/** Returns the hash of each prefix of whole blocks, shortest first. */
export function hashPrefixes(tokens: readonly string[]): string[] {
  const hashes: string[] = [];
  let previous = "";
  for (let end = blockTokens; end <= tokens.length; end += blockTokens) {
    const block = tokens.slice(end - blockTokens, end);
    const text = JSON.stringify([previous, block]);
    previous = crypto.createHash("sha256").update(text).digest("hex")
      .slice(0, 16);
    hashes.push(previous);
  }
  return hashes;
}
