/**
 * Chooses the agents that the hub asks for the state of their groups. It asks a
 * few ranks of each group at a time and takes turns, so that a crashed agent
 * delays no news and the number of messages does not grow with the group. An
 * agent that was asked also reports each change for some time.
 */
import type * as clock from "../clock.ts";
import type * as groupStates from "./group_states.ts";

/** Asks an agent to report the state of its group, now and after changes. */
export interface WatchMessage {
  readonly kind: "watch";
}

/** An agent reports the state of its group. */
export interface GroupMessage {
  readonly kind: "group";
  readonly report: groupStates.GroupReport;
}

export interface GroupWatchOptions {
  readonly clock: clock.Clock;
  /** Returns the group of the rank at an address; undefined if unknown. */
  readonly findGroup: (address: string) => string | undefined;
}

export interface GroupWatch {
  /** Replaces the addresses of the ranks that are followed. */
  setRanks(addresses: readonly string[]): void;
  /** Lists the ranks whose agents are to be asked now. */
  listDue(): readonly string[];
}

/**
 * Time for which an agent reports changes after it was asked, in milliseconds:
 * twice the time in which all ranks of a group of 12 have their turn.
 */
export const watchTtlMs = 3_000;

const intervalMs = 250;
/** Interval while the groups of new ranks are unknown. */
const discoveryIntervalMs = 50;
/** Time after which ranks without an answer are asked at the usual interval. */
const discoveryMs = 2_000;
const ranksPerGroup = 2;
/** Ranks of unknown groups that are asked at a time. */
const unknownRanks = 4;

/** Creates a watch without ranks. */
export function createGroupWatch(options: GroupWatchOptions): GroupWatch {
  const { clock } = options;
  let addresses: readonly string[] = [];
  let changedAtMs = -Infinity;
  let askedAtMs = -Infinity;
  let turn = 0;

  function groupRanks(): ReadonlyMap<string | undefined, readonly string[]> {
    const groups = new Map<string | undefined, string[]>();
    for (const address of addresses) {
      const group = options.findGroup(address);
      groups.set(group, [...groups.get(group) ?? [], address]);
    }
    return groups;
  }

  function takeTurn(ranks: readonly string[], count: number): string[] {
    const first = turn * count;
    const length = Math.min(count, ranks.length);
    return Array.from(
      { length },
      (_, index) => ranks[(first + index) % ranks.length]!,
    );
  }

  return {
    setRanks(newAddresses) {
      if (newAddresses.some((address) => !addresses.includes(address))) {
        changedAtMs = clock.now();
      }
      addresses = newAddresses;
    },
    listDue() {
      const nowMs = clock.now();
      const groups = groupRanks();
      const isDiscovering = groups.has(undefined) &&
        nowMs - changedAtMs < discoveryMs;
      const delayMs = isDiscovering ? discoveryIntervalMs : intervalMs;
      if (nowMs - askedAtMs < delayMs) return [];
      askedAtMs = nowMs;
      turn += 1;
      return [...groups].flatMap(([group, ranks]) =>
        takeTurn(ranks, group === undefined ? unknownRanks : ranksPerGroup)
      );
    },
  };
}
