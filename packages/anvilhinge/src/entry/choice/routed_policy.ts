/**
 * Dispatch policy of one entry for requests of routed services: assigns a slot
 * of an upstream to each request and decides whether the retry budget permits
 * another attempt. A slot is a unit of an upstream's concurrency.
 */
import type * as workHub from "@anvilhinge/coordination/dispatch/work_hub";
import type * as work from "@anvilhinge/coordination/dispatch/work";
import type * as workClient from "@anvilhinge/coordination/dispatch/work_client";
import * as health from "@anvilhinge/coordination/health";
import type * as random from "@anvilhinge/coordination/random";
import * as retryBudget from "@anvilhinge/coordination/retry_budget";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as callerDialect from "../../ports/caller_dialect.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as routing from "../../settings/routing.ts";
import type * as logger from "../../telemetry/logger.ts";
import type * as routedMetrics from "../operators/routed_metrics.ts";
import type * as session from "../session/session.ts";
import * as slotCoordinator from "./slot_coordinator.ts";

/** A request of a routed service that needs an upstream. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly service: string;
  readonly route: routing.Route;
  readonly workspace: string;
  readonly priority: number;
  readonly size: callerDialect.RequestSize | undefined;
  /** Time for which the caller waited before this attempt, in milliseconds. */
  readonly elapsedMs: number;
  readonly deadlineAtMs: number;
}

/** Called with the decision about a request that waits for a slot. */
export type DecisionHandler = (
  event: Extract<session.SessionEvent, { kind: "granted" | "denied" }>,
) => void;

/** Policy of one request, from its arrival to its end. */
export interface RoutedRequestPolicy {
  chooseUpstream(attemptedIds: ReadonlySet<string>): session.UpstreamChoice;
  takeRetry(): boolean;
  recordDispatch(upstream: session.Upstream): void;
  recordOutcome(
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ): void;
  /** Records a gap between two events of the answer, in milliseconds. */
  recordGap(gapMs: number): void;
  /** Returns the attempts and the wait of the request, for its log line. */
  describe(): DispatchRecord;
  /** Must be called once, when the request is done. */
  end(): void;
}

/** One attempt of a request; its times are milliseconds since the arrival. */
export interface AttemptRecord {
  readonly upstream: string;
  readonly sentMs: number;
  /** Undefined while the attempt runs, as is the outcome. */
  endedMs?: number;
  outcome?: string;
}

/** How one request was dispatched: its attempts and its wait for slots. */
export interface DispatchRecord {
  /** In order of dispatch. */
  readonly attempts: readonly AttemptRecord[];
  /** Source of the last slot decision: the hub or the entry's own share. */
  readonly decidedBy?: string;
  /**
   * Total time until the slot decisions, in milliseconds. Excludes a wait that
   * ended without a decision, for example at the deadline.
   */
  readonly waitedMs: number;
}

export interface RoutedPolicy {
  setRouting(settings: routing.RoutingSettings): void;
  setUpstreams(upstreams: readonly routing.ListedUpstream[]): void;
  startRequest(
    request: RoutedRequest,
    onDecision: DecisionHandler,
  ): RoutedRequestPolicy;
  handleMessage(
    message: slotCoordinator.DispatchMessage,
    senderAddress: string,
  ): void;
  countRetriesLeft(): number;
  describePools(): readonly workHub.PoolLoad[];
}

/** Limit on the retries of all entries; each entry uses an equal part. */
export interface RetryLimits {
  /** Retries per request. */
  readonly share: number;
  /** Retries per window in addition to the share. */
  readonly extra: number;
  readonly windowMs: number;
}

export interface RoutedPolicyOptions {
  readonly entryId: string;
  readonly failureDomain: string;
  readonly members: slotCoordinator.EntryMembership;
  /** Port of the agents' datagrams, the same on all machines. */
  readonly agentPort: number;
  readonly callerPatience: callerDialect.CallerPatience;
  readonly retries: RetryLimits;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly logger: logger.Logger;
  readonly metrics: Pick<
    routedMetrics.RoutedMetrics,
    "recordRetry" | "recordDecision"
  >;
  readonly sockets: datagrams.Datagrams;
  readonly signal: AbortSignal;
}

interface TrackedUpstream {
  readonly listed: routing.ListedUpstream;
  readonly upstream: session.Upstream;
  openAttempts: number;
}

interface PendingSlotRequest {
  readonly resolve: (
    event: Parameters<DecisionHandler>[0],
    by: workClient.WorkEvent["by"],
  ) => void;
}

const noUpstreamRetryMs = 1_000;
/** Usual time from the dispatch of a request to its first event. */
const firstEventMs = 200;
const maxEjectedShare = 0.5;
/**
 * Used part of the retry budget. The remainder is a margin, because the entries
 * count their retries separately.
 */
const usedBudgetShare = 0.8;
const millisecondsPerSecond = 1_000;
/**
 * Part of the gap target that a forward pass may take. The remainder covers the
 * network latency.
 */
const passShareOfGap = 0.93;

/** Creates a policy without upstreams. */
export function createRoutedPolicy(
  options: RoutedPolicyOptions,
): RoutedPolicy {
  const { scheduler: clock, retries } = options;
  const tracked = new Map<string, TrackedUpstream>();
  const services = new Map<string, routing.ServiceSpec>();
  let routes: readonly routing.Route[] = [];
  /** Requests that wait for a slot, by the key of their slot request. */
  const pending = new Map<string, PendingSlotRequest>();
  const upstreamHealth = health.createHealth({
    clock,
    random: options.random,
    onChange: (change) =>
      options.logger.info("Upstream health changed", { change }),
  });
  const windowSeconds = retries.windowMs / millisecondsPerSecond;
  // Burst and minimum rate together permit `extra` retries per window.
  const budget = retryBudget.createRetryBudget({
    clock,
    share: usedBudgetShare * retries.share,
    burst: usedBudgetShare * retries.extra / 2,
    minPerSecond: usedBudgetShare * retries.extra / 2 / windowSeconds,
    readFraction: () => 1 / Math.max(1, options.members.countEntries()),
  });
  const slots = slotCoordinator.startSlotCoordinator({
    entryId: options.entryId,
    failureDomain: options.failureDomain,
    members: options.members,
    agentPort: options.agentPort,
    scheduler: clock,
    random: options.random,
    sockets: options.sockets,
    logger: options.logger,
    signal: options.signal,
    onEvent: handleEvent,
  });

  function handleEvent(event: workClient.WorkEvent): void {
    const request = pending.get(event.key);
    if (request === undefined) return;
    pending.delete(event.key);
    options.metrics.recordDecision(event.by, event.kind);
    if (event.kind === "denied") {
      const reason = `No place is expected soon (said by the ${event.by})`;
      const { retryAfterMs } = event;
      return request.resolve(
        { kind: "denied", reason, retryAfterMs },
        event.by,
      );
    }
    const granted = tracked.get(event.upstreamId);
    if (granted === undefined) {
      slots.drop(event.key);
      const reason = `Upstream ${event.upstreamId} has gone`;
      const denied = { kind: "denied", reason, retryAfterMs: 0 } as const;
      return request.resolve(denied, event.by);
    }
    const { upstream } = granted;
    request.resolve({ kind: "granted", upstream }, event.by);
  }

  function listUsable(service: string): readonly TrackedUpstream[] {
    return [...tracked.values()].filter(({ listed }) =>
      listed.service === service && listed.state === "serving"
    );
  }

  /** Finds the lowest gap target of a service's routes, in milliseconds. */
  function findGapTargetMs(service: string): number {
    const targets = routes
      .filter((route) =>
        route.targets.some((target) => target.service === service)
      )
      .flatMap(({ gapTargetMs }) => gapTargetMs ?? []);
    return Math.min(Infinity, ...targets);
  }

  function listPools(): readonly work.PoolSpec[] {
    return [...services.values()].flatMap(({ name, engine }) => {
      const gapTargetMs = findGapTargetMs(name);
      if (engine === undefined || gapTargetMs === Infinity) return [];
      return [{
        pool: name,
        basePassMs: engine.stepsPerPass * engine.stepMs,
        targetPassMs: passShareOfGap * gapTargetMs,
      }];
    });
  }

  function updateSlots(): void {
    slots.setUpstreams(
      [...tracked.values()]
        .filter(({ listed }) =>
          listed.state === "serving" &&
          services.get(listed.service)?.engine !== undefined
        )
        .map(({ listed }) => ({
          id: listed.id,
          address: listed.address,
          pool: listed.service,
          failureDomain: listed.failureDomain,
          slots: listed.slots,
        })),
      listPools(),
    );
  }

  /**
   * Chooses an upstream with the fewest open attempts of this entry; used for
   * services without engines.
   */
  function chooseLeastLoaded(
    service: string,
    attemptedIds: ReadonlySet<string>,
  ): session.UpstreamChoice {
    const usable = listUsable(service).filter(({ listed }) =>
      !attemptedIds.has(listed.id)
    );
    const healthy = usable.filter(({ listed }) =>
      upstreamHealth.isAvailable(listed.id)
    );
    const candidates = healthy.length > 0 ? healthy : usable;
    const leastOpen = Math.min(
      ...candidates.map((candidate) => candidate.openAttempts),
    );
    const best = candidates.filter((candidate) =>
      candidate.openAttempts === leastOpen
    );
    const chosen = best[Math.floor(options.random() * best.length)];
    if (chosen === undefined) {
      const reason = `No upstream of service ${service} is left`;
      return { kind: "none", reason, retryAfterMs: noUpstreamRetryMs };
    }
    return { kind: "chosen", upstream: chosen.upstream };
  }

  function startRequest(
    request: RoutedRequest,
    onDecision: DecisionHandler,
  ): RoutedRequestPolicy {
    const engine = services.get(request.service)?.engine;
    const arrivedAtMs = clock.now();
    let slotRequestCount = 0;
    let current: TrackedUpstream | undefined;
    /** Key of the pending slot request. */
    let waitingKey: string | undefined;
    /** Key of the slot that the current attempt occupies. */
    let runningKey: string | undefined;
    const attempts: AttemptRecord[] = [];
    let decidedBy: string | undefined;
    let waitedMs = 0;
    let lastEventAtMs = arrivedAtMs;
    budget.recordRequest();

    function measureElapsed(): number {
      return Math.round(clock.now() - arrivedAtMs);
    }

    /** Computes when the request is abandoned unless it gets a slot before. */
    function computeAbandonMs(): number {
      const { route, deadlineAtMs } = request;
      if (route.kind !== "stream") return deadlineAtMs;
      const patience = options.callerPatience;
      const silenceMs = Math.max(
        patience.minStreamMs,
        patience.streamLatencyTargets * route.latencyTargetMs,
        patience.streamGapTargets * (route.gapTargetMs ?? 0),
      );
      return Math.min(deadlineAtMs, lastEventAtMs + silenceMs - firstEventMs);
    }

    /** Releases the slot of the current attempt. */
    function releaseAttempt(): void {
      if (current !== undefined) current.openAttempts -= 1;
      current = undefined;
      if (runningKey !== undefined) slots.drop(runningKey);
      runningKey = undefined;
    }

    function withdrawSlotRequest(): void {
      if (waitingKey === undefined) return;
      pending.delete(waitingKey);
      slots.drop(waitingKey);
      waitingKey = undefined;
    }

    function requestSlot(
      attemptedIds: ReadonlySet<string>,
    ): session.UpstreamChoice {
      const usable = listUsable(request.service);
      if (usable.every(({ listed }) => attemptedIds.has(listed.id))) {
        const reason = `No upstream of service ${request.service} is left`;
        return { kind: "none", reason, retryAfterMs: noUpstreamRetryMs };
      }
      slotRequestCount += 1;
      const key = `${request.requestId}/${slotRequestCount}`;
      waitingKey = key;
      const ejected = usable.map(({ listed }) => listed.id)
        .filter((id) => !upstreamHealth.isAvailable(id));
      const nowMs = clock.now();
      pending.set(key, {
        resolve(event, by) {
          decidedBy = by;
          waitedMs += clock.now() - nowMs;
          onDecision(event);
        },
      });
      slots.requestSlot({
        key,
        pool: request.service,
        priority: request.priority,
        workspace: request.workspace,
        promptTokens: request.size?.promptTokens ?? 0,
        answerTokens: request.size?.answerTokensHint ??
          request.size?.maxAnswerTokens ?? 0,
        aimLeftMs: request.route.latencyTargetMs - firstEventMs -
          request.elapsedMs - (nowMs - arrivedAtMs),
        leftMs: computeAbandonMs() - nowMs,
        maxRetryMs: options.callerPatience.retryShare *
          (request.deadlineAtMs - nowMs),
        avoided: [...attemptedIds, ...ejected],
      });
      return { kind: "wait" };
    }

    return {
      chooseUpstream: (attemptedIds) =>
        engine === undefined
          ? chooseLeastLoaded(request.service, attemptedIds)
          : requestSlot(attemptedIds),
      takeRetry() {
        const isTaken = budget.take();
        options.metrics.recordRetry(isTaken);
        return isTaken;
      },
      recordGap(gapMs) {
        lastEventAtMs = clock.now();
        if (engine !== undefined) {
          slots.recordGap(request.service, gapMs);
        }
      },
      describe: () => ({
        attempts,
        decidedBy,
        waitedMs: Math.round(waitedMs),
      }),
      recordDispatch(upstream) {
        attempts.push({ upstream: upstream.id, sentMs: measureElapsed() });
        current = tracked.get(upstream.id);
        if (current !== undefined) current.openAttempts += 1;
        upstreamHealth.recordSent(upstream.id);
        runningKey = waitingKey;
        waitingKey = undefined;
        if (runningKey === undefined) return;
        slots.recordStart({
          key: runningKey,
          upstreamId: upstream.id,
          workspace: request.workspace,
          promptTokens: request.size?.promptTokens ?? 0,
        });
      },
      recordOutcome({ upstream, outcome }) {
        // Keeps a pending slot request: after a stall, the session requests the
        // slot of the next attempt before it reports the end of this attempt.
        releaseAttempt();
        const last = attempts.at(-1);
        if (last !== undefined) {
          last.endedMs = measureElapsed();
          last.outcome = outcome;
        }
        upstreamHealth.recordOutcome(upstream.id, outcome);
      },
      end() {
        releaseAttempt();
        withdrawSlotRequest();
      },
    };
  }

  return {
    setRouting(settings) {
      services.clear();
      for (const spec of settings.services) services.set(spec.name, spec);
      routes = settings.routes;
      updateSlots();
    },
    setUpstreams(listedUpstreams) {
      const upstreams = dropSuperseded(listedUpstreams);
      const listedIds = new Set(upstreams.map(({ id }) => id));
      for (const id of [...tracked.keys()]) {
        if (!listedIds.has(id)) tracked.delete(id);
      }
      const pools = new Map<string, string[]>();
      for (const listed of upstreams) {
        const { id, service, address } = listed;
        pools.set(service, [...(pools.get(service) ?? []), id]);
        // Routed upstreams have no rank, half or epoch.
        const upstream = {
          id,
          group: service,
          rank: 0,
          address,
          half: "",
          epoch: 0,
        };
        tracked.set(id, {
          listed,
          upstream,
          openAttempts: tracked.get(id)?.openAttempts ?? 0,
        });
      }
      for (const [service, members] of pools) {
        upstreamHealth.setPool(service, { members, maxEjectedShare });
      }
      updateSlots();
    },
    startRequest,
    handleMessage: slots.handle,
    countRetriesLeft: budget.count,
    describePools: slots.describe,
  };
}

/**
 * Excludes upstreams whose address belongs to a more recently started upstream:
 * the records of crashed upstreams stay in the list until they expire.
 */
function dropSuperseded(
  upstreams: readonly routing.ListedUpstream[],
): readonly routing.ListedUpstream[] {
  const latest = new Map<string, routing.ListedUpstream>();
  for (const upstream of upstreams) {
    const previous = latest.get(upstream.address);
    const isLater = previous === undefined ||
      (upstream.startedAtMs ?? 0) > (previous.startedAtMs ?? 0);
    if (isLater) latest.set(upstream.address, upstream);
  }
  return [...latest.values()];
}
