/**
 * The hub's decisions: which waiting request gets which place, and which one is
 * refused. One queue over all entries, so that no entry sends to a rank that
 * another one has just filled, and a refusal means that no place is free.
 *
 * - Places of a pool are the slots of its upstreams. Requests beyond them wait
 *   here and not at an upstream, where they could not be ordered.
 * - The pool as a whole takes no more than what keeps a pass under its target,
 *   by the longest pass that each request lately cost: all streams of a group
 *   pause for its passes, so one request too many makes all of them late.
 * - Requests that can still meet their aim go before those that can't; within
 *   that by priority, then by the workspace that has the fewest places, then by
 *   age.
 * - A request is refused at once when its predicted wait is over a bound. It is
 *   told when a place is expected, spread so that returns don't come together.
 *
 * It answers for bursts and storms of repeats: 1.5 to 5 times the capacity.
 */
import type * as clock from "../clock.ts";
import type * as random from "../random.ts";
import type * as work from "./work.ts";

export interface WorkHubOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  /**
   * Longest predicted wait for a place, in milliseconds. Callers leave a stream
   * after 2 s without an event, and the first one takes some 200 ms.
   * @default 1200
   */
  readonly maxWaitMs?: number;
  /**
   * Time for which an entry's last state holds, in milliseconds.
   * @default 1500
   */
  readonly stateTtlMs?: number;
}

export interface WorkHub {
  setUpstreams(
    places: readonly work.UpstreamSpec[],
    specs?: readonly work.PoolSpec[],
  ): void;
  /**
   * Takes an entry's state; returns what is decided for it and for others whose
   * requests got a place or a refusal now, by entry id.
   */
  receive(state: work.WorkState): ReadonlyMap<string, work.Decisions>;
  /** Decides again, for example because places were added. */
  decide(): ReadonlyMap<string, work.Decisions>;
  /** Requests that wait and places that are taken, by pool. */
  describe(): readonly PoolLoad[];
}

export interface PoolLoad {
  readonly pool: string;
  readonly waiting: number;
  readonly taken: number;
  readonly slots: number;
  /** Requests that the pool takes at once. */
  readonly limit: number;
  /** Places that become free in a second. */
  readonly freedPerSecond: number;
  /** Length of the last pass that an entry saw, in milliseconds; 0 = none. */
  readonly passMs: number;
}

interface Waiting extends work.WaitingRequest {
  readonly entryId: string;
  readonly arrivedAtMs: number;
  readonly aimAtMs: number;
  readonly giveUpAtMs: number;
}

interface Entry {
  state: work.WorkState;
  receivedAtMs: number;
  /** Grants that the entry's states don't show yet, by key. */
  readonly granted: Map<string, Granted>;
  readonly waiting: Map<string, Waiting>;
  /** Decisions not yet handed out. */
  readonly denials: Map<string, work.Denial>;
}

interface Granted {
  readonly grant: work.Grant;
  readonly waiting: Waiting;
  /** First state that must show it, if it arrived. */
  readonly sinceSequence: number;
  readonly atMs: number;
}

interface Pool {
  readonly places: work.UpstreamSpec[];
  readonly spec: work.PoolSpec | undefined;
  /** Part of a pass that one request cost at worst, and when it was seen. */
  worstCostMs: number;
  worstAtMs: number;
  /** Since when all passes that were told of were too long. */
  longSinceMs: number | undefined;
  /** Length of the pass that was told of last; 0 = none yet. */
  lastPassMs: number;
  /** Moving rate at which places become free. */
  freedPerSecond: number;
  freed: number;
  measuredAtMs: number;
}

const defaultMaxWaitMs = 1_200;
const defaultStateMs = 1_500;
/** Time after which a grant that no state shows counts as lost. */
const grantLifeMs = 400;
const rateIntervalMs = 500;
const rateWeight = 0.3;
/** Time after which half of the worst cost is believed; demand may shift again. */
const costHalfLifeMs = 10_000;
/** Part of the slots below which the cost of one request can't be told. */
const minMeasuredShare = 0.2;
/** Part of the slots that is used at least. */
const minLimitShare = 0.65;
/** Passes over the target by this factor may have waited for a switch. */
const maxPassOverTarget = 1.25;
/** Time after which such passes are long by themselves: a rank is slow. */
const longPassesMs = 1_000;
const millisecondsPerSecond = 1_000;
const minRetryMs = 100;
const maxRetryMs = 2_500;
/** Part by which times to come back are spread. */
const retrySpread = 0.5;
/** Tokens of a prompt that weigh as much as one more request at a rank. */
const tokensPerRequest = 2_000;

/** Creates a hub without places. */
export function createWorkHub(options: WorkHubOptions): WorkHub {
  const { clock } = options;
  const maxWaitMs = options.maxWaitMs ?? defaultMaxWaitMs;
  const stateMs = options.stateTtlMs ?? defaultStateMs;
  const entries = new Map<string, Entry>();
  const pools = new Map<string, Pool>();
  const placeById = new Map<string, work.UpstreamSpec>();
  /** Requests and prompt tokens at each upstream. */
  const taken = new Map<string, { requests: number; tokens: number }>();

  function dropSilent(): void {
    const leastMs = clock.now() - stateMs;
    for (const [id, entry] of entries) {
      if (entry.receivedAtMs < leastMs) entries.delete(id);
    }
  }

  function countTaken(): void {
    taken.clear();
    const add = (upstreamId: string, tokens: number) => {
      const known = taken.get(upstreamId) ?? { requests: 0, tokens: 0 };
      known.requests += 1;
      known.tokens += tokens;
      taken.set(upstreamId, known);
    };
    for (const { state, granted } of entries.values()) {
      for (const running of state.running) {
        add(running.upstreamId, running.promptTokens);
      }
      for (const { grant, waiting } of granted.values()) {
        add(grant.upstreamId, waiting.promptTokens);
      }
    }
  }

  function countFree(place: work.UpstreamSpec): number {
    return place.slots - (taken.get(place.id)?.requests ?? 0);
  }

  function countSlots(pool: Pool): number {
    return pool.places.reduce((sum, { slots }) => sum + slots, 0);
  }

  function countTakenOfPool(pool: Pool): number {
    return pool.places.reduce(
      (sum, { id }) => sum + (taken.get(id)?.requests ?? 0),
      0,
    );
  }

  function readCost(pool: Pool): number {
    const ageMs = clock.now() - pool.worstAtMs;
    return pool.worstCostMs * 2 ** (-ageMs / costHalfLifeMs);
  }

  /** Whether a pass says what requests cost, and not what it waited for. */
  function isTelling(pool: Pool, { passMs, spec }: {
    readonly passMs: number;
    readonly spec: work.PoolSpec;
  }): boolean {
    if (passMs <= maxPassOverTarget * spec.targetPassMs) {
      pool.longSinceMs = undefined;
      return true;
    }
    pool.longSinceMs ??= clock.now();
    return clock.now() - pool.longSinceMs >= longPassesMs;
  }

  /** Learns from a pass what one request costs at worst. */
  function recordPass({ pool: name, passMs }: work.PassTime): void {
    const pool = pools.get(name);
    const spec = pool?.spec;
    if (pool === undefined || spec === undefined) return;
    pool.lastPassMs = passMs;
    if (!isTelling(pool, { passMs, spec })) return;
    const running = countTakenOfPool(pool);
    if (running < minMeasuredShare * countSlots(pool)) return;
    // A higher cost would not lower the limit, only make it last.
    const highest = (spec.targetPassMs - spec.basePassMs) /
      (minLimitShare * countSlots(pool));
    const found = Math.max(0, passMs - spec.basePassMs) / running;
    const cost = Math.min(highest, found);
    if (cost <= readCost(pool)) return;
    pool.worstCostMs = cost;
    pool.worstAtMs = clock.now();
  }

  /** Requests that the pool takes at once. */
  function computeLimit(pool: Pool): number {
    const slots = countSlots(pool);
    const cost = readCost(pool);
    if (pool.spec === undefined || cost === 0) return slots;
    const { targetPassMs, basePassMs } = pool.spec;
    const limit = Math.floor((targetPassMs - basePassMs) / cost);
    return Math.min(slots, Math.max(minLimitShare * slots, limit));
  }

  /** Load of a rank for the choice among those with free places. */
  function weigh(place: work.UpstreamSpec): number {
    const load = taken.get(place.id);
    if (load === undefined) return 0;
    return load.requests + load.tokens / tokensPerRequest;
  }

  function choosePlace(
    waiting: Waiting,
    pool: Pool,
  ): work.UpstreamSpec | undefined {
    const domain = entries.get(waiting.entryId)?.state.failureDomain;
    let best: work.UpstreamSpec | undefined;
    let bestWeight = Infinity;
    for (const place of pool.places) {
      if (countFree(place) <= 0 || waiting.avoided.includes(place.id)) continue;
      const isNear = place.failureDomain === domain;
      // Ties go to the entry's own failure domain, else to chance.
      const weight = weigh(place) + (isNear ? 0 : 0.01) +
        options.random() * 0.005;
      if (weight >= bestWeight) continue;
      best = place;
      bestWeight = weight;
    }
    return best;
  }

  function listWaiting(poolName: string): Waiting[] {
    const nowMs = clock.now();
    const heldBy = countHeld(poolName);
    const isLate = (waiting: Waiting) => waiting.aimAtMs < nowMs;
    return [...entries.values()]
      .flatMap(({ waiting }) => [...waiting.values()])
      .filter(({ pool }) => pool === poolName)
      .sort((a, b) =>
        Number(isLate(a)) - Number(isLate(b)) ||
        a.priority - b.priority ||
        compareHeld(a, b, heldBy) ||
        a.arrivedAtMs - b.arrivedAtMs
      );
  }

  /** Counts the places of a pool by the workspaces that hold them. */
  function countHeld(poolName: string): ReadonlyMap<string, number> {
    const held = new Map<string, number>();
    const add = (workspace: string) =>
      held.set(workspace, (held.get(workspace) ?? 0) + 1);
    for (const { state, granted } of entries.values()) {
      for (const { upstreamId, workspace } of state.running) {
        if (placeById.get(upstreamId)?.pool === poolName) add(workspace);
      }
      for (const { waiting } of granted.values()) {
        if (waiting.pool === poolName) add(waiting.workspace);
      }
    }
    return held;
  }

  function updateRate(pool: Pool): void {
    const nowMs = clock.now();
    const elapsedMs = nowMs - pool.measuredAtMs;
    if (elapsedMs < rateIntervalMs) return;
    const rate = pool.freed * millisecondsPerSecond / elapsedMs;
    pool.freedPerSecond = pool.freedPerSecond === 0
      ? rate
      : pool.freedPerSecond + rateWeight * (rate - pool.freedPerSecond);
    pool.freed = 0;
    pool.measuredAtMs = nowMs;
  }

  function grantPlaces(poolName: string, pool: Pool): void {
    let left = computeLimit(pool) - countTakenOfPool(pool);
    for (const waiting of listWaiting(poolName)) {
      if (left < 1) return;
      const place = choosePlace(waiting, pool);
      if (place === undefined) continue;
      const entry = entries.get(waiting.entryId);
      if (entry === undefined) continue;
      left -= 1;
      entry.waiting.delete(waiting.key);
      entry.granted.set(waiting.key, {
        grant: { key: waiting.key, upstreamId: place.id },
        waiting,
        sinceSequence: entry.state.sequence + 1,
        atMs: clock.now(),
      });
      const load = taken.get(place.id) ?? { requests: 0, tokens: 0 };
      load.requests += 1;
      load.tokens += waiting.promptTokens;
      taken.set(place.id, load);
    }
  }

  /**
   * Refuses what would wait too long by the rate at which places get free. What
   * still waits found no place: all are taken, or it must avoid the free ones.
   */
  function refuseLate(poolName: string, pool: Pool): void {
    const queue = listWaiting(poolName);
    const nowMs = clock.now();
    queue.forEach((waiting, index) => {
      const predictedMs = pool.freedPerSecond === 0
        ? 0
        : (index + 1) * millisecondsPerSecond / pool.freedPerSecond;
      const waitedMs = nowMs - waiting.arrivedAtMs;
      const isLate = waitedMs + predictedMs > maxWaitMs ||
        nowMs + predictedMs > waiting.giveUpAtMs;
      if (!isLate) return;
      const entry = entries.get(waiting.entryId);
      entry?.waiting.delete(waiting.key);
      entry?.denials.set(waiting.key, {
        key: waiting.key,
        retryAfterMs: spreadRetry(predictedMs),
      });
    });
  }

  function spreadRetry(predictedMs: number): number {
    const spread = 1 + retrySpread * options.random();
    const bounded = Math.max(minRetryMs, predictedMs * spread);
    return Math.round(Math.min(maxRetryMs, bounded));
  }

  function listDecided({ granted, denials }: Entry): readonly string[] {
    return [...granted.keys(), ...denials.keys()];
  }

  /** Decides for all; returns the entries that have something new. */
  function decideAll(): Map<string, work.Decisions> {
    const before = new Map(
      [...entries].map(([id, entry]) => [id, new Set(listDecided(entry))]),
    );
    dropSilent();
    countTaken();
    for (const [name, pool] of pools) {
      updateRate(pool);
      grantPlaces(name, pool);
      refuseLate(name, pool);
    }
    const decided = new Map<string, work.Decisions>();
    for (const [id, entry] of entries) {
      const known = before.get(id);
      const isNew = listDecided(entry).some((key) => !known?.has(key));
      if (isNew) decided.set(id, takeDecisions(entry));
    }
    return decided;
  }

  function takeDecisions(entry: Entry): work.Decisions {
    const denials = [...entry.denials.values()];
    const grants = [...entry.granted.values()].map(({ grant }) => grant);
    return { sequence: entry.state.sequence, grants, denials };
  }

  /** Counts the places that an entry has given back since its last state. */
  function countFreed(before: work.WorkState, state: work.WorkState): void {
    const still = new Set(state.running.map(({ key }) => key));
    for (const { key, upstreamId } of before.running) {
      const pool = pools.get(placeById.get(upstreamId)?.pool ?? "");
      if (pool !== undefined && !still.has(key)) pool.freed += 1;
    }
  }

  function updateEntry(entry: Entry, state: work.WorkState): void {
    const nowMs = clock.now();
    countFreed(entry.state, state);
    entry.state = state;
    entry.receivedAtMs = nowMs;
    const shown = new Set(state.running.map(({ key }) => key));
    const waits = new Set(state.waiting.map(({ key }) => key));
    for (const [key, granted] of entry.granted) {
      // Seen running, given up on, or lost on its way.
      const isOver = shown.has(key) ||
        (state.sequence >= granted.sinceSequence && !waits.has(key)) ||
        nowMs - granted.atMs > grantLifeMs;
      if (isOver) entry.granted.delete(key);
    }
    for (const key of entry.denials.keys()) {
      if (!waits.has(key)) entry.denials.delete(key);
    }
    for (const key of entry.waiting.keys()) {
      if (!waits.has(key)) entry.waiting.delete(key);
    }
    for (const waiting of state.waiting) {
      if (entry.granted.has(waiting.key) || entry.denials.has(waiting.key)) {
        continue;
      }
      const known = entry.waiting.get(waiting.key);
      entry.waiting.set(waiting.key, {
        ...waiting,
        entryId: state.entryId,
        arrivedAtMs: known?.arrivedAtMs ?? nowMs - waiting.ageMs,
        aimAtMs: known?.aimAtMs ?? nowMs + waiting.aimLeftMs,
        giveUpAtMs: known?.giveUpAtMs ?? nowMs + waiting.leftMs,
      });
    }
  }

  return {
    setUpstreams(places, specs = []) {
      placeById.clear();
      const before = new Map(pools);
      pools.clear();
      for (const place of places) {
        placeById.set(place.id, place);
        const known = pools.get(place.pool);
        if (known !== undefined) {
          known.places.push(place);
          continue;
        }
        const previous = before.get(place.pool);
        pools.set(place.pool, {
          places: [place],
          spec: specs.find(({ pool }) => pool === place.pool),
          worstCostMs: previous?.worstCostMs ?? 0,
          worstAtMs: previous?.worstAtMs ?? 0,
          longSinceMs: previous?.longSinceMs,
          lastPassMs: previous?.lastPassMs ?? 0,
          freedPerSecond: previous?.freedPerSecond ?? 0,
          freed: previous?.freed ?? 0,
          measuredAtMs: previous?.measuredAtMs ?? clock.now(),
        });
      }
    },
    receive(state) {
      let entry = entries.get(state.entryId);
      if (entry === undefined || state.sequence < entry.state.sequence) {
        // Unknown, or started anew.
        entry = {
          state: { ...state, running: [], waiting: [] },
          receivedAtMs: clock.now(),
          granted: new Map(),
          waiting: new Map(),
          denials: new Map(),
        };
        entries.set(state.entryId, entry);
      }
      updateEntry(entry, state);
      state.passes.forEach(recordPass);
      return decideAll().set(state.entryId, takeDecisions(entry));
    },
    decide: decideAll,
    describe: () =>
      [...pools].map(([name, pool]) => ({
        pool: name,
        waiting: listWaiting(name).length,
        taken: countTakenOfPool(pool),
        slots: countSlots(pool),
        limit: computeLimit(pool),
        freedPerSecond: pool.freedPerSecond,
        passMs: Math.round(pool.lastPassMs),
      })),
  };
}

function compareHeld(
  a: Waiting,
  b: Waiting,
  heldBy: ReadonlyMap<string, number>,
): number {
  return (heldBy.get(a.workspace) ?? 0) - (heldBy.get(b.workspace) ?? 0);
}
