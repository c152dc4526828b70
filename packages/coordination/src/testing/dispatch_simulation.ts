/**
 * Plays load on a group of ranks behind several entries: callers that leave,
 * come back after refusals, or repeat at once; places that are granted by a
 * policy. Time moves in events; a seed draws everything.
 */
import * as clock from "../clock.ts";
import * as random from "../random.ts";
import type * as work from "../dispatch/work.ts";
import * as workHub from "../dispatch/work_hub.ts";

export interface DispatchSimulationOptions {
  readonly seed: number;
  readonly rankCount: number;
  readonly slots: number;
  readonly entryCount: number;
  /** Arrivals of new requests, over what the places can serve. */
  readonly load: (nowMs: number) => number;
  readonly serviceMs: number;
  readonly durationMs: number;
  /** Share of callers that come back at once, whatever they are told. */
  readonly immediateRetryShare?: number;
  /** Decides without a hub, for comparison: first come, first served. */
  readonly isFifo?: boolean;
}

export interface DispatchSimulationResult {
  /** Requests that began within their aim, of all that addCallerd. */
  readonly onTime: number;
  readonly late: number;
  /** Requests that were given up without an answer. */
  readonly abandoned: number;
  /** Requests that ended with a refusal. */
  readonly refused: number;
  readonly arrived: number;
  /** Refusals while a place was free. */
  readonly refusedWithFreeSlot: number;
  /** Most requests that one rank had at once. */
  readonly maxRunningPerRank: number;
  /** Longest time after which a refusal was told, in milliseconds. */
  readonly maxRefusalDelayMs: number;
  /** Requests that were served in each second. */
  readonly servedPerSecond: readonly number[];
}

interface Caller {
  readonly id: number;
  readonly entry: number;
  readonly firstAtMs: number;
  readonly isImpatient: boolean;
  returns: number;
}

interface Open {
  readonly caller: Caller;
  readonly askedAtMs: number;
}

const aimMs = 300;
const patienceMs = 1_800;
const totalPatienceMs = 8_000;
const maxReturns = 1;
const impatientReturns = 4;

/** Plays one run. */
export function runDispatchSimulation(
  options: DispatchSimulationOptions,
): DispatchSimulationResult {
  const draw = random.createRandomSource(options.seed);
  const manual = clock.createManualClock();
  const hub = workHub.createWorkHub({ clock: manual, random: draw });
  const places: readonly work.UpstreamSpec[] = Array.from(
    { length: options.rankCount },
    (_, rank) => ({
      id: `r${rank}`,
      pool: "p",
      failureDomain: `d${rank % 3}`,
      slots: options.slots,
    }),
  );
  const waiting = new Map<string, Open>();
  const running = new Map<string, { upstreamId: string; entry: number }>();
  const sequences = Array.from({ length: options.entryCount }, () => 0);
  const events: { atMs: number; run: () => void }[] = [];
  const served: number[] = [];
  const result = {
    onTime: 0,
    late: 0,
    abandoned: 0,
    refused: 0,
    arrived: 0,
    refusedWithFreeSlot: 0,
    maxRunningPerRank: 0,
    maxRefusalDelayMs: 0,
  };
  let keys = 0;
  hub.setUpstreams(places);

  function schedule(delayMs: number, run: () => void): void {
    events.push({ atMs: manual.now() + delayMs, run });
  }

  function buildState(entry: number): work.WorkState {
    sequences[entry]! += 1;
    const nowMs = manual.now();
    return {
      entryId: `e${entry}`,
      failureDomain: `d${entry % 3}`,
      sequence: sequences[entry]!,
      waiting: [...waiting]
        .filter(([, { caller }]) => caller.entry === entry)
        .map(([key, { caller, askedAtMs }]) => ({
          key,
          pool: "p",
          priority: 1,
          workspace: `w${caller.id % 5}`,
          promptTokens: 800,
          answerTokens: 150,
          ageMs: nowMs - askedAtMs,
          aimLeftMs: caller.firstAtMs + aimMs - nowMs,
          leftMs: caller.firstAtMs + totalPatienceMs - nowMs,
          avoided: [],
        })),
      running: [...running].filter(([, one]) => one.entry === entry)
        .map(([key, { upstreamId }]) => ({
          key,
          upstreamId,
          workspace: "w",
          promptTokens: 800,
        })),
      passes: [],
    };
  }

  function countFree(): number {
    return options.rankCount * options.slots - running.size;
  }

  function report(entry: number): void {
    if (options.isFifo) return grantPlain();
    const decided = [...hub.receive(buildState(entry)).values()];
    // One decision of the hub: its grants and denials belong together.
    for (const { key, upstreamId } of decided.flatMap((one) => one.grants)) {
      const open = waiting.get(key);
      if (open !== undefined) start(key, open, upstreamId);
    }
    for (const { key, retryAfterMs } of decided.flatMap((one) => one.denials)) {
      const open = waiting.get(key);
      if (open !== undefined) refuse(key, open, retryAfterMs);
    }
  }

  /** Grants in the order of arrival, and refuses nothing. */
  function grantPlain(): void {
    for (const [key, open] of waiting) {
      const free = places.find(({ id }) =>
        [...running.values()].filter(({ upstreamId }) => upstreamId === id)
          .length < options.slots
      );
      if (free === undefined) return;
      start(key, open, free.id);
    }
  }

  function start(key: string, { caller }: Open, upstreamId: string): void {
    waiting.delete(key);
    running.set(key, { upstreamId, entry: caller.entry });
    const here = [...running.values()]
      .filter((one) => one.upstreamId === upstreamId).length;
    result.maxRunningPerRank = Math.max(result.maxRunningPerRank, here);
    const isInAim = manual.now() - caller.firstAtMs <= aimMs;
    result.onTime += isInAim ? 1 : 0;
    result.late += isInAim ? 0 : 1;
    const lastsMs = options.serviceMs * (0.5 + draw());
    schedule(lastsMs, () => {
      running.delete(key);
      const second = Math.floor(manual.now() / 1_000);
      served[second] = (served[second] ?? 0) + 1;
      report(caller.entry);
    });
  }

  function refuse(key: string, open: Open, retryAfterMs: number): void {
    waiting.delete(key);
    if (countFree() > 0) result.refusedWithFreeSlot += 1;
    const heldMs = manual.now() - open.askedAtMs;
    result.maxRefusalDelayMs = Math.max(result.maxRefusalDelayMs, heldMs);
    const { caller } = open;
    const limit = caller.isImpatient ? impatientReturns : maxReturns;
    const delayMs = caller.isImpatient ? 5 : retryAfterMs;
    const isOver = caller.returns >= limit ||
      manual.now() + delayMs > caller.firstAtMs + totalPatienceMs / 3;
    if (isOver) {
      result.refused += 1;
      return;
    }
    caller.returns += 1;
    schedule(delayMs, () => ask(caller));
  }

  function ask(caller: Caller): void {
    keys += 1;
    const key = `k${keys}`;
    waiting.set(key, { caller, askedAtMs: manual.now() });
    schedule(patienceMs, () => {
      if (!waiting.delete(key)) return;
      result.abandoned += 1;
      report(caller.entry);
    });
    report(caller.entry);
  }

  function addCaller(): void {
    const capacity = options.rankCount * options.slots / options.serviceMs;
    const rate = capacity * options.load(manual.now());
    if (manual.now() < options.durationMs) {
      schedule(-Math.log(1 - draw()) / rate, addCaller);
    }
    result.arrived += 1;
    ask({
      id: result.arrived,
      entry: Math.floor(draw() * options.entryCount),
      firstAtMs: manual.now(),
      isImpatient: draw() < (options.immediateRetryShare ?? 0),
      returns: 0,
    });
  }

  schedule(0, addCaller);
  while (events.length > 0) {
    let next = 0;
    events.forEach(({ atMs }, index) => {
      if (atMs < events[next]!.atMs) next = index;
    });
    const [event] = events.splice(next, 1);
    manual.advance(Math.max(0, event!.atMs - manual.now()));
    event!.run();
  }
  return {
    ...result,
    servedPerSecond: Array.from(served, (count) => count ?? 0),
  };
}
