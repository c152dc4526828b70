/** Simulates one upstream that receives more requests than it can serve. */
import * as admission from "../src/admission.ts";
import * as random from "../src/random.ts";
import * as eventQueue from "./event_queue.ts";

export type Shedding =
  /** All requests are queued and run, even after their deadline. */
  | "none"
  /** The engine drops queued requests whose deadline has passed. */
  | "expired"
  /** Requests are admitted by deadline, and the engine drops expired ones. */
  | "admission";

export interface GoodputResult {
  /** Answers within their deadline, divided by the answers at full capacity. */
  readonly goodputShare: number;
  /**
   * Answers to the most urgent third of the requests within their deadline,
   * divided by the number of these requests.
   */
  readonly urgentAnsweredShare: number;
  /** Share of the requests that admission refused. */
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
/** Interval and delay of the load reports. */
const reportLagMs = 100;
const priorities = [1, 4, 8] as const;

/** Runs the simulation once. */
export function measureGoodput(options: {
  readonly seed: number;
  /** Offered load divided by capacity. */
  readonly loadFactor: number;
  readonly shedding: Shedding;
}): GoodputResult {
  const events = eventQueue.createEventQueue();
  const source = random.createRandomSource(options.seed);
  const queue: Request[] = [];
  let running = 0;
  let reportedLoad = { running: 0, queued: 0 };
  const admissionControl = admission.createAdmission({
    clock: events,
    readLoad: () => reportedLoad,
  });
  const counts = {
    arrived: 0,
    urgent: 0,
    refused: 0,
    inTime: 0,
    urgentInTime: 0,
  };

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
        admissionControl.recordEnd(request.priority);
        continue;
      }
      running += 1;
      const timeLeftMs = request.deadlineAtMs - events.now();
      const runMs = options.shedding === "none"
        ? request.workMs
        : Math.min(request.workMs, timeLeftMs);
      events.schedule(() => finish(request), runMs);
    }
  }

  function finish(request: Request): void {
    running -= 1;
    admissionControl.recordEnd(request.priority);
    // A request that was cut off at its deadline has no answer.
    const isInTime = events.now() < request.deadlineAtMs;
    if (isInTime && isMeasured()) {
      counts.inTime += 1;
      if (request.priority === priorities[0]) counts.urgentInTime += 1;
    }
    startNext();
  }

  function handleArrival(): void {
    const meanIntervalMs = meanWorkMs / slots / options.loadFactor;
    events.schedule(handleArrival, -Math.log(1 - source()) * meanIntervalMs);
    const priority = priorities[Math.floor(source() * 3)] ?? 1;
    const workMs = -Math.log(1 - source()) * meanWorkMs;
    const isUrgent = priority === priorities[0];
    if (isMeasured()) {
      counts.arrived += 1;
      counts.urgent += isUrgent ? 1 : 0;
    }
    if (options.shedding === "admission") {
      const outcome = admissionControl.decide({ priority, deadlineMs });
      if (outcome.kind === "overloaded") {
        counts.refused += isMeasured() ? 1 : 0;
        return;
      }
    }
    admissionControl.recordStart(priority);
    const deadlineAtMs = events.now() + deadlineMs;
    queue.push({ priority, workMs, deadlineAtMs });
    startNext();
  }

  function reportLoad(): void {
    const load = { running, queued: queue.length };
    events.schedule(() => {
      reportedLoad = load;
      reportLoad();
    }, reportLagMs);
  }

  handleArrival();
  reportLoad();
  events.run(durationMs);
  const capacity = slots * (durationMs - warmUpMs) / meanWorkMs;
  return {
    goodputShare: counts.inTime / capacity,
    urgentAnsweredShare: counts.urgentInTime / counts.urgent,
    refusedShare: counts.refused / counts.arrived,
  };
}
