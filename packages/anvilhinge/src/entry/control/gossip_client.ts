/** Calls other entries with connect-es. */
import type * as gossipMessage from "@anvilhinge/coordination/gossip_message";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as gossipCodec from "../../adapters/gossip_codec.ts";
import * as gossipPb from "../../gen/anvilhinge/v1/gossip_pb.ts";

export interface GossipClient {
  /** Resolves to undefined when no usable reply arrived in time. */
  exchange(
    address: string,
    request: gossipMessage.GossipRequest,
  ): Promise<gossipMessage.GossipReply | undefined>;
  /** Forgets a peer and closes its connection. */
  drop(address: string): void;
}

export interface GossipClientOptions {
  readonly half: string;
  /** Longest wait for a reply, in milliseconds. */
  readonly timeoutMs: number;
  /** Closes all connections. */
  readonly signal: AbortSignal;
}

interface Connection {
  readonly client: connect.Client<typeof gossipPb.GossipService>;
  readonly manager: connectNode.Http2SessionManager;
}

/** Peers change with every message, so few connections are worth keeping. */
const idleConnectionTimeoutMs = 10_000;

/** Creates a client that connects to a peer when it is first needed. */
export function createGossipClient(options: GossipClientOptions): GossipClient {
  const connections = new Map<string, Connection>();

  function getConnection(address: string): Connection {
    const known = connections.get(address);
    if (known !== undefined) return known;
    const baseUrl = `http://${address}`;
    const manager = new connectNode.Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs,
    });
    const transport = connectNode.createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager: manager,
    });
    const client = connect.createClient(gossipPb.GossipService, transport);
    const connection = { client, manager };
    connections.set(address, connection);
    return connection;
  }

  function drop(address: string): void {
    connections.get(address)?.manager.abort();
    connections.delete(address);
  }

  options.signal.addEventListener("abort", () => {
    for (const address of [...connections.keys()]) drop(address);
  }, { once: true });

  return {
    drop,
    async exchange(address, request) {
      if (options.signal.aborted) return undefined;
      const wire = gossipCodec.encodeRequest(request, options.half);
      const { timeoutMs } = options;
      try {
        const { client } = getConnection(address);
        return gossipCodec.decodeReply(
          await client.exchange(wire, { timeoutMs }),
        );
      } catch {
        // A peer that fails and one that is silent are the same to the caller.
        return undefined;
      }
    },
  };
}
