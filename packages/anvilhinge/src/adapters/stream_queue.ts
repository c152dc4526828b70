/** Queue that exposes pushed values as an async iterable for a stream. */

/** Queue between a producer that pushes and one consumer that iterates. */
export interface StreamQueue<T> extends AsyncIterable<T> {
  push(value: T): void;
  /** Ends the iteration after the values that are already queued. */
  close(): void;
}

/** Creates a queue whose iteration also ends when `signal` aborts. */
export function createStreamQueue<T>(signal?: AbortSignal): StreamQueue<T> {
  const values: T[] = [];
  let isClosed = false;
  let wake: (() => void) | undefined;

  function notify(): void {
    wake?.();
    wake = undefined;
  }

  function close(): void {
    isClosed = true;
    notify();
  }

  async function* drain(): AsyncGenerator<T> {
    while (true) {
      while (values.length > 0) yield values.shift() as T;
      if (isClosed) return;
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  }

  signal?.addEventListener("abort", close, { once: true });
  return {
    push(value) {
      if (isClosed) return;
      values.push(value);
      notify();
    },
    close,
    [Symbol.asyncIterator]: drain,
  };
}
