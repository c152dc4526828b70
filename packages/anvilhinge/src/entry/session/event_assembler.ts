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
}

export interface EventAssembler {
  /** Discards the incomplete event of an interrupted attempt. */
  restart(): void;
  /** Adds bytes from the current attempt. */
  push(data: Uint8Array): PushOutcome;
  /** Whether bytes of an incomplete event remain. */
  hasIncompleteEvent(): boolean;
  /** Id of the last event delivered in this answer or an earlier answer. */
  getLastId(): string | undefined;
}

const idLinePattern = /^id: ?(.*)$/gm;

/** Lists the ids of complete events, in order. */
function listIds(data: Uint8Array): readonly string[] {
  const text = Buffer.from(data).toString("latin1");
  return [...text.matchAll(idLinePattern)]
    .map((match) => (match[1] as string).replace(/\r$/, ""));
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
  { resumeAfter, limitBytes }: EventAssemblerOptions,
): EventAssembler {
  let splitter = eventSplitter.createEventSplitter();
  let lastId = resumeAfter;

  function verify(data: Uint8Array): PushOutcome {
    let previousId = lastId;
    for (const id of listIds(data)) {
      if (!isNext(id, previousId)) {
        const message = `Event ${id} came after event ${previousId}`;
        return { kind: "misplaced", message };
      }
      previousId = id;
    }
    lastId = previousId;
    return { kind: "events", data };
  }

  return {
    restart() {
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
    getLastId: () => lastId,
  };
}
