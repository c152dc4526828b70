/**
 * Cuts a byte stream of server-sent events at the ends of events, so that each
 * frame carries whole events.
 */

const lineFeed = 10;

/** Collects bytes and returns those that form whole events. */
export interface EventSplitter {
  /** Adds bytes; returns the whole events that are complete now, if any. */
  push(data: Uint8Array): Uint8Array | undefined;
  /** Returns what is left when the stream ends. */
  flush(): Uint8Array | undefined;
}

/** Creates a splitter for one stream; events end with an empty line. */
export function createEventSplitter(): EventSplitter {
  let rest: Uint8Array = new Uint8Array(0);
  return {
    push(data) {
      const joined = rest.byteLength === 0 ? data : Buffer.concat([rest, data]);
      const end = findLastEventEnd(joined);
      rest = joined.subarray(end);
      return end === 0 ? undefined : joined.subarray(0, end);
    },
    flush() {
      const left = rest;
      rest = new Uint8Array(0);
      return left.byteLength === 0 ? undefined : left;
    },
  };
}

/** Returns the offset behind the last empty line, 0 when there is none. */
function findLastEventEnd(bytes: Uint8Array): number {
  for (let index = bytes.byteLength - 1; index > 0; index -= 1) {
    if (bytes[index] === lineFeed && bytes[index - 1] === lineFeed) {
      return index + 1;
    }
  }
  return 0;
}
