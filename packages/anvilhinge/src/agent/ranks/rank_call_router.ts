/**
 * Reaches the ranks of a group: through the agent beside each, or straight at
 * the engine of a rank whose agent is silent. A pass that is held stops the
 * whole group, so that its end must not depend on each agent.
 */
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import * as rankRpc from "./rank_rpc.ts";
import type * as rankPeers from "./rank_peers.ts";

/** The way to a rank. */
export type CallRoute =
  | "agent"
  /** Its agent, and straight to the engine when that is silent. */
  | "either"
  | "engine";

export interface CallOptions {
  readonly timeoutMs: number;
  readonly way: CallRoute;
}

/** Calls a rank; resolves to undefined when it did not answer in time. */
export type CallRank = (
  rank: number,
  call: rankRpc.RankCall,
  options: CallOptions,
) => Promise<rankRpc.RankAnswer | undefined>;

export interface RankCallRouterOptions {
  readonly calls: rankRpc.RankRpc;
  readonly peers: rankPeers.RankPeers;
  readonly scheduler: scheduler.Scheduler;
  /** Opens the engine of another agent; its reads are never outdated. */
  readonly openEngine: (address: string) => rankEngine.RankEngine;
}

/**
 * Time in which an agent answers an urgent call unless its process stands
 * still: several sendings and the engine's answer.
 */
const agentAnswerMs = 120;

/** Creates the calls of a leader to its ranks. */
export function createRankCallRouter(
  { calls, peers, scheduler, openEngine }: RankCallRouterOptions,
): CallRank {
  const engines = new Map<string, rankEngine.RankEngine>();

  function getEngine(address: string): rankEngine.RankEngine {
    const known = engines.get(address);
    const engine = known ?? openEngine(address);
    engines.set(address, engine);
    return engine;
  }

  function askEngine(
    { status }: rankPeers.RankPeer,
    call: rankRpc.RankCall,
  ): Promise<rankRpc.RankAnswer> {
    const engine = getEngine(status.engine);
    return rankRpc.executeCall(call, { engine, scheduler });
  }

  function askEither(
    peer: rankPeers.RankPeer,
    call: rankRpc.RankCall,
    timeoutMs: number,
  ): Promise<rankRpc.RankAnswer | undefined> {
    return new Promise((resolve) => {
      const answered = new AbortController();
      const { signal } = answered;
      function finish(answer: rankRpc.RankAnswer | undefined): void {
        answered.abort();
        resolve(answer);
      }
      function askDirectly(): void {
        // Both may carry an order out: repetitions are harmless.
        void askEngine(peer, call).then(finish);
      }
      void calls.call(peer.address, call, { timeoutMs }).then((answer) => {
        if (answer !== undefined) finish(answer);
      });
      const delayMs = peers.isLive(peer) ? agentAnswerMs : 0;
      scheduler.schedule(askDirectly, { delayMs, signal });
      scheduler.schedule(() => finish(undefined), {
        delayMs: timeoutMs,
        signal,
      });
    });
  }

  return async (rank, call, { timeoutMs, way }) => {
    if (rank === peers.getOwn()?.rank) return await calls.execute(call);
    const peer = peers.findLastSeen(rank);
    if (peer === undefined) return undefined;
    switch (way) {
      case "agent":
        return peers.isRecent(peer)
          ? await calls.call(peer.address, call, { timeoutMs })
          : undefined;
      case "either":
        return await askEither(peer, call, timeoutMs);
      case "engine":
        return await askEngine(peer, call);
    }
  };
}
