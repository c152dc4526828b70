/**
 * The request and reply that members of a gossip cluster exchange. They carry
 * membership records and settings, both limited in size.
 */
import type * as membership from "./membership.ts";
import type * as settingsReplica from "./settings_replica.ts";

export interface GossipRequest {
  /** The sender's own record. */
  readonly from: membership.MemberRecord;
  readonly members: readonly membership.MemberRecord[];
  /** Hash of the sender's member records; undefined = do not compare. */
  readonly membersHash?: number;
  /** Objects that the receiver may lack. */
  readonly objects: readonly settingsReplica.ReplicatedObject[];
  /** Digest of the sender's replica; undefined = do not compare. */
  readonly digest?: settingsReplica.Digest;
  /** Keys of the objects that the reply should carry. */
  readonly wanted: readonly string[];
}

export interface GossipReply {
  readonly from: membership.MemberRecord;
  /** Whether the sender has confirmed its own replica. */
  readonly isReady: boolean;
  readonly members: readonly membership.MemberRecord[];
  readonly objects: readonly settingsReplica.ReplicatedObject[];
  /** Ranges that differ; undefined if none do or the request had no digest. */
  readonly summaries?: settingsReplica.RangeSummaries;
  /** Whether the replicas are equal; false if the request had no digest. */
  readonly isEqual: boolean;
  /** Tombstones of the sender up to this version may have been dropped. */
  readonly floorVersion: number;
}

/** Limits of one message. */
export interface MessageLimits {
  readonly members: number;
  /** Bytes of keys and values; a single object may exceed the limit. */
  readonly objectBytes: number;
  readonly summaries: number;
  readonly wanted: number;
}

export const defaultLimits: MessageLimits = {
  members: 16,
  objectBytes: 256 * 1024,
  summaries: 1_000,
  wanted: 1_000,
};

/** Returns the leading objects up to the limit, but at least one. */
export function limitObjects(
  objects: readonly settingsReplica.ReplicatedObject[],
  limitBytes: number,
): readonly settingsReplica.ReplicatedObject[] {
  let bytes = 0;
  const count = objects.findIndex((object, index) => {
    const valueBytes = object.kind === "present" ? object.value.length : 0;
    bytes += object.key.length + valueBytes;
    return index > 0 && bytes > limitBytes;
  });
  return count === -1 ? objects : objects.slice(0, count);
}
