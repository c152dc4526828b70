/**
 * Shortens calls that contain an expert map: the order to prepare a map is sent
 * as the difference to a map that the receiver has received before.
 */
import * as mapDelta from "@anvilhinge/coordination/maps/map_delta";
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import type * as rankRpc from "./rank_rpc.ts";

/** Order to prepare a map, as the difference to the map `baseVersion`. */
export interface PrepareDeltaCall {
  readonly kind: "prepare_delta";
  readonly epoch: number;
  readonly version: number;
  readonly baseVersion: number;
  readonly delta: mapDelta.MapDelta;
}

/** A call as it is sent. */
export type SentCall = rankRpc.RankCall | PrepareDeltaCall;

/** Map that a difference refers to. */
export interface BaseMap {
  readonly version: number;
  readonly layers: rankOrders.MapLayers;
}

export interface MapCalls {
  /**
   * Shortens a call that prepares a map, if this agent has received the base map
   * too; the others then have it as well, unless they have restarted.
   */
  shorten(call: rankRpc.RankCall, base: BaseMap): SentCall;
  /**
   * Restores a received call and keeps its map; undefined if the call refers to
   * a map that was not received.
   */
  restore(call: SentCall): rankRpc.RankCall | undefined;
}

/** Maps that are kept: those of the last switches and attempts. */
const maxKeptMaps = 6;

/** Creates the conversions of one agent, which has received no map. */
export function createMapCalls(): MapCalls {
  /** Received maps by epoch and version, the least recently used first. */
  const maps = new Map<string, rankOrders.MapLayers>();

  function keepMap(key: string, layers: rankOrders.MapLayers): void {
    maps.delete(key);
    maps.set(key, layers);
    if (maps.size <= maxKeptMaps) return;
    const oldest = maps.keys().next().value;
    if (oldest !== undefined) maps.delete(oldest);
  }

  function restoreDelta(call: PrepareDeltaCall): rankRpc.RankCall | undefined {
    const { epoch, version, baseVersion, delta } = call;
    const baseKey = composeKey(epoch, baseVersion);
    const base = maps.get(baseKey);
    const layers = base && mapDelta.applyDelta(base, delta);
    if (base === undefined || layers === undefined) return undefined;
    keepMap(baseKey, base);
    return {
      kind: "order",
      epoch,
      order: { kind: "prepare", version, layers },
    };
  }

  return {
    shorten(call, { version: baseVersion, layers }) {
      if (call.kind !== "order" || call.order.kind !== "prepare") return call;
      const { epoch, order: { version, layers: nextLayers } } = call;
      if (!maps.has(composeKey(epoch, baseVersion))) return call;
      const delta = mapDelta.computeDelta(layers, nextLayers);
      return { kind: "prepare_delta", epoch, version, baseVersion, delta };
    },
    restore(call) {
      const restored = call.kind === "prepare_delta"
        ? restoreDelta(call)
        : call;
      if (restored?.kind === "order" && restored.order.kind === "prepare") {
        const { version, layers } = restored.order;
        keepMap(composeKey(restored.epoch, version), layers);
      }
      return restored;
    },
  };
}

/** Versions are unique within an epoch; map 0 is used again in each. */
function composeKey(epoch: number, version: number): string {
  return `${epoch}/${version}`;
}
