/**
 * The attempts of one agent: admits work, keeps the frames of each attempt so
 * that an entry can follow or resume it, and seals attempts that must not
 * start. Deterministic: all time comes from the clock that is passed in.
 */
import * as assignment from "@anvilhinge/coordination/assignment";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../ports/engine.ts";
import type * as frames from "../ports/frames.ts";

/** Receives the frames of one attempt in order. */
export type FrameSink = (frame: frames.Frame) => void;

export interface AttemptsOptions {
  readonly clock: clock.Clock;
  readonly group: string;
  readonly rank: number;
  /** Drawn anew at every start of the agent. */
  readonly incarnation: string;
  readonly readLoad: () => engine.EngineLoad;
  /**
   * How long frames of a finished attempt and tombstones of sealed ones are
   * kept, in milliseconds.
   * @default 60000
   */
  readonly retentionMs?: number;
  /**
   * How long an attempt runs on while no entry follows it, in milliseconds.
   * @default 10000
   */
  readonly orphanGraceMs?: number;
  /**
   * Most attempts that may run at once; more are refused as overloaded.
   * @default 256
   */
  readonly maxRunning?: number;
  /**
   * Advice with a refusal for overload, in milliseconds.
   * @default 500
   */
  readonly overloadRetryMs?: number;
}

/** What the adapter must do after an attempt was offered. */
export type OfferOutcome =
  /** Start the engine, then feed its events to `receiveEvent`. */
  | { readonly kind: "start" }
  /** The attempt is known; its frames were delivered to the sink. */
  | { readonly kind: "followed" }
  | { readonly kind: "refused" };

interface Held {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly isModel: boolean;
  readonly frames: frames.Frame[];
  readonly sinks: Set<FrameSink>;
  state: "running" | "finished";
  changedAtMs: number;
}

/** The admission gate and the frame store of one agent. */
export interface Attempts {
  setAssignment(received: assignment.Assignment): void;
  getAssignment(): assignment.Assignment | undefined;
  /** Refuses all new work from now on. */
  stop(): void;
  offer(attempt: frames.Attempt, sink: FrameSink): OfferOutcome;
  /** Turns an engine's event into frames; ignores attempts that have ended. */
  receiveEvent(attemptId: string, event: engine.EngineEvent): void;
  /** Delivers the frames from `fromSequence` on; `not_held` when unknown. */
  resume(
    request: {
      readonly requestId: string;
      readonly attemptId: string;
      readonly workspace: string;
      readonly fromSequence: number;
    },
    sink: FrameSink,
  ): void;
  /** Stops delivery to a sink, for example because its connection broke. */
  detach(attemptId: string, sink: FrameSink): void;
  /** Ends a running attempt; true when its engine work must be cancelled. */
  cancel(attemptId: string): boolean;
  seal(requestId: string, attemptId: string): frames.SealOutcome;
  /** Drops what is past its retention; returns orphans to cancel. */
  expire(): readonly string[];
  countRunning(): number;
}

const defaultRetentionMs = 60_000;
const defaultOrphanGraceMs = 10_000;
const defaultMaxRunning = 256;
const defaultOverloadRetryMs = 500;

/** Creates the attempt table of one agent; it admits nothing until assigned. */
export function createAttempts(options: AttemptsOptions): Attempts {
  const retentionMs = options.retentionMs ?? defaultRetentionMs;
  const orphanGraceMs = options.orphanGraceMs ?? defaultOrphanGraceMs;
  const maxRunning = options.maxRunning ?? defaultMaxRunning;
  const held = new Map<string, Held>();
  const sealedAtMs = new Map<string, number>();
  let known: assignment.Assignment | undefined;
  let isStopping = false;
  let runningCount = 0;

  function findRefusal(
    attempt: frames.Attempt,
  ): frames.RefusalReason | undefined {
    if (sealedAtMs.has(attempt.attemptId)) return "sealed";
    if (attempt.group !== options.group || attempt.rank !== options.rank) {
      return "wrong_group";
    }
    if (isStopping) return "stopping";
    if (
      attempt.incarnation !== "" && attempt.incarnation !== options.incarnation
    ) {
      return "wrong_incarnation";
    }
    const admission = assignment.checkAdmission(known, attempt);
    if (admission.kind !== "admitted") return admission.kind;
    return runningCount >= maxRunning ? "overloaded" : undefined;
  }

  function append(entry: Held, body: frames.FrameBody): void {
    const frame = {
      requestId: entry.requestId,
      attemptId: entry.attemptId,
      sequence: entry.frames.length,
      body,
    };
    entry.frames.push(frame);
    for (const sink of entry.sinks) sink(frame);
  }

  function finish(entry: Held, body: frames.FrameBody): void {
    append(entry, body);
    entry.state = "finished";
    entry.changedAtMs = options.clock.now();
    entry.sinks.clear();
    runningCount -= 1;
  }

  function follow(entry: Held, fromSequence: number, sink: FrameSink): void {
    for (const frame of entry.frames.slice(fromSequence)) sink(frame);
    if (entry.state === "running") entry.sinks.add(sink);
  }

  function refuse(
    attempt: frames.Attempt,
    reason: frames.RefusalReason,
    sink: FrameSink,
  ): void {
    const retryAfterMs = reason === "overloaded"
      ? options.overloadRetryMs ?? defaultOverloadRetryMs
      : 0;
    sink({
      requestId: attempt.requestId,
      attemptId: attempt.attemptId,
      sequence: 0,
      body: {
        kind: "refused",
        reason,
        retryAfterMs,
        load: options.readLoad(),
      },
    });
  }

  return {
    setAssignment(received) {
      known = assignment.mergeAssignments(known, received);
    },
    getAssignment: () => known,
    stop() {
      isStopping = true;
    },
    offer(attempt, sink) {
      const existing = held.get(attempt.attemptId);
      if (existing !== undefined) {
        follow(existing, 0, sink);
        return { kind: "followed" };
      }
      const reason = findRefusal(attempt);
      if (reason !== undefined) {
        refuse(attempt, reason, sink);
        return { kind: "refused" };
      }
      runningCount += 1;
      held.set(attempt.attemptId, {
        requestId: attempt.requestId,
        attemptId: attempt.attemptId,
        workspace: attempt.workspace,
        isModel: attempt.work.kind === "model",
        frames: [],
        sinks: new Set([sink]),
        state: "running",
        changedAtMs: options.clock.now(),
      });
      return { kind: "start" };
    },
    receiveEvent(attemptId, event) {
      const entry = held.get(attemptId);
      if (entry === undefined || entry.state === "finished") return;
      switch (event.kind) {
        case "head":
          append(entry, {
            kind: "accepted",
            incarnation: options.incarnation,
            head: event.head,
          });
          return;
        case "data":
          append(entry, { kind: "chunk", data: event.data });
          return;
        case "end":
          finish(entry, {
            kind: "end",
            frameCount: entry.frames.length + 1,
            load: options.readLoad(),
          });
          return;
        case "failed":
          if (!event.started && entry.frames.length === 0) {
            finish(entry, {
              kind: "refused",
              reason: "engine_unavailable",
              retryAfterMs: 0,
              load: options.readLoad(),
            });
            return;
          }
          finish(entry, {
            kind: "failed",
            message: event.message,
            load: options.readLoad(),
          });
          return;
      }
    },
    resume(request, sink) {
      const entry = held.get(request.attemptId);
      const isOwn = entry?.requestId === request.requestId &&
        entry.workspace === request.workspace;
      if (entry === undefined || !isOwn) {
        sink({
          requestId: request.requestId,
          attemptId: request.attemptId,
          sequence: request.fromSequence,
          body: { kind: "not_held" },
        });
        return;
      }
      follow(entry, request.fromSequence, sink);
    },
    detach(attemptId, sink) {
      const entry = held.get(attemptId);
      if (entry === undefined) return;
      entry.sinks.delete(sink);
      if (entry.state === "running" && entry.sinks.size === 0) {
        entry.changedAtMs = options.clock.now();
      }
    },
    cancel(attemptId) {
      const entry = held.get(attemptId);
      if (entry === undefined || entry.state === "finished") return false;
      finish(entry, {
        kind: "failed",
        message: "The attempt was cancelled",
        load: options.readLoad(),
      });
      return true;
    },
    seal(_requestId, attemptId) {
      const entry = held.get(attemptId);
      if (entry !== undefined) return entry.state;
      sealedAtMs.set(attemptId, options.clock.now());
      return "sealed";
    },
    expire() {
      const nowMs = options.clock.now();
      const orphans: string[] = [];
      for (const entry of held.values()) {
        const ageMs = nowMs - entry.changedAtMs;
        if (entry.state === "finished") {
          if (ageMs >= retentionMs) held.delete(entry.attemptId);
          continue;
        }
        const isOrphan = entry.isModel && entry.sinks.size === 0;
        if (isOrphan && ageMs >= orphanGraceMs) orphans.push(entry.attemptId);
      }
      for (const [attemptId, atMs] of sealedAtMs) {
        if (nowMs - atMs >= retentionMs) sealedAtMs.delete(attemptId);
      }
      return orphans;
    },
    countRunning: () => runningCount,
  };
}
