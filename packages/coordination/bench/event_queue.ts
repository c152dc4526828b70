/** Events of a model in the order of their instants, on a manual clock. */
import * as clock from "../src/clock.ts";

export interface EventQueue extends clock.Clock {
  schedule(delayMs: number, action: () => void): void;
  /** Runs events until the instant; the clock then stands at it. */
  run(untilMs: number): void;
}

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Creates an empty queue at instant 0: a binary heap. */
export function createEventQueue(): EventQueue {
  const manual = clock.createManualClock();
  const heap: Scheduled[] = [];
  let order = 0;

  function get(index: number): Scheduled {
    return heap[index] as Scheduled;
  }

  function insert(event: Scheduled): void {
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, get(parent))) break;
      heap[index] = get(parent);
      index = parent;
    }
    heap[index] = event;
  }

  function takeFirst(): Scheduled {
    const first = get(0);
    const last = heap.pop() as Scheduled;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(get(right), get(child))) {
        child = right;
      }
      if (!isBefore(get(child), last)) break;
      heap[index] = get(child);
      index = child;
    }
    heap[index] = last;
    return first;
  }

  return {
    now: manual.now,
    schedule(delayMs, action) {
      order += 1;
      insert({ atMs: manual.now() + Math.max(0, delayMs), order, action });
    },
    run(untilMs) {
      while ((heap[0]?.atMs ?? Infinity) <= untilMs) {
        const { atMs, action } = takeFirst();
        manual.advance(atMs - manual.now());
        action();
      }
      manual.advance(untilMs - manual.now());
    },
  };
}
