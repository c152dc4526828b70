/** Estimates what a message takes on the wire as protobuf over HTTP/2. */
import type * as gossipMessage from "../src/gossip_message.ts";
import type * as membership from "../src/membership.ts";
import type * as settingsReplica from "../src/settings_replica.ts";

/** Headers of HTTP/2, TCP and IP of one message, acknowledgements included. */
const overheadBytes = 200;
const recordFieldsBytes = 32;
const objectFieldsBytes = 16;
const rangeBytes = 4;

function sumSizes<T>(
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
  return overheadBytes + digestBytes + measureRecord(request.from) +
    sumSizes(request.members, measureRecord) +
    sumSizes(request.objects, measureObject) +
    sumSizes(request.wanted, (key) => key.length + 2);
}

/** Estimates the size of a reply in bytes. */
export function measureReply(reply: gossipMessage.GossipReply): number {
  return overheadBytes + measureRecord(reply.from) +
    sumSizes(reply.members, measureRecord) +
    sumSizes(reply.objects, measureObject) +
    sumSizes(
      reply.summaries?.objects ?? [],
      ({ key }) => key.length + objectFieldsBytes,
    ) + (reply.summaries?.ranges.length ?? 0) * 2;
}
