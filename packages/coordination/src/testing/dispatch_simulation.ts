/**
 * Discrete-event simulation of load on a group of ranks behind several entries.
 * The hub grants slots to requests; callers abandon requests after a timeout
 * and retry refused ones. All random choices derive from the seed.
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
  /** Returns the arrival rate of requests relative to the capacity. */
  readonly load: (nowMs: number) => number;
  /** Mean service time of a request in milliseconds. */
  readonly serviceMs: number;
  readonly durationMs: number;
  /**
   * Time from the start of a request to the first part of its answer, in
   * milliseconds.
   * @default 0
   */
  readonly firstPartMs?: number;
  /** Share of callers that retry at once and ignore `retryAfterMs`. */
  readonly immediateRetryShare?: number;
  /** Grants slots in order of arrival, without a hub, as a baseline. */
  readonly isFifo?: boolean;
}

export interface DispatchSimulationResult {
  /** Requests whose answer began within the latency target. */
  readonly onTime: number;
  /** Requests whose answer began after the latency target. */
  readonly late: number;
  /** Requests that the caller abandoned before a grant or a refusal. */
  readonly abandoned: number;
  /** Requests whose last refusal was not retried. */
  readonly refused: number;
  /** All requests; retries are not counted. */
  readonly arrived: number;
  /** Refusals while a slot was free. */
  readonly refusedWithFreeSlot: number;
  /** Highest number of concurrent requests on one rank. */
  readonly maxRunningPerRank: number;
  /** Longest wait of a request before its refusal, in milliseconds. */
  readonly maxRefusalDelayMs: number;
  /** Number of requests completed in each second. */
  readonly servedPerSecond: readonly number[];
}

interface Caller {
  readonly id: number;
  readonly entry: number;
  readonly firstAtMs: number;
  /** Whether the caller ignores `retryAfterMs`. */
  readonly retriesAtOnce: boolean;
  retries: number;
}

interface PendingRequest {
  readonly caller: Caller;
  readonly sentAtMs: number;
}

const latencyTargetMs = 300;
/** Time after which a caller abandons a pending request. */
const callerTimeoutMs = 1_800;
const deadlineMs = 8_000;
const maxRetries = 1;
const maxImmediateRetries = 4;

/** Runs the simulation until no events are left. */
export function runDispatchSimulation(
  options: DispatchSimulationOptions,
): DispatchSimulationResult {
  const draw = random.createRandomSource(options.seed);
  const manual = clock.createManualClock();
  const hub = workHub.createWorkHub({ clock: manual, random: draw });
  const upstreams: readonly work.UpstreamSpec[] = Array.from(
    { length: options.rankCount },
    (_, rank) => ({
      id: `r${rank}`,
      pool: "p",
      failureDomain: `d${rank % 3}`,
      slots: options.slots,
    }),
  );
  const waiting = new Map<string, PendingRequest>();
  const running = new Map<string, { upstreamId: string; entry: number }>();
  const sequences = Array.from({ length: options.entryCount }, () => 0);
  /** First parts that the next state of each entry reports. */
  const firstParts = new Map<number, readonly work.FirstParts[]>();
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
  let lastKey = 0;
  hub.setUpstreams(upstreams);

  function schedule(delayMs: number, run: () => void): void {
    events.push({ atMs: manual.now() + delayMs, run });
  }

  function buildState(entry: number): work.WorkState {
    sequences[entry]! += 1;
    const newFirstParts = firstParts.get(entry);
    firstParts.delete(entry);
    const nowMs = manual.now();
    return {
      entryId: `e${entry}`,
      failureDomain: `d${entry % 3}`,
      sequence: sequences[entry]!,
      waiting: [...waiting]
        .filter(([, { caller }]) => caller.entry === entry)
        .map(([key, { caller, sentAtMs }]) => ({
          key,
          pool: "p",
          priority: 1,
          workspace: `w${caller.id % 5}`,
          promptTokens: 800,
          answerTokens: 150,
          ageMs: nowMs - sentAtMs,
          aimLeftMs: caller.firstAtMs + latencyTargetMs - nowMs,
          leftMs: caller.firstAtMs + deadlineMs - nowMs,
          avoided: [],
        })),
      running: [...running].filter(([, item]) => item.entry === entry)
        .map(([key, { upstreamId }]) => ({
          key,
          upstreamId,
          workspace: "w",
          promptTokens: 800,
        })),
      passes: [],
      firstParts: newFirstParts,
    };
  }

  function countFree(): number {
    return options.rankCount * options.slots - running.size;
  }

  /** Reports the state of an entry to the hub and executes its decisions. */
  function report(entry: number): void {
    if (options.isFifo) return grantFifo();
    const decisions = [...hub.receive(buildState(entry)).values()];
    // Applies all grants of a decision before its denials; otherwise, the slots
    // granted by this decision would count as free at its denials.
    for (
      const { key, upstreamId } of decisions.flatMap((item) => item.grants)
    ) {
      const request = waiting.get(key);
      if (request !== undefined) start(key, request, upstreamId);
    }
    for (
      const { key, retryAfterMs } of decisions.flatMap((item) => item.denials)
    ) {
      const request = waiting.get(key);
      if (request !== undefined) refuse(key, request, retryAfterMs);
    }
  }

  /** Grants slots in order of arrival and refuses no request. */
  function grantFifo(): void {
    for (const [key, request] of waiting) {
      const free = upstreams.find(({ id }) =>
        [...running.values()].filter(({ upstreamId }) => upstreamId === id)
          .length < options.slots
      );
      if (free === undefined) return;
      start(key, request, free.id);
    }
  }

  function start(
    key: string,
    { caller }: PendingRequest,
    upstreamId: string,
  ): void {
    waiting.delete(key);
    running.set(key, { upstreamId, entry: caller.entry });
    const runningOnRank = [...running.values()]
      .filter((item) => item.upstreamId === upstreamId).length;
    result.maxRunningPerRank = Math.max(
      result.maxRunningPerRank,
      runningOnRank,
    );
    const { firstPartMs = 0 } = options;
    const firstAtMs = manual.now() + firstPartMs * (0.8 + 0.4 * draw());
    const isOnTime = firstAtMs - caller.firstAtMs <= latencyTargetMs;
    result.onTime += isOnTime ? 1 : 0;
    result.late += isOnTime ? 0 : 1;
    const firstPart = { pool: "p", afterMs: [firstAtMs - manual.now()] };
    schedule(firstAtMs - manual.now(), () => {
      firstParts.set(caller.entry, [firstPart]);
      report(caller.entry);
    });
    const durationMs = options.serviceMs * (0.5 + draw());
    schedule(durationMs, () => {
      running.delete(key);
      const second = Math.floor(manual.now() / 1_000);
      served[second] = (served[second] ?? 0) + 1;
      report(caller.entry);
    });
  }

  function refuse(
    key: string,
    request: PendingRequest,
    retryAfterMs: number,
  ): void {
    waiting.delete(key);
    if (countFree() > 0) result.refusedWithFreeSlot += 1;
    const waitedMs = manual.now() - request.sentAtMs;
    result.maxRefusalDelayMs = Math.max(result.maxRefusalDelayMs, waitedMs);
    const { caller } = request;
    const limit = caller.retriesAtOnce ? maxImmediateRetries : maxRetries;
    const delayMs = caller.retriesAtOnce ? 5 : retryAfterMs;
    // A caller starts no retry after a third of the deadline.
    const isFinal = caller.retries >= limit ||
      manual.now() + delayMs > caller.firstAtMs + deadlineMs / 3;
    if (isFinal) {
      result.refused += 1;
      return;
    }
    caller.retries += 1;
    schedule(delayMs, () => sendRequest(caller));
  }

  function sendRequest(caller: Caller): void {
    lastKey += 1;
    const key = `k${lastKey}`;
    waiting.set(key, { caller, sentAtMs: manual.now() });
    schedule(callerTimeoutMs, () => {
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
    sendRequest({
      id: result.arrived,
      entry: Math.floor(draw() * options.entryCount),
      firstAtMs: manual.now(),
      retriesAtOnce: draw() < (options.immediateRetryShare ?? 0),
      retries: 0,
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
