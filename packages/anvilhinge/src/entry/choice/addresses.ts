/**
 * Selects the entries that the callers of a workspace should use. All entries
 * of a half that have an equal list of members select the same entries, because
 * the selection depends only on the workspace and the members.
 */
import * as rendezvous from "@anvilhinge/coordination/rendezvous";
import type * as random from "@anvilhinge/coordination/random";

/** An entry whose address callers may receive. */
export interface EntryMember {
  readonly id: string;
  /** Address for callers as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: "live" | "suspect" | "leaving" | "removed";
  /**
   * Share of the workspaces relative to the other entries; 0 = not ready.
   * @default 1
   */
  readonly weight?: number;
}

export interface AddressAnswer {
  readonly addresses: readonly string[];
  /** Time for which the caller may use the answer, in milliseconds. */
  readonly ttlMs: number;
}

export interface AnswerOptions {
  readonly workspace: string;
  /**
   * Address of the entry that answers, returned if there is no usable member.
   * Undefined while the entry leaves.
   */
  readonly ownAddress?: string;
  /** Failure domain whose entries are listed first. */
  readonly nearDomain: string;
  readonly random: random.RandomSource;
  readonly ttlMs: number;
  /**
   * Maximum number of addresses in the answer.
   * @default 3
   */
  readonly count?: number;
}

/** Maximum number of addresses in an answer. */
export const maxAddressCount = 3;
/** Spreads the time to live over 75% to 100%, so that refreshes are spread. */
const jitterShare = 0.25;

/** Returns the ready entries that are live, or else those that are suspected. */
function filterUsable(
  members: readonly EntryMember[],
): readonly EntryMember[] {
  const ready = members.filter(({ weight }) => weight !== 0);
  const live = ready.filter(({ state }) => state === "live");
  if (live.length > 0) return live;
  return ready.filter(({ state }) => state === "suspect");
}

/**
 * Selects the entries of a workspace with the highest rendezvous scores. Each
 * is in a different failure domain as long as there are unused domains.
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

/** Builds the answer for one workspace, without leaving and unready entries. */
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
