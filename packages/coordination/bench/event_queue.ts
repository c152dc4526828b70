/** Priority queue of callbacks in simulated time. */

/** Queue of callbacks; the time advances only inside `run`. */
export interface EventQueue {
  /** Returns the simulated time in milliseconds. */
  now(): number;
  schedule(callback: () => void, delayMs: number): void;
  /** Runs all callbacks due up to `untilMs`, the earliest first. */
  run(untilMs: number): void;
}

interface ScheduledCallback {
  readonly dueMs: number;
  /** Order of insertion; callbacks with an equal due time run in this order. */
  readonly sequence: number;
  readonly callback: () => void;
}

function isEarlier(left: ScheduledCallback, right: ScheduledCallback): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs;
  return left.sequence < right.sequence;
}

/** Creates an empty queue at time 0, stored as a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: ScheduledCallback[] = [];
  let nowMs = 0;
  let sequence = 0;

  function insert(inserted: ScheduledCallback): void {
    let index = heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isEarlier(heap[parent]!, inserted)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = inserted;
  }

  function takeFirst(): ScheduledCallback {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && isEarlier(right, heap[child]!)) child += 1;
      if (isEarlier(last, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }

  return {
    now: () => nowMs,
    schedule(callback, delayMs) {
      insert({
        dueMs: nowMs + Math.max(0, delayMs),
        sequence: sequence++,
        callback,
      });
    },
    run(untilMs) {
      while (heap.length > 0 && heap[0]!.dueMs <= untilMs) {
        const next = takeFirst();
        nowMs = next.dueMs;
        next.callback();
      }
      nowMs = untilMs;
    },
  };
}
