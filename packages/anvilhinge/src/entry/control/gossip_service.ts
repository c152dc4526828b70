/** Serves gossip requests from the other entries of the half. */
import type * as gossipMessage from "@anvilhinge/coordination/gossip_message";
import * as connect from "@connectrpc/connect";
import * as gossipCodec from "../../adapters/gossip_codec.ts";
import * as gossipPb from "../../gen/anvilhinge/v1/gossip_pb.ts";

export interface GossipServiceOptions {
  readonly half: string;
  /** Returns undefined while the entry cannot handle gossip requests. */
  readonly handleRequest: (
    request: gossipMessage.GossipRequest,
  ) => gossipMessage.GossipReply | undefined;
}

/** Creates the routes of the gossip service. */
export function createGossipRoutes(
  options: GossipServiceOptions,
): (router: connect.ConnectRouter) => void {
  function replyTo(wire: gossipPb.ExchangeRequest): gossipPb.ExchangeReply {
    if (wire.half !== options.half) {
      const message = `This entry serves ${options.half}, not ${wire.half}`;
      throw new connect.ConnectError(message, connect.Code.FailedPrecondition);
    }
    const request = gossipCodec.decodeRequest(wire);
    if (request === undefined) {
      const message = "The request names no sender";
      throw new connect.ConnectError(message, connect.Code.InvalidArgument);
    }
    const reply = options.handleRequest(request);
    if (reply === undefined) {
      const message = "This entry is not started yet";
      throw new connect.ConnectError(message, connect.Code.Unavailable);
    }
    return gossipCodec.encodeReply(reply);
  }

  return (router) => {
    router.service(gossipPb.GossipService, { exchange: replyTo });
  };
}
