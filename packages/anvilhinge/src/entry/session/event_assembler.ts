/**
 * Assembles the answer to one request into complete server-sent events and
 * tracks their ids over all attempts of the request: a later attempt continues
 * after the last delivered event.
 */
import * as eventSplitter from "../../events/event_splitter.ts";

export type PushOutcome =
  /** Complete events that continue the answer; undefined if there are none. */
  | { readonly kind: "events"; readonly data: Uint8Array | undefined }
  /** An event is missing or repeated, so the data must not be delivered. */
  | { readonly kind: "misplaced"; readonly message: string }
  /** An incomplete event exceeds the limit; it is not buffered further. */
  | { readonly kind: "oversized"; readonly message: string };

export interface EventAssemblerOptions {
  /** Id of the event after which the answer starts. */
  readonly resumeAfter?: string;
  /** Maximum number of buffered bytes of an incomplete event. */
  readonly limitBytes: number;
  /**
   * Whether another attempt has delivered events of this answer.
   * @default false
   */
  readonly isContinuation?: boolean;
}

export interface EventAssembler {
  /** Discards the incomplete event of an interrupted attempt. */
  restart(): void;
  /** Adds bytes from the current attempt. */
  push(data: Uint8Array): PushOutcome;
  /** Whether bytes of an incomplete event remain. */
  hasIncompleteEvent(): boolean;
  /**
   * Whether another attempt has delivered events of this answer, and the current
   * one has none.
   */
  isEmptyContinuation(): boolean;
  /** Id of the last event delivered in this answer or an earlier answer. */
  getLastId(): string | undefined;
}

const idLinePattern = /^id: ?(.*)$/gm;
const anyIdPattern = /^id:/m;

const eventSeparator = "\n\n";
/** Line of an event other than a comment. */
const fieldPattern = /^[^:\r\n]/m;

/** Lists the ids of each complete event with any field, in order. */
function listIds(text: string): readonly (readonly string[])[] {
  return text.split(eventSeparator)
    .filter((event) => fieldPattern.test(event))
    .map((event) =>
      [...event.matchAll(idLinePattern)]
        .map((match) => (match[1] as string).replace(/\r$/, ""))
    );
}

/** Whether the id follows `lastId`; only integer ids can be checked. */
function isNext(id: string, lastId: string | undefined): boolean {
  const number = Number(id);
  if (lastId === undefined || !Number.isSafeInteger(number)) return true;
  const last = Number(lastId);
  return !Number.isSafeInteger(last) || number === last + 1;
}

/** Creates an assembler for one answer. */
export function createEventAssembler(
  { resumeAfter, limitBytes, ...options }: EventAssemblerOptions,
): EventAssembler {
  let splitter = eventSplitter.createEventSplitter();
  let lastId = resumeAfter;
  /** Whether the events start after one with a known id. */
  let isContinued = resumeAfter !== undefined;
  let isContinuation = options.isContinuation ?? false;
  let hasEvents = false;

  /**
   * Whether an event without an id is none of this answer: ids that are numbers
   * count all events, and only ids show where a continuation goes on.
   */
  function isIdRequired(previousId: string | undefined): boolean {
    return previousId !== undefined &&
      (isContinued || Number.isSafeInteger(Number(previousId)));
  }

  function verify(data: Uint8Array): PushOutcome {
    let previousId = lastId;
    const text = Buffer.from(data).toString("latin1");
    // Splitting many events costs far more than searching them.
    if (!isIdRequired(lastId) && !anyIdPattern.test(text)) {
      hasEvents ||= fieldPattern.test(text);
      return { kind: "events", data };
    }
    const idsByEvent = listIds(text);
    for (const ids of idsByEvent) {
      if (ids.length === 0 && isIdRequired(previousId)) {
        const message = `An event without an id came after ${previousId}`;
        return { kind: "misplaced", message };
      }
      for (const id of ids) {
        if (!isNext(id, previousId)) {
          const message = `Event ${id} came after event ${previousId}`;
          return { kind: "misplaced", message };
        }
        previousId = id;
      }
    }
    lastId = previousId;
    hasEvents ||= idsByEvent.length > 0;
    return { kind: "events", data };
  }

  return {
    restart() {
      isContinued = lastId !== undefined;
      isContinuation ||= hasEvents;
      hasEvents = false;
      splitter = eventSplitter.createEventSplitter();
    },
    push(data) {
      const events = splitter.push(data);
      if (events !== undefined) return verify(events);
      if (splitter.countBufferedBytes() <= limitBytes) {
        return { kind: "events", data: undefined };
      }
      const message = `An event has more than ${limitBytes} bytes`;
      return { kind: "oversized", message };
    },
    hasIncompleteEvent: () => splitter.flush() !== undefined,
    isEmptyContinuation: () => isContinuation && !hasEvents,
    getLastId: () => lastId,
  };
}
