/**
 * What an entry decides about requests of routed services besides the course
 * of one request: at which upstream there is a place, and whether another try
 * is within the budget.
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

/** A request that needs an upstream. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly service: string;
  readonly route: routing.Route;
  readonly workspace: string;
  readonly priority: number;
  readonly size: callerDialect.RequestSize | undefined;
  readonly deadlineAtMs: number;
}

/** Called when a request that waits is decided. */
export type DecisionHandler = (
  event: Extract<session.SessionEvent, { kind: "granted" | "denied" }>,
) => void;

/** Follows one request from its arrival to its end. */
export interface RoutedRequestPolicy {
  chooseUpstream(tried: ReadonlySet<string>): session.UpstreamChoice;
  takeRetry(): boolean;
  recordDispatch(upstream: session.Upstream): void;
  recordOutcome(
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ): void;
  /** Records a pause between two events of the answer, in milliseconds. */
  recordPause(pauseMs: number): void;
  /** What was decided for the request, for its log line. */
  describe(): DispatchRecord;
  /** Must be called once, when the request is done. */
  end(): void;
}

/** One sending of a request; times in milliseconds after its arrival. */
export interface AttemptRecord {
  readonly upstream: string;
  readonly sentMs: number;
  /** Undefined while it runs; so is the outcome. */
  endedMs?: number;
  outcome?: string;
}

/** What was decided for one request. */
export interface DispatchRecord {
  /** In order of sending. */
  readonly attempts: readonly AttemptRecord[];
  /** Who decided last. */
  readonly decidedBy?: string;
  /** Time that it waited for places, in milliseconds. */
  readonly waitedMs: number;
}

export interface RoutedPolicy {
  setRouting(settings: routing.RoutingSettings): void;
  setUpstreams(upstreams: readonly routing.ListedUpstream[]): void;
  startRequest(
    work: RoutedRequest,
    decide: DecisionHandler,
  ): RoutedRequestPolicy;
  handleMessage(message: slotCoordinator.DispatchMessage, from: string): void;
  countRetriesLeft(): number;
  describePools(): readonly workHub.PoolLoad[];
}

/** Bound on retries over all entries; each uses an equal part. */
export interface RetryLimits {
  /** Retries for each request. */
  readonly share: number;
  /** Retries in each window besides the share. */
  readonly extra: number;
  readonly windowMs: number;
}

export interface RoutedPolicyOptions {
  readonly entryId: string;
  readonly failureDomain: string;
  readonly members: slotCoordinator.EntryMembership;
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

interface Known {
  readonly listed: routing.ListedUpstream;
  readonly upstream: session.Upstream;
  open: number;
}

interface Asking {
  readonly decide: (
    event: Parameters<DecisionHandler>[0],
    by: workClient.WorkEvent["by"],
  ) => void;
}

const noUpstreamRetryMs = 1_000;
const maxEjectedShare = 0.5;
/** Part of the retry budget that is used, since entries count apart. */
const usedBudgetShare = 0.8;
const millisecondsPerSecond = 1_000;
/** Part of the longest pause that a pass may take; the rest is the way. */
const passShareOfGap = 0.93;

/** Creates a policy that knows no upstreams. */
export function createRoutedPolicy(
  options: RoutedPolicyOptions,
): RoutedPolicy {
  const { scheduler: clock, retries } = options;
  const known = new Map<string, Known>();
  const services = new Map<string, routing.ServiceSpec>();
  let routes: readonly routing.Route[] = [];
  /** Requests that wait for a place, by the key under which they asked. */
  const asking = new Map<string, Asking>();
  const checked = health.createHealth({
    clock,
    random: options.random,
    onChange: (change) => options.logger.info("Upstream health", { change }),
  });
  const windowSeconds = retries.windowMs / millisecondsPerSecond;
  const budget = retryBudget.createRetryBudget({
    clock,
    share: usedBudgetShare * retries.share,
    burst: usedBudgetShare * retries.extra / 2,
    minPerSecond: usedBudgetShare * retries.extra / 2 / windowSeconds,
    readFraction: () => 1 / Math.max(1, options.members.countEntries()),
  });
  const dispatch = slotCoordinator.startSlotCoordinator({
    entryId: options.entryId,
    failureDomain: options.failureDomain,
    members: options.members,
    scheduler: clock,
    random: options.random,
    sockets: options.sockets,
    logger: options.logger,
    signal: options.signal,
    onEvent: handleEvent,
  });

  function handleEvent(event: workClient.WorkEvent): void {
    const found = asking.get(event.key);
    if (found === undefined) return;
    asking.delete(event.key);
    options.metrics.recordDecision(event.by, event.kind);
    if (event.kind === "denied") {
      const reason = `No place is expected soon (said by the ${event.by})`;
      const { retryAfterMs } = event;
      return found.decide({ kind: "denied", reason, retryAfterMs }, event.by);
    }
    const granted = known.get(event.upstreamId);
    if (granted === undefined) {
      dispatch.drop(event.key);
      const reason = `Upstream ${event.upstreamId} has gone`;
      const denied = { kind: "denied", reason, retryAfterMs: 0 } as const;
      return found.decide(denied, event.by);
    }
    const { upstream } = granted;
    found.decide({ kind: "granted", upstream }, event.by);
  }

  function listUsable(service: string): readonly Known[] {
    return [...known.values()].filter(({ listed }) =>
      listed.service === service && listed.state === "serving"
    );
  }

  /** Pauses that the routes of a service allow, in milliseconds. */
  function findGapTarget(service: string): number {
    const targets = routes
      .filter((route) => route.targets.some((to) => to.service === service))
      .flatMap(({ gapTargetMs }) => gapTargetMs ?? []);
    return Math.min(Infinity, ...targets);
  }

  function listPools(): readonly work.PoolSpec[] {
    return [...services.values()].flatMap(({ name, engine }) => {
      const gapMs = findGapTarget(name);
      if (engine === undefined || gapMs === Infinity) return [];
      return [{
        pool: name,
        basePassMs: engine.stepsPerPass * engine.stepMs,
        targetPassMs: passShareOfGap * gapMs,
      }];
    });
  }

  function updatePlaces(): void {
    dispatch.setUpstreams(
      [...known.values()]
        .filter(({ listed }) =>
          listed.state === "serving" &&
          services.get(listed.service)?.engine !== undefined
        )
        .map(({ listed }) => ({
          id: listed.id,
          pool: listed.service,
          failureDomain: listed.failureDomain,
          slots: listed.slots,
        })),
      listPools(),
    );
  }

  /** Chooses by this entry's own load, for services without engines. */
  function chooseLeastLoaded(
    service: string,
    tried: ReadonlySet<string>,
  ): session.UpstreamChoice {
    const usable = listUsable(service).filter(({ listed }) =>
      !tried.has(listed.id)
    );
    const healthy = usable.filter(({ listed }) =>
      checked.isAvailable(listed.id)
    );
    const candidates = healthy.length > 0 ? healthy : usable;
    const least = Math.min(...candidates.map((one) => one.open));
    const best = candidates.filter((one) => one.open === least);
    const chosen = best[Math.floor(options.random() * best.length)];
    if (chosen === undefined) {
      const reason = `No upstream of service ${service} is left`;
      return { kind: "none", reason, retryAfterMs: noUpstreamRetryMs };
    }
    return { kind: "chosen", upstream: chosen.upstream };
  }

  function startRequest(
    work: RoutedRequest,
    decide: DecisionHandler,
  ): RoutedRequestPolicy {
    const engine = services.get(work.service)?.engine;
    const arrivedAtMs = clock.now();
    let asked = 0;
    let open: Known | undefined;
    /** Key under which the request waits for a place. */
    let waitingKey: string | undefined;
    /** Key under which its present attempt occupies one. */
    let runningKey: string | undefined;
    const attempts: AttemptRecord[] = [];
    let decidedBy: string | undefined;
    let waitedMs = 0;
    budget.recordRequest();

    function measureAge(): number {
      return Math.round(clock.now() - arrivedAtMs);
    }

    /** Gives the place of the present attempt back. */
    function releaseAttempt(): void {
      if (open !== undefined) open.open -= 1;
      open = undefined;
      if (runningKey !== undefined) dispatch.drop(runningKey);
      runningKey = undefined;
    }

    function withdrawAsking(): void {
      if (waitingKey === undefined) return;
      asking.delete(waitingKey);
      dispatch.drop(waitingKey);
      waitingKey = undefined;
    }

    function askForPlace(tried: ReadonlySet<string>): session.UpstreamChoice {
      const usable = listUsable(work.service);
      if (usable.every(({ listed }) => tried.has(listed.id))) {
        const reason = `No upstream of service ${work.service} is left`;
        return { kind: "none", reason, retryAfterMs: noUpstreamRetryMs };
      }
      asked += 1;
      const key = `${work.requestId}/${asked}`;
      waitingKey = key;
      const ejected = usable.map(({ listed }) => listed.id)
        .filter((id) => !checked.isAvailable(id));
      const nowMs = clock.now();
      asking.set(key, {
        decide(event, by) {
          decidedBy = by;
          waitedMs += clock.now() - nowMs;
          decide(event);
        },
      });
      dispatch.requestSlot({
        key,
        pool: work.service,
        priority: work.priority,
        workspace: work.workspace,
        promptTokens: work.size?.promptTokens ?? 0,
        answerTokens: work.size?.answerTokensHint ??
          work.size?.maxAnswerTokens ?? 0,
        aimLeftMs: work.route.latencyTargetMs - (nowMs - arrivedAtMs),
        leftMs: work.deadlineAtMs - nowMs,
        avoided: [...tried, ...ejected],
      });
      return { kind: "wait" };
    }

    return {
      chooseUpstream: (tried) =>
        engine === undefined
          ? chooseLeastLoaded(work.service, tried)
          : askForPlace(tried),
      takeRetry() {
        const isTaken = budget.take();
        options.metrics.recordRetry(isTaken);
        return isTaken;
      },
      recordPause(pauseMs) {
        if (engine !== undefined) {
          dispatch.recordPause(work.service, pauseMs);
        }
      },
      describe: () => ({
        attempts,
        decidedBy,
        waitedMs: Math.round(waitedMs),
      }),
      recordDispatch(upstream) {
        attempts.push({ upstream: upstream.id, sentMs: measureAge() });
        open = known.get(upstream.id);
        if (open !== undefined) open.open += 1;
        checked.recordSent(upstream.id);
        runningKey = waitingKey;
        waitingKey = undefined;
        if (runningKey === undefined) return;
        dispatch.recordStart({
          key: runningKey,
          upstreamId: upstream.id,
          workspace: work.workspace,
          promptTokens: work.size?.promptTokens ?? 0,
        });
      },
      recordOutcome({ upstream, outcome }) {
        // The next attempt may wait already.
        releaseAttempt();
        const last = attempts.at(-1);
        if (last !== undefined) {
          last.endedMs = measureAge();
          last.outcome = outcome;
        }
        checked.recordOutcome(upstream.id, outcome);
      },
      end() {
        releaseAttempt();
        withdrawAsking();
      },
    };
  }

  return {
    setRouting(settings) {
      services.clear();
      for (const spec of settings.services) services.set(spec.name, spec);
      routes = settings.routes;
      updatePlaces();
    },
    setUpstreams(all) {
      const upstreams = dropSuperseded(all);
      const listedIds = new Set(upstreams.map(({ id }) => id));
      for (const id of [...known.keys()]) {
        if (!listedIds.has(id)) known.delete(id);
      }
      const pools = new Map<string, string[]>();
      for (const listed of upstreams) {
        const { id, service, address } = listed;
        pools.set(service, [...(pools.get(service) ?? []), id]);
        const upstream = {
          id,
          group: service,
          rank: 0,
          address,
          half: "",
          epoch: 0,
        };
        known.set(id, { listed, upstream, open: known.get(id)?.open ?? 0 });
      }
      for (const [service, members] of pools) {
        checked.setPool(service, { members, maxEjectedShare });
      }
      updatePlaces();
    },
    startRequest,
    handleMessage: dispatch.handle,
    countRetriesLeft: budget.count,
    describePools: dispatch.describe,
  };
}

/**
 * Leaves out upstreams whose address a later one has: entries of upstreams that
 * crashed stay in the list until they lapse.
 */
function dropSuperseded(
  upstreams: readonly routing.ListedUpstream[],
): readonly routing.ListedUpstream[] {
  const latest = new Map<string, routing.ListedUpstream>();
  for (const upstream of upstreams) {
    const known = latest.get(upstream.address);
    const isLater = known === undefined ||
      (upstream.startedAtMs ?? 0) > (known.startedAtMs ?? 0);
    if (isLater) latest.set(upstream.address, upstream);
  }
  return [...latest.values()];
}
