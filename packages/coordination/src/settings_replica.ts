/**
 * Replica of versioned objects on one node. For each key only a higher version
 * is accepted, so an object never reverts, regardless of the message order.
 * Removals are kept as tombstones. Two replicas compare digests of fixed size
 * to find the ranges of hashed keys in which they differ.
 */
import murmurhash from "murmurhash";

/** State of one key at one version. */
export type ReplicatedObject =
  | {
    readonly kind: "present";
    readonly key: string;
    readonly version: number;
    /** Opaque text. */
    readonly value: string;
  }
  /** The key was removed at this version, or at an earlier version. */
  | {
    readonly kind: "removed";
    readonly key: string;
    readonly version: number;
  };

/** Version of one key, without its value. */
export interface ObjectSummary {
  readonly key: string;
  readonly version: number;
}

/** Summary of a whole replica, of a size independent of the replica. */
export interface Digest {
  /** One hash per range of the hashed keys. */
  readonly ranges: readonly number[];
  /** Tombstones up to this version may have been dropped. */
  readonly floorVersion: number;
}

/** Keys and versions of all objects in some ranges. */
export interface RangeSummaries {
  readonly ranges: readonly number[];
  readonly objects: readonly ObjectSummary[];
}

/** Objects to exchange until two replicas agree on the summarized ranges. */
export interface ReplicaDifference {
  /** Objects that the other replica lacks or has in an older version. */
  readonly offered: readonly ReplicatedObject[];
  /** Keys that the other replica has in a newer version. */
  readonly wanted: readonly string[];
}

export interface SettingsReplicaOptions {
  /**
   * Maximum number of tombstones; those with the lowest versions are dropped.
   * @default 4096
   */
  readonly tombstoneLimit?: number;
}

export interface SettingsReplica {
  /**
   * Accepts objects with a higher version than the stored object of their key;
   * returns the accepted objects. An object with an unknown key is rejected
   * unless its version is above `floorVersion`, because the key may have been
   * removed and its tombstone dropped.
   */
  merge(objects: readonly ReplicatedObject[]): readonly ReplicatedObject[];
  /**
   * Applies the complete content of a prefix in the object store at `version`;
   * keys of this replica that the listing lacks become tombstones. Returns the
   * changed objects.
   */
  mergeList(listing: PrefixListing): readonly ReplicatedObject[];
  get(key: string): ReplicatedObject | undefined;
  /** Objects without the tombstones. */
  list(): readonly ReplicatedObject[];
  /** Number of keys, including tombstones. */
  count(): number;
  getDigest(): Digest;
  /** Returns the ranges in which the digests differ. */
  compare(digest: Digest): readonly number[];
  /** Summarizes ranges in order up to `limit` objects, at least one range. */
  summarize(ranges: readonly number[], limit: number): RangeSummaries;
  /** Computes the difference between this replica and summaries of another. */
  computeDifference(other: RangeSummaries): ReplicaDifference;
}

/** Complete content of a prefix at one version of the object store. */
export interface PrefixListing {
  readonly prefix: string;
  readonly objects: readonly ReplicatedObject[];
  readonly version: number;
}

/** Number of key ranges in a digest. */
export const rangeCount = 128;

const rangeShift = 32 - Math.log2(rangeCount);
const defaultTombstoneLimit = 4_096;

function computeRange(key: string): number {
  return murmurhash.v3(key) >>> rangeShift;
}

function hashVersion({ key, version }: ObjectSummary): number {
  return murmurhash.v3(`${key}\u0000${version}`);
}

/** Creates an empty replica. */
export function createSettingsReplica(
  options: SettingsReplicaOptions = {},
): SettingsReplica {
  const tombstoneLimit = options.tombstoneLimit ?? defaultTombstoneLimit;
  const contents = Array.from(
    { length: rangeCount },
    () => new Map<string, ReplicatedObject>(),
  );
  const hashes = new Uint32Array(rangeCount);
  const tombstones = new Map<string, number>();
  let floorVersion = 0;
  let keyCount = 0;

  function get(key: string): ReplicatedObject | undefined {
    return contents[computeRange(key)]?.get(key);
  }

  function put(object: ReplicatedObject): void {
    const range = computeRange(object.key);
    const content = contents[range]!;
    const existing = content.get(object.key);
    if (existing === undefined) keyCount += 1;
    else hashes[range]! ^= hashVersion(existing);
    hashes[range]! ^= hashVersion(object);
    content.set(object.key, object);
    tombstones.delete(object.key);
    if (object.kind === "removed") tombstones.set(object.key, object.version);
  }

  function drop(key: string): void {
    const range = computeRange(key);
    const existing = contents[range]!.get(key);
    if (existing === undefined) return;
    hashes[range]! ^= hashVersion(existing);
    contents[range]!.delete(key);
    tombstones.delete(key);
    keyCount -= 1;
  }

  /** Drops tombstones down to 3/4 of the limit, so that sorting is rare. */
  function trimTombstones(): void {
    if (tombstones.size <= tombstoneLimit) return;
    const excess = tombstones.size - Math.floor(tombstoneLimit * 0.75);
    const oldest = [...tombstones].sort((a, b) => a[1] - b[1]).slice(0, excess);
    for (const [key, version] of oldest) {
      floorVersion = Math.max(floorVersion, version);
      drop(key);
    }
  }

  function isNewer(object: ReplicatedObject, unknownKeyFloor: number): boolean {
    const existing = get(object.key);
    return object.version > (existing?.version ?? unknownKeyFloor);
  }

  function acceptNewer(
    objects: readonly ReplicatedObject[],
    unknownKeyFloor: number,
  ): readonly ReplicatedObject[] {
    const accepted: ReplicatedObject[] = [];
    for (const object of objects) {
      if (!isNewer(object, unknownKeyFloor)) continue;
      put(object);
      accepted.push(object);
    }
    trimTombstones();
    return accepted;
  }

  function listAbsent(listing: PrefixListing): readonly ReplicatedObject[] {
    const listed = new Set(listing.objects.map((object) => object.key));
    const absent: ReplicatedObject[] = [];
    for (const content of contents) {
      for (const { kind, key, version } of content.values()) {
        if (kind === "removed" || version > listing.version) continue;
        if (!key.startsWith(listing.prefix) || listed.has(key)) continue;
        absent.push({ kind: "removed", key, version: listing.version });
      }
    }
    return absent;
  }

  return {
    merge: (objects) => acceptNewer(objects, floorVersion),
    mergeList: (listing) => [
      ...acceptNewer(listing.objects, 0),
      ...acceptNewer(listAbsent(listing), 0),
    ],
    get,
    list: () =>
      contents.flatMap((content) =>
        [...content.values()].filter((object) => object.kind === "present")
      ),
    count: () => keyCount,
    getDigest: () => ({ ranges: [...hashes], floorVersion }),
    compare: (digest) =>
      [...hashes.keys()].filter((range) =>
        hashes[range] !== digest.ranges[range]
      ),
    summarize(ranges, limit) {
      const summarized: number[] = [];
      const objects: ObjectSummary[] = [];
      for (const range of ranges) {
        const content = contents[range];
        if (content === undefined) continue;
        if (summarized.length > 0 && objects.length + content.size > limit) {
          break;
        }
        summarized.push(range);
        for (const { key, version } of content.values()) {
          objects.push({ key, version });
        }
      }
      return { ranges: summarized, objects };
    },
    computeDifference(other) {
      const versions = new Map(
        other.objects.map(({ key, version }) => [key, version]),
      );
      const ownObjects = other.ranges.flatMap((range) => [
        ...contents[range]?.values() ?? [],
      ]);
      const offered = ownObjects.filter(({ key, version }) =>
        version > (versions.get(key) ?? 0)
      );
      const wanted = other.objects
        .filter(({ key, version }) =>
          version > (get(key)?.version ?? floorVersion)
        )
        .map(({ key }) => key);
      return { offered, wanted };
    },
  };
}
