/**
 * Dispatch policy of one entry for requests of routed services: assigns a slot
 * of an upstream to each request and decides whether the retry budget permits
 * another attempt. A slot is a unit of an upstream's concurrency.
 */
import type * as clockPort from "@anvilhinge/coordination/clock";
import * as groupReports from "@anvilhinge/coordination/dispatch/group_reports";
import * as rateLimits from "@anvilhinge/coordination/dispatch/rate_limits";
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
import * as groupLink from "./group_link.ts";
import * as slotCoordinator from "./slot_coordinator.ts";

/** A request of a routed service that needs an upstream. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly service: string;
  readonly route: routing.Route;
  readonly workspace: string;
  readonly priority: number;
  readonly size: callerDialect.RequestSize | undefined;
  readonly deadlineAtMs: number;
}

/** Called with the decision about a request that waits for a slot. */
export type DecisionHandler = (
  event: Extract<session.SessionEvent, { kind: "granted" | "denied" }>,
) => void;

/** Policy of one request, from its arrival to its end. */
export interface RoutedRequestPolicy {
  chooseUpstream(attemptedIds: ReadonlySet<string>): session.UpstreamChoice;
  /** Withdraws the pending slot request, or releases its unused slot. */
  withdrawSlotRequest(): void;
  takeRetry(): boolean;
  recordDispatch(upstream: session.Upstream): void;
  recordOutcome(
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ): void;
  /** Records that the first event of the answer has arrived. */
  recordFirstPart(): void;
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
  /** Rate limit that the upstream was known to name, per second. */
  readonly rateLimit?: number;
  /** Undefined while the attempt runs, as is the outcome. */
  endedMs?: number;
  outcome?: string;
  /** Why the entry ended the attempt before its answer was whole. */
  cause?: session.AttemptEndCause;
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
  handleGroupMessage(
    message: groupLink.GroupLinkMessage,
    senderAddress: string,
  ): void;
  /** Records what an answer says about the rate limit of its upstream. */
  recordRateLimit(observation: rateLimits.RateLimitObservation): void;
  countRetriesLeft(): number;
  countLimitedUpstreams(): number;
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
  readonly retries: RetryLimits;
  readonly scheduler: scheduler.Scheduler;
  /** Includes the time for which the machine is suspended. */
  readonly elapsed: clockPort.Clock;
  /** See `WorkClientOptions`. */
  readonly isKnownToHub?: (upstreamId: string) => boolean;
  /**
   * Whether the hub's view of the upstreams contains what this entry lacks.
   * @default () => false
   */
  readonly isHubNewer?: () => boolean;
  readonly random: random.RandomSource;
  readonly logger: logger.Logger;
  readonly metrics: Pick<
    routedMetrics.RoutedMetrics,
    "recordRetry" | "recordDecision" | "recordLimitedDispatch"
  >;
  readonly sockets: datagrams.Datagrams;
  /** Opens the engine of an upstream, to send it orders of agents. */
  readonly openEngine: groupLink.GroupLinkOptions["openEngine"];
  readonly signal: AbortSignal;
}

interface TrackedUpstream {
  readonly listed: routing.ListedUpstream;
  readonly upstream: session.Upstream;
}

/** An attempt that has not ended. */
interface OpenAttempt {
  /** Key of the slot that it occupies; undefined without an engine. */
  readonly slotKey: string | undefined;
  readonly record: AttemptRecord;
}

interface PendingSlotRequest {
  readonly service: string;
  readonly resolve: (
    event: Parameters<DecisionHandler>[0],
    by: workClient.WorkEvent["by"],
  ) => void;
  /** Requests a slot again, at another upstream than an unusable one. */
  readonly requestAgain: (unusableId: string) => void;
}

const noUpstreamRetryMs = 1_000;
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
  const { scheduler: clock, retries, isHubNewer = () => false } = options;
  const tracked = new Map<string, TrackedUpstream>();
  /** Number of open attempts by upstream id, also of unlisted upstreams. */
  const openCounts = new Map<string, number>();
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
  const limits = rateLimits.createRateLimits({
    clock,
    onChange(upstreamId, requestsPerSecond) {
      options.logger.infoRateLimited("Rate limit of an upstream changed", {
        upstream: upstreamId,
        requestsPerSecond: requestsPerSecond ?? "none",
      });
      slots.reportRateLimit();
    },
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
  const groups = groupReports.createGroupReports({ clock });
  const groupMessages = groupLink.createGroupLink({
    members: options.members,
    groups,
    sockets: options.sockets,
    openEngine: options.openEngine,
  });
  const slots = slotCoordinator.startSlotCoordinator({
    entryId: options.entryId,
    failureDomain: options.failureDomain,
    members: options.members,
    scheduler: clock,
    elapsed: options.elapsed,
    isKnownToHub: options.isKnownToHub,
    random: options.random,
    sockets: options.sockets,
    logger: options.logger,
    rateLimits: limits,
    groups,
    signal: options.signal,
    onEvent: handleEvent,
  });

  function handleEvent(event: workClient.WorkEvent): void {
    const request = pending.get(event.key);
    if (request === undefined) return;
    pending.delete(event.key);
    options.metrics.recordDecision(event.by, event.kind);
    if (event.kind === "denied") {
      const reason = event.cause === "rate_limits"
        ? "The upstreams' rate limits allow no request soon"
        : `No place is expected soon (said by the ${event.by})`;
      const { retryAfterMs } = event;
      return request.resolve(
        { kind: "denied", reason, retryAfterMs },
        event.by,
      );
    }
    const upstream = findGranted(event, request.service);
    if (upstream === undefined) {
      slots.drop(event.key);
      return request.requestAgain(event.upstreamId);
    }
    request.resolve({ kind: "granted", upstream }, event.by);
  }

  /**
   * Finds the upstream of a grant. The hub's view of the upstreams may be older
   * than that of this entry, or newer; undefined if the upstream can't be used.
   */
  function findGranted(
    { upstreamId, address }: Extract<
      workClient.WorkEvent,
      { readonly kind: "granted" }
    >,
    service: string,
  ): session.Upstream | undefined {
    const known = tracked.get(upstreamId);
    if (known !== undefined) {
      return known.listed.state === "serving" ? known.upstream : undefined;
    }
    return address !== undefined && isHubNewer()
      ? createUpstream({ id: upstreamId, service, address })
      : undefined;
  }

  function countOpen(upstreamId: string): number {
    return openCounts.get(upstreamId) ?? 0;
  }

  function addOpen(upstreamId: string, change: 1 | -1): void {
    const count = countOpen(upstreamId) + change;
    if (count === 0) openCounts.delete(upstreamId);
    else openCounts.set(upstreamId, count);
  }

  function listUsable(service: string): readonly TrackedUpstream[] {
    return [...tracked.values()].filter(({ listed }) =>
      listed.service === service && listed.state === "serving"
    );
  }

  function listLeavingIds(service: string): readonly string[] {
    return [...tracked.values()].map(({ listed }) => listed)
      .filter((listed) =>
        listed.service === service && listed.state === "leaving"
      )
      .map(({ id }) => id);
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
          listed.state === "serving" && services.has(listed.service)
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

  /** Chooses among the usable ones an upstream with the fewest open attempts. */
  function chooseLeastLoaded(
    usable: readonly TrackedUpstream[],
  ): TrackedUpstream | undefined {
    const healthy = usable.filter(({ listed }) =>
      upstreamHealth.isAvailable(listed.id)
    );
    const candidates = healthy.length > 0 ? healthy : usable;
    const leastOpen = Math.min(
      ...candidates.map(({ listed }) => countOpen(listed.id)),
    );
    const best = candidates.filter(({ listed }) =>
      countOpen(listed.id) === leastOpen
    );
    return best[Math.floor(options.random() * best.length)];
  }

  /**
   * Chooses an upstream of a service without engines. Returns undefined if only
   * the hub can: the chosen upstream has a rate limit for all entries together.
   */
  function chooseDirectly(
    service: string,
    attemptedIds: ReadonlySet<string>,
  ): session.UpstreamChoice | undefined {
    const usable = listUsable(service).filter(({ listed }) =>
      !attemptedIds.has(listed.id)
    );
    const candidate = chooseLeastLoaded(usable);
    if (candidate === undefined) {
      const reason = `No upstream of service ${service} is left`;
      return { kind: "none", reason, retryAfterMs: noUpstreamRetryMs };
    }
    if (!limits.isLimited(candidate.listed.id)) {
      return { kind: "chosen", upstream: candidate.upstream };
    }
    if (slots.hasHub()) return undefined;
    const unlimited = chooseLeastLoaded(
      usable.filter(({ listed }) => !limits.isLimited(listed.id)),
    );
    return unlimited && { kind: "chosen", upstream: unlimited.upstream };
  }

  function startRequest(
    request: RoutedRequest,
    onDecision: DecisionHandler,
  ): RoutedRequestPolicy {
    const engine = services.get(request.service)?.engine;
    const arrivedAtMs = clock.now();
    let slotRequestCount = 0;
    /** Open attempts by upstream id; a stalled attempt and its replacement. */
    const openAttempts = new Map<string, OpenAttempt>();
    /** Key of the pending slot request, or of its slot until the dispatch. */
    let waitingKey: string | undefined;
    const attempts: AttemptRecord[] = [];
    let decidedBy: string | undefined;
    let waitedMs = 0;
    budget.recordRequest();

    function measureElapsed(): number {
      return Math.round(clock.now() - arrivedAtMs);
    }

    /** Releases the slot of an attempt; undefined if it has ended already. */
    function releaseAttempt(upstreamId: string): AttemptRecord | undefined {
      const attempt = openAttempts.get(upstreamId);
      if (attempt === undefined) return undefined;
      openAttempts.delete(upstreamId);
      addOpen(upstreamId, -1);
      if (attempt.slotKey !== undefined) slots.drop(attempt.slotKey);
      return attempt.record;
    }

    function withdrawSlotRequest(): void {
      if (waitingKey === undefined) return;
      pending.delete(waitingKey);
      slots.drop(waitingKey);
      waitingKey = undefined;
    }

    function requestSlot(
      attemptedIds: ReadonlySet<string>,
    ): Exclude<session.UpstreamChoice, { kind: "chosen" }> {
      const usable = listUsable(request.service);
      const mayHubKnowOthers = isHubNewer() && slots.hasHub();
      if (
        !mayHubKnowOthers &&
        usable.every(({ listed }) => attemptedIds.has(listed.id))
      ) {
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
        service: request.service,
        resolve(event, by) {
          decidedBy = by;
          waitedMs += clock.now() - nowMs;
          onDecision(event);
        },
        requestAgain(unusableId) {
          const choice = requestSlot(new Set([...attemptedIds, unusableId]));
          if (choice.kind !== "none") return;
          const { reason, retryAfterMs } = choice;
          onDecision({ kind: "denied", reason, retryAfterMs });
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
        aimLeftMs: request.route.latencyTargetMs - (nowMs - arrivedAtMs),
        leftMs: request.deadlineAtMs - nowMs,
        avoided: [
          ...attemptedIds,
          ...ejected,
          ...listLeavingIds(request.service),
        ],
      });
      return { kind: "wait" };
    }

    return {
      chooseUpstream(attemptedIds) {
        const direct = engine === undefined
          ? chooseDirectly(request.service, attemptedIds)
          : undefined;
        return direct ?? requestSlot(attemptedIds);
      },
      withdrawSlotRequest,
      takeRetry() {
        const isTaken = budget.take();
        options.metrics.recordRetry(isTaken);
        return isTaken;
      },
      recordFirstPart() {
        const [attempt, ...others] = attempts;
        // Of several attempts it is not known which began the answer.
        const isKnown = attempt !== undefined && others.length === 0;
        if (engine === undefined || !isKnown) return;
        const afterMs = measureElapsed() - attempt.sentMs;
        slots.recordFirstPart(request.service, afterMs);
      },
      recordGap(gapMs) {
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
        const rateLimit = limits.get(upstream.id);
        const record: AttemptRecord = {
          upstream: upstream.id,
          sentMs: measureElapsed(),
          rateLimit,
        };
        attempts.push(record);
        if (rateLimit !== undefined) options.metrics.recordLimitedDispatch();
        addOpen(upstream.id, 1);
        upstreamHealth.recordSent(upstream.id);
        const slotKey = waitingKey;
        waitingKey = undefined;
        openAttempts.set(upstream.id, { slotKey, record });
        if (slotKey === undefined) return;
        slots.recordStart({
          key: slotKey,
          upstreamId: upstream.id,
          workspace: request.workspace,
          promptTokens: request.size?.promptTokens ?? 0,
        });
      },
      recordOutcome({ upstream, outcome, cause }) {
        // Keeps a pending slot request: the session may request the slot of the
        // next attempt before it reports the end of this attempt.
        const record = releaseAttempt(upstream.id);
        if (record !== undefined) {
          record.endedMs = measureElapsed();
          record.outcome = outcome;
          record.cause = cause;
        }
        if (outcome !== "abandoned") {
          upstreamHealth.recordOutcome(upstream.id, outcome);
        }
      },
      end() {
        for (const id of [...openAttempts.keys()]) releaseAttempt(id);
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
      limits.setUpstreams(listedIds);
      for (const id of [...tracked.keys()]) {
        if (!listedIds.has(id)) tracked.delete(id);
      }
      const pools = new Map<string, string[]>();
      for (const listed of upstreams) {
        const { id, service, address } = listed;
        pools.set(service, [...(pools.get(service) ?? []), id]);
        const upstream = createUpstream({ id, service, address });
        tracked.set(id, { listed, upstream });
      }
      for (const [service, members] of pools) {
        upstreamHealth.setPool(service, { members, maxEjectedShare });
      }
      updateSlots();
    },
    startRequest,
    handleMessage: slots.handle,
    handleGroupMessage: groupMessages.handle,
    recordRateLimit: limits.observe,
    countRetriesLeft: budget.count,
    countLimitedUpstreams: () => limits.list().length,
    describePools: slots.describe,
  };
}

/** Routed upstreams have no rank, half or epoch. */
function createUpstream(
  { id, service, address }: Pick<
    routing.ListedUpstream,
    "id" | "service" | "address"
  >,
): session.Upstream {
  return { id, group: service, rank: 0, address, half: "", epoch: 0 };
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
