/** Goodput of one upstream under more requests than it can serve. */
import * as admission from "../src/admission.ts";
import * as random from "../src/random.ts";
import * as eventQueue from "./event_queue.ts";

export type Shedding =
  /** Everything is queued and run, also past its deadline. */
  | "none"
  /** The engine drops queued work whose deadline has passed. */
  | "expired"
  /** Admission by deadline, and the engine drops expired work. */
  | "admission";

export interface GoodputResult {
  /** Answers within their deadline, over what the capacity allows. */
  readonly goodputShare: number;
  /** The same for the most urgent third of the requests, over its arrivals. */
  readonly urgentAnsweredShare: number;
  readonly refusedShare: number;
}

interface Request {
  readonly priority: number;
  readonly workMs: number;
  readonly deadlineAtMs: number;
}

const slots = 16;
const meanWorkMs = 2_000;
const deadlineMs = 8_000;
const durationMs = 180_000;
const warmUpMs = 30_000;
const lagMs = 100;
const priorities = [1, 4, 8] as const;

/** Runs the model once. */
export function measureGoodput(options: {
  readonly seed: number;
  readonly overload: number;
  readonly shedding: Shedding;
}): GoodputResult {
  const events = eventQueue.createEventQueue();
  const source = random.createRandomSource(options.seed);
  const queue: Request[] = [];
  let running = 0;
  let reported = { running: 0, queued: 0 };
  const gate = admission.createAdmission({
    clock: events,
    readLoad: () => reported,
  });
  const counts = { arrived: 0, urgent: 0, refused: 0, good: 0, goodUrgent: 0 };

  function isMeasured(): boolean {
    return events.now() >= warmUpMs;
  }

  function takeNext(): Request | undefined {
    let best = 0;
    for (const [index, request] of queue.entries()) {
      if (request.priority < (queue[best]?.priority ?? 0)) best = index;
    }
    return queue.splice(best, 1)[0];
  }

  function startNext(): void {
    while (running < slots) {
      const request = takeNext();
      if (request === undefined) return;
      const isExpired = request.deadlineAtMs <= events.now();
      if (isExpired && options.shedding !== "none") {
        gate.recordEnd(request.priority);
        continue;
      }
      running += 1;
      const leftMs = request.deadlineAtMs - events.now();
      const runMs = options.shedding === "none"
        ? request.workMs
        : Math.min(request.workMs, leftMs);
      events.schedule(() => finish(request), runMs);
    }
  }

  function finish(request: Request): void {
    running -= 1;
    gate.recordEnd(request.priority);
    // Work that was cut at its deadline is no answer.
    const isGood = events.now() < request.deadlineAtMs;
    if (isGood && isMeasured()) {
      counts.good += 1;
      if (request.priority === priorities[0]) counts.goodUrgent += 1;
    }
    startNext();
  }

  function handleArrival(): void {
    const meanMs = meanWorkMs / slots / options.overload;
    events.schedule(handleArrival, -Math.log(1 - source()) * meanMs);
    const priority = priorities[Math.floor(source() * 3)] ?? 1;
    const workMs = -Math.log(1 - source()) * meanWorkMs;
    const isUrgent = priority === priorities[0];
    if (isMeasured()) {
      counts.arrived += 1;
      counts.urgent += isUrgent ? 1 : 0;
    }
    if (options.shedding === "admission") {
      const decided = gate.decide({ priority, deadlineMs });
      if (decided.kind === "overloaded") {
        counts.refused += isMeasured() ? 1 : 0;
        return;
      }
    }
    gate.recordStart(priority);
    const deadlineAtMs = events.now() + deadlineMs;
    queue.push({ priority, workMs, deadlineAtMs });
    startNext();
  }

  function report(): void {
    const present = { running, queued: queue.length };
    events.schedule(() => {
      reported = present;
      report();
    }, lagMs);
  }

  handleArrival();
  report();
  events.run(durationMs);
  const capacity = slots * (durationMs - warmUpMs) / meanWorkMs;
  return {
    goodputShare: counts.good / capacity,
    urgentAnsweredShare: counts.goodUrgent / counts.urgent,
    refusedShare: counts.refused / counts.arrived,
  };
}
