/**
 * The attempts of one agent: admits work, retains the frames of each attempt so
 * that an entry can follow or resume it, and seals attempts that must not
 * start. Deterministic: all timestamps come from the clock that is passed in.
 */
import * as assignment from "@anvilhinge/coordination/assignment";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../ports/engine.ts";
import * as frames from "../ports/frames.ts";
import * as frameLogs from "./frame_logs.ts";
import * as startGuard from "./start_guard.ts";

/**
 * Receives the frames of one attempt in order, for one follower: an entry that
 * reads the attempt.
 */
export type FrameSink = (frame: frames.Frame) => void;

export interface AttemptsOptions {
  readonly clock: clock.Clock;
  readonly group: string;
  readonly rank: number;
  /** Random id, new at every start of the agent. */
  readonly incarnation: string;
  readonly readLoad: () => engine.EngineLoad;
  /**
   * Retention period of a finished attempt, in milliseconds.
   * @default 60000
   */
  readonly retentionMs?: number;
  /**
   * Maximum size of the frames retained for resumes, in bytes.
   * @default 8388608
   */
  readonly retainedLimitBytes?: number;
  /**
   * Time after the loss of the last follower, or after the deadline, at which a
   * repeatable attempt becomes an orphan, in milliseconds.
   * @default 10000
   */
  readonly orphanGraceMs?: number;
  /**
   * Maximum number of running attempts; further ones are refused as overloaded.
   * @default 256
   */
  readonly maxRunning?: number;
  /** Whether an attempt could not finish in time. Default: never. */
  readonly isOverloaded?: (attempt: frames.Attempt) => boolean;
  /**
   * Retry delay advised with a refusal for overload, in milliseconds.
   * @default 500
   */
  readonly overloadRetryMs?: number;
}

/** Outcome of an offer, on which the adapter must act. */
export type OfferOutcome =
  /** Start the engine, then feed its events to `receiveEvent`. */
  | { readonly kind: "start" }
  /** The attempt exists already; the sink receives its frames. */
  | { readonly kind: "followed" }
  | { readonly kind: "refused" };

interface TrackedAttempt {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly isRepeatable: boolean;
  /** Time by which the caller wants the answer. */
  readonly deadlineAtMs: number;
  readonly sinks: Set<FrameSink>;
  frameCount: number;
  state: "running" | "finished";
  /** True when a follower received the last frame, or none ever will. */
  isDelivered: boolean;
  /** Time of the start, of the end, or of the loss of the last follower. */
  changedAtMs: number;
}

/** Admits, stores and seals the attempts of one agent. */
export interface Attempts {
  setAssignment(received: assignment.Assignment): void;
  getAssignment(): assignment.Assignment | undefined;
  /** Refuses all new work from now on. */
  stop(): void;
  /** Admits or refuses an attempt; follows it when it exists already. */
  offer(attempt: frames.Attempt, sink: FrameSink): OfferOutcome;
  /** Converts an engine's event to frames; ignored after an attempt's end. */
  receiveEvent(attemptId: string, event: engine.EngineEvent): void;
  /** Delivers the frames from `fromSequence` on, or `not_held`. */
  resume(
    request: {
      readonly requestId: string;
      readonly attemptId: string;
      readonly workspace: string;
      readonly fromSequence: number;
    },
    sink: FrameSink,
  ): void;
  /** Stops the delivery to a sink, for example after a connection failure. */
  detach(attemptId: string, sink: FrameSink): void;
  /**
   * Ends a running repeatable attempt, or prevents an unknown attempt from
   * starting. Returns true when the engine's work must be cancelled.
   */
  cancel(attemptId: string): boolean;
  /** Prevents the start of an attempt, or returns why that is impossible. */
  seal(request: frames.SealRequest): frames.SealOutcome;
  /** Records that a follower has received the attempt's last frame. */
  markDelivered(attemptId: string): void;
  /** Drops expired attempts; returns the ids of orphans to cancel. */
  expire(): readonly string[];
  countRunning(): number;
  /** Counts the finished attempts whose last frame no follower received. */
  countUndelivered(): number;
  /** Returns the size of the retained frames, in bytes. */
  countRetainedBytes(): number;
}

const defaultRetentionMs = 60_000;
const defaultRetainedLimitBytes = 8 * 1024 * 1024;
const defaultOrphanGraceMs = 10_000;
const defaultMaxRunning = 256;
const defaultOverloadRetryMs = 500;

/** Creates the attempts of one agent; admits none before an assignment. */
export function createAttempts(options: AttemptsOptions): Attempts {
  const retentionMs = options.retentionMs ?? defaultRetentionMs;
  const orphanGraceMs = options.orphanGraceMs ?? defaultOrphanGraceMs;
  const maxRunning = options.maxRunning ?? defaultMaxRunning;
  const trackedAttempts = new Map<string, TrackedAttempt>();
  const logs = frameLogs.createFrameLogs({
    limitBytes: options.retainedLimitBytes ?? defaultRetainedLimitBytes,
  });
  const guard = startGuard.createStartGuard({
    clock: options.clock,
    incarnation: options.incarnation,
    retentionMs,
  });
  let currentAssignment: assignment.Assignment | undefined;
  let isStopping = false;
  let runningCount = 0;

  function findRefusal(
    attempt: frames.Attempt,
  ): frames.RefusalReason | undefined {
    const startRefusal = guard.findRefusal(attempt.attemptId, attempt);
    if (startRefusal !== undefined) return startRefusal;
    if (attempt.group !== options.group || attempt.rank !== options.rank) {
      return "wrong_group";
    }
    if (isStopping) return "stopping";
    const admission = assignment.checkAdmission(currentAssignment, attempt);
    if (admission.kind !== "admitted") return admission.kind;
    const isOverloaded = runningCount >= maxRunning ||
      options.isOverloaded?.(attempt) === true;
    return isOverloaded ? "overloaded" : undefined;
  }

  function append(tracked: TrackedAttempt, body: frames.FrameBody): void {
    const frame = {
      requestId: tracked.requestId,
      attemptId: tracked.attemptId,
      sequence: tracked.frameCount,
      body,
    };
    tracked.frameCount += 1;
    logs.append(tracked.attemptId, frame);
    for (const sink of tracked.sinks) sink(frame);
  }

  function finish(tracked: TrackedAttempt, body: frames.FrameBody): void {
    append(tracked, body);
    tracked.state = "finished";
    tracked.changedAtMs = options.clock.now();
    tracked.sinks.clear();
    logs.finish(tracked.attemptId);
    runningCount -= 1;
  }

  function follow(
    request: Parameters<Attempts["resume"]>[0],
    sink: FrameSink,
  ): void {
    const tracked = trackedAttempts.get(request.attemptId);
    const isSameRequest = tracked?.requestId === request.requestId &&
      tracked.workspace === request.workspace;
    const missedFrames = logs.read(request.attemptId, request.fromSequence);
    if (tracked === undefined || !isSameRequest || missedFrames === undefined) {
      sink({
        requestId: request.requestId,
        attemptId: request.attemptId,
        sequence: request.fromSequence,
        body: { kind: "not_held" },
      });
      return;
    }
    for (const frame of missedFrames) sink(frame);
    if (tracked.state === "running") tracked.sinks.add(sink);
  }

  function refuse(
    attempt: frames.Attempt,
    reason: frames.RefusalReason,
    sink: FrameSink,
  ): void {
    // A duplicate of the `run` call that arrives later must not start the
    // attempt, because the entry may have dispatched another one.
    const canStartLater = reason !== "expired" &&
      reason !== "wrong_incarnation";
    if (canStartLater) guard.forbid(attempt.attemptId, attempt.startByMs);
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
      currentAssignment = assignment.mergeAssignments(
        currentAssignment,
        received,
      );
    },
    getAssignment: () => currentAssignment,
    stop() {
      isStopping = true;
    },
    offer(attempt, sink) {
      const existing = trackedAttempts.get(attempt.attemptId);
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
      trackedAttempts.set(attempt.attemptId, {
        requestId: attempt.requestId,
        attemptId: attempt.attemptId,
        workspace: attempt.workspace,
        isRepeatable: attempt.isRepeatable,
        deadlineAtMs: nowMs + attempt.deadlineMs,
        sinks: new Set([sink]),
        frameCount: 0,
        state: "running",
        isDelivered: false,
        changedAtMs: nowMs,
      });
      logs.open(attempt.attemptId, attempt);
      return { kind: "start" };
    },
    receiveEvent(attemptId, event) {
      const tracked = trackedAttempts.get(attemptId);
      if (tracked === undefined || tracked.state === "finished") return;
      switch (event.kind) {
        case "head":
          append(tracked, {
            kind: "accepted",
            incarnation: options.incarnation,
            head: event.head,
          });
          return;
        case "data":
          append(tracked, { kind: "chunk", data: event.data });
          return;
        case "end":
          finish(tracked, {
            kind: "end",
            frameCount: tracked.frameCount + 1,
            load: options.readLoad(),
          });
          return;
        case "failed":
          if (!event.started && tracked.frameCount === 0) {
            finish(tracked, {
              kind: "refused",
              reason: "engine_unavailable",
              retryAfterMs: 0,
              load: options.readLoad(),
            });
            return;
          }
          finish(tracked, {
            kind: "failed",
            message: event.message,
            load: options.readLoad(),
          });
          return;
      }
    },
    resume: follow,
    detach(attemptId, sink) {
      const tracked = trackedAttempts.get(attemptId);
      if (tracked === undefined) return;
      tracked.sinks.delete(sink);
      if (tracked.state === "running" && tracked.sinks.size === 0) {
        tracked.changedAtMs = options.clock.now();
      }
    },
    cancel(attemptId) {
      const tracked = trackedAttempts.get(attemptId);
      if (tracked === undefined) {
        // The cancel arrived before the `run` call that it cancels.
        const latestStartMs = options.clock.now() + frames.startWindowMs;
        guard.forbid(attemptId, latestStartMs);
        return false;
      }
      if (tracked.state === "finished" || !tracked.isRepeatable) return false;
      tracked.isDelivered = true;
      finish(tracked, {
        kind: "failed",
        message: "The attempt was cancelled",
        load: options.readLoad(),
      });
      return true;
    },
    seal(request) {
      const tracked = trackedAttempts.get(request.attemptId);
      if (tracked !== undefined) return tracked.state;
      if (!guard.hasNeverStarted(request)) return "unknown";
      guard.forbid(request.attemptId, request.startByMs);
      return "sealed";
    },
    markDelivered(attemptId) {
      const tracked = trackedAttempts.get(attemptId);
      if (tracked?.state === "finished") tracked.isDelivered = true;
    },
    expire() {
      const nowMs = options.clock.now();
      const orphans: string[] = [];
      for (const tracked of trackedAttempts.values()) {
        const ageMs = nowMs - tracked.changedAtMs;
        if (tracked.state === "finished") {
          if (ageMs < retentionMs) continue;
          trackedAttempts.delete(tracked.attemptId);
          logs.remove(tracked.attemptId);
          continue;
        }
        if (!tracked.isRepeatable) continue;
        const isUnfollowed = tracked.sinks.size === 0 && ageMs >= orphanGraceMs;
        // A broken connection that was not detected still counts as a follower.
        const isOverdue = nowMs >= tracked.deadlineAtMs + orphanGraceMs;
        if (isUnfollowed || isOverdue) orphans.push(tracked.attemptId);
      }
      guard.expire();
      return orphans;
    },
    countRunning: () => runningCount,
    countUndelivered: () =>
      [...trackedAttempts.values()].filter((tracked) =>
        tracked.state === "finished" && !tracked.isDelivered
      ).length,
    countRetainedBytes: () => logs.countBytes(),
  };
}
