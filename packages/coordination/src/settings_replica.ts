/**
 * One node's replica of versioned objects. Per key only a higher version is
 * taken, so an object never reverts, whatever order messages arrive in.
 * Removals are kept as tombstones. A digest of fixed size tells two replicas
 * which ranges of the hashed keys differ.
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
  /** The key was removed; the version is that of its removal, or a later one. */
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

/** Summary of a whole replica; its size doesn't depend on the replica's. */
export interface Digest {
  /** One hash for each range of the hashed keys. */
  readonly ranges: readonly number[];
  /** Tombstones up to this version are forgotten. */
  readonly floorVersion: number;
}

/** The whole content of some ranges, as versions. */
export interface RangeSummaries {
  readonly ranges: readonly number[];
  readonly objects: readonly ObjectSummary[];
}

/** What two replicas have to exchange to agree on the summarized ranges. */
export interface ReplicaDifference {
  /** Objects that the other replica lacks or has an older version of. */
  readonly offered: readonly ReplicatedObject[];
  /** Keys of which the other replica has a newer version. */
  readonly wanted: readonly string[];
}

export interface SettingsReplicaOptions {
  /**
   * Tombstones kept; beyond it those with the lowest versions are forgotten.
   * @default 4096
   */
  readonly tombstoneLimit?: number;
}

export interface SettingsReplica {
  /**
   * Takes what is newer than the known version of its key; returns what was
   * taken. An unknown object not above the floor is refused, because it may
   * have been removed by a tombstone that is forgotten by now.
   */
  merge(objects: readonly ReplicatedObject[]): readonly ReplicatedObject[];
  /**
   * Takes the complete content of a prefix as the store had it at `version`;
   * known keys that are absent become tombstones. Returns what changed.
   */
  mergeList(list: PrefixListing): readonly ReplicatedObject[];
  get(key: string): ReplicatedObject | undefined;
  /** Objects that are present. */
  list(): readonly ReplicatedObject[];
  /** Number of keys, tombstones included. */
  count(): number;
  getDigest(): Digest;
  /** Returns the ranges in which the digests differ. */
  compare(digest: Digest): readonly number[];
  /** Summarizes ranges in order until `limit` objects; at least one range. */
  summarize(ranges: readonly number[], limit: number): RangeSummaries;
  /** Computes what the summaries of another replica differ in from this one. */
  computeDifference(other: RangeSummaries): ReplicaDifference;
}

/** Complete content of a prefix at one version of the store. */
export interface PrefixListing {
  readonly prefix: string;
  readonly objects: readonly ReplicatedObject[];
  readonly version: number;
}

/** Number of key ranges of a digest. */
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
  let size = 0;

  function get(key: string): ReplicatedObject | undefined {
    return contents[computeRange(key)]?.get(key);
  }

  function put(object: ReplicatedObject): void {
    const range = computeRange(object.key);
    const content = contents[range]!;
    const known = content.get(object.key);
    if (known === undefined) size += 1;
    else hashes[range]! ^= hashVersion(known);
    hashes[range]! ^= hashVersion(object);
    content.set(object.key, object);
    tombstones.delete(object.key);
    if (object.kind === "removed") tombstones.set(object.key, object.version);
  }

  function drop(key: string): void {
    const range = computeRange(key);
    const known = contents[range]!.get(key);
    if (known === undefined) return;
    hashes[range]! ^= hashVersion(known);
    contents[range]!.delete(key);
    tombstones.delete(key);
    size -= 1;
  }

  /** Forgets a quarter more than needed, so that sorting is rare. */
  function trimTombstones(): void {
    if (tombstones.size <= tombstoneLimit) return;
    const excess = tombstones.size - Math.floor(tombstoneLimit * 0.75);
    const oldest = [...tombstones].sort((a, b) => a[1] - b[1]).slice(0, excess);
    for (const [key, version] of oldest) {
      floorVersion = Math.max(floorVersion, version);
      drop(key);
    }
  }

  function isNewer(object: ReplicatedObject, minVersion: number): boolean {
    const known = get(object.key);
    return object.version > (known?.version ?? minVersion);
  }

  function take(
    objects: readonly ReplicatedObject[],
    minVersion: number,
  ): readonly ReplicatedObject[] {
    const taken: ReplicatedObject[] = [];
    for (const object of objects) {
      if (!isNewer(object, minVersion)) continue;
      put(object);
      taken.push(object);
    }
    trimTombstones();
    return taken;
  }

  function listAbsent(list: PrefixListing): readonly ReplicatedObject[] {
    const listed = new Set(list.objects.map((object) => object.key));
    const absent: ReplicatedObject[] = [];
    for (const content of contents) {
      for (const { kind, key, version } of content.values()) {
        if (kind === "removed" || version > list.version) continue;
        if (!key.startsWith(list.prefix) || listed.has(key)) continue;
        absent.push({ kind: "removed", key, version: list.version });
      }
    }
    return absent;
  }

  return {
    merge: (objects) => take(objects, floorVersion),
    mergeList: (list) => [
      ...take(list.objects, 0),
      ...take(listAbsent(list), 0),
    ],
    get,
    list: () =>
      contents.flatMap((content) =>
        [...content.values()].filter((object) => object.kind === "present")
      ),
    count: () => size,
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
      const own = other.ranges.flatMap((range) => [
        ...contents[range]?.values() ?? [],
      ]);
      const offered = own.filter(({ key, version }) =>
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
