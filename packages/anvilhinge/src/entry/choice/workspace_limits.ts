/**
 * Limits of workspaces at one entry. The entry's share is fixed: the limit
 * divided by the number of entries that an address answer names.
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
  /** Admits a request of the workspace or says when to come back. */
  admit(workspace: string): limits.AdmitOutcome;
  release(workspace: string): void;
  recordTokens(workspace: string, count: number): void;
}

const burstMs = 2_000;

/** Creates the limits; a workspace without settings is admitted. */
export function createWorkspaceLimits(
  options: WorkspaceLimitsOptions,
): WorkspaceLimits {
  const limiters = new Map<string, limits.Limiter>();

  function computeShare(): number {
    const live =
      options.listMembers().filter((member) => member.state === "live").length;
    const { maxAddressCount: defaultCount } = addresses;
    return 1 / (live === 0 ? defaultCount : Math.min(live, defaultCount));
  }

  function getLimiter(workspace: string): limits.Limiter | undefined {
    const present = options.findLimits(workspace);
    if (present === undefined) {
      limiters.delete(workspace);
      return undefined;
    }
    let limiter = limiters.get(workspace);
    if (limiter === undefined) {
      limiter = limits.createLimiter({
        clock: options.clock,
        limits: present,
        readShares() {
          const share = computeShare();
          return { rates: share, concurrency: share };
        },
        burstMs,
        initialFill: 1,
      });
      limiters.set(workspace, limiter);
    }
    limiter.setLimits(present);
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
