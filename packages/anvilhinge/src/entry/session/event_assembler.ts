/**
 * Cuts the answer of one request into whole server-sent events and follows
 * their ids, over all attempts of the request: a later attempt goes on behind
 * the last event that was delivered.
 */
import * as eventSplitter from "../../events/event_splitter.ts";

export type PushOutcome =
  /** Whole events that continue the answer; undefined while none is complete. */
  | { readonly kind: "events"; readonly data: Uint8Array | undefined }
  /** An event does not continue the answer. */
  | { readonly kind: "misplaced"; readonly message: string };

export interface EventAssembler {
  /** Forgets what an attempt that broke left of an event. */
  restart(): void;
  /** Takes bytes of the present attempt. */
  push(data: Uint8Array): PushOutcome;
  /** Whether the present attempt ended inside an event. */
  hasIncompleteEvent(): boolean;
  /** Id of the last event that was delivered, or that the caller has. */
  getLastId(): string | undefined;
}

const idLinePattern = /^id: ?(.*)$/gm;

/** Reads the ids of whole events, in order. */
function listIds(data: Uint8Array): readonly string[] {
  const text = Buffer.from(data).toString("latin1");
  return [...text.matchAll(idLinePattern)]
    .map((match) => (match[1] as string).replace(/\r$/, ""));
}

/** Whether the id is the next one; ids that aren't numbers can't be checked. */
function isNext(id: string, lastId: string | undefined): boolean {
  const number = Number(id);
  if (lastId === undefined || !Number.isSafeInteger(number)) return true;
  const last = Number(lastId);
  return !Number.isSafeInteger(last) || number === last + 1;
}

/** Creates a cutter for an answer that begins behind `resumeAfter`. */
export function createEventAssembler(resumeAfter?: string): EventAssembler {
  let splitter = eventSplitter.createEventSplitter();
  let lastId = resumeAfter;

  function follow(data: Uint8Array): PushOutcome {
    let followedId = lastId;
    for (const id of listIds(data)) {
      if (!isNext(id, followedId)) {
        const message = `Event ${id} came after event ${followedId}`;
        return { kind: "misplaced", message };
      }
      followedId = id;
    }
    lastId = followedId;
    return { kind: "events", data };
  }

  return {
    restart() {
      splitter = eventSplitter.createEventSplitter();
    },
    push(data) {
      const events = splitter.push(data);
      return events === undefined
        ? { kind: "events", data: undefined }
        : follow(events);
    },
    hasIncompleteEvent: () => splitter.flush() !== undefined,
    getLastId: () => lastId,
  };
}
