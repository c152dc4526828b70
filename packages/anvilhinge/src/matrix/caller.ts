/**
 * The caller of the matrix: sends a call to the first entry and goes to the
 * next one when that dies or says nothing for long; keeps all that it is told.
 */
import type * as engine from "../ports/engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as session from "../entry/session/session.ts";
import type * as entryNode from "./entry_node.ts";

/** What one entry said to one sending of the call. */
export interface Submission {
  readonly entry: entryNode.EntryNode;
  readonly requestId: string;
  readonly atMs: number;
  /** Attempt whose frames were delivered. */
  attemptId?: string;
  upstream?: session.Upstream;
  head?: engine.AnswerHead;
  text: string;
  /** Sequence number of the last data; undefined before any. */
  lastSequence?: number;
  isComplete: boolean;
  final?: session.FinalAnswer;
  finalAtMs?: number;
  /** Number of last words; more than one is a fault. */
  lastWords: number;
  /** True when the caller lost its patience and closed the connection. */
  isAbandoned: boolean;
  /** What the caller had before, when this sending resumes a stream. */
  readonly before: string;
}

export interface CallerOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly entries: readonly entryNode.EntryNode[];
  readonly isModel: boolean;
  readonly isRepeatable: boolean;
}

export interface RunningCaller {
  /** Request id of the first sending. */
  readonly callId: string;
  listSubmissions(): readonly Submission[];
}

export const workspace = "drafting/milan";
/** Time that a caller gives a call, in milliseconds. */
export const deadlineMs = 30_000;
const patienceMs = 4_000;
const maxSends = 8;

/** Sends the call; the scheduler drives the rest. */
export function runCaller(options: CallerOptions): RunningCaller {
  const { scheduler: timers, entries } = options;
  const sends: Submission[] = [];
  const callId = "call-1";

  function createRequest(requestId: string): session.Request {
    const body = Buffer.from("{}");
    return {
      requestId,
      workspace,
      work: options.isModel ? { kind: "model", model: "m", body } : {
        kind: "service",
        service: "registry",
        method: "POST",
        path: "/filings",
        headers: [],
        body,
      },
      isRepeatable: options.isRepeatable,
      isNamed: !options.isRepeatable,
      digest: options.isRepeatable ? "" : "d",
      priority: 1,
      deadlineAtMs: timers.now() + deadlineMs,
      delivery: options.isModel ? "streamed" : "whole",
    };
  }

  function sendTo(entry: entryNode.EntryNode, earlier?: Submission): void {
    const canResume = options.isModel && earlier?.lastSequence !== undefined;
    // A repeatable call is a new request each time, unless it is resumed.
    const requestId = canResume && earlier !== undefined
      ? earlier.requestId
      : options.isRepeatable
      ? `call-${sends.length + 1}`
      : callId;
    const sent: Submission = {
      entry,
      requestId,
      atMs: timers.now(),
      text: "",
      isComplete: false,
      lastWords: 0,
      isAbandoned: false,
      before: canResume ? earlier.before + earlier.text : "",
      attemptId: canResume ? earlier.attemptId : undefined,
      upstream: canResume ? earlier.upstream : undefined,
    };
    sends.push(sent);
    const gone = new AbortController();
    entry.onExit(() => {
      if (sent.lastWords === 0) sendNext(sent);
    });
    timers.schedule(() => {
      const isSilent = sent.lastWords === 0 && sent.text === "";
      if (!isSilent || !entry.isUp() || sent !== sends.at(-1)) return;
      sent.isAbandoned = true;
      gone.abort();
      sendNext(sent);
    }, { delayMs: patienceMs });
    entry.runCall(createRequest(requestId), {
      signal: gone.signal,
      sink: createSink(sent),
      resumePoint: canResume && earlier?.upstream !== undefined
        ? {
          upstream: earlier.upstream,
          attemptId: earlier.attemptId ?? "",
          fromSequence: (earlier.lastSequence ?? 0) + 1,
        }
        : undefined,
    });
  }

  /** Goes to the next entry that is up. */
  function sendNext(earlier: Submission): void {
    const position = entries.indexOf(earlier.entry);
    const next = entries.slice(position + 1).find((entry) => entry.isUp());
    if (next !== undefined && sends.length < maxSends) sendTo(next, earlier);
  }

  function createSink(sent: Submission): Parameters<
    entryNode.EntryNode["runCall"]
  >[1]["sink"] {
    function end(): void {
      sent.lastWords += 1;
      sent.finalAtMs = timers.now();
    }

    return {
      head(head, { attemptId, upstream }) {
        sent.head = head;
        sent.attemptId = attemptId;
        sent.upstream = upstream;
      },
      data(data, sequence) {
        sent.text += Buffer.from(data).toString();
        sent.lastSequence = sequence;
      },
      end() {
        end();
        sent.isComplete = true;
      },
      answer(final) {
        end();
        sent.final = final;
        const mayAskAgain = final.kind === "unknown" &&
          final.retryAfterMs > 0 && sends.length < maxSends;
        if (!mayAskAgain) return;
        timers.schedule(() => {
          if (sent.entry.isUp()) sendTo(sent.entry);
        }, { delayMs: final.retryAfterMs });
      },
    };
  }

  const [first] = entries;
  if (first !== undefined) sendTo(first);
  return { callId, listSubmissions: () => sends };
}
