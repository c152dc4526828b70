/** Client for gossip requests to other entries, with connect-es. */
import type * as gossipMessage from "@anvilhinge/coordination/gossip_message";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as gossipCodec from "../../adapters/gossip_codec.ts";
import * as gossipPb from "../../gen/anvilhinge/v1/gossip_pb.ts";

export interface GossipClient {
  /** Resolves to undefined if no valid reply arrived before the timeout. */
  exchange(
    address: string,
    request: gossipMessage.GossipRequest,
  ): Promise<gossipMessage.GossipReply | undefined>;
  /** Removes a peer and closes its connection. */
  drop(address: string): void;
}

export interface GossipClientOptions {
  readonly half: string;
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Closes all connections. */
  readonly signal: AbortSignal;
}

interface Connection {
  readonly client: connect.Client<typeof gossipPb.GossipService>;
  readonly manager: connectNode.Http2SessionManager;
}

/** Each message goes to another peer, so few idle connections are reused. */
const idleConnectionTimeoutMs = 10_000;

/** Creates a client that connects to a peer at the first request. */
export function createGossipClient(options: GossipClientOptions): GossipClient {
  const connections = new Map<string, Connection>();

  function getConnection(address: string): Connection {
    const existing = connections.get(address);
    if (existing !== undefined) return existing;
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
        // The gossip member handles errors and timeouts alike.
        return undefined;
      }
    },
  };
}
