/**
 * Scheduler of the hub: grants upstream slots to waiting requests, or refuses
 * the requests. One queue covers all entries, so that no entry dispatches to a
 * rank that another entry has just filled, and a refusal means that no slot is
 * free.
 *
 * - A slot is a unit of an upstream's concurrency. Requests beyond the slots of
 *   a pool wait at the hub, as they could not be ordered at an upstream.
 * - The number of running requests in a pool is limited, so that a forward pass
 *   stays below its target duration. The limit is computed from the highest
 *   recent cost per request, which is the pass time that each running request
 *   adds. All streams of a group wait for its passes, so a single excess
 *   request makes all of them late. If a slow upstream alone makes the passes of
 *   all groups too long, no limit helps, and all slots are used.
 * - A slow upstream gets requests only if the others of its group are much more
 *   loaded, as all of them wait for it. A group that has stopped passing gets
 *   none.
 * - Requests that can still meet their target time for the first event precede
 *   those that cannot, given the time that answers take to begin. Within both,
 *   the order is by priority, then by fewest slots of the workspace, then by age.
 * - A request is refused at once if its predicted wait exceeds a bound. A request
 *   that can't be in time is left what the new requests leave of the slots, so
 *   that its wait has no end while these take all. The retry delay is the
 *   predicted wait plus jitter, so that retries are spread.
 * - An upstream with a rate limit gets no more grants than the limit allows. The
 *   requests that only such upstreams can serve wait or are refused by the sum of
 *   their limits.
 *
 * Designed for bursts and retry storms of 1.5 to 5 times the capacity.
 */
import type * as clock from "../clock.ts";
import type * as random from "../random.ts";
import * as firstPartEstimate from "./first_part_estimate.ts";
import * as groupReports from "./group_reports.ts";
import * as rateBudget from "./rate_budget.ts";
import * as rateLimits from "./rate_limits.ts";
import * as work from "./work.ts";

export interface WorkHubOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /**
   * Maximum wait for a slot, elapsed and predicted, in milliseconds. Callers
   * abandon a stream after 2 s without an event, and the first event takes
   * about 200 ms.
   * @default 1200
   */
  readonly maxWaitMs?: number;
  /**
   * Time after which an entry without a new state is removed, in milliseconds.
   * @default 1500
   */
  readonly stateTtlMs?: number;
  /** Rate limits of the upstreams; by default, those that the states report. */
  readonly rateLimits?: rateLimits.RateLimits;
  /** Reports of the groups of upstreams; none by default. */
  readonly groups?: groupReports.GroupReports;
  /**
   * Returns the share of the entries that this hub can reach, from 0 to 1.
   * @default () => 1
   */
  readonly readReachableShare?: () => number;
}

export interface WorkHub {
  setUpstreams(
    upstreams: readonly work.UpstreamSpec[],
    specs?: readonly work.PoolSpec[],
  ): void;
  /** Applies an entry's state; the next decision answers it. */
  record(state: work.WorkState): void;
  /** Applies an entry's state and decides at once. */
  receive(state: work.WorkState): ReadonlyMap<string, work.Decisions>;
  /** Records that this hub takes over from another. */
  takeOver(): void;
  /**
   * Decides on all requests. Returns the decisions, by id, for the entries whose
   * state is unanswered and for each other entry with a new grant or refusal.
   */
  decide(): ReadonlyMap<string, work.Decisions>;
  /** Returns the waiting requests and used slots of each pool. */
  describe(): readonly PoolLoad[];
}

export interface PoolLoad {
  readonly pool: string;
  readonly waiting: number;
  readonly taken: number;
  readonly slots: number;
  /** Maximum number of running requests. */
  readonly limit: number;
  /** Slots that become free per second. */
  readonly freedPerSecond: number;
  /** Duration of the last reported pass, in milliseconds; 0 if none. */
  readonly passMs: number;
  /** Time in which most answers begin after their dispatch, in milliseconds. */
  readonly firstPartMs: number;
  /** Number of upstreams with a rate limit. */
  readonly rateLimited: number;
  /** Requests that were granted a slot. */
  readonly granted: number;
  /** Those of them whose answer was not expected to begin in time. */
  readonly grantedLate: number;
  /** Requests that were refused. */
  readonly refused: number;
}

interface QueuedRequest extends work.WaitingRequest {
  readonly entryId: string;
  readonly arrivedAtMs: number;
  /** Target time of the first event. */
  readonly aimAtMs: number;
  readonly abandonAtMs: number;
}

interface EntryState {
  state: work.WorkState;
  receivedAtMs: number;
  /** Whether no decisions were returned since the state was received. */
  isUnanswered: boolean;
  /** Grants that the entry has not acknowledged yet, by request key. */
  readonly pendingGrants: Map<string, PendingGrant>;
  readonly queued: Map<string, QueuedRequest>;
  /** Refusals that the entry has not acknowledged yet, by request key. */
  readonly denials: Map<string, work.Denial>;
}

interface PendingGrant {
  readonly grant: work.Grant;
  readonly request: QueuedRequest;
  /** Sequence of the first state that can acknowledge the grant. */
  readonly firstSequence: number;
  readonly grantedAtMs: number;
}

interface PoolState {
  readonly upstreams: work.UpstreamSpec[];
  readonly spec: work.PoolSpec | undefined;
  /** Highest recent cost per running request, and when it was measured. */
  maxCostMs: number;
  maxCostAtMs: number;
  /** Time since which all reported passes were too long. */
  longPassesSinceMs: number | undefined;
  /** Duration of the last reported pass; 0 if none. */
  lastPassMs: number;
  readonly firstPart: firstPartEstimate.FirstPartEstimate;
  /** Moving average of the rate at which slots become free. */
  freedPerSecond: number;
  freedSlots: number;
  /** Moving average of the rate of new requests that can be in time. */
  timelyPerSecond: number;
  timelyRequests: number;
  rateUpdatedAtMs: number;
  granted: number;
  grantedLate: number;
  refused: number;
}

const defaultMaxWaitMs = 1_200;
const defaultStateTtlMs = 1_500;
const rateUpdateIntervalMs = 500;
/** Weight of a new value in the rate at which slots become free. */
const rateWeight = 0.3;
/** Half-life of the highest cost; it decays because demand may shift again. */
const costHalfLifeMs = 10_000;
/** Share of used slots below which the cost per request cannot be measured. */
const minSampleShare = 0.2;
/** Minimum limit of a pool, as a share of its slots. */
const minLimitShare = 0.65;
/** The same while a slow upstream is known to be what makes passes long. */
const minSlowLimitShare = 0.4;
/**
 * Part of the target that passes without requests may take; above it, the cost of
 * a few requests exceeds the rest.
 */
const maxBaseShare = 0.9;
/** Requests by which a pace of 2 makes an upstream seem more loaded. */
const slowWeight = 8;
/**
 * Passes longer than the target by this factor may include the wait of a switch
 * round, in which the group changes to another expert map.
 */
const maxPassOverTarget = 1.25;
/** Time after which such passes are attributed to a slow rank. */
const longPassesMs = 1_000;
const millisecondsPerSecond = 1_000;
const minRetryMs = 100;
const maxRetryMs = 2_500;
/** Maximum jitter of a retry delay, as a share of it. */
const retryJitterShare = 0.5;
/** Number of prompt tokens that load a rank as much as one request. */
const tokensPerRequest = 2_000;

/** Creates a hub without upstreams. */
export function createWorkHub(options: WorkHubOptions): WorkHub {
  const { clock } = options;
  const maxWaitMs = options.maxWaitMs ?? defaultMaxWaitMs;
  const stateTtlMs = options.stateTtlMs ?? defaultStateTtlMs;
  const entries = new Map<string, EntryState>();
  const pools = new Map<string, PoolState>();
  const limits = options.rateLimits ?? rateLimits.createRateLimits({ clock });
  const groups = options.groups ?? groupReports.createGroupReports({ clock });
  const budget = rateBudget.createRateBudget({
    clock,
    limits,
    readShare: () => (reachableShare ??= options.readReachableShare?.() ?? 1),
  });
  /** Undefined until it is read for the current decision. */
  let reachableShare: number | undefined;
  const upstreamById = new Map<string, work.UpstreamSpec>();
  /** Number of requests and prompt tokens at each upstream. */
  const usage = new Map<string, { requests: number; tokens: number }>();

  function removeExpiredEntries(): void {
    const oldestMs = clock.now() - stateTtlMs;
    for (const [id, entry] of entries) {
      if (entry.receivedAtMs < oldestMs) entries.delete(id);
    }
  }

  function updateUsage(): void {
    usage.clear();
    const add = (upstreamId: string, tokens: number) => {
      const load = usage.get(upstreamId) ?? { requests: 0, tokens: 0 };
      load.requests += 1;
      load.tokens += tokens;
      usage.set(upstreamId, load);
    };
    for (const { state, pendingGrants } of entries.values()) {
      for (const running of state.running) {
        add(running.upstreamId, running.promptTokens);
      }
      for (const { grant, request } of pendingGrants.values()) {
        add(grant.upstreamId, request.promptTokens);
      }
    }
  }

  function countFreeSlots(upstream: work.UpstreamSpec): number {
    return upstream.slots - (usage.get(upstream.id)?.requests ?? 0);
  }

  function countSlots(pool: PoolState): number {
    return pool.upstreams.reduce((sum, { slots }) => sum + slots, 0);
  }

  function countUsedSlots(pool: PoolState): number {
    return pool.upstreams.reduce(
      (sum, { id }) => sum + (usage.get(id)?.requests ?? 0),
      0,
    );
  }

  function computeMaxCost(pool: PoolState): number {
    const ageMs = clock.now() - pool.maxCostAtMs;
    return pool.maxCostMs * 2 ** (-ageMs / costHalfLifeMs);
  }

  /** Returns whether a pass reflects cost rather than a switch round's wait. */
  function isCostSample(pool: PoolState, { passMs, spec }: {
    readonly passMs: number;
    readonly spec: work.PoolSpec;
  }): boolean {
    if (passMs <= maxPassOverTarget * spec.targetPassMs) {
      pool.longPassesSinceMs = undefined;
      return true;
    }
    pool.longPassesSinceMs ??= clock.now();
    return clock.now() - pool.longPassesSinceMs >= longPassesMs;
  }

  /** Updates the highest cost per request from a reported pass. */
  function recordPass({ pool: name, passMs }: work.PassTime): void {
    const pool = pools.get(name);
    const spec = pool?.spec;
    if (pool === undefined || spec === undefined) return;
    pool.lastPassMs = passMs;
    if (!isCostSample(pool, { passMs, spec })) return;
    const running = countUsedSlots(pool);
    if (running < minSampleShare * countSlots(pool)) return;
    // A cost above this cap would not lower the limit, only delay its recovery.
    const basePassMs = computeBasePass(pool, spec);
    const costCap = Math.max(0, spec.targetPassMs - basePassMs) /
      (computeMinLimitShare(pool) * countSlots(pool));
    const measured = Math.max(0, passMs - basePassMs) / running;
    const cost = Math.min(costCap, measured);
    if (cost <= computeMaxCost(pool)) return;
    pool.maxCostMs = cost;
    pool.maxCostAtMs = clock.now();
  }

  /** Computes the maximum number of running requests. */
  function computeLimit(pool: PoolState): number {
    const slots = countSlots(pool);
    const cost = computeMaxCost(pool);
    if (pool.spec === undefined || cost === 0) return slots;
    const { targetPassMs } = pool.spec;
    const basePassMs = computeBasePass(pool, pool.spec);
    if (basePassMs > maxBaseShare * targetPassMs) return slots;
    const limit = Math.floor((targetPassMs - basePassMs) / cost);
    return Math.min(slots, Math.max(computeMinLimitShare(pool) * slots, limit));
  }

  /** Returns the lowest pace of the groups of a pool. */
  function findLowestPace({ upstreams }: PoolState): number {
    return Math.min(
      ...upstreams.map(({ address }) =>
        address === undefined ? 1 : groups.getGroupPace(address)
      ),
    );
  }

  /** Computes the duration of a pass without requests. */
  function computeBasePass(
    pool: PoolState,
    { basePassMs }: work.PoolSpec,
  ): number {
    return basePassMs * findLowestPace(pool);
  }

  function computeMinLimitShare(pool: PoolState): number {
    return findLowestPace(pool) > 1 ? minSlowLimitShare : minLimitShare;
  }

  /** Computes the load by which upstreams with free slots are compared. */
  function computeLoad({ id, address }: work.UpstreamSpec): number {
    const load = usage.get(id);
    const ownLoad = load === undefined
      ? 0
      : load.requests + load.tokens / tokensPerRequest;
    if (address === undefined) return ownLoad;
    // A slow upstream slows its group, and itself more than the others of it.
    const excessPace = groups.getPace(address) + groups.getGroupPace(address) -
      2;
    return ownLoad + slowWeight * excessPace;
  }

  function isStalled({ address }: work.UpstreamSpec): boolean {
    return address !== undefined && groups.isStalled(address);
  }

  function chooseUpstream(
    request: QueuedRequest,
    upstreams: readonly work.UpstreamSpec[],
  ): work.UpstreamSpec | undefined {
    const domain = entries.get(request.entryId)?.state.failureDomain;
    let best: work.UpstreamSpec | undefined;
    let bestWeight = Infinity;
    for (const upstream of upstreams) {
      if (
        countFreeSlots(upstream) <= 0 ||
        request.avoided.includes(upstream.id) || !budget.hasToken(upstream.id)
      ) continue;
      const isSameDomain = upstream.failureDomain === domain;
      // Ties are resolved by the entry's failure domain, then at random.
      const weight = computeLoad(upstream) + (isSameDomain ? 0 : 0.01) +
        options.random() * 0.005;
      if (weight >= bestWeight) continue;
      best = upstream;
      bestWeight = weight;
    }
    return best;
  }

  /** Whether the answer to a request can't be expected to begin in time. */
  function isLate({ aimAtMs }: QueuedRequest, pool: PoolState): boolean {
    return aimAtMs < clock.now() + pool.firstPart.get();
  }

  function listQueue(poolName: string): QueuedRequest[] {
    const pool = pools.get(poolName);
    if (pool === undefined) return [];
    const slotsByWorkspace = countByWorkspace(poolName);
    return [...entries.values()]
      .flatMap(({ queued }) => [...queued.values()])
      .filter((request) => request.pool === poolName)
      .sort((a, b) =>
        Number(isLate(a, pool)) - Number(isLate(b, pool)) ||
        a.priority - b.priority ||
        compareSlots(a, b, slotsByWorkspace) ||
        a.arrivedAtMs - b.arrivedAtMs
      );
  }

  /** Counts the used slots of a pool by workspace. */
  function countByWorkspace(poolName: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    const add = (workspace: string) =>
      counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    for (const { state, pendingGrants } of entries.values()) {
      for (const { upstreamId, workspace } of state.running) {
        if (upstreamById.get(upstreamId)?.pool === poolName) add(workspace);
      }
      for (const { request } of pendingGrants.values()) {
        if (request.pool === poolName) add(request.workspace);
      }
    }
    return counts;
  }

  function updateRate(pool: PoolState): void {
    const nowMs = clock.now();
    const elapsedMs = nowMs - pool.rateUpdatedAtMs;
    if (elapsedMs < rateUpdateIntervalMs) return;
    const perSecond = millisecondsPerSecond / elapsedMs;
    pool.freedPerSecond = updateAverage(
      pool.freedPerSecond,
      pool.freedSlots * perSecond,
    );
    pool.timelyPerSecond = updateAverage(
      pool.timelyPerSecond,
      pool.timelyRequests * perSecond,
    );
    pool.freedSlots = 0;
    pool.timelyRequests = 0;
    pool.rateUpdatedAtMs = nowMs;
  }

  function grantSlots(poolName: string, pool: PoolState): void {
    let remaining = computeLimit(pool) - countUsedSlots(pool);
    const queue = listQueue(poolName);
    if (queue.length === 0) return;
    const usable = pool.upstreams.filter((upstream) =>
      budget.hasToken(upstream.id) && !isStalled(upstream)
    );
    if (usable.length === 0) return;
    for (const request of queue) {
      if (remaining < 1) return;
      const upstream = chooseUpstream(request, usable);
      if (upstream === undefined) continue;
      const entry = entries.get(request.entryId);
      if (entry === undefined) continue;
      remaining -= 1;
      pool.granted += 1;
      if (isLate(request, pool)) pool.grantedLate += 1;
      budget.take(upstream.id);
      entry.queued.delete(request.key);
      entry.pendingGrants.set(request.key, {
        grant: {
          key: request.key,
          upstreamId: upstream.id,
          address: upstream.address,
        },
        request,
        firstSequence: entry.state.sequence + 1,
        grantedAtMs: clock.now(),
      });
      const load = usage.get(upstream.id) ?? { requests: 0, tokens: 0 };
      load.requests += 1;
      load.tokens += request.promptTokens;
      usage.set(upstream.id, load);
    }
  }

  /**
   * Refuses requests whose predicted wait is too long. The prediction uses the
   * rate at which slots become free. Requests still in the queue got no slot:
   * the limit is reached, or the request avoids all upstreams with free slots,
   * or those that it does not avoid have reached their rate limits.
   */
  function refuseLongWaits(poolName: string, pool: PoolState): void {
    const queue = listQueue(poolName);
    if (queue.length === 0) return;
    const nowMs = clock.now();
    const unlimited = pool.upstreams.filter(({ id }) => !limits.isLimited(id));
    let total: rateBudget.TokenSum | undefined;
    const isSlotFree = computeLimit(pool) - countUsedSlots(pool) >= 1;
    let rateLimitedCount = 0;
    const sparePerSecond = pool.freedPerSecond - pool.timelyPerSecond;
    queue.forEach((request, index) => {
      const isRateLimited = unlimited.every(({ id }) =>
        request.avoided.includes(id)
      );
      if (isRateLimited) rateLimitedCount += 1;
      const slotsPerSecond = isLate(request, pool)
        ? Math.max(0, sparePerSecond)
        : pool.freedPerSecond;
      const slotWaitMs =
        pool.freedPerSecond === 0 || (isRateLimited && isSlotFree)
          ? 0
          : (index + 1) * millisecondsPerSecond / slotsPerSecond;
      let rateWaitMs = 0;
      if (isRateLimited) {
        total ??= budget.sum(pool.upstreams.map(({ id }) => id));
        const position = rateLimitedCount;
        rateWaitMs = estimateRateWait(request, { position, total, poolName });
      }
      const predictedWaitMs = Math.max(slotWaitMs, rateWaitMs);
      const waitedMs = nowMs - request.arrivedAtMs;
      const isTooLong = waitedMs + predictedWaitMs > maxWaitMs ||
        nowMs + predictedWaitMs > request.abandonAtMs;
      if (!isTooLong) return;
      pool.refused += 1;
      const entry = entries.get(request.entryId);
      entry?.queued.delete(request.key);
      entry?.denials.set(request.key, {
        key: request.key,
        retryAfterMs: computeRetryMs(predictedWaitMs),
        cause: rateWaitMs > slotWaitMs ? "rate_limits" : "slots",
      });
      // Its place in the order is free for the next request.
      if (isRateLimited) rateLimitedCount -= 1;
    });
  }

  /** Estimates the wait of the nth request that rate limits hold back. */
  function estimateRateWait(
    { avoided }: QueuedRequest,
    { position, total, poolName }: {
      readonly position: number;
      /** Sum of all upstreams of the pool. */
      readonly total: rateBudget.TokenSum;
      readonly poolName: string;
    },
  ): number {
    const excluded = budget.sum(
      avoided.filter((id) => upstreamById.get(id)?.pool === poolName),
    );
    const ratePerMs = total.ratePerMs - excluded.ratePerMs;
    if (ratePerMs < Number.EPSILON) return 0;
    const missing = position - (total.tokens - excluded.tokens);
    return Math.max(0, missing) / ratePerMs;
  }

  function computeRetryMs(predictedWaitMs: number): number {
    const jitter = 1 + retryJitterShare * options.random();
    const maxWithoutJitterMs = maxRetryMs / (1 + retryJitterShare);
    const delayMs = Math.min(maxWithoutJitterMs, predictedWaitMs) * jitter;
    return Math.round(Math.max(minRetryMs, delayMs));
  }

  function listDecidedKeys(
    { pendingGrants, denials }: EntryState,
  ): readonly string[] {
    return [...pendingGrants.keys(), ...denials.keys()];
  }

  /** Decides on all requests; returns the entries with new decisions. */
  function decideAll(): Map<string, work.Decisions> {
    const before = new Map(
      [...entries].map(([id, entry]) => [id, new Set(listDecidedKeys(entry))]),
    );
    reachableShare = undefined;
    removeExpiredEntries();
    updateUsage();
    for (const [name, pool] of pools) {
      updateRate(pool);
      grantSlots(name, pool);
      refuseLongWaits(name, pool);
    }
    const decided = new Map<string, work.Decisions>();
    for (const [id, entry] of entries) {
      const previous = before.get(id);
      const isDue = entry.isUnanswered ||
        listDecidedKeys(entry).some((key) => !previous?.has(key));
      entry.isUnanswered = false;
      if (isDue) decided.set(id, collectDecisions(entry));
    }
    return decided;
  }

  function collectDecisions(entry: EntryState): work.Decisions {
    const denials = [...entry.denials.values()];
    const grants = [...entry.pendingGrants.values()].map(({ grant }) => grant);
    const receiverHash = entry.state.rateLimits?.hash;
    return {
      sequence: entry.state.sequence,
      grants,
      denials,
      rateLimits: limits.buildMessage(receiverHash),
    };
  }

  /** Counts the slots that an entry has released since its last state. */
  function countFreed(before: work.WorkState, state: work.WorkState): void {
    const runningKeys = new Set(state.running.map(({ key }) => key));
    for (const { key, upstreamId } of before.running) {
      const pool = pools.get(upstreamById.get(upstreamId)?.pool ?? "");
      if (pool !== undefined && !runningKeys.has(key)) pool.freedSlots += 1;
    }
  }

  function countTimely(request: work.WaitingRequest): void {
    const pool = pools.get(request.pool);
    if (pool === undefined) return;
    if (request.aimLeftMs >= pool.firstPart.get()) pool.timelyRequests += 1;
  }

  function updateEntry(entry: EntryState, state: work.WorkState): void {
    const nowMs = clock.now();
    countFreed(entry.state, state);
    entry.state = state;
    entry.receivedAtMs = nowMs;
    entry.isUnanswered = true;
    const runningKeys = new Set(state.running.map(({ key }) => key));
    const waitingKeys = new Set(state.waiting.map(({ key }) => key));
    for (const [key, pending] of entry.pendingGrants) {
      // The request runs, was abandoned, or the grant was lost.
      const isSettled = runningKeys.has(key) ||
        (state.sequence >= pending.firstSequence && !waitingKeys.has(key)) ||
        nowMs - pending.grantedAtMs > work.grantTtlMs;
      if (isSettled) entry.pendingGrants.delete(key);
    }
    for (const key of entry.denials.keys()) {
      if (!waitingKeys.has(key)) entry.denials.delete(key);
    }
    for (const key of entry.queued.keys()) {
      if (!waitingKeys.has(key)) entry.queued.delete(key);
    }
    for (const request of state.waiting) {
      if (
        entry.pendingGrants.has(request.key) || entry.denials.has(request.key)
      ) {
        continue;
      }
      const existing = entry.queued.get(request.key);
      if (existing === undefined) countTimely(request);
      entry.queued.set(request.key, {
        ...request,
        entryId: state.entryId,
        arrivedAtMs: existing?.arrivedAtMs ?? nowMs - request.ageMs,
        aimAtMs: existing?.aimAtMs ?? nowMs + request.aimLeftMs,
        abandonAtMs: existing?.abandonAtMs ?? nowMs + request.leftMs,
      });
    }
  }

  function recordState(state: work.WorkState): void {
    let entry = entries.get(state.entryId);
    if (entry === undefined || state.sequence < entry.state.sequence) {
      // New or restarted entry.
      entry = {
        state: { ...state, running: [], waiting: [] },
        receivedAtMs: clock.now(),
        isUnanswered: true,
        pendingGrants: new Map(),
        queued: new Map(),
        denials: new Map(),
      };
      entries.set(state.entryId, entry);
    }
    updateEntry(entry, state);
    if (state.rateLimits !== undefined) limits.merge(state.rateLimits);
    state.passes.forEach(recordPass);
    for (const { pool, afterMs } of state.firstParts ?? []) {
      for (const sampleMs of afterMs) {
        pools.get(pool)?.firstPart.observe(sampleMs);
      }
    }
  }

  return {
    setUpstreams(upstreams, specs = []) {
      budget.retain(new Set(upstreams.map(({ id }) => id)));
      upstreamById.clear();
      const before = new Map(pools);
      pools.clear();
      for (const upstream of upstreams) {
        upstreamById.set(upstream.id, upstream);
        const existing = pools.get(upstream.pool);
        if (existing !== undefined) {
          existing.upstreams.push(upstream);
          continue;
        }
        const previous = before.get(upstream.pool);
        pools.set(upstream.pool, {
          upstreams: [upstream],
          spec: specs.find(({ pool }) => pool === upstream.pool),
          maxCostMs: previous?.maxCostMs ?? 0,
          maxCostAtMs: previous?.maxCostAtMs ?? 0,
          longPassesSinceMs: previous?.longPassesSinceMs,
          lastPassMs: previous?.lastPassMs ?? 0,
          firstPart: previous?.firstPart ??
            firstPartEstimate.createFirstPartEstimate(),
          freedPerSecond: previous?.freedPerSecond ?? 0,
          freedSlots: previous?.freedSlots ?? 0,
          timelyPerSecond: previous?.timelyPerSecond ?? 0,
          timelyRequests: previous?.timelyRequests ?? 0,
          rateUpdatedAtMs: previous?.rateUpdatedAtMs ?? clock.now(),
          granted: previous?.granted ?? 0,
          grantedLate: previous?.grantedLate ?? 0,
          refused: previous?.refused ?? 0,
        });
      }
    },
    record: recordState,
    receive(state) {
      recordState(state);
      return decideAll();
    },
    takeOver: budget.reset,
    decide: decideAll,
    describe: () =>
      [...pools].map(([name, pool]) => ({
        pool: name,
        waiting: listQueue(name).length,
        taken: countUsedSlots(pool),
        slots: countSlots(pool),
        limit: computeLimit(pool),
        freedPerSecond: pool.freedPerSecond,
        passMs: Math.round(pool.lastPassMs),
        firstPartMs: Math.round(pool.firstPart.get()),
        rateLimited: pool.upstreams.filter(({ id }) => limits.isLimited(id))
          .length,
        granted: pool.granted,
        grantedLate: pool.grantedLate,
        refused: pool.refused,
      })),
  };
}

/** Returns a moving average; the first rate above 0 counts in full. */
function updateAverage(average: number, rate: number): number {
  return average === 0 ? rate : average + rateWeight * (rate - average);
}

function compareSlots(
  a: QueuedRequest,
  b: QueuedRequest,
  counts: ReadonlyMap<string, number>,
): number {
  return (counts.get(a.workspace) ?? 0) - (counts.get(b.workspace) ?? 0);
}
