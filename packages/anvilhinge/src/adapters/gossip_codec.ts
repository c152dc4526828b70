/** Converts gossip messages between wire and state machine formats. */
import type * as gossipMessage from "@anvilhinge/coordination/gossip_message";
import type * as membership from "@anvilhinge/coordination/membership";
import type * as settingsReplica from "@anvilhinge/coordination/settings_replica";
import * as protobuf from "@bufbuild/protobuf";
import * as gossipPb from "../gen/anvilhinge/v1/gossip_pb.ts";

const stateToWire: Readonly<
  Record<membership.MemberState, gossipPb.MemberState>
> = {
  live: gossipPb.MemberState.LIVE,
  suspect: gossipPb.MemberState.SUSPECT,
  leaving: gossipPb.MemberState.LEAVING,
  removed: gossipPb.MemberState.REMOVED,
};

function decodeState(
  wire: gossipPb.MemberState,
): membership.MemberState | undefined {
  switch (wire) {
    case gossipPb.MemberState.LIVE:
      return "live";
    case gossipPb.MemberState.SUSPECT:
      return "suspect";
    case gossipPb.MemberState.LEAVING:
      return "leaving";
    case gossipPb.MemberState.REMOVED:
      return "removed";
    case gossipPb.MemberState.UNSPECIFIED:
      return undefined;
  }
}

function encodeMember(
  record: membership.MemberRecord,
): gossipPb.MemberRecord {
  return protobuf.create(gossipPb.MemberRecordSchema, {
    id: record.id,
    address: record.address,
    controlAddress: record.controlAddress,
    failureDomain: record.failureDomain,
    weight: record.weight,
    incarnation: BigInt(record.incarnation),
    state: stateToWire[record.state],
  });
}

function decodeMember(
  wire: gossipPb.MemberRecord | undefined,
): membership.MemberRecord | undefined {
  const state = wire === undefined ? undefined : decodeState(wire.state);
  if (wire === undefined || state === undefined || wire.id === "") {
    return undefined;
  }
  const { id, address, controlAddress, failureDomain, weight } = wire;
  const incarnation = Number(wire.incarnation);
  return {
    id,
    address,
    controlAddress,
    failureDomain,
    weight,
    incarnation,
    state,
  };
}

/** Decodes member records; omits records with an unknown state. */
function decodeMembers(
  wire: readonly gossipPb.MemberRecord[],
): readonly membership.MemberRecord[] {
  return wire.flatMap((record) => decodeMember(record) ?? []);
}

function encodeObject(
  object: settingsReplica.ReplicatedObject,
): gossipPb.ReplicatedObject {
  return protobuf.create(gossipPb.ReplicatedObjectSchema, {
    key: object.key,
    version: BigInt(object.version),
    value: object.kind === "present" ? object.value : undefined,
  });
}

function decodeObject(
  { key, value, version: wireVersion }: gossipPb.ReplicatedObject,
): settingsReplica.ReplicatedObject {
  const version = Number(wireVersion);
  return value === undefined
    ? { kind: "removed", key, version }
    : { kind: "present", key, version, value };
}

function encodeDigest(
  digest: settingsReplica.Digest,
): gossipPb.ReplicaDigest {
  return protobuf.create(gossipPb.ReplicaDigestSchema, {
    ranges: [...digest.ranges],
    floorVersion: BigInt(digest.floorVersion),
  });
}

function encodeSummaries(
  summaries: settingsReplica.RangeSummaries,
): gossipPb.RangeSummaries {
  return protobuf.create(gossipPb.RangeSummariesSchema, {
    ranges: [...summaries.ranges],
    objects: summaries.objects.map(({ key, version }) =>
      protobuf.create(gossipPb.ObjectSummarySchema, {
        key,
        version: BigInt(version),
      })
    ),
  });
}

/** Encodes a request from an entry of `half`. */
export function encodeRequest(
  request: gossipMessage.GossipRequest,
  half: string,
): gossipPb.ExchangeRequest {
  return protobuf.create(gossipPb.ExchangeRequestSchema, {
    half,
    from: encodeMember(request.from),
    members: request.members.map(encodeMember),
    membersHash: request.membersHash,
    objects: request.objects.map(encodeObject),
    digest: request.digest && encodeDigest(request.digest),
    wanted: [...request.wanted],
  });
}

/** Decodes a request; undefined if its sender is missing. */
export function decodeRequest(
  wire: gossipPb.ExchangeRequest,
): gossipMessage.GossipRequest | undefined {
  const from = decodeMember(wire.from);
  if (from === undefined) return undefined;
  return {
    from,
    members: decodeMembers(wire.members),
    membersHash: wire.membersHash,
    objects: wire.objects.map(decodeObject),
    digest: wire.digest && {
      ranges: wire.digest.ranges,
      floorVersion: Number(wire.digest.floorVersion),
    },
    wanted: wire.wanted,
  };
}

/** Encodes a reply. */
export function encodeReply(
  reply: gossipMessage.GossipReply,
): gossipPb.ExchangeReply {
  return protobuf.create(gossipPb.ExchangeReplySchema, {
    from: encodeMember(reply.from),
    ready: reply.isReady,
    members: reply.members.map(encodeMember),
    objects: reply.objects.map(encodeObject),
    summaries: reply.summaries && encodeSummaries(reply.summaries),
    equal: reply.isEqual,
    floorVersion: BigInt(reply.floorVersion),
  });
}

/** Decodes a reply; undefined if its sender is missing. */
export function decodeReply(
  wire: gossipPb.ExchangeReply,
): gossipMessage.GossipReply | undefined {
  const from = decodeMember(wire.from);
  if (from === undefined) return undefined;
  return {
    from,
    isReady: wire.ready,
    members: decodeMembers(wire.members),
    objects: wire.objects.map(decodeObject),
    summaries: wire.summaries && {
      ranges: wire.summaries.ranges,
      objects: wire.summaries.objects.map(({ key, version }) => ({
        key,
        version: Number(version),
      })),
    },
    isEqual: wire.equal,
    floorVersion: Number(wire.floorVersion),
  };
}
