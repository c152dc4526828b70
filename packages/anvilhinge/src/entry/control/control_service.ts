/**
 * Serves requests of agents and other entries: streams of the assignments of
 * groups, reports of drained ranks, and the progress of moves.
 */
import type * as assignment from "@anvilhinge/coordination/assignment";
import type * as connect from "@connectrpc/connect";
import * as assignmentCodec from "../../adapters/assignment_codec.ts";
import * as streamQueue from "../../adapters/stream_queue.ts";
import * as entryPb from "../../gen/anvilhinge/v1/entry_pb.ts";
import type * as controlDuties from "./control_duties.ts";

/** Distributes assignments to the agents that follow a group at this entry. */
export interface ControlService {
  readonly routes: (router: connect.ConnectRouter) => void;
  /** Sends the assignment to each follower of its group. */
  publish(received: assignment.Assignment): void;
  countFollowers(): number;
}

type Follower = streamQueue.StreamQueue<assignment.Assignment>;

export interface ControlServiceOptions {
  readonly findAssignment: (group: string) => assignment.Assignment | undefined;
  readonly duties: Pick<
    controlDuties.ControlDuties,
    "report" | "getOwnProgress"
  >;
}

/** Creates the service; it holds one queue for each follower. */
export function createControlService(
  options: ControlServiceOptions,
): ControlService {
  const followers = new Map<string, Set<Follower>>();

  function getFollowers(group: string): Set<Follower> {
    const queues = followers.get(group) ?? new Set();
    followers.set(group, queues);
    return queues;
  }

  async function* follow(
    group: string,
    signal: AbortSignal,
  ): AsyncGenerator<entryPb.GroupAssignment> {
    const queue: Follower = streamQueue.createStreamQueue(signal);
    const current = options.findAssignment(group);
    if (current !== undefined) queue.push(current);
    const queues = getFollowers(group);
    queues.add(queue);
    try {
      for await (const received of queue) {
        yield assignmentCodec.encodeAssignment(received);
      }
    } finally {
      queues.delete(queue);
      if (queues.size === 0) followers.delete(group);
    }
  }

  return {
    routes(router) {
      router.service(entryPb.EntryService, {
        followGroup: (request, context) =>
          follow(request.group, context.signal),
        async reportDrained(request) {
          return { accepted: await options.duties.report(request) };
        },
        getMove({ group }) {
          const progress = options.duties.getOwnProgress(group);
          return {
            inCharge: progress !== undefined,
            epoch: progress?.epoch,
            waitingFor: [...progress?.waitingFor ?? []],
          };
        },
      });
    },
    publish(received) {
      for (const queue of followers.get(received.group) ?? []) {
        queue.push(received);
      }
    },
    countFollowers() {
      let count = 0;
      for (const queues of followers.values()) count += queues.size;
      return count;
    },
  };
}
