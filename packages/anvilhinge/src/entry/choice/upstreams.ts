/**
 * Table of the upstreams of an entry: joins the groups from the settings with
 * their assignments and indexes them by the model or service that they serve.
 * The selection algorithm and the health of each upstream are part of the
 * coordination package.
 */
import type * as assignment from "@anvilhinge/coordination/assignment";
import * as choice from "@anvilhinge/coordination/choice";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as health from "@anvilhinge/coordination/health";
import type * as random from "@anvilhinge/coordination/random";
import type * as subset from "@anvilhinge/coordination/subset";
import type * as engine from "../../ports/engine.ts";
import type * as session from "../session/session.ts";

/** Address and location of the agent of one rank. */
export interface RankSpec extends subset.Location {
  /** Address of the rank's agent as `host:port`. */
  readonly agent: string;
}

/** A group as defined in the settings. */
export interface GroupSpec {
  readonly name: string;
  readonly kind: "model" | "service";
  /** Name of the model or service that the group serves. */
  readonly serves: string;
  /** Indexed by rank. */
  readonly ranks: readonly RankSpec[];
}

/** The model or service that a request needs, and the half of the request. */
export interface Need {
  readonly half: string;
  readonly kind: "model" | "service";
  readonly serves: string;
}

export interface ChooseOptions {
  /** Ids of the upstreams that the request was already dispatched to. */
  readonly attemptedIds: ReadonlySet<string>;
  readonly prefixKeys?: readonly number[];
  /** Time left until the request's deadline, in milliseconds. */
  readonly leftMs?: number;
}

/** How an attempt at an upstream ended. */
export interface Outcome {
  /** `abandoned`: the attempt ended for a reason unrelated to the upstream. */
  readonly kind: health.AttemptOutcome | "abandoned";
  readonly load?: engine.EngineLoad;
  /** Dispatch time of the attempt. */
  readonly sentAtMs?: number;
  readonly prefixKeys?: readonly number[];
}

export interface UpstreamTable {
  setGroup(spec: GroupSpec): void;
  removeGroup(name: string): void;
  setAssignment(received: assignment.Assignment): void;
  choose(need: Need, options: ChooseOptions): session.UpstreamChoice;
  recordDispatch(upstreamId: string): void;
  recordOutcome(upstreamId: string, outcome: Outcome): void;
  /** Names of the models or services of the half, for `GET /v1/models`. */
  listServed(half: string, kind: "model" | "service"): readonly string[];
  findAssignment(group: string): assignment.Assignment | undefined;
  listAssignments(): readonly assignment.Assignment[];
}

export interface UpstreamTableOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /** Id of the entry; determines its subset of the upstreams. */
  readonly nodeId: string;
  readonly location: subset.Location;
  readonly health: health.Health;
}

interface LocatedUpstream extends session.Upstream, subset.Location {}

const noUpstreamRetryMs = 1_000;
const minOverloadRetryMs = 500;
const maxOverloadRetryMs = 30_000;
/** Maximum share of the upstreams of one pool that may be ejected. */
const maxEjectedShare = 0.5;

/** Formats the name of the pool whose upstreams can serve the request. */
export function formatPoolName(need: Need): string {
  return `${need.half}/${need.kind}/${need.serves}`;
}

function listRanks(
  spec: GroupSpec,
  owner: assignment.Assignment,
): LocatedUpstream[] {
  return spec.ranks.map((rank, index) => ({
    id: `${spec.name}/${index}`,
    group: spec.name,
    rank: index,
    address: rank.agent,
    half: owner.half,
    epoch: owner.epoch,
    failureDomain: rank.failureDomain,
    region: rank.region,
  }));
}

function boundOverloadRetry(waitMs: number): number {
  return Math.min(maxOverloadRetryMs, Math.max(minOverloadRetryMs, waitMs));
}

/** Creates an empty table. */
export function createUpstreamTable(
  options: UpstreamTableOptions,
): UpstreamTable {
  const { health } = options;
  const groups = new Map<string, GroupSpec>();
  const assignments = new Map<string, assignment.Assignment>();
  /** The pool of each group, and the groups of each pool. */
  const poolOfGroup = new Map<string, string>();
  const groupsOfPool = new Map<string, Set<string>>();
  /** Pools whose members changed since they were last passed to the chooser. */
  const changedPools = new Set<string>();
  const chooser = choice.createChooser<LocatedUpstream>({
    ...options,
    isAvailable: health.isAvailable,
    computePenalty: health.computePenalty,
  });

  function updateGroup(name: string): void {
    const spec = groups.get(name);
    const owner = assignments.get(name);
    const previous = poolOfGroup.get(name);
    if (previous !== undefined) {
      groupsOfPool.get(previous)?.delete(name);
      changedPools.add(previous);
      poolOfGroup.delete(name);
    }
    // The last available member of a pool is never ejected. A group with a
    // single rank has no pool, as otherwise its rank could not be ejected.
    health.setPool(`group/${name}`, {
      members: spec === undefined || spec.ranks.length === 1
        ? []
        : spec.ranks.map((_, rank) => `${name}/${rank}`),
      maxEjectedShare: 1,
    });
    if (spec === undefined || owner?.state !== "serving") return;
    const { kind, serves } = spec;
    const pool = formatPoolName({ half: owner.half, kind, serves });
    poolOfGroup.set(name, pool);
    const names = groupsOfPool.get(pool) ?? new Set();
    groupsOfPool.set(pool, names.add(name));
    changedPools.add(pool);
  }

  function updatePool(pool: string): void {
    if (!changedPools.delete(pool)) return;
    const members = [...groupsOfPool.get(pool) ?? []].sort().flatMap((name) => {
      const spec = groups.get(name);
      const owner = assignments.get(name);
      if (spec === undefined || owner === undefined) return [];
      return listRanks(spec, owner);
    });
    chooser.setPool(pool, members);
    health.setPool(`need/${pool}`, {
      members: members.map((member) => member.id),
      maxEjectedShare,
    });
  }

  function describeNoUpstream(
    need: Need,
    outcome: Exclude<choice.ChoiceOutcome<LocatedUpstream>, { kind: "chosen" }>,
  ): session.UpstreamChoice {
    const served = `${need.kind} "${need.serves}"`;
    switch (outcome.kind) {
      case "unserved":
        return {
          kind: "none",
          reason: `No upstream serves ${served} for ${need.half}`,
          retryAfterMs: noUpstreamRetryMs,
        };
      case "exhausted":
        return {
          kind: "none",
          reason: `All upstreams of ${served} were tried or are ejected`,
          retryAfterMs: noUpstreamRetryMs,
        };
      case "overloaded":
        return {
          kind: "none",
          reason: `All upstreams of ${served} are overloaded; the wait of ${
            Math.ceil(outcome.waitMs)
          } ms is longer than the deadline allows`,
          retryAfterMs: boundOverloadRetry(outcome.waitMs),
        };
    }
  }

  function isHalfOpen(upstreamId: string): boolean {
    return health.getState(upstreamId).kind === "half_open";
  }

  /**
   * Chooses an upstream, but lets only first attempts probe half-open
   * upstreams: a request that probes several of them in a row would use up its
   * attempts on upstreams that are likely to fail.
   */
  function chooseForAttempt(
    pool: string,
    options: choice.ChooseOptions,
  ): choice.ChoiceOutcome<LocatedUpstream> {
    const first = chooser.choose(pool, options);
    if (options.attemptedIds.size === 0) return first;
    const excludedIds = new Set(options.attemptedIds);
    let outcome = first;
    while (outcome.kind === "chosen" && isHalfOpen(outcome.upstream.id)) {
      excludedIds.add(outcome.upstream.id);
      outcome = chooser.choose(pool, { ...options, attemptedIds: excludedIds });
    }
    return outcome.kind === "exhausted" ? first : outcome;
  }

  return {
    setGroup(spec) {
      groups.set(spec.name, spec);
      updateGroup(spec.name);
    },
    removeGroup(name) {
      groups.delete(name);
      updateGroup(name);
    },
    setAssignment(received) {
      const current = assignments.get(received.group);
      if (current !== undefined && current.epoch >= received.epoch) return;
      assignments.set(received.group, received);
      updateGroup(received.group);
    },
    choose(need, chooseOptions) {
      const pool = formatPoolName(need);
      updatePool(pool);
      const outcome = chooseForAttempt(pool, chooseOptions);
      return outcome.kind === "chosen"
        ? { kind: "chosen", upstream: outcome.upstream }
        : describeNoUpstream(need, outcome);
    },
    recordDispatch(upstreamId) {
      chooser.recordSent(upstreamId);
      health.recordSent(upstreamId);
    },
    recordOutcome(upstreamId, { kind, load, sentAtMs, prefixKeys }) {
      chooser.recordEnded(upstreamId, {
        sentAtMs,
        report: load,
        isCompleted: kind === "completed",
        prefixKeys,
      });
      if (kind !== "abandoned") health.recordOutcome(upstreamId, kind);
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
