/**
 * The attempts of one agent: admits work, keeps the frames of each attempt so
 * that an entry can follow or resume it, and seals attempts that must not
 * start. Deterministic: all time comes from the clock that is passed in.
 */
import * as assignment from "@anvilhinge/coordination/assignment";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../ports/engine.ts";
import * as frames from "../ports/frames.ts";
import * as frameLogs from "./frame_logs.ts";
import * as startGuard from "./start_guard.ts";

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
   * How long a finished attempt is kept, in milliseconds.
   * @default 60000
   */
  readonly retentionMs?: number;
  /**
   * Most bytes of frames that are held for resumes.
   * @default 8388608
   */
  readonly heldLimitBytes?: number;
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
  /** True for an attempt that could not finish in time. Default: never. */
  readonly isOverloaded?: (attempt: frames.Attempt) => boolean;
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
  readonly isRepeatable: boolean;
  /** Instant by which the caller wants the answer. */
  readonly deadlineAtMs: number;
  readonly sinks: Set<FrameSink>;
  frameCount: number;
  state: "running" | "finished";
  /** True when a follower took the last frame, or none will. */
  isTaken: boolean;
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
  /**
   * Ends a running attempt that may be repeated, or keeps it from starting;
   * true when its engine work must be cancelled.
   */
  cancel(attemptId: string): boolean;
  seal(request: frames.SealRequest): frames.SealOutcome;
  /** Tells that a follower has the attempt's last frame. */
  markDelivered(attemptId: string): void;
  /** Drops what is past its retention; returns orphans to cancel. */
  expire(): readonly string[];
  countRunning(): number;
  /** Finished attempts whose last frame no follower has. */
  countUndelivered(): number;
  /** Bytes of frames that are held. */
  countHeldBytes(): number;
}

const defaultRetentionMs = 60_000;
const defaultHeldLimitBytes = 8 * 1024 * 1024;
const defaultOrphanGraceMs = 10_000;
const defaultMaxRunning = 256;
const defaultOverloadRetryMs = 500;

/** Creates the attempt table of one agent; it admits nothing until assigned. */
export function createAttempts(options: AttemptsOptions): Attempts {
  const retentionMs = options.retentionMs ?? defaultRetentionMs;
  const orphanGraceMs = options.orphanGraceMs ?? defaultOrphanGraceMs;
  const maxRunning = options.maxRunning ?? defaultMaxRunning;
  const held = new Map<string, Held>();
  const logs = frameLogs.createFrameLogs({
    limitBytes: options.heldLimitBytes ?? defaultHeldLimitBytes,
  });
  const starts = startGuard.createStartGuard({
    clock: options.clock,
    incarnation: options.incarnation,
    retentionMs,
  });
  let known: assignment.Assignment | undefined;
  let isStopping = false;
  let runningCount = 0;

  function findRefusal(
    attempt: frames.Attempt,
  ): frames.RefusalReason | undefined {
    const limit = starts.findRefusal(attempt.attemptId, attempt);
    if (limit !== undefined) return limit;
    if (attempt.group !== options.group || attempt.rank !== options.rank) {
      return "wrong_group";
    }
    if (isStopping) return "stopping";
    const admission = assignment.checkAdmission(known, attempt);
    if (admission.kind !== "admitted") return admission.kind;
    const isOverloaded = runningCount >= maxRunning ||
      options.isOverloaded?.(attempt) === true;
    return isOverloaded ? "overloaded" : undefined;
  }

  function append(entry: Held, body: frames.FrameBody): void {
    const frame = {
      requestId: entry.requestId,
      attemptId: entry.attemptId,
      sequence: entry.frameCount,
      body,
    };
    entry.frameCount += 1;
    logs.append(entry.attemptId, frame);
    for (const sink of entry.sinks) sink(frame);
  }

  function finish(entry: Held, body: frames.FrameBody): void {
    append(entry, body);
    entry.state = "finished";
    entry.changedAtMs = options.clock.now();
    entry.sinks.clear();
    logs.finish(entry.attemptId);
    runningCount -= 1;
  }

  function follow(
    request: Parameters<Attempts["resume"]>[0],
    sink: FrameSink,
  ): void {
    const entry = held.get(request.attemptId);
    const isOwn = entry?.requestId === request.requestId &&
      entry.workspace === request.workspace;
    const missed = logs.read(request.attemptId, request.fromSequence);
    if (entry === undefined || !isOwn || missed === undefined) {
      sink({
        requestId: request.requestId,
        attemptId: request.attemptId,
        sequence: request.fromSequence,
        body: { kind: "not_held" },
      });
      return;
    }
    for (const frame of missed) sink(frame);
    if (entry.state === "running") entry.sinks.add(sink);
  }

  function refuse(
    attempt: frames.Attempt,
    reason: frames.RefusalReason,
    sink: FrameSink,
  ): void {
    // A copy of the call that arrives later must not start what was refused.
    const canStartLater = reason !== "expired" &&
      reason !== "wrong_incarnation";
    if (canStartLater) starts.forbid(attempt.attemptId, attempt.startByMs);
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
        follow({ ...attempt, fromSequence: 0 }, sink);
        return { kind: "followed" };
      }
      const reason = findRefusal(attempt);
      if (reason !== undefined) {
        refuse(attempt, reason, sink);
        return { kind: "refused" };
      }
      runningCount += 1;
      const nowMs = options.clock.now();
      held.set(attempt.attemptId, {
        requestId: attempt.requestId,
        attemptId: attempt.attemptId,
        workspace: attempt.workspace,
        isRepeatable: attempt.isRepeatable,
        deadlineAtMs: nowMs + attempt.deadlineMs,
        sinks: new Set([sink]),
        frameCount: 0,
        state: "running",
        isTaken: false,
        changedAtMs: nowMs,
      });
      logs.open(attempt.attemptId, attempt);
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
            frameCount: entry.frameCount + 1,
            load: options.readLoad(),
          });
          return;
        case "failed":
          if (!event.started && entry.frameCount === 0) {
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
    resume: follow,
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
      if (entry === undefined) {
        // The cancel overtook the call that it ends.
        const latestStartMs = options.clock.now() + frames.startWindowMs;
        starts.forbid(attemptId, latestStartMs);
        return false;
      }
      if (entry.state === "finished" || !entry.isRepeatable) return false;
      entry.isTaken = true;
      finish(entry, {
        kind: "failed",
        message: "The attempt was cancelled",
        load: options.readLoad(),
      });
      return true;
    },
    seal(request) {
      const entry = held.get(request.attemptId);
      if (entry !== undefined) return entry.state;
      if (!starts.hasNeverStarted(request)) return "unknown";
      starts.forbid(request.attemptId, request.startByMs);
      return "sealed";
    },
    markDelivered(attemptId) {
      const entry = held.get(attemptId);
      if (entry?.state === "finished") entry.isTaken = true;
    },
    expire() {
      const nowMs = options.clock.now();
      const orphans: string[] = [];
      for (const entry of held.values()) {
        const ageMs = nowMs - entry.changedAtMs;
        if (entry.state === "finished") {
          if (ageMs < retentionMs) continue;
          held.delete(entry.attemptId);
          logs.remove(entry.attemptId);
          continue;
        }
        if (!entry.isRepeatable) continue;
        const isLeft = entry.sinks.size === 0 && ageMs >= orphanGraceMs;
        // A connection that broke in silence still counts as a follower.
        const isOverdue = nowMs >= entry.deadlineAtMs + orphanGraceMs;
        if (isLeft || isOverdue) orphans.push(entry.attemptId);
      }
      starts.expire();
      return orphans;
    },
    countRunning: () => runningCount,
    countUndelivered: () =>
      [...held.values()].filter((entry) =>
        entry.state === "finished" && !entry.isTaken
      ).length,
    countHeldBytes: () => logs.countBytes(),
  };
}
