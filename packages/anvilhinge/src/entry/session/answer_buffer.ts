/** Buffers undelivered parts of an answer and records answers for claims. */
import type * as claims from "@anvilhinge/coordination/claims";
import type * as engine from "../../ports/engine.ts";
import type * as types from "./session_types.ts";

type Part = Extract<
  types.SessionEffect,
  { readonly kind: "head" | "data" }
>;

export interface AnswerBufferOptions {
  /** True when data is delivered as it arrives. */
  readonly isStreamed: boolean;
  /** Maximum number of buffered bytes before the buffer is delivered. */
  readonly limitBytes: number;
}

/** Buffers the head, and the data of whole answers, until delivery. */
export interface AnswerBuffer {
  /** Discards undelivered parts, for the answer of another attempt. */
  restart(): void;
  /**
   * Adds a part and returns the parts to deliver now. `isBuffered` buffers the
   * part even if the answer is streamed.
   */
  add(
    part: Part,
    options?: { readonly isBuffered: boolean },
  ): readonly Part[];
  /** Whether the data fits into the buffer. */
  hasRoomFor(data: Uint8Array): boolean;
  /** Removes and returns all buffered parts. */
  takeAll(): readonly Part[];
  /** Whether any part was delivered. */
  hasDelivered(): boolean;
}

/** Creates an empty buffer. */
export function createAnswerBuffer(options: AnswerBufferOptions): AnswerBuffer {
  let parts: Part[] = [];
  let bufferedBytes = 0;
  let hasDelivered = false;

  function takeAll(): readonly Part[] {
    const removed = parts;
    parts = [];
    bufferedBytes = 0;
    hasDelivered ||= removed.length > 0;
    return removed;
  }

  return {
    restart() {
      parts = [];
      bufferedBytes = 0;
    },
    add(part, { isBuffered } = { isBuffered: false }) {
      parts.push(part);
      // The head is buffered until the first data arrives, so that an attempt
      // that fails before then can be retried at another upstream.
      if (part.kind === "head") return [];
      bufferedBytes += part.data.byteLength;
      const isStreamed = options.isStreamed && !isBuffered;
      const isDue = isStreamed || hasDelivered ||
        bufferedBytes > options.limitBytes;
      return isDue ? takeAll() : [];
    },
    hasRoomFor: ({ byteLength }) =>
      bufferedBytes + byteLength <= options.limitBytes,
    takeAll,
    hasDelivered: () => hasDelivered,
  };
}

/** Collects the answer to a claimed call, to be stored with the claim. */
export interface AnswerRecorder {
  restart(): void;
  setHead(head: engine.AnswerHead): void;
  addData(data: Uint8Array): void;
  build(): claims.RecordedAnswer;
}

const recordedBodyLimitBytes = 1024;

/** Creates a recorder; a body over the size limit is omitted. */
export function createAnswerRecorder(): AnswerRecorder {
  let head: engine.AnswerHead = { status: 0, headers: [] };
  let chunks: Uint8Array[] = [];
  let bodyBytes = 0;

  return {
    restart() {
      head = { status: 0, headers: [] };
      chunks = [];
      bodyBytes = 0;
    },
    setHead(received) {
      head = received;
    },
    addData(data) {
      bodyBytes += data.byteLength;
      if (bodyBytes <= recordedBodyLimitBytes) chunks.push(data);
    },
    build() {
      const { status, headers } = head;
      if (bodyBytes > recordedBodyLimitBytes) return { status, headers };
      return {
        status,
        headers,
        body: Buffer.concat(chunks).toString("base64"),
      };
    },
  };
}
