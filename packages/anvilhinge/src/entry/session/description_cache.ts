/**
 * Caches the incarnations and clocks of agents. Repeatable attempts use a
 * cached description; an outdated description costs a refusal, never a second
 * run.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as frames from "../../ports/frames.ts";
import type * as agentClient from "./agent_client.ts";
import type * as sessionTypes from "./session_types.ts";

export interface DescriptionCacheOptions {
  readonly clock: clock.Clock;
  readonly client: Pick<agentClient.AgentClient, "describe">;
  /**
   * Time for which a cached description is used, in milliseconds.
   * @default 60000
   */
  readonly retentionMs?: number;
}

export interface DescriptionCache {
  /** Returns the cached description, with the agent's clock advanced to now. */
  find(address: string): frames.AgentDescription | undefined;
  /** Requests the description from the agent and caches it. */
  fetch(address: string): Promise<sessionTypes.PrepareOutcome>;
  /** Removes the description of an agent whose refusal shows it is outdated. */
  invalidate(address: string): void;
}

interface CachedDescription {
  readonly description: frames.AgentDescription;
  readonly receivedAtMs: number;
}

const defaultRetentionMs = 60_000;
const maxCached = 4_096;

/** Creates an empty cache. */
export function createDescriptionCache(
  options: DescriptionCacheOptions,
): DescriptionCache {
  const retentionMs = options.retentionMs ?? defaultRetentionMs;
  const cache = new Map<string, CachedDescription>();

  function record(
    address: string,
    description: frames.AgentDescription,
  ): void {
    cache.delete(address);
    cache.set(address, { description, receivedAtMs: options.clock.now() });
    const [oldest] = cache.keys();
    if (cache.size > maxCached && oldest !== undefined) cache.delete(oldest);
  }

  return {
    find(address) {
      const cached = cache.get(address);
      if (cached === undefined) return undefined;
      const ageMs = options.clock.now() - cached.receivedAtMs;
      if (ageMs >= retentionMs) return undefined;
      const { incarnation, nowMs } = cached.description;
      return { incarnation, nowMs: nowMs + ageMs };
    },
    async fetch(address) {
      const description = await options.client.describe(address);
      if (description === "unreachable") return { kind: "unreachable" };
      record(address, description);
      return { kind: "described", ...description };
    },
    invalidate: (address) => void cache.delete(address),
  };
}
