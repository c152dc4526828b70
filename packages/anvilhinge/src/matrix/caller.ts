/**
 * Caller of the fault matrix: submits a call to the first entry, and to the next
 * entry when the first dies or does not answer in time. Records all that it
 * receives.
 */
import type * as engine from "../ports/engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as session from "../entry/session/session.ts";
import type * as entryNode from "./entry_node.ts";

/**
 * One submission of the call to one entry, with what the entry returned. The
 * golden files contain the property names.
 */
export interface Submission {
  readonly entry: entryNode.EntryNode;
  readonly requestId: string;
  readonly atMs: number;
  /** Attempt whose answer the entry delivers. */
  attemptId?: string;
  upstream?: session.Upstream;
  head?: engine.AnswerHead;
  text: string;
  /** Sequence number of the latest data; undefined before the first. */
  lastSequence?: number;
  isComplete: boolean;
  final?: session.FinalAnswer;
  finalAtMs?: number;
  /** Number of final answers; more than one is a violation. */
  lastWords: number;
  /** Whether the caller timed out and closed the connection. */
  isAbandoned: boolean;
  /** Text from earlier submissions, if this submission resumes a stream. */
  readonly before: string;
}

export interface CallerOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly entries: readonly entryNode.EntryNode[];
  readonly isModel: boolean;
  readonly isRepeatable: boolean;
}

export interface RunningCaller {
  /** Request id of the first submission. */
  readonly callId: string;
  listSubmissions(): readonly Submission[];
}

export const workspace = "drafting/milan";
/** Deadline of a submission, relative to its start. */
export const deadlineMs = 30_000;
/** Time without any data after which the caller submits to the next entry. */
const answerTimeoutMs = 4_000;
const maxSubmissions = 8;

/** Submits the call; the scheduler drives all further submissions. */
export function runCaller(options: CallerOptions): RunningCaller {
  const { scheduler: timers, entries } = options;
  const sent: Submission[] = [];
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

  function submit(entry: entryNode.EntryNode, previous?: Submission): void {
    const canResume = options.isModel && previous?.lastSequence !== undefined;
    // Each submission of a repeatable call is a new request, unless it resumes.
    const requestId = canResume && previous !== undefined
      ? previous.requestId
      : options.isRepeatable
      ? `call-${sent.length + 1}`
      : callId;
    const submission: Submission = {
      entry,
      requestId,
      atMs: timers.now(),
      text: "",
      isComplete: false,
      lastWords: 0,
      isAbandoned: false,
      before: canResume ? previous.before + previous.text : "",
      attemptId: canResume ? previous.attemptId : undefined,
      upstream: canResume ? previous.upstream : undefined,
    };
    sent.push(submission);
    const abandonment = new AbortController();
    entry.onExit(() => {
      if (submission.lastWords === 0) submitToNext(submission);
    });
    timers.schedule(() => {
      const isPending = submission.lastWords === 0 && submission.text === "";
      if (!isPending || !entry.isUp() || submission !== sent.at(-1)) return;
      submission.isAbandoned = true;
      abandonment.abort();
      submitToNext(submission);
    }, { delayMs: answerTimeoutMs });
    entry.runCall(createRequest(requestId), {
      signal: abandonment.signal,
      sink: createSink(submission),
      resumePoint: canResume && previous?.upstream !== undefined
        ? {
          upstream: previous.upstream,
          attemptId: previous.attemptId ?? "",
          fromSequence: (previous.lastSequence ?? 0) + 1,
        }
        : undefined,
    });
  }

  /** Submits the call to the next entry that is up. */
  function submitToNext(last: Submission): void {
    const position = entries.indexOf(last.entry);
    const next = entries.slice(position + 1).find((entry) => entry.isUp());
    if (next !== undefined && sent.length < maxSubmissions) submit(next, last);
  }

  function createSink(submission: Submission): Parameters<
    entryNode.EntryNode["runCall"]
  >[1]["sink"] {
    function recordFinal(): void {
      submission.lastWords += 1;
      submission.finalAtMs = timers.now();
    }

    return {
      head(head, { attemptId, upstream }) {
        submission.head = head;
        submission.attemptId = attemptId;
        submission.upstream = upstream;
      },
      data(data, sequence) {
        submission.text += Buffer.from(data).toString();
        submission.lastSequence = sequence;
      },
      end() {
        recordFinal();
        submission.isComplete = true;
      },
      answer(final) {
        recordFinal();
        submission.final = final;
        const canRetry = final.kind === "unknown" &&
          final.retryAfterMs > 0 && sent.length < maxSubmissions;
        if (!canRetry) return;
        timers.schedule(() => {
          if (submission.entry.isUp()) submit(submission.entry);
        }, { delayMs: final.retryAfterMs });
      },
    };
  }

  const [first] = entries;
  if (first !== undefined) submit(first);
  return { callId, listSubmissions: () => sent };
}
