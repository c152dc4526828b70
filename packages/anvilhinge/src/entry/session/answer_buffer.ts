/** What a session holds of the answer: undelivered parts and what is recorded. */
import type * as claims from "@anvilhinge/coordination/claims";
import type * as engine from "../../ports/engine.ts";
import type * as types from "./session_types.ts";

type Part = Extract<
  types.SessionEffect,
  { readonly kind: "head" | "data" }
>;

export interface AnswerBufferOptions {
  /** True when parts are delivered as they arrive. */
  readonly isStreamed: boolean;
  /** Most bytes that are held back. */
  readonly limitBytes: number;
}

/** Holds back the head, and the data of whole answers, until it is due. */
export interface AnswerBuffer {
  /** Forgets what was not delivered and begins a new answer. */
  restart(): void;
  /** Takes a part; returns what must be delivered now, nothing if held. */
  add(
    part: Part,
    options?: { readonly isHeld: boolean },
  ): readonly Part[];
  takeAll(): readonly Part[];
  /** Whether any part was delivered. */
  hasDelivered(): boolean;
}

/** Creates an empty buffer. */
export function createAnswerBuffer(options: AnswerBufferOptions): AnswerBuffer {
  let held: Part[] = [];
  let heldBytes = 0;
  let hasDelivered = false;

  function takeAll(): readonly Part[] {
    const taken = held;
    held = [];
    heldBytes = 0;
    hasDelivered ||= taken.length > 0;
    return taken;
  }

  return {
    restart() {
      held = [];
      heldBytes = 0;
    },
    add(part, { isHeld } = { isHeld: false }) {
      held.push(part);
      // The head waits for the first data, so that work that fails before it
      // can still be retried elsewhere.
      if (part.kind === "head") return [];
      heldBytes += part.data.byteLength;
      const isStreamed = options.isStreamed && !isHeld;
      const isDue = isStreamed || hasDelivered ||
        heldBytes > options.limitBytes;
      return isDue ? takeAll() : [];
    },
    takeAll,
    hasDelivered: () => hasDelivered,
  };
}

/** Collects the answer of a claimed call for its record. */
export interface AnswerRecorder {
  restart(): void;
  setHead(head: engine.AnswerHead): void;
  addData(data: Uint8Array): void;
  build(): claims.RecordedAnswer;
}

const recordedBodyLimitBytes = 1024;

/** Creates a recorder; a body over the bound is left out of the record. */
export function createAnswerRecorder(): AnswerRecorder {
  let head: engine.AnswerHead = { status: 0, headers: [] };
  let body: Uint8Array[] = [];
  let bytes = 0;

  return {
    restart() {
      head = { status: 0, headers: [] };
      body = [];
      bytes = 0;
    },
    setHead(received) {
      head = received;
    },
    addData(data) {
      bytes += data.byteLength;
      if (bytes <= recordedBodyLimitBytes) body.push(data);
    },
    build() {
      const { status, headers } = head;
      if (bytes > recordedBodyLimitBytes) return { status, headers };
      return { status, headers, body: Buffer.concat(body).toString("base64") };
    },
  };
}
