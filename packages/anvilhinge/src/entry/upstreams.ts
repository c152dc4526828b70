/**
 * The upstreams that an entry knows: groups from the settings joined with their
 * assignments, and the load of each as reported and as sent from here.
 */
import type * as assignment from "@anvilhinge/coordination/assignment";
import type * as random from "@anvilhinge/coordination/random";
import type * as engine from "../ports/engine.ts";
import type * as session from "./session.ts";

/** A group as the settings describe it. */
export interface GroupSpec {
  readonly name: string;
  readonly kind: "model" | "service";
  /** Name of the model or service that the group serves. */
  readonly serves: string;
  /** Address of each rank's agent, by rank. */
  readonly ranks: readonly string[];
}

/** What a request needs from an upstream. */
export interface Need {
  readonly half: string;
  readonly kind: "model" | "service";
  readonly serves: string;
}

export interface UpstreamTable {
  setGroup(spec: GroupSpec): void;
  removeGroup(name: string): void;
  setAssignment(received: assignment.Assignment): void;
  choose(need: Need, tried: ReadonlySet<string>): session.Choice;
  recordDispatch(upstreamId: string): void;
  recordOutcome(
    upstreamId: string,
    outcome: {
      readonly kind: "completed" | "refused" | "failed" | "lost";
      readonly load?: engine.EngineLoad;
    },
  ): void;
  /** Names of what the half serves now, for `GET /v1/models`. */
  listServed(half: string, kind: "model" | "service"): readonly string[];
  findAssignment(group: string): assignment.Assignment | undefined;
  listAssignments(): readonly assignment.Assignment[];
}

export interface UpstreamTableOptions {
  readonly random: random.RandomSource;
}

interface Load {
  reported: number;
  /** Attempts sent from here that have not ended. */
  open: number;
}

const noUpstreamRetryMs = 1_000;

/** Creates an empty table. */
export function createUpstreamTable(
  options: UpstreamTableOptions,
): UpstreamTable {
  const groups = new Map<string, GroupSpec>();
  const assignments = new Map<string, assignment.Assignment>();
  const loads = new Map<string, Load>();

  function getLoad(upstreamId: string): Load {
    let load = loads.get(upstreamId);
    if (load === undefined) {
      load = { reported: 0, open: 0 };
      loads.set(upstreamId, load);
    }
    return load;
  }

  function listCandidates(need: Need): session.Upstream[] {
    const found: session.Upstream[] = [];
    for (const spec of groups.values()) {
      if (spec.kind !== need.kind || spec.serves !== need.serves) continue;
      const owner = assignments.get(spec.name);
      if (owner?.half !== need.half || owner.state !== "serving") continue;
      for (const [rank, address] of spec.ranks.entries()) {
        found.push({
          id: `${spec.name}/${rank}`,
          group: spec.name,
          rank,
          address,
          half: owner.half,
          epoch: owner.epoch,
        });
      }
    }
    return found;
  }

  function pick(candidates: readonly session.Upstream[]): session.Upstream {
    const index = Math.floor(options.random() * candidates.length);
    return candidates[index] as session.Upstream;
  }

  function score(upstream: session.Upstream): number {
    const load = getLoad(upstream.id);
    return load.reported + load.open;
  }

  return {
    setGroup(spec) {
      groups.set(spec.name, spec);
    },
    removeGroup(name) {
      groups.delete(name);
    },
    setAssignment(received) {
      const known = assignments.get(received.group);
      if (known !== undefined && known.epoch >= received.epoch) return;
      assignments.set(received.group, received);
    },
    choose(need, tried) {
      const candidates = listCandidates(need);
      const fresh = candidates.filter((upstream) => !tried.has(upstream.id));
      if (fresh.length === 0) {
        return {
          kind: "none",
          reason: candidates.length === 0
            ? `No upstream serves ${need.kind} "${need.serves}" for ${need.half}`
            : `All upstreams of ${need.kind} "${need.serves}" were tried`,
          retryAfterMs: noUpstreamRetryMs,
        };
      }
      const first = pick(fresh);
      const second = pick(fresh);
      const upstream = score(second) < score(first) ? second : first;
      return { kind: "chosen", upstream };
    },
    recordDispatch(upstreamId) {
      getLoad(upstreamId).open += 1;
    },
    recordOutcome(upstreamId, outcome) {
      const load = getLoad(upstreamId);
      load.open = Math.max(0, load.open - 1);
      if (outcome.load !== undefined) {
        load.reported = Math.max(
          0,
          outcome.load.running + outcome.load.queued - load.open,
        );
      }
    },
    listServed(half, kind) {
      const names = new Set<string>();
      for (const spec of groups.values()) {
        const owner = assignments.get(spec.name);
        if (spec.kind === kind && owner?.half === half) names.add(spec.serves);
      }
      return [...names].sort();
    },
    findAssignment: (group) => assignments.get(group),
    listAssignments: () => [...assignments.values()],
  };
}
