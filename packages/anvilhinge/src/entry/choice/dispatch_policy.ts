/**
 * What an entry decides about work besides the course of one request: which
 * upstream, whether it is healthy, and how many retries are left. Composes the
 * parts of the coordination package and follows each request through them.
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
import * as upstreams from "./upstreams.ts";
import * as workspaceLimits from "./workspace_limits.ts";

export interface DispatchPolicyOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  /** Id of the entry. */
  readonly nodeId: string;
  readonly location: subset.Location;
  /** Ends the watch over stalled upstreams. */
  readonly signal: AbortSignal;
  readonly findLimits: workspaceLimits.WorkspaceLimitsOptions["findLimits"];
  readonly listMembers: workspaceLimits.WorkspaceLimitsOptions["listMembers"];
  readonly logger: logger.Logger;
  readonly metrics: metrics.Metrics;
}

/** Follows one request from its arrival to its end. */
export interface RequestPolicy {
  chooseUpstream(tried: ReadonlySet<string>): session.UpstreamChoice;
  takeRetry(): boolean;
  recordDispatch(upstream: session.Upstream): void;
  recordOutcome(
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ): void;
  /** Returns the client with each frame noted as progress of its upstream. */
  watchFrames(client: agentClient.AgentClient): agentClient.AgentClient;
  /** Must be called once, when the request is done. */
  end(): void;
}

export interface DispatchPolicy {
  readonly upstreams: upstreams.UpstreamTable;
  /** Admits a new request of a workspace; `end` releases it. */
  admit(workspace: string): limits.AdmitOutcome;
  /** Follows a request; `isAdmitted` is false for one that is resumed. */
  startRequest(
    request: session.Request,
    options: { readonly need: upstreams.Need; readonly isAdmitted: boolean },
  ): RequestPolicy;
  countEjected(): number;
  /** Retries that the budget would allow now. */
  countRetriesLeft(): number;
}

interface OpenAttempt {
  readonly upstreamId: string;
  readonly sentAtMs: number;
}

const stallCheckMs = 250;
/** Bytes of a request body that can hold the hashed part of a prompt. */
const prefixBytes = 16 * 1024;

/** Hashes the start of a chat request; requests of other kinds have none. */
function computePrefixKeys(
  request: session.Request,
  need: upstreams.Need,
): readonly number[] {
  if (request.work.kind !== "model") return [];
  const text = Buffer.from(request.work.body.subarray(0, prefixBytes))
    .toString("latin1");
  // Fields before the prompt differ between requests that share it.
  const start = Math.max(0, text.indexOf('"messages"'));
  return prefixAffinity.computePrefixKeys(text.slice(start), {
    scope: `${need.serves}\u0000${request.workspace}`,
  });
}

function describeHealthChange(change: health.HealthChange): string {
  const { upstreamId, cause } = change;
  return change.kind === "ejected"
    ? `Ejected upstream ${upstreamId}: ${cause}`
    : `Took upstream ${upstreamId} back`;
}

/** Creates the policy of one entry. */
export function createDispatchPolicy(
  options: DispatchPolicyOptions,
): DispatchPolicy {
  const { scheduler: clock, random, signal } = options;
  const countChange = options.metrics.createCounter({
    name: "anvilhinge_health_changes_total",
    help: "Upstreams ejected and taken back, by cause",
    labelNames: ["kind", "cause"],
  });
  const checked = health.createHealth({
    clock,
    random,
    onChange(change) {
      const { kind, cause } = change;
      countChange({ labels: { kind, cause } });
      options.logger.info(describeHealthChange(change));
    },
  });
  const countLimited = options.metrics.createCounter({
    name: "anvilhinge_limited_total",
    help: "Requests refused by a limit of their workspace",
    labelNames: ["limit"],
  });
  const workspaces = workspaceLimits.createWorkspaceLimits({
    clock,
    findLimits: options.findLimits,
    listMembers: options.listMembers,
  });
  const watch = progressWatch.createProgressWatch({ clock });
  const budget = retryBudget.createRetryBudget({ clock });
  const table = upstreams.createUpstreamTable({
    clock,
    random,
    nodeId: options.nodeId,
    location: options.location,
    health: checked,
  });

  function checkStalls(): void {
    for (const upstreamId of watch.detectStalled()) {
      checked.recordStall(upstreamId);
    }
    clock.schedule(checkStalls, { delayMs: stallCheckMs, signal });
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
    let open: OpenAttempt | undefined;
    let isEngineDown = false;
    budget.recordRequest();

    function endAttempt(outcome: Omit<upstreams.Outcome, "sentAtMs">): void {
      if (open === undefined) return;
      const { upstreamId, sentAtMs } = open;
      open = undefined;
      if (isWatched) watch.end(upstreamId);
      table.recordOutcome(upstreamId, { ...outcome, sentAtMs, prefixKeys });
    }

    function watchStream(
      stream: agentClient.StreamOptions,
    ): agentClient.StreamOptions {
      return {
        ...stream,
        onFrame(frame) {
          if (open !== undefined) watch.recordProgress(open.upstreamId);
          const { body } = frame;
          // The agent lives and its engine does not: no sign of health.
          isEngineDown = body.kind === "refused" &&
            body.reason === "engine_unavailable";
          if (isWatched && frame.body.kind === "chunk") {
            workspaces.recordTokens(request.workspace, 1);
          }
          stream.onFrame(frame);
        },
      };
    }

    return {
      chooseUpstream: (tried) =>
        table.choose(need, {
          tried,
          prefixKeys,
          leftMs: request.deadlineAtMs - clock.now(),
        }),
      takeRetry: budget.take,
      recordDispatch(upstream) {
        endAttempt({ kind: "abandoned" });
        open = { upstreamId: upstream.id, sentAtMs: clock.now() };
        if (isWatched) watch.start(upstream.id, upstreams.formatPoolName(need));
        table.recordDispatch(upstream.id);
      },
      recordOutcome({ upstream, outcome, load }) {
        if (open?.upstreamId === upstream.id) {
          endAttempt({ kind: isEngineDown ? "failed" : outcome, load });
          return;
        }
        // A resumed answer: another entry dispatched the attempt.
        table.recordOutcome(upstream.id, { kind: outcome, load });
      },
      watchFrames: (client) => ({
        ...client,
        run: (attempt, stream) => client.run(attempt, watchStream(stream)),
        resume: (point, stream) => client.resume(point, watchStream(stream)),
      }),
      end() {
        endAttempt({ kind: "abandoned" });
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
        countLimited({ labels: { limit: outcome.limit } });
      }
      return outcome;
    },
    startRequest,
    countEjected: checked.countEjected,
    countRetriesLeft: budget.count,
  };
}
