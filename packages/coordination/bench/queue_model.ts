/** Model of one upstream: slots that work at one speed, and a queue. */
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
  countLoad(): number;
  countQueued(): number;
  /** Load as it stood `lagMs` ago. */
  readReport(): loadEstimate.LoadReport;
  setSlowdown(slowness: number): void;
}

export interface SimulatedUpstreamOptions {
  readonly events: eventQueue.EventQueue;
  readonly slots: number;
  readonly lagMs: number;
  /** Duration of a step at normal speed, in microseconds. */
  readonly stepUs: number;
}

/** Creates an idle upstream. */
export function createSimulatedUpstream(
  options: SimulatedUpstreamOptions,
): SimulatedUpstream {
  const { events, slots, lagMs } = options;
  const queue: Job[] = [];
  const history = [{ atMs: -Infinity, running: 0, queued: 0 }];
  let running = 0;
  let slowness = 1;

  function recordChange(): void {
    const nowMs = events.now();
    history.push({ atMs: nowMs, running, queued: queue.length });
    while ((history[1]?.atMs ?? Infinity) <= nowMs - lagMs) history.shift();
  }

  function start(job: Job): void {
    running += 1;
    events.schedule(() => finish(job), job.workMs * slowness);
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
    recordChange();
    job.onCompleted();
  }

  return {
    submit(job) {
      if (running < slots) start(job);
      else queue.push(job);
      recordChange();
    },
    countLoad: () => running + queue.length,
    countQueued: () => queue.length,
    readReport() {
      const describedAtMs = events.now() - lagMs;
      let index = history.length - 1;
      while (index > 0 && (history[index]?.atMs ?? 0) > describedAtMs) {
        index -= 1;
      }
      const { running = 0, queued = 0 } = history[index] ?? {};
      return { running, queued, stepUs: options.stepUs * slowness };
    },
    setSlowdown(next) {
      slowness = next;
    },
  };
}
