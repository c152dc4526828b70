/**
 * The one message that members of a cluster exchange: a request and its reply.
 * It carries membership and settings together, both bounded in size.
 */
import type * as membership from "./membership.ts";
import type * as settingsReplica from "./settings_replica.ts";

export interface GossipRequest {
  /** The sender's own record. */
  readonly from: membership.MemberRecord;
  readonly members: readonly membership.MemberRecord[];
  /** Hash of the sender's membership; undefined = don't compare. */
  readonly membersHash?: number;
  /** Objects that the receiver may not have yet. */
  readonly objects: readonly settingsReplica.ReplicatedObject[];
  /** Digest of the sender's replica; undefined = don't compare. */
  readonly digest?: settingsReplica.Digest;
  /** Keys whose objects the reply should carry. */
  readonly wanted: readonly string[];
}

export interface GossipReply {
  readonly from: membership.MemberRecord;
  /** Whether the sender has confirmed its own view. */
  readonly isReady: boolean;
  readonly members: readonly membership.MemberRecord[];
  readonly objects: readonly settingsReplica.ReplicatedObject[];
  /** Ranges that differ; undefined = they agree or weren't compared. */
  readonly summaries?: settingsReplica.RangeSummaries;
  /** Whether the replicas had the same content; false if not compared. */
  readonly isEqual: boolean;
  readonly floorVersion: number;
}

/** Bounds of one message. */
export interface MessageLimits {
  readonly members: number;
  /** Bytes of keys and values; one object may pass it. */
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

/** Takes objects from the front until the limit; at least one. */
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
