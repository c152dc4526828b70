/**
 * Which entries a workspace's callers should use. All entries of a half choose
 * the same ones, because the choice depends only on the members that they know.
 */
import * as rendezvous from "@anvilhinge/coordination/rendezvous";
import type * as random from "@anvilhinge/coordination/random";

/** An entry that can be handed out. */
export interface EntryMember {
  readonly id: string;
  /** Callers' address as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: "live" | "suspect" | "leaving" | "removed";
  /**
   * Share of workspaces relative to the other entries; 0 = not ready.
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
  /**
   * Address of the entry that is asked; the answer if it knows nobody.
   * Undefined while the entry leaves.
   */
  readonly ownAddress?: string;
  /** Failure domain whose entries go first. */
  readonly nearDomain: string;
  readonly random: random.RandomSource;
  readonly ttlMs: number;
  /**
   * How many addresses to hand out.
   * @default 3
   */
  readonly count?: number;
}

/** Addresses that an answer names at most. */
export const maxAddressCount = 3;
/** Callers come back between 75% and 100% of the time to live. */
const jitterShare = 0.25;

/** Returns live entries; suspected ones only when there are no others. */
function filterUsable(
  members: readonly EntryMember[],
): readonly EntryMember[] {
  const ready = members.filter(({ weight }) => weight !== 0);
  const live = ready.filter(({ state }) => state === "live");
  if (live.length > 0) return live;
  return ready.filter(({ state }) => state === "suspect");
}

/**
 * Chooses the entries of a workspace: the highest scores, each in a failure
 * domain of its own as long as there are domains.
 */
export function selectEntries(
  members: readonly EntryMember[],
  options: { readonly workspace: string; readonly count: number },
): readonly EntryMember[] {
  const ranked = rendezvous.selectMembers(members, {
    key: options.workspace,
    count: members.length,
  });
  const domains = new Set<string>();
  const spread = ranked.filter(({ failureDomain }) => {
    const isFirst = !domains.has(failureDomain);
    domains.add(failureDomain);
    return isFirst;
  });
  const others = ranked.filter((member) => !spread.includes(member));
  return [...spread, ...others].slice(0, options.count);
}

/** Builds the answer for one workspace; leaving entries are left out. */
export function buildAddressAnswer(
  members: readonly EntryMember[],
  options: AnswerOptions,
): AddressAnswer {
  const chosen = selectEntries(filterUsable(members), {
    workspace: options.workspace,
    count: options.count ?? maxAddressCount,
  });
  const near = chosen.filter((member) =>
    member.failureDomain === options.nearDomain
  );
  const far = chosen.filter((member) => !near.includes(member));
  const addresses = [...near, ...far].map((member) => member.address);
  const jitter = 1 - jitterShare * options.random();
  return {
    addresses: addresses.length > 0 || options.ownAddress === undefined
      ? addresses
      : [options.ownAddress],
    ttlMs: Math.round(options.ttlMs * jitter),
  };
}
