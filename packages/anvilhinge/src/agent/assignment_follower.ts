/**
 * Keeps an agent's assignment up to date over streams from two entries, so that
 * one of the entries may fail or lag without a gap in the updates.
 */
import type * as assignment from "@anvilhinge/coordination/assignment";
import type * as random from "@anvilhinge/coordination/random";
import * as rendezvous from "@anvilhinge/coordination/rendezvous";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as assignmentCodec from "../adapters/assignment_codec.ts";
import * as entryPb from "../gen/anvilhinge/v1/entry_pb.ts";
import type * as scheduler from "../ports/scheduler.ts";

export interface FollowerOptions {
  readonly group: string;
  readonly rank: number;
  readonly incarnation: string;
  /** Lists the control addresses of the entries that may be followed. */
  readonly listEntries: () => readonly string[];
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly signal: AbortSignal;
  readonly onAssignment: (received: assignment.Assignment) => void;
  /** Called when the stream from an entry ends. */
  readonly onDisconnect?: (address: string) => void;
}

const followedEntryCount = 2;
const reconnectDelayMs = 500;

/** Follows two entries until the signal aborts. */
export function followAssignment(options: FollowerOptions): void {
  const followed = new Set<string>();

  function chooseEntry(): string | undefined {
    const candidates = options.listEntries()
      .filter((address) => !followed.has(address))
      .map((address) => ({ id: address }));
    const key = `${options.group}/${options.rank}`;
    return rendezvous.selectMembers(candidates, { key, count: 1 })[0]?.id;
  }

  async function followEntry(address: string): Promise<void> {
    const transport = connectNode.createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: "2",
    });
    const client = connect.createClient(entryPb.EntryService, transport);
    const request = {
      group: options.group,
      rank: options.rank,
      incarnation: options.incarnation,
    };
    const { signal } = options;
    for await (const message of client.followGroup(request, { signal })) {
      const received = assignmentCodec.decodeAssignment(message);
      if (received !== undefined) options.onAssignment(received);
    }
  }

  async function keepFollowing(): Promise<void> {
    const address = chooseEntry();
    if (address !== undefined) {
      followed.add(address);
      try {
        await followEntry(address);
      } catch {
        // A new stream is opened after a delay, possibly to another entry.
      }
      followed.delete(address);
      if (!options.signal.aborted) options.onDisconnect?.(address);
    }
    options.scheduler.schedule(() => void keepFollowing(), {
      delayMs: reconnectDelayMs * (0.5 + options.random()),
      signal: options.signal,
    });
  }

  for (let index = 0; index < followedEntryCount; index += 1) {
    void keepFollowing();
  }
}
