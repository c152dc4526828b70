/**
 * Ids of server-sent events. An id encodes a position in the answer of an
 * attempt, so that any entry of the half can resume it. Callers treat ids as
 * opaque.
 */

/** Position of an event in the answer of one attempt. */
export interface EventPoint {
  readonly requestId: string;
  readonly attemptId: string;
  readonly group: string;
  readonly rank: number;
  /** Sequence number of the frame that carried the event. */
  readonly sequence: number;
  /** Index of the event within that frame. */
  readonly index: number;
}

const separator = "~";
const fieldCount = 6;

/** Encodes a position as the value of an `id:` line. */
export function formatEventId(point: EventPoint): string {
  return [
    point.requestId,
    point.attemptId,
    point.group,
    point.rank,
    point.sequence,
    point.index,
  ].join(separator);
}

/** Decodes a `Last-Event-ID` header value; undefined if it is malformed. */
export function parseEventId(text: string): EventPoint | undefined {
  const fields = text.split(separator);
  if (fields.length !== fieldCount) return undefined;
  const [requestId, attemptId, group] = fields as [string, string, string];
  const [rank, sequence, index] = fields.slice(3).map(Number) as [
    number,
    number,
    number,
  ];
  const numbers = [rank, sequence, index];
  const hasValidNumbers = numbers.every((value) =>
    Number.isSafeInteger(value) && value >= 0
  );
  const hasAllIds = requestId !== "" && attemptId !== "" && group !== "";
  if (!hasValidNumbers || !hasAllIds) return undefined;
  return { requestId, attemptId, group, rank, sequence, index };
}

/**
 * Adds an `id:` line to each event in the data of a frame, and omits the first
 * `skip` events.
 */
export function insertEventIds(
  data: Uint8Array,
  options: {
    readonly point: Omit<EventPoint, "index">;
    readonly skip?: number;
  },
): string {
  const skip = options.skip ?? 0;
  const events = Buffer.from(data).toString("utf8").split("\n\n");
  let text = "";
  for (const [index, event] of events.entries()) {
    if (event === "" || index < skip) continue;
    const id = formatEventId({ ...options.point, index });
    text += `id: ${id}\n${event}\n\n`;
  }
  return text;
}
