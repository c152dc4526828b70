/**
 * Pool of the upstreams that serve one model or service, in the order of this
 * node's preference. The node uses a subset, the first `size` members. The
 * subset grows while its mean load is too high or too few of its members are
 * available, and shrinks at low load.
 */
import * as prefixAffinity from "./prefix_affinity.ts";
import type * as random from "./random.ts";

export interface PoolOptions {
  readonly random: random.RandomSource;
  /** Number of members that are used at low load. */
  readonly minSize: number;
  /** Mean load per member above which the subset grows. */
  readonly growThreshold: number;
  /** Pool to replace; its size and mean load are retained. */
  readonly previous?: Pool<unknown>;
}

/** Returns whether a member may currently be used. */
export type IsUsable<T> = (member: T) => boolean;

export interface Pool<T> {
  readonly members: readonly T[];
  /** Hash ring of the members that are used at low load. */
  readonly ring: prefixAffinity.HashRing<T>;
  /** Size of the subset, which consists of the first `size` members. */
  readonly size: number;
  /** Moving average of the sampled loads. */
  readonly meanLoad: number;
  /** Picks a random usable member; outside the subset only as a fallback. */
  pick(isUsable: IsUsable<T>): T | undefined;
  /** Records the load of a sampled member. */
  recordSample(load: number): void;
  /** Grows or shrinks the subset, at most once per interval. */
  resize(nowMs: number, isUsable: IsUsable<T>): void;
}

const resizeIntervalMs = 1_000;
/** Weight of a new sample in the mean load. */
const sampleWeight = 0.02;
/** The subset shrinks below this fraction of the growth threshold. */
const shrinkFactor = 0.25;
/** Maximum number of random picks before the members are scanned. */
const maxSamples = 8;

/** Creates a pool of ordered members; there must be at least one member. */
export function createPool<T extends { readonly id: string }>(
  members: readonly T[],
  options: PoolOptions,
): Pool<T> {
  const minSize = Math.min(options.minSize, members.length);
  const ring = prefixAffinity.createHashRing(members.slice(0, minSize));
  const previousSize = options.previous?.size ?? 0;
  let size = Math.max(minSize, Math.min(previousSize, members.length));
  let meanLoad = options.previous?.meanLoad ?? 0;
  let resizedAtMs = -Infinity;

  function findUsable(
    firstIndex: number,
    count: number,
    isUsable: IsUsable<T>,
  ): T | undefined {
    const start = Math.floor(options.random() * count);
    for (let offset = 0; offset < count; offset += 1) {
      const member = members[firstIndex + (start + offset) % count] as T;
      if (isUsable(member)) return member;
    }
    return undefined;
  }

  function countUsable(isUsable: IsUsable<T>): number {
    let count = 0;
    for (let index = 0; index < size; index += 1) {
      if (isUsable(members[index] as T)) count += 1;
    }
    return count;
  }

  return {
    members,
    ring,
    get size() {
      return size;
    },
    get meanLoad() {
      return meanLoad;
    },
    pick(isUsable) {
      for (let sample = 0; sample < maxSamples; sample += 1) {
        const index = Math.floor(options.random() * size);
        const member = members[index] as T;
        if (isUsable(member)) return member;
      }
      return findUsable(0, size, isUsable) ??
        findUsable(size, members.length - size, isUsable);
    },
    recordSample(load) {
      meanLoad += sampleWeight * (load - meanLoad);
    },
    resize(nowMs, isUsable) {
      if (nowMs - resizedAtMs < resizeIntervalMs) return;
      resizedAtMs = nowMs;
      const isOverloaded = meanLoad > options.growThreshold;
      const hasTooFewUsable = countUsable(isUsable) * 2 < minSize;
      if (isOverloaded || hasTooFewUsable) {
        size = Math.min(members.length, size * 2);
      } else if (meanLoad < options.growThreshold * shrinkFactor) {
        const halvedSize = Math.max(minSize, Math.ceil(size / 2));
        if (countUsable(isUsable) >= minSize) size = halvedSize;
      }
    },
  };
}
