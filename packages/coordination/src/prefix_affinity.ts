/**
 * Which upstreams are likely to hold the start of a prompt in their cache. All
 * knowledge is a hint: cache events come late and with gaps, so an upstream may
 * have dropped what it is believed to hold, and the other way round.
 */
import murmurhash from "murmurhash";

export interface PrefixKeyOptions {
  /** Prompts of different scopes never share keys. */
  readonly scope: string;
  /**
   * Characters in a block.
   * @default 256
   */
  readonly blockLength?: number;
  /**
   * Most blocks that are hashed.
   * @default 16
   */
  readonly maxBlocks?: number;
}

const defaultBlockLength = 256;
const defaultMaxBlocks = 16;
const defaultPointsPerMember = 8;
const defaultMaxHints = 20_000;

/**
 * Computes one key for each whole block of the prompt; each key stands for all
 * blocks up to its own. A prompt shorter than a block has no key.
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

/** Upstreams that are believed to hold prefixes. */
export interface PrefixHints {
  /** Returns the upstream believed to hold the longest part of the prefix. */
  find(keys: readonly number[]): string | undefined;
  /** Records that an upstream served the prefix or stored these blocks. */
  recordStored(upstreamId: string, keys: readonly number[]): void;
  /** Records that an upstream dropped these blocks. */
  recordEvicted(upstreamId: string, keys: readonly number[]): void;
  count(): number;
}

export interface PrefixHintsOptions {
  /**
   * Most keys that are kept; the longest unused go first.
   * @default 20000
   */
  readonly maxHints?: number;
}

/** Creates an empty table of hints. */
export function createPrefixHints(
  options: PrefixHintsOptions = {},
): PrefixHints {
  const maxHints = options.maxHints ?? defaultMaxHints;
  /** Ordered by last use, the longest unused first. */
  const holders = new Map<number, string>();

  return {
    find(keys) {
      for (let index = keys.length - 1; index >= 0; index -= 1) {
        const holder = holders.get(keys[index] as number);
        if (holder !== undefined) return holder;
      }
      return undefined;
    },
    recordStored(upstreamId, keys) {
      for (const key of keys) {
        holders.delete(key);
        holders.set(key, upstreamId);
      }
      for (const key of holders.keys()) {
        if (holders.size <= maxHints) break;
        holders.delete(key);
      }
    },
    recordEvicted(upstreamId, keys) {
      for (const key of keys) {
        if (holders.get(key) === upstreamId) holders.delete(key);
      }
    },
    count: () => holders.size,
  };
}

/** Maps keys to members so that few keys move when members change. */
export interface HashRing<T> {
  /** Returns up to `count` distinct members for a key, the best first. */
  find(key: number, count: number): readonly T[];
}

/** Creates a ring; costs a sort once, then a binary search for each key. */
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
      const found: T[] = [];
      const start = findFirst(key);
      for (let step = 0; step < points.length; step += 1) {
        if (found.length >= count) break;
        const point = points[(start + step) % points.length];
        if (point !== undefined && !found.includes(point.member)) {
          found.push(point.member);
        }
      }
      return found;
    },
  };
}
