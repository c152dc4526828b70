/**
 * Workspace limits at one entry. The entry enforces a fixed share of each
 * limit: the limit divided by the number of entries in an address answer.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as limits from "@anvilhinge/coordination/limits";
import type * as objects from "../../settings/objects.ts";
import * as addresses from "./addresses.ts";

export interface WorkspaceLimitsOptions {
  readonly clock: clock.Clock;
  readonly findLimits: (
    workspace: string,
  ) => objects.Workspace["limits"] | undefined;
  readonly listMembers: () => readonly addresses.EntryMember[];
}

export interface WorkspaceLimits {
  /** Admits a request, or refuses it with a retry delay. */
  admit(workspace: string): limits.AdmitOutcome;
  release(workspace: string): void;
  recordTokens(workspace: string, count: number): void;
}

const burstMs = 2_000;

/** Creates the limits; requests of a workspace without limits are admitted. */
export function createWorkspaceLimits(
  options: WorkspaceLimitsOptions,
): WorkspaceLimits {
  const limiters = new Map<string, limits.Limiter>();

  function computeShare(): number {
    const liveCount =
      options.listMembers().filter((member) => member.state === "live").length;
    const { maxAddressCount } = addresses;
    return 1 /
      (liveCount === 0
        ? maxAddressCount
        : Math.min(liveCount, maxAddressCount));
  }

  function getLimiter(workspace: string): limits.Limiter | undefined {
    const configured = options.findLimits(workspace);
    if (configured === undefined) {
      limiters.delete(workspace);
      return undefined;
    }
    let limiter = limiters.get(workspace);
    if (limiter === undefined) {
      limiter = limits.createLimiter({
        clock: options.clock,
        limits: configured,
        readShares() {
          const share = computeShare();
          return { rates: share, concurrency: share };
        },
        burstMs,
        initialFill: 1,
      });
      limiters.set(workspace, limiter);
    }
    limiter.setLimits(configured);
    return limiter;
  }

  return {
    admit: (workspace) =>
      getLimiter(workspace)?.admit() ?? { kind: "admitted" },
    release: (workspace) => limiters.get(workspace)?.release(),
    recordTokens: (workspace, count) =>
      limiters.get(workspace)?.recordTokens(count),
  };
}
