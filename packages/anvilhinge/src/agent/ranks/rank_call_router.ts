/**
 * Routes calls to the ranks of a group: through the agent beside the rank, or
 * directly to the engine of a rank whose agent is silent. A held forward pass
 * stops the whole group, so ending a hold must not depend on every agent.
 */
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as orderRelay from "../../adapters/order_relay.ts";
import type * as mapCalls from "./map_calls.ts";
import * as rankRpc from "./rank_rpc.ts";
import type * as rankPeers from "./rank_peers.ts";

/** Route of a call to a rank. */
export type CallRoute =
  | "agent"
  /** Through the agent, and directly to the engine if the agent is silent. */
  | "either"
  /** To the engine, from an entry's machine or that of the rank `sender`. */
  | "sender";

export interface CallOptions {
  /**
   * Timeout of a call through an agent, in milliseconds. A call to the leader's
   * own rank ends by the engine's timeouts instead.
   */
  readonly timeoutMs: number;
  readonly route: CallRoute;
  /** Rank from whose machine an order is sent, for the route `sender`. */
  readonly sender?: number;
  /** Map in use, which shortens calls that contain a map. */
  readonly baseMap?: mapCalls.BaseMap;
}

/**
 * Calls a rank; resolves to undefined when the call times out or the agent of
 * the rank has not been seen (for the route `agent`: not recently).
 */
export type CallRank = (
  rank: number,
  call: rankRpc.RankCall,
  options: CallOptions,
) => Promise<rankRpc.RankAnswer | undefined>;

export interface RankCallRouterOptions {
  readonly calls: rankRpc.RankRpc;
  readonly peers: rankPeers.RankPeers;
  readonly scheduler: scheduler.Scheduler;
  /** Opens the engine beside another agent; its reads are never stale. */
  readonly openEngine: (address: string) => rankEngine.RankEngine;
  readonly relays: orderRelay.RelayClient;
  /** Returns the address of an entry that answers. */
  readonly findEntry: () => string | undefined;
}

/**
 * Time in which an agent answers an urgent call unless its process is stalled:
 * several retransmissions and the engine's answer.
 */
const agentAnswerTimeoutMs = 120;

/** Creates the function with which a leader calls the ranks of its group. */
export function createRankCallRouter(
  { calls, peers, scheduler, openEngine, ...options }: RankCallRouterOptions,
): CallRank {
  const engines = new Map<string, rankEngine.RankEngine>();

  function getEngine(address: string): rankEngine.RankEngine {
    const cached = engines.get(address);
    const engine = cached ?? openEngine(address);
    engines.set(address, engine);
    return engine;
  }

  function sendToEngine(
    { status }: rankPeers.RankPeer,
    call: rankRpc.RankCall,
  ): Promise<rankRpc.RankAnswer> {
    const engine = getEngine(status.engine);
    return rankRpc.executeCall(call, { engine, scheduler });
  }

  function sendToAgentOrEngine(
    peer: rankPeers.RankPeer,
    call: rankRpc.RankCall,
    sendOptions: rankRpc.SendOptions,
  ): Promise<rankRpc.RankAnswer | undefined> {
    const { timeoutMs } = sendOptions;
    return new Promise((resolve) => {
      const abort = new AbortController();
      const { signal } = abort;
      function finish(answer: rankRpc.RankAnswer | undefined): void {
        abort.abort();
        resolve(answer);
      }
      function sendDirectly(): void {
        // The agent may execute the order too: repeated orders are harmless.
        void sendToEngine(peer, call).then(finish);
      }
      void calls.call(peer.address, call, sendOptions).then((answer) => {
        if (answer !== undefined) finish(answer);
      });
      const delayMs = peers.isLive(peer) ? agentAnswerTimeoutMs : 0;
      scheduler.schedule(sendDirectly, { delayMs, signal });
      scheduler.schedule(() => finish(undefined), {
        delayMs: timeoutMs,
        signal,
      });
    });
  }

  /**
   * Sends an order from the machine of another process; undefined as soon as
   * that process does not answer.
   */
  function sendFromElsewhere(
    peer: rankPeers.RankPeer,
    call: rankRpc.OrderCall,
    senderAddress: string,
  ): Promise<Extract<rankRpc.RankAnswer, { kind: "order" }> | undefined> {
    return new Promise((resolve) => {
      const engine = {
        async readReport() {
          const read = { kind: "report", isDecisive: true } as const;
          const answer = await calls.call(peer.address, read, {
            timeoutMs: agentAnswerTimeoutMs,
          });
          return answer?.kind === "report" ? answer.report : undefined;
        },
        async sendOrder() {
          const { order, epoch } = call;
          const { engine } = peer.status;
          const relayed = { engine, order, epoch };
          const reply = await options.relays.send(senderAddress, relayed);
          if (reply === undefined) resolve(undefined);
          return reply ?? "unknown";
        },
      };
      void rankRpc.executeOrder(call, { engine, scheduler }).then(resolve);
    });
  }

  /** Sends an order from an entry's machine if possible. */
  async function sendFromSender(
    peer: rankPeers.RankPeer,
    call: rankRpc.OrderCall,
    sender: number,
  ): Promise<rankRpc.RankAnswer | undefined> {
    const entry = options.findEntry();
    if (entry !== undefined) {
      const answer = await sendFromElsewhere(peer, call, entry);
      return answer && { ...answer, isSentElsewhere: true };
    }
    if (sender === peers.getOwn()?.rank) return await sendToEngine(peer, call);
    const senderPeer = peers.findLastSeen(sender);
    return senderPeer &&
      await sendFromElsewhere(peer, call, senderPeer.address);
  }

  async function sendCall(
    ...[rank, call, { timeoutMs, route, sender, baseMap }]: Parameters<CallRank>
  ): ReturnType<CallRank> {
    if (rank === peers.getOwn()?.rank) return await calls.execute(call);
    const peer = peers.findLastSeen(rank);
    if (peer === undefined) return undefined;
    switch (route) {
      case "agent":
        return peers.isRecent(peer)
          ? await calls.call(peer.address, call, { timeoutMs, baseMap })
          : undefined;
      case "either":
        return await sendToAgentOrEngine(peer, call, { timeoutMs, baseMap });
      case "sender":
        return call.kind === "order" && sender !== undefined
          ? await sendFromSender(peer, call, sender)
          : undefined;
    }
  }

  return sendCall;
}
