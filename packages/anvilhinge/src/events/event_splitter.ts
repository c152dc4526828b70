/**
 * Splits a byte stream of server-sent events at event boundaries, so that each
 * frame contains only complete events.
 */

const lineFeed = 10;

/** Buffers bytes and returns complete events. */
export interface EventSplitter {
  /** Adds bytes; returns the events that are now complete, if any. */
  push(data: Uint8Array): Uint8Array | undefined;
  /** Returns the remaining bytes at the end of the stream. */
  flush(): Uint8Array | undefined;
}

/** Creates a splitter for one stream; events end with an empty line. */
export function createEventSplitter(): EventSplitter {
  let buffered: Uint8Array = new Uint8Array(0);
  return {
    push(data) {
      const available = buffered.byteLength === 0
        ? data
        : Buffer.concat([buffered, data]);
      const end = findLastEventEnd(available);
      buffered = available.subarray(end);
      return end === 0 ? undefined : available.subarray(0, end);
    },
    flush() {
      const remaining = buffered;
      buffered = new Uint8Array(0);
      return remaining.byteLength === 0 ? undefined : remaining;
    },
  };
}

/** Returns the offset after the last empty line; 0 if there is none. */
function findLastEventEnd(bytes: Uint8Array): number {
  for (let index = bytes.byteLength - 1; index > 0; index -= 1) {
    if (bytes[index] === lineFeed && bytes[index - 1] === lineFeed) {
      return index + 1;
    }
  }
  return 0;
}
