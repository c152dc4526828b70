/** Estimates the size of gossip messages on the wire as protobuf over HTTP/2. */
import type * as gossipMessage from "../src/gossip_message.ts";
import type * as membership from "../src/membership.ts";
import type * as settingsReplica from "../src/settings_replica.ts";

/** HTTP/2, TCP and IP headers of one message, including acknowledgements. */
const messageOverheadBytes = 200;
/** Fixed-size fields and field tags of a member record. */
const recordFieldsBytes = 32;
/** Fixed-size fields and field tags of an object or of its summary. */
const objectFieldsBytes = 16;
const rangeBytes = 4;

function sumBytes<T>(
  items: readonly T[],
  measure: (item: T) => number,
): number {
  return items.reduce((sum, item) => sum + measure(item), 0);
}

function measureRecord(record: membership.MemberRecord): number {
  return record.id.length + record.address.length +
    record.controlAddress.length + record.failureDomain.length +
    recordFieldsBytes;
}

function measureObject(object: settingsReplica.ReplicatedObject): number {
  const valueBytes = object.kind === "present" ? object.value.length : 0;
  return object.key.length + valueBytes + objectFieldsBytes;
}

/** Estimates the size of a request in bytes. */
export function measureRequest(request: gossipMessage.GossipRequest): number {
  const digestBytes = (request.digest?.ranges.length ?? 0) * rangeBytes;
  return messageOverheadBytes + digestBytes + measureRecord(request.from) +
    sumBytes(request.members, measureRecord) +
    sumBytes(request.objects, measureObject) +
    sumBytes(request.wanted, (key) => key.length + 2);
}

/** Estimates the size of a reply in bytes. */
export function measureReply(reply: gossipMessage.GossipReply): number {
  return messageOverheadBytes + measureRecord(reply.from) +
    sumBytes(reply.members, measureRecord) +
    sumBytes(reply.objects, measureObject) +
    sumBytes(
      reply.summaries?.objects ?? [],
      ({ key }) => key.length + objectFieldsBytes,
    ) + (reply.summaries?.ranges.length ?? 0) * 2;
}
