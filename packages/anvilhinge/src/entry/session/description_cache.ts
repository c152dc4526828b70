/**
 * What an entry knows of the agents' incarnations and clocks. Attempts that may
 * be repeated go by a description that was learnt before; one that is out of
 * date costs a refusal, never a second run.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import type * as frames from "../../ports/frames.ts";
import type * as agentClient from "./agent_client.ts";
import type * as sessionTypes from "./session_types.ts";

export interface DescriptionCacheOptions {
  readonly clock: clock.Clock;
  readonly client: Pick<agentClient.AgentClient, "describe">;
  /**
   * How long a description is used, in milliseconds.
   * @default 60000
   */
  readonly retentionMs?: number;
}

export interface DescriptionCache {
  /** Describes the agent as of now from what is known of it. */
  find(address: string): frames.AgentDescription | undefined;
  /** Asks the agent. */
  fetch(address: string): Promise<sessionTypes.PrepareOutcome>;
  /** Forgets an agent whose refusal shows that it has changed. */
  invalidate(address: string): void;
}

interface Known {
  readonly description: frames.AgentDescription;
  readonly atMs: number;
}

const defaultRetentionMs = 60_000;
const maxKnown = 4_096;

/** Creates an empty table of descriptions. */
export function createDescriptionCache(
  options: DescriptionCacheOptions,
): DescriptionCache {
  const retentionMs = options.retentionMs ?? defaultRetentionMs;
  const known = new Map<string, Known>();

  function record(
    address: string,
    description: frames.AgentDescription,
  ): void {
    known.delete(address);
    known.set(address, { description, atMs: options.clock.now() });
    const [oldest] = known.keys();
    if (known.size > maxKnown && oldest !== undefined) known.delete(oldest);
  }

  return {
    find(address) {
      const found = known.get(address);
      if (found === undefined) return undefined;
      const ageMs = options.clock.now() - found.atMs;
      if (ageMs >= retentionMs) return undefined;
      const { incarnation, nowMs } = found.description;
      return { incarnation, nowMs: nowMs + ageMs };
    },
    async fetch(address) {
      const description = await options.client.describe(address);
      if (description === "unreachable") return { kind: "unreachable" };
      record(address, description);
      return { kind: "described", ...description };
    },
    invalidate: (address) => void known.delete(address),
  };
}
