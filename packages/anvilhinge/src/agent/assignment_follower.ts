/**
 * Keeps an agent's assignment up to date over streams to two entries, so that
 * one entry may die or fall behind without a gap.
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
  /** Control addresses of entries that may be followed. */
  readonly listEntries: () => readonly string[];
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly signal: AbortSignal;
  readonly onAssignment: (received: assignment.Assignment) => void;
  /** Called when a stream to an entry ends. */
  readonly onDisconnect?: (address: string) => void;
}

const followedEntries = 2;
const reconnectMs = 500;

/** Follows two entries until the signal aborts. */
export function followAssignment(options: FollowerOptions): void {
  const active = new Set<string>();

  function chooseEntry(): string | undefined {
    const members = options.listEntries()
      .filter((address) => !active.has(address))
      .map((address) => ({ id: address }));
    const key = `${options.group}/${options.rank}`;
    return rendezvous.selectMembers(members, { key, count: 1 })[0]?.id;
  }

  async function followOne(address: string): Promise<void> {
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
    for await (const wire of client.followGroup(request, { signal })) {
      const received = assignmentCodec.decodeAssignment(wire);
      if (received !== undefined) options.onAssignment(received);
    }
  }

  async function keepFollowing(): Promise<void> {
    const address = chooseEntry();
    if (address !== undefined) {
      active.add(address);
      try {
        await followOne(address);
      } catch {
        // A broken stream is followed anew below, maybe elsewhere.
      }
      active.delete(address);
      if (!options.signal.aborted) options.onDisconnect?.(address);
    }
    options.scheduler.schedule(() => void keepFollowing(), {
      delayMs: reconnectMs * (0.5 + options.random()),
      signal: options.signal,
    });
  }

  for (let index = 0; index < followedEntries; index += 1) {
    void keepFollowing();
  }
}
