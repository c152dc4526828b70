import type * as gossipMessage from "@anvilhinge/coordination/gossip_message";
import type * as membership from "@anvilhinge/coordination/membership";
import * as protobuf from "@bufbuild/protobuf";
import * as gossipPb from "../gen/anvilhinge/v1/gossip_pb.ts";
import * as gossipCodec from "./gossip_codec.ts";

const from: membership.MemberRecord = {
  id: "entry-1",
  address: "10.0.0.1:1",
  controlAddress: "10.0.0.1:2",
  failureDomain: "milan_a",
  weight: 0.5,
  incarnation: 1_700_000_000_000,
  state: "live",
};
const members = (["live", "suspect", "leaving", "removed"] as const)
  .map((state) => ({ ...from, id: state, state }));
const objects = [
  { kind: "present", key: "a", version: 2 ** 40, value: "" },
  { kind: "removed", key: "b", version: 3 },
] as const;

test("a request is unchanged after encoding and decoding", () => {
  const request: gossipMessage.GossipRequest = {
    from,
    members,
    membersHash: 0,
    objects,
    digest: { ranges: [1, 2 ** 32 - 1], floorVersion: 7 },
    wanted: ["c"],
  };
  const wire = gossipCodec.encodeRequest(request, "association");
  const schema = gossipPb.ExchangeRequestSchema;
  const received = protobuf.fromBinary(schema, protobuf.toBinary(schema, wire));
  expect(gossipCodec.decodeRequest(received)).toEqual(request);
});

test("a reply is unchanged after encoding and decoding", () => {
  const reply: gossipMessage.GossipReply = {
    from,
    isReady: true,
    members,
    objects,
    summaries: { ranges: [5], objects: [{ key: "a", version: 9 }] },
    isEqual: false,
    floorVersion: 4,
  };
  const schema = gossipPb.ExchangeReplySchema;
  const wire = protobuf.toBinary(schema, gossipCodec.encodeReply(reply));
  expect(gossipCodec.decodeReply(protobuf.fromBinary(schema, wire)))
    .toEqual(reply);
});

test("omits a member record with an unknown state", () => {
  const wire = gossipCodec.encodeRequest(
    { from, members, objects: [], wanted: [] },
    "association",
  );
  wire.members[0]!.state = 99 as gossipPb.MemberState;
  expect(gossipCodec.decodeRequest(wire)?.members).toHaveLength(3);
});
