/**
 * Which entries a workspace's callers should use. All entries of a half give
 * the same answer, because it depends only on the members that they know.
 */
import * as rendezvous from "@anvilhinge/coordination/rendezvous";
import type * as random from "@anvilhinge/coordination/random";

/** An entry that can be handed out. */
export interface EntryMember {
  readonly id: string;
  /** Callers' address as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
  /**
   * Share of workspaces relative to the other entries.
   * @default 1
   */
  readonly weight?: number;
}

export interface AddressAnswer {
  readonly addresses: readonly string[];
  /** How long the caller may keep the answer, in milliseconds. */
  readonly ttlMs: number;
}

export interface AnswerOptions {
  readonly workspace: string;
  readonly random: random.RandomSource;
  readonly ttlMs: number;
  /**
   * How many addresses to hand out.
   * @default 3
   */
  readonly count?: number;
}

/** Addresses that an answer names at most. */
export const defaultCount = 3;
/** Callers come back between 75% and 100% of the time to live. */
const jitterShare = 0.25;

/** Builds the answer for one workspace; leaving entries are left out. */
export function buildAddressAnswer(
  members: readonly EntryMember[],
  options: AnswerOptions,
): AddressAnswer {
  const live = members.filter((member) => member.state === "live");
  const chosen = rendezvous.selectMembers(live, {
    key: options.workspace,
    count: options.count ?? defaultCount,
  });
  const jitter = 1 - jitterShare * options.random();
  return {
    addresses: chosen.map((member) => member.address),
    ttlMs: Math.round(options.ttlMs * jitter),
  };
}
