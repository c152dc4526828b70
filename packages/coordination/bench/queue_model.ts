/** Simulates one upstream: slots of equal speed and a priority queue. */
import type * as loadEstimate from "../src/load_estimate.ts";
import type * as eventQueue from "./event_queue.ts";

export interface Job {
  /** Work at normal speed, in milliseconds. */
  readonly workMs: number;
  /** 0 is the most urgent. */
  readonly priority?: number;
  readonly onCompleted: () => void;
}

export interface SimulatedUpstream {
  submit(job: Job): void;
  /** Counts the running and the queued jobs. */
  countLoad(): number;
  countQueued(): number;
  /** Returns the load of `lagMs` ago. */
  readReport(): loadEstimate.LoadReport;
  /** Sets the factor by which forward passes and new jobs take longer. */
  setSlowdown(factor: number): void;
}

export interface SimulatedUpstreamOptions {
  readonly events: eventQueue.EventQueue;
  readonly slots: number;
  /** Age of the load reports. */
  readonly lagMs: number;
  /** Duration of a forward pass at normal speed, in microseconds. */
  readonly stepUs: number;
}

/** Creates an idle upstream. */
export function createSimulatedUpstream(
  options: SimulatedUpstreamOptions,
): SimulatedUpstream {
  const { events, slots, lagMs } = options;
  const queue: Job[] = [];
  /** Loads after each change, the oldest first. */
  const history = [{ atMs: -Infinity, running: 0, queued: 0 }];
  let running = 0;
  let slowdown = 1;

  function recordLoad(): void {
    const nowMs = events.now();
    history.push({ atMs: nowMs, running, queued: queue.length });
    while ((history[1]?.atMs ?? Infinity) <= nowMs - lagMs) history.shift();
  }

  function start(job: Job): void {
    running += 1;
    events.schedule(() => finish(job), job.workMs * slowdown);
  }

  function takeNext(): Job | undefined {
    let best = 0;
    for (const [index, job] of queue.entries()) {
      const bestPriority = queue[best]?.priority ?? 0;
      if ((job.priority ?? 0) < bestPriority) best = index;
    }
    return queue.splice(best, 1)[0];
  }

  function finish(job: Job): void {
    running -= 1;
    const next = takeNext();
    if (next !== undefined) start(next);
    recordLoad();
    job.onCompleted();
  }

  return {
    submit(job) {
      if (running < slots) start(job);
      else queue.push(job);
      recordLoad();
    },
    countLoad: () => running + queue.length,
    countQueued: () => queue.length,
    readReport() {
      const measuredAtMs = events.now() - lagMs;
      let index = history.length - 1;
      while (index > 0 && (history[index]?.atMs ?? 0) > measuredAtMs) {
        index -= 1;
      }
      const { running = 0, queued = 0 } = history[index] ?? {};
      return { running, queued, stepUs: options.stepUs * slowdown };
    },
    setSlowdown(factor) {
      slowdown = factor;
    },
  };
}
