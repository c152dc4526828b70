/**
 * The upstreams that serve one need, in the order in which this node prefers
 * them. The node uses the first `size` of them; the subset grows while they
 * carry too much load or too few of them are available, and shrinks again.
 */
import * as prefixAffinity from "./prefix_affinity.ts";
import type * as random from "./random.ts";

export interface PoolOptions {
  readonly random: random.RandomSource;
  /** Members that are used at low load. */
  readonly minSize: number;
  /** Mean load of a member above which the subset grows. */
  readonly growThreshold: number;
  /** Pool that this one replaces; its size and mean load are kept. */
  readonly previous?: Pool<unknown>;
}

/** Says whether a member may be used now. */
export type IsUsable<T> = (member: T) => boolean;

export interface Pool<T> {
  readonly members: readonly T[];
  /** Ring over the members that are used at low load. */
  readonly ring: prefixAffinity.HashRing<T>;
  /** Members in use: the first `size` ones. */
  readonly size: number;
  /** Moving mean of the sampled loads. */
  readonly meanLoad: number;
  /** Picks a usable member at random; beyond the subset only when none is. */
  pick(isUsable: IsUsable<T>): T | undefined;
  /** Records the load of a sampled member. */
  recordSample(load: number): void;
  /** Grows or shrinks the subset, at most once an interval. */
  resize(nowMs: number, isUsable: IsUsable<T>): void;
}

const resizeIntervalMs = 1_000;
const sampleWeight = 0.02;
/** The subset shrinks below this share of the load at which it grows. */
const narrowShare = 0.25;
const sampleTries = 8;

/** Creates a pool over ordered members; at least one. */
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

  function findFrom(
    from: number,
    count: number,
    isUsable: IsUsable<T>,
  ): T | undefined {
    const start = Math.floor(options.random() * count);
    for (let step = 0; step < count; step += 1) {
      const member = members[from + (start + step) % count] as T;
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
      for (let attempt = 0; attempt < sampleTries; attempt += 1) {
        const index = Math.floor(options.random() * size);
        const member = members[index] as T;
        if (isUsable(member)) return member;
      }
      return findFrom(0, size, isUsable) ??
        findFrom(size, members.length - size, isUsable);
    },
    recordSample(load) {
      meanLoad += sampleWeight * (load - meanLoad);
    },
    resize(nowMs, isUsable) {
      if (nowMs - resizedAtMs < resizeIntervalMs) return;
      resizedAtMs = nowMs;
      const isLoaded = meanLoad > options.growThreshold;
      const isThinned = countUsable(isUsable) * 2 < minSize;
      if (isLoaded || isThinned) {
        size = Math.min(members.length, size * 2);
      } else if (meanLoad < options.growThreshold * narrowShare) {
        const halved = Math.max(minSize, Math.ceil(size / 2));
        if (countUsable(isUsable) >= minSize) size = halved;
      }
    },
  };
}
