/**
 * Hints about which upstreams probably cache the prefix of a prompt. Cache
 * events arrive late and some are lost, so an upstream may have evicted a
 * prefix that a hint names, or may cache a prefix without a hint.
 */
import murmurhash from "murmurhash";

export interface PrefixKeyOptions {
  /** Prompts of different scopes have different keys. */
  readonly scope: string;
  /**
   * Characters in a block.
   * @default 256
   */
  readonly blockLength?: number;
  /**
   * Maximum number of blocks that are hashed.
   * @default 16
   */
  readonly maxBlocks?: number;
}

const defaultBlockLength = 256;
const defaultMaxBlocks = 16;
/** Number of points of a member on the hash ring. */
const defaultPointsPerMember = 8;
const defaultMaxHints = 20_000;

/**
 * Computes one key per complete block of the prompt. Each key identifies all
 * blocks up to and including its own. A prompt shorter than a block has no key.
 */
export function computePrefixKeys(
  prompt: string,
  options: PrefixKeyOptions,
): readonly number[] {
  const blockLength = options.blockLength ?? defaultBlockLength;
  const maxBlocks = options.maxBlocks ?? defaultMaxBlocks;
  const count = Math.min(maxBlocks, Math.floor(prompt.length / blockLength));
  const keys: number[] = [];
  let key = murmurhash.v3(options.scope);
  for (let block = 0; block < count; block += 1) {
    const start = block * blockLength;
    key = murmurhash.v3(prompt.slice(start, start + blockLength), key);
    keys.push(key);
  }
  return keys;
}

/** Table of the upstreams that probably cache prefixes. */
export interface PrefixHints {
  /** Returns the upstream that probably caches most of the prefix. */
  find(keys: readonly number[]): string | undefined;
  /** Records that an upstream served the prefix or stored these blocks. */
  recordStored(upstreamId: string, keys: readonly number[]): void;
  /** Records that an upstream evicted these blocks. */
  recordEvicted(upstreamId: string, keys: readonly number[]): void;
  count(): number;
}

export interface PrefixHintsOptions {
  /**
   * Maximum number of keys; the least recently recorded are evicted first.
   * @default 20000
   */
  readonly maxHints?: number;
}

/** Creates an empty table. */
export function createPrefixHints(
  options: PrefixHintsOptions = {},
): PrefixHints {
  const maxHints = options.maxHints ?? defaultMaxHints;
  /** Ordered by the time of the last record, oldest first. */
  const upstreamByKey = new Map<number, string>();

  return {
    find(keys) {
      for (let index = keys.length - 1; index >= 0; index -= 1) {
        const upstreamId = upstreamByKey.get(keys[index] as number);
        if (upstreamId !== undefined) return upstreamId;
      }
      return undefined;
    },
    recordStored(upstreamId, keys) {
      for (const key of keys) {
        upstreamByKey.delete(key);
        upstreamByKey.set(key, upstreamId);
      }
      for (const key of upstreamByKey.keys()) {
        if (upstreamByKey.size <= maxHints) break;
        upstreamByKey.delete(key);
      }
    },
    recordEvicted(upstreamId, keys) {
      for (const key of keys) {
        if (upstreamByKey.get(key) === upstreamId) upstreamByKey.delete(key);
      }
    },
    count: () => upstreamByKey.size,
  };
}

/** Consistent hash ring: few keys move when members change. */
export interface HashRing<T> {
  /** Returns up to `count` distinct members for a key, preferred first. */
  find(key: number, count: number): readonly T[];
}

/** Creates a ring. Creation sorts all points; a lookup is a binary search. */
export function createHashRing<T extends { readonly id: string }>(
  members: readonly T[],
  pointsPerMember = defaultPointsPerMember,
): HashRing<T> {
  const points = members.flatMap((member) =>
    Array.from({ length: pointsPerMember }, (_, point) => ({
      hash: murmurhash.v3(`${member.id}\u0000${point}`),
      member,
    }))
  ).sort((a, b) => a.hash - b.hash || (a.member.id < b.member.id ? -1 : 1));

  function findFirst(key: number): number {
    let low = 0;
    let high = points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((points[middle]?.hash ?? 0) < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  return {
    find(key, count) {
      const selected: T[] = [];
      const start = findFirst(key);
      for (let offset = 0; offset < points.length; offset += 1) {
        if (selected.length >= count) break;
        const point = points[(start + offset) % points.length];
        if (point !== undefined && !selected.includes(point.member)) {
          selected.push(point.member);
        }
      }
      return selected;
    },
  };
}
