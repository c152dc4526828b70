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
 *   request makes all of them late.
 * - Requests that can still meet their target time for the first event precede
 *   those that cannot. Within both, the order is by priority, then by fewest
 *   slots of the workspace, then by age. Among late requests, those whose
 *   callers have the least time left come first, as they may not return once
 *   more.
 * - A request is refused at once if its predicted wait exceeds a bound. The
 *   retry delay is the predicted wait plus jitter, so that retries are spread.
 * - Upstreams whose group runs no passes get no requests. While a pool has no
 *   other upstreams, no wait can be predicted: requests wait as long as their
 *   callers do, and a refused caller returns as late as it would return at all,
 *   because it may not return twice.
 * - After such an outage, late requests use only the slots that the expected
 *   arrivals of requests in time leave over. Otherwise, those that waited would
 *   take all slots at once and make those that follow late too. Requests beyond
 *   these slots are refused at once during the outage.
 *
 * Designed for bursts and retry storms of 1.5 to 5 times the capacity, and for
 * groups that are down for some seconds.
 */
import type * as clock from "../clock.ts";
import type * as random from "../random.ts";
import type * as work from "./work.ts";

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
}

export interface WorkHub {
  setUpstreams(
    upstreams: readonly work.UpstreamSpec[],
    specs?: readonly work.PoolSpec[],
  ): void;
  /** Replaces the ids of the upstreams whose group runs no passes. */
  setUnavailable(upstreamIds: ReadonlySet<string>): void;
  /**
   * Applies an entry's state. Returns the decisions for this entry and for each
   * other entry with a new grant or refusal, by entry id.
   */
  receive(state: work.WorkState): ReadonlyMap<string, work.Decisions>;
  /** Decides again, for example after slots were added. */
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
  /** Upstreams whose group runs no passes. */
  readonly unavailable: number;
  /** Duration of the last reported pass, in milliseconds; 0 if none. */
  readonly passMs: number;
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
  /** Grants that the entry has not acknowledged yet, by request key. */
  readonly pendingGrants: Map<string, PendingGrant>;
  readonly queued: Map<string, QueuedRequest>;
  /** Running requests with their start and whether they were granted late. */
  readonly runs: Map<string, Run>;
  /** Refusals that the entry has not acknowledged yet, by request key. */
  readonly denials: Map<string, work.Denial>;
}

interface Run {
  readonly upstreamId: string;
  readonly isLate: boolean;
  readonly startedAtMs: number;
}

interface PendingGrant {
  readonly grant: work.Grant;
  readonly request: QueuedRequest;
  /** Sequence of the first state that can acknowledge the grant. */
  readonly firstSequence: number;
  readonly grantedAtMs: number;
  readonly isLate: boolean;
}

interface PoolState {
  readonly upstreams: work.UpstreamSpec[];
  readonly spec: work.PoolSpec | undefined;
  /**
   * Highest recent cost per running request, and when it was measured; 0 before
   * the first measurement.
   */
  maxCostMs: number;
  maxCostAtMs: number;
  /** Time since which all reported passes were too long. */
  longPassesSinceMs: number | undefined;
  /** Duration of the last reported pass; 0 if none. */
  lastPassMs: number;
  /** Moving average of the rate at which slots become free. */
  freedPerSecond: number;
  freedSlots: number;
  /** Moving average of the rate of requests that can still be in time. */
  timelyPerSecond: number;
  timelyRequests: number;
  rateUpdatedAtMs: number;
  /** Moving average of the time for which a request occupies its slot. */
  serviceMs: number;
  /** Start of the last outage, and the end of the recovery from it. */
  downSinceMs: number | undefined;
  recoveredAtMs: number;
}

const defaultMaxWaitMs = 1_200;
const defaultStateTtlMs = 1_500;
/** Time after which an unacknowledged grant is assumed lost. */
const grantTimeoutMs = 400;
const rateUpdateIntervalMs = 500;
/** Weight of a new value in the rates of arrivals and of freed slots. */
const rateWeight = 0.3;
/** Weight of a new value in the time for which requests occupy their slots. */
const serviceWeight = 0.05;
/** Assumed before any request was observed from its start to its end. */
const defaultServiceMs = 2_000;
/** Half-life of the highest cost; it decays because demand may shift again. */
const costHalfLifeMs = 2_500;
/** Share of used slots below which the cost per request cannot be measured. */
const minSampleShare = 0.2;
/** Minimum limit of a pool, as a share of its slots. */
const minLimitShare = 0.65;
/**
 * Passes longer than the target by this factor may include the wait of a switch
 * round, in which the group changes to another expert map.
 */
const maxPassOverTarget = 1.25;
/**
 * Share of the limit up to which late requests are granted after an outage; near
 * the limit, the first events of all requests come later.
 */
const lateLimitShare = 0.8;
/** Time after which such passes are attributed to a slow rank. */
const longPassesMs = 1_000;
const millisecondsPerSecond = 1_000;
const minRetryMs = 100;
const maxRetryMs = 2_500;
/** Maximum jitter of a retry delay, as a share of it. */
const retryJitterShare = 0.5;
/** Jitter of the retry delay while a pool is down, as a share of it. */
const outageJitterShare = 0.2;
/** Number of prompt tokens that load a rank as much as one request. */
const tokensPerRequest = 2_000;

/** Creates a hub without upstreams. */
export function createWorkHub(options: WorkHubOptions): WorkHub {
  const { clock } = options;
  const maxWaitMs = options.maxWaitMs ?? defaultMaxWaitMs;
  const stateTtlMs = options.stateTtlMs ?? defaultStateTtlMs;
  const entries = new Map<string, EntryState>();
  const pools = new Map<string, PoolState>();
  const upstreamById = new Map<string, work.UpstreamSpec>();
  let unavailableIds: ReadonlySet<string> = new Set();
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

  function listAvailable(pool: PoolState): readonly work.UpstreamSpec[] {
    return pool.upstreams.filter(({ id }) => !unavailableIds.has(id));
  }

  /** Whether no upstream of the pool can serve a request. */
  function isDown(pool: PoolState): boolean {
    return listAvailable(pool).length === 0;
  }

  /** Counts the slots that are in service, or all slots during an outage. */
  function countSlots(pool: PoolState): number {
    const upstreams = isDown(pool) ? pool.upstreams : listAvailable(pool);
    return upstreams.reduce((sum, { slots }) => sum + slots, 0);
  }

  function countUsedSlots(pool: PoolState): number {
    return listAvailable(pool).reduce(
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

  /**
   * Computes the cost at which the limit is lowest. A higher cost would not
   * lower the limit, only delay its recovery.
   */
  function computeCostCap(pool: PoolState, spec: work.PoolSpec): number {
    return (spec.targetPassMs - spec.basePassMs) /
      (minLimitShare * countSlots(pool));
  }

  /** Updates the highest cost per request from a reported pass. */
  function recordPass({ pool: name, passMs }: work.PassTime): void {
    const pool = pools.get(name);
    const spec = pool?.spec;
    if (pool === undefined || spec === undefined) return;
    pool.lastPassMs = passMs;
    if (!isCostSample(pool, { passMs, spec })) return;
    const running = countUsedSlots(pool);
    if (isDown(pool) || running < minSampleShare * countSlots(pool)) return;
    const measured = Math.max(0, passMs - spec.basePassMs) / running;
    const cost = Math.min(computeCostCap(pool, spec), measured);
    if (cost <= computeMaxCost(pool)) return;
    pool.maxCostMs = cost;
    pool.maxCostAtMs = clock.now();
  }

  /** Computes the maximum number of running requests. */
  function computeLimit(pool: PoolState): number {
    const slots = countSlots(pool);
    if (pool.spec === undefined) return slots;
    const cost = computeMaxCost(pool);
    const minLimit = Math.min(slots, Math.max(1, minLimitShare * slots));
    if (cost === 0) return minLimit;
    const { targetPassMs, basePassMs } = pool.spec;
    const limit = Math.floor((targetPassMs - basePassMs) / cost);
    return Math.min(slots, Math.max(minLimit, limit));
  }

  /** Computes the load by which upstreams with free slots are compared. */
  function computeLoad(upstream: work.UpstreamSpec): number {
    const load = usage.get(upstream.id);
    if (load === undefined) return 0;
    return load.requests + load.tokens / tokensPerRequest;
  }

  function chooseUpstream(
    request: QueuedRequest,
    pool: PoolState,
  ): work.UpstreamSpec | undefined {
    const domain = entries.get(request.entryId)?.state.failureDomain;
    let best: work.UpstreamSpec | undefined;
    let bestWeight = Infinity;
    for (const upstream of listAvailable(pool)) {
      if (
        countFreeSlots(upstream) <= 0 || request.avoided.includes(upstream.id)
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

  function isLate(request: QueuedRequest): boolean {
    return request.aimAtMs < clock.now();
  }

  function listQueue(poolName: string): QueuedRequest[] {
    const slotsByWorkspace = countByWorkspace(poolName);
    return [...entries.values()]
      .flatMap(({ queued }) => [...queued.values()])
      .filter(({ pool }) => pool === poolName)
      .sort((a, b) =>
        Number(isLate(a)) - Number(isLate(b)) ||
        a.priority - b.priority ||
        compareSlots(a, b, slotsByWorkspace) ||
        (isLate(a) ? a.maxRetryMs - b.maxRetryMs : 0) ||
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
    const computeRate = (previous: number, count: number): number => {
      const rate = count * millisecondsPerSecond / elapsedMs;
      return previous === 0 ? rate : previous + rateWeight * (rate - previous);
    };
    // The rate from before an outage applies again after it.
    if (!isDown(pool)) {
      pool.freedPerSecond = computeRate(pool.freedPerSecond, pool.freedSlots);
    }
    pool.timelyPerSecond = computeRate(
      pool.timelyPerSecond,
      pool.timelyRequests,
    );
    pool.freedSlots = 0;
    pool.timelyRequests = 0;
    pool.rateUpdatedAtMs = nowMs;
  }

  /**
   * Updates the outage of a pool. Requests that start at the same time free
   * their slots only after the service time, and refused callers return over a
   * time as long as the outage; until then, the pool recovers.
   */
  function updateOutage(pool: PoolState): void {
    const nowMs = clock.now();
    if (isDown(pool)) {
      pool.downSinceMs ??= nowMs;
    } else if (pool.downSinceMs !== undefined) {
      const outageMs = nowMs - pool.downSinceMs;
      pool.recoveredAtMs = nowMs + Math.max(pool.serviceMs, outageMs);
      pool.downSinceMs = undefined;
      // The group opens with its initial expert map, whose cost is unknown.
      pool.maxCostMs = 0;
    }
  }

  function isRecovering(pool: PoolState): boolean {
    return clock.now() < pool.recoveredAtMs;
  }

  /**
   * Estimates the rate at which slots become free. After an outage, the observed
   * rate is low until the first requests end.
   */
  function estimateFreedRate(pool: PoolState): number {
    const expected = countUsedSlots(pool) * millisecondsPerSecond /
      pool.serviceMs;
    return isRecovering(pool)
      ? Math.max(expected, pool.freedPerSecond)
      : pool.freedPerSecond;
  }

  /** Computes how many more late requests may run. */
  function countSlotsForLate(poolName: string, pool: PoolState): number {
    if (!isRecovering(pool)) return Infinity;
    const timelySlots = pool.timelyPerSecond * pool.serviceMs /
      millisecondsPerSecond;
    const lateSlots = Math.max(
      0,
      lateLimitShare * computeLimit(pool) - timelySlots,
    );
    return lateSlots - countLateRuns(poolName);
  }

  function countLateRuns(poolName: string): number {
    let count = 0;
    for (const { runs, pendingGrants } of entries.values()) {
      for (const { isLate, upstreamId } of runs.values()) {
        const isOfPool = upstreamById.get(upstreamId)?.pool === poolName;
        if (isLate && isOfPool) count += 1;
      }
      for (const { isLate, request } of pendingGrants.values()) {
        if (isLate && request.pool === poolName) count += 1;
      }
    }
    return count;
  }

  function grantSlots(poolName: string, pool: PoolState): void {
    if (isDown(pool)) return;
    let remaining = computeLimit(pool) - countUsedSlots(pool);
    let remainingForLate = countSlotsForLate(poolName, pool);
    for (const request of listQueue(poolName)) {
      const isRequestLate = isLate(request);
      if (remaining < 1 || (isRequestLate && remainingForLate < 1)) return;
      const upstream = chooseUpstream(request, pool);
      if (upstream === undefined) continue;
      const entry = entries.get(request.entryId);
      if (entry === undefined) continue;
      remaining -= 1;
      if (isRequestLate) remainingForLate -= 1;
      entry.queued.delete(request.key);
      entry.pendingGrants.set(request.key, {
        grant: { key: request.key, upstreamId: upstream.id },
        request,
        firstSequence: entry.state.sequence + 1,
        grantedAtMs: clock.now(),
        isLate: isRequestLate,
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
   * the limit is reached, or the request avoids all upstreams with free slots.
   */
  function refuseLongWaits(poolName: string, pool: PoolState): void {
    const queue = listQueue(poolName);
    const nowMs = clock.now();
    const freedPerSecond = estimateFreedRate(pool);
    queue.forEach((request, index) => {
      const predictedWaitMs = isDown(pool) || freedPerSecond === 0
        ? 0
        : (index + 1) * millisecondsPerSecond / freedPerSecond;
      const waitedMs = nowMs - request.arrivedAtMs;
      const isTooLong = isDown(pool)
        ? index >= computeLimit(pool)
        : waitedMs + predictedWaitMs > maxWaitMs;
      const isAbandoned = nowMs + predictedWaitMs > request.abandonAtMs;
      if (!isTooLong && !isAbandoned) return;
      const entry = entries.get(request.entryId);
      entry?.queued.delete(request.key);
      entry?.denials.set(request.key, {
        key: request.key,
        retryAfterMs: isDown(pool) || isRecovering(pool)
          ? computeOutageRetryMs(request)
          : computeRetryMs(predictedWaitMs),
      });
    });
  }

  function computeRetryMs(predictedWaitMs: number): number {
    const jitter = 1 + retryJitterShare * options.random();
    const delayMs = Math.max(minRetryMs, predictedWaitMs * jitter);
    return Math.round(Math.min(maxRetryMs, delayMs));
  }

  /** Computes the retry delay while it is unknown how long a pool is down. */
  function computeOutageRetryMs({ maxRetryMs }: QueuedRequest): number {
    const delayMs = maxRetryMs * (1 - outageJitterShare * options.random());
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
    removeExpiredEntries();
    updateUsage();
    for (const [name, pool] of pools) {
      updateOutage(pool);
      updateRate(pool);
      grantSlots(name, pool);
      refuseLongWaits(name, pool);
    }
    const decided = new Map<string, work.Decisions>();
    for (const [id, entry] of entries) {
      const previous = before.get(id);
      const isNew = listDecidedKeys(entry).some((key) => !previous?.has(key));
      if (isNew) decided.set(id, collectDecisions(entry));
    }
    return decided;
  }

  function collectDecisions(entry: EntryState): work.Decisions {
    const denials = [...entry.denials.values()];
    const grants = [...entry.pendingGrants.values()].map(({ grant }) => grant);
    return { sequence: entry.state.sequence, grants, denials };
  }

  function findPool(upstreamId: string): PoolState | undefined {
    return pools.get(upstreamById.get(upstreamId)?.pool ?? "");
  }

  /** Records the requests that have started or ended since the last state. */
  function updateRuns(entry: EntryState, state: work.WorkState): void {
    const runningKeys = new Set(state.running.map(({ key }) => key));
    for (const [key, { upstreamId, startedAtMs }] of entry.runs) {
      if (runningKeys.has(key)) continue;
      entry.runs.delete(key);
      const pool = findPool(upstreamId);
      if (pool === undefined || isDown(pool)) continue;
      pool.freedSlots += 1;
      const durationMs = clock.now() - startedAtMs;
      pool.serviceMs += serviceWeight * (durationMs - pool.serviceMs);
    }
    for (const { key, upstreamId } of state.running) {
      if (entry.runs.has(key)) continue;
      const grant = entry.pendingGrants.get(key);
      entry.runs.set(key, {
        upstreamId,
        isLate: grant?.isLate ?? false,
        startedAtMs: grant?.grantedAtMs ?? clock.now(),
      });
    }
  }

  function updateEntry(entry: EntryState, state: work.WorkState): void {
    const nowMs = clock.now();
    updateRuns(entry, state);
    entry.state = state;
    entry.receivedAtMs = nowMs;
    const runningKeys = new Set(state.running.map(({ key }) => key));
    const waitingKeys = new Set(state.waiting.map(({ key }) => key));
    for (const [key, pending] of entry.pendingGrants) {
      // The request runs, was abandoned, or the grant was lost.
      const isSettled = runningKeys.has(key) ||
        (state.sequence >= pending.firstSequence && !waitingKeys.has(key)) ||
        nowMs - pending.grantedAtMs > grantTimeoutMs;
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
      if (existing === undefined) recordArrival(request);
      entry.queued.set(request.key, {
        ...request,
        entryId: state.entryId,
        arrivedAtMs: existing?.arrivedAtMs ?? nowMs - request.ageMs,
        aimAtMs: existing?.aimAtMs ?? nowMs + request.aimLeftMs,
        abandonAtMs: existing?.abandonAtMs ?? nowMs + request.leftMs,
      });
    }
  }

  function recordArrival(request: work.WaitingRequest): void {
    const pool = pools.get(request.pool);
    if (pool !== undefined && request.aimLeftMs > 0) pool.timelyRequests += 1;
  }

  return {
    setUpstreams(upstreams, specs = []) {
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
          freedPerSecond: previous?.freedPerSecond ?? 0,
          freedSlots: previous?.freedSlots ?? 0,
          timelyPerSecond: previous?.timelyPerSecond ?? 0,
          timelyRequests: previous?.timelyRequests ?? 0,
          rateUpdatedAtMs: previous?.rateUpdatedAtMs ?? clock.now(),
          serviceMs: previous?.serviceMs ?? defaultServiceMs,
          downSinceMs: previous?.downSinceMs,
          recoveredAtMs: previous?.recoveredAtMs ?? -Infinity,
        });
      }
    },
    setUnavailable(upstreamIds) {
      unavailableIds = upstreamIds;
    },
    receive(state) {
      let entry = entries.get(state.entryId);
      if (entry === undefined || state.sequence < entry.state.sequence) {
        // New or restarted entry.
        entry = {
          state: { ...state, running: [], waiting: [] },
          receivedAtMs: clock.now(),
          pendingGrants: new Map(),
          queued: new Map(),
          runs: new Map(),
          denials: new Map(),
        };
        entries.set(state.entryId, entry);
      }
      updateEntry(entry, state);
      state.passes.forEach(recordPass);
      return decideAll().set(state.entryId, collectDecisions(entry));
    },
    decide: decideAll,
    describe: () =>
      [...pools].map(([name, pool]) => ({
        pool: name,
        waiting: listQueue(name).length,
        taken: countUsedSlots(pool),
        slots: countSlots(pool),
        limit: computeLimit(pool),
        freedPerSecond: pool.freedPerSecond,
        unavailable: pool.upstreams.length - listAvailable(pool).length,
        passMs: Math.round(pool.lastPassMs),
      })),
  };
}

function compareSlots(
  a: QueuedRequest,
  b: QueuedRequest,
  counts: ReadonlyMap<string, number>,
): number {
  return (counts.get(a.workspace) ?? 0) - (counts.get(b.workspace) ?? 0);
}
