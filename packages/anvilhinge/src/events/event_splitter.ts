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
  /** Returns the number of bytes of the incomplete event. */
  countBufferedBytes(): number;
}

/** Creates a splitter for one stream; events end with an empty line. */
export function createEventSplitter(): EventSplitter {
  let storage = Buffer.alloc(0);
  let bufferedBytes = 0;

  /** Appends a part; the storage doubles, so that each byte is copied rarely. */
  function put(part: Uint8Array): void {
    const neededBytes = bufferedBytes + part.byteLength;
    if (neededBytes > storage.byteLength) {
      const grown = Buffer.allocUnsafe(
        Math.max(neededBytes, 2 * storage.byteLength),
      );
      storage.copy(grown, 0, 0, bufferedBytes);
      storage = grown;
    }
    storage.set(part, bufferedBytes);
    bufferedBytes = neededBytes;
  }

  function takeAll(): Uint8Array {
    const taken = storage.subarray(0, bufferedBytes);
    storage = Buffer.alloc(0);
    bufferedBytes = 0;
    return taken;
  }

  return {
    push(data) {
      // Searches only the new bytes: an event of many parts would otherwise
      // cost time in proportion to the square of its length.
      const end = findLastEventEnd(data, storage[bufferedBytes - 1]);
      if (end === 0) {
        put(data);
        return undefined;
      }
      const complete = data.subarray(0, end);
      if (bufferedBytes > 0) put(complete);
      const events = bufferedBytes > 0 ? takeAll() : complete;
      put(data.subarray(end));
      return events;
    },
    flush: () => bufferedBytes === 0 ? undefined : takeAll(),
    countBufferedBytes: () => bufferedBytes,
  };
}

/** Returns the offset after the last empty line; 0 if there is none. */
function findLastEventEnd(
  bytes: Uint8Array,
  previousByte: number | undefined,
): number {
  for (let index = bytes.byteLength - 1; index >= 0; index -= 1) {
    const before = index === 0 ? previousByte : bytes[index - 1];
    if (bytes[index] === lineFeed && before === lineFeed) return index + 1;
  }
  return 0;
}
