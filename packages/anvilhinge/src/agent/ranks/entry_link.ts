/**
 * Link of an agent to the entries in its settings: reports the state of the
 * group that it leads, and finds an entry that answers.
 */
import type * as groupReports from "@anvilhinge/coordination/dispatch/group_reports";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as groupMessages from "../../ports/group_messages.ts";
import type * as rankPeers from "./rank_peers.ts";

export interface EntryLinkOptions {
  readonly sockets: datagrams.Datagrams;
  readonly clock: clock.Clock;
  /** Lists the addresses of the known entries; some may be down. */
  readonly listEntries: () => readonly string[];
}

export interface EntryLink {
  /** Sends a report if the interval is over or the state has changed. */
  report(
    status: rankPeers.RankStatus,
    peers: readonly rankPeers.RankPeer[],
  ): void;
  /** Returns the address of an entry that answered the last reports. */
  findEntry(): string | undefined;
  handleReceived(from: string): void;
}

const reportIntervalMs = 500;
/** Two reports without an answer. */
const answerTimeoutMs = 2.5 * reportIntervalMs;
/** Stall from which reports are sent at each call. */
const minStalledMs = 300;
/** Pace above which an upstream is reported as slow. */
const slowPace = 1.1;

/** Creates a link that has sent nothing. */
export function createEntryLink(options: EntryLinkOptions): EntryLink {
  const { sockets, clock } = options;
  const answeredAtMs = new Map<string, number>();
  let reportedAtMs = -Infinity;
  let reportedSlow = "";

  function listSlow(
    statuses: readonly rankPeers.RankStatus[],
  ): readonly groupReports.SlowUpstream[] {
    return statuses.filter(({ pace }) => pace > slowPace)
      .map(({ engine, pace }) => ({ address: engine, pace }));
  }

  return {
    report(status, peers) {
      const statuses = [status, ...peers.map((peer) => peer.status)];
      const slow = listSlow(statuses);
      const slowText = JSON.stringify(slow);
      const isDue = clock.now() - reportedAtMs >= reportIntervalMs ||
        slowText !== reportedSlow || status.stalledMs >= minStalledMs;
      if (!isDue) return;
      reportedAtMs = clock.now();
      reportedSlow = slowText;
      const message: groupMessages.GroupMessage = {
        kind: "group",
        report: {
          group: status.group,
          upstreams: statuses.map(({ engine }) => engine),
          slow,
          stalledMs: Math.round(status.stalledMs),
        },
      };
      for (const address of options.listEntries()) {
        sockets.send(message, address);
      }
    },
    findEntry() {
      const oldestMs = clock.now() - answerTimeoutMs;
      return options.listEntries().find((address) =>
        (answeredAtMs.get(address) ?? -Infinity) >= oldestMs
      );
    },
    handleReceived(from) {
      answeredAtMs.set(from, clock.now());
    },
  };
}
