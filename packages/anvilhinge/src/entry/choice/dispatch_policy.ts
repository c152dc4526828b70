/**
 * Dispatch policy of one entry: selects upstreams, tracks their health,
 * enforces workspace limits and grants retries. Composes modules of the
 * coordination package and records the events of each request in them.
 */
import * as health from "@anvilhinge/coordination/health";
import type * as limits from "@anvilhinge/coordination/limits";
import * as prefixAffinity from "@anvilhinge/coordination/prefix_affinity";
import * as progressWatch from "@anvilhinge/coordination/progress_watch";
import type * as random from "@anvilhinge/coordination/random";
import * as retryBudget from "@anvilhinge/coordination/retry_budget";
import type * as subset from "@anvilhinge/coordination/subset";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as logger from "../../telemetry/logger.ts";
import type * as metrics from "../../telemetry/metrics.ts";
import type * as agentClient from "../session/agent_client.ts";
import type * as session from "../session/session.ts";
import * as sessionCore from "../session/session_core.ts";
import * as upstreams from "./upstreams.ts";
import * as workspaceLimits from "./workspace_limits.ts";

export interface DispatchPolicyOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  /** Id of the entry. */
  readonly nodeId: string;
  readonly location: subset.Location;
  /** Stops the periodic check for stalled upstreams. */
  readonly signal: AbortSignal;
  readonly findLimits: workspaceLimits.WorkspaceLimitsOptions["findLimits"];
  readonly listMembers: workspaceLimits.WorkspaceLimitsOptions["listMembers"];
  readonly logger: logger.Logger;
  readonly metrics: metrics.Metrics;
}

/** Policy of one request, from its arrival to its end. */
export interface RequestPolicy {
  chooseUpstream(attemptedIds: ReadonlySet<string>): session.UpstreamChoice;
  takeRetry(): boolean;
  recordDispatch(upstream: session.Upstream): void;
  recordOutcome(
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ): void;
  /** Wraps the client so that each frame counts as progress of its upstream. */
  watchFrames(client: agentClient.AgentClient): agentClient.AgentClient;
  /** Must be called once, when the request is done. */
  end(): void;
}

export interface DispatchPolicy {
  readonly upstreams: upstreams.UpstreamTable;
  /** Admits or refuses a new request; `RequestPolicy.end` releases it. */
  admit(workspace: string): limits.AdmitOutcome;
  /** Creates a request's policy; `isAdmitted` is false for resumed requests. */
  startRequest(
    request: session.Request,
    options: { readonly need: upstreams.Need; readonly isAdmitted: boolean },
  ): RequestPolicy;
  countEjected(): number;
  /** Number of retries that the budget currently permits. */
  countRetriesLeft(): number;
}

interface OpenAttempt {
  readonly sentAtMs: number;
  /** Whether its latest frame refused it because the engine is down. */
  isEngineDown: boolean;
}

const stallCheckIntervalMs = 250;
/**
 * Maximum time without progress of an upstream. A session ends its attempt after
 * its own stall time, and an upstream without attempts isn't watched.
 */
const maxStallDeadlineMs = sessionCore.defaultStallMs -
  2 * stallCheckIntervalMs;
/** Length of the decoded part of a body; covers the hashed prompt blocks. */
const maxPrefixBytes = 16 * 1024;

/** Hashes the start of a model request's prompt; returns [] for services. */
function computePrefixKeys(
  request: session.Request,
  need: upstreams.Need,
): readonly number[] {
  if (request.work.kind !== "model") return [];
  const text = Buffer.from(request.work.body.subarray(0, maxPrefixBytes))
    .toString("latin1");
  // Fields before the prompt may differ between requests with equal prompts.
  const start = Math.max(0, text.indexOf('"messages"'));
  return prefixAffinity.computePrefixKeys(text.slice(start), {
    scope: `${need.serves}\u0000${request.workspace}`,
  });
}

function describeHealthChange(change: health.HealthChange): string {
  const { upstreamId, cause } = change;
  return change.kind === "ejected"
    ? `Ejected upstream ${upstreamId}: ${cause}`
    : `Restored upstream ${upstreamId}`;
}

/** Creates the dispatch policy of one entry. */
export function createDispatchPolicy(
  options: DispatchPolicyOptions,
): DispatchPolicy {
  const { scheduler: clock, random, signal } = options;
  const countHealthChange = options.metrics.createCounter({
    name: "anvilhinge_health_changes_total",
    help: "Upstreams ejected and taken back, by cause",
    labelNames: ["kind", "cause"],
  });
  const upstreamHealth = health.createHealth({
    clock,
    random,
    onChange(change) {
      const { kind, cause } = change;
      countHealthChange({ labels: { kind, cause } });
      options.logger.info(describeHealthChange(change));
    },
  });
  const countRefusal = options.metrics.createCounter({
    name: "anvilhinge_limited_total",
    help: "Requests refused by a limit of their workspace",
    labelNames: ["limit"],
  });
  const workspaces = workspaceLimits.createWorkspaceLimits({
    clock,
    findLimits: options.findLimits,
    listMembers: options.listMembers,
  });
  const watch = progressWatch.createProgressWatch({
    clock,
    maxDeadlineMs: maxStallDeadlineMs,
  });
  const budget = retryBudget.createRetryBudget({ clock });
  const table = upstreams.createUpstreamTable({
    clock,
    random,
    nodeId: options.nodeId,
    location: options.location,
    health: upstreamHealth,
  });

  function checkStalls(): void {
    for (const id of watch.detectStalled()) upstreamHealth.recordStall(id);
    clock.schedule(checkStalls, { delayMs: stallCheckIntervalMs, signal });
  }

  function startRequest(
    request: session.Request,
    { need, isAdmitted }: {
      readonly need: upstreams.Need;
      readonly isAdmitted: boolean;
    },
  ): RequestPolicy {
    const prefixKeys = computePrefixKeys(request, need);
    const isWatched = need.kind === "model";
    /** Open attempts by upstream id; a stalled attempt and its replacement. */
    const openAttempts = new Map<string, OpenAttempt>();
    budget.recordRequest();

    function endAttempt(
      upstreamId: string,
      { kind, load }: Pick<upstreams.Outcome, "kind" | "load">,
    ): void {
      const attempt = openAttempts.get(upstreamId);
      if (attempt === undefined) {
        return table.recordOutcome(upstreamId, { kind, load });
      }
      openAttempts.delete(upstreamId);
      if (isWatched) watch.end(upstreamId);
      table.recordOutcome(upstreamId, {
        kind,
        load,
        sentAtMs: attempt.sentAtMs,
        prefixKeys,
      });
    }

    function watchStream(
      stream: agentClient.StreamOptions,
    ): agentClient.StreamOptions {
      return {
        ...stream,
        onFrame(frame) {
          const attempt = openAttempts.get(stream.upstreamId);
          if (attempt !== undefined) {
            const { body } = frame;
            watch.recordProgress(stream.upstreamId);
            attempt.isEngineDown = body.kind === "refused" &&
              body.reason === "engine_unavailable";
          }
          // Counts each chunk as one token of the workspace's token limit.
          if (isWatched && frame.body.kind === "chunk") {
            workspaces.recordTokens(request.workspace, 1);
          }
          stream.onFrame(frame);
        },
      };
    }

    return {
      chooseUpstream: (attemptedIds) =>
        table.choose(need, {
          attemptedIds: attemptedIds,
          prefixKeys,
          leftMs: request.deadlineAtMs - clock.now(),
        }),
      takeRetry: budget.take,
      recordDispatch(upstream) {
        openAttempts.set(upstream.id, {
          sentAtMs: clock.now(),
          isEngineDown: false,
        });
        if (isWatched) watch.start(upstream.id, upstreams.formatPoolName(need));
        table.recordDispatch(upstream.id);
      },
      recordOutcome({ upstream, outcome, load }) {
        // Counts the refusal as a failure: the agent is up, its engine is not.
        const isEngineDown = openAttempts.get(upstream.id)?.isEngineDown;
        const kind = isEngineDown ? "failed" : outcome;
        endAttempt(upstream.id, { kind, load });
      },
      watchFrames: (client) => ({
        ...client,
        run: (attempt, stream) => client.run(attempt, watchStream(stream)),
        resume: (point, stream) => client.resume(point, watchStream(stream)),
      }),
      end() {
        for (const id of [...openAttempts.keys()]) {
          endAttempt(id, { kind: "abandoned" });
        }
        if (isAdmitted) workspaces.release(request.workspace);
      },
    };
  }

  checkStalls();
  return {
    upstreams: table,
    admit(workspace) {
      const outcome = workspaces.admit(workspace);
      if (outcome.kind === "refused") {
        countRefusal({ labels: { limit: outcome.limit } });
      }
      return outcome;
    },
    startRequest,
    countEjected: upstreamHealth.countEjected,
    countRetriesLeft: budget.count,
  };
}
