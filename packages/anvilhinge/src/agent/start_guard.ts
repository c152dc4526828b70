/**
 * Prevents attempts from starting at an agent after their start was ruled out.
 * An attempt carries the agent's incarnation and the time by which it must
 * start, so a record is needed only until that time, however late a duplicate
 * `run` call arrives.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as frames from "../ports/frames.ts";

export interface StartGuardOptions {
  readonly clock: clock.Clock;
  readonly incarnation: string;
  /** Retention period of the records of finished attempts, in milliseconds. */
  readonly retentionMs: number;
}

/** The limits within which an attempt may start. */
export interface StartLimits {
  readonly incarnation: string;
  readonly startByMs: number;
}

export interface StartGuard {
  /** Returns why an attempt must not start now; undefined when it may. */
  findRefusal(
    attemptId: string,
    limits: StartLimits,
  ): "sealed" | "wrong_incarnation" | "expired" | undefined;
  /** Forbids the start of an attempt that has not started. */
  forbid(attemptId: string, startByMs: number): void;
  /** Whether an attempt without a record is certain not to have started. */
  hasNeverStarted(limits: StartLimits): boolean;
  /** Drops the records that are no longer needed. */
  expire(): void;
  count(): number;
}

/** Creates a guard without records. */
export function createStartGuard(options: StartGuardOptions): StartGuard {
  if (options.retentionMs < 2 * frames.startWindowMs) {
    throw new RangeError(
      `Retention of finished attempts must be at least ${
        2 * frames.startWindowMs
      } ms`,
    );
  }
  const forbiddenStartByMs = new Map<string, number>();

  return {
    findRefusal(attemptId, { incarnation, startByMs }) {
      const nowMs = options.clock.now();
      if (incarnation !== options.incarnation) return "wrong_incarnation";
      if (forbiddenStartByMs.has(attemptId)) return "sealed";
      const isInWindow = startByMs >= nowMs &&
        startByMs <= nowMs + frames.startWindowMs;
      return isInWindow ? undefined : "expired";
    },
    forbid(attemptId, startByMs) {
      forbiddenStartByMs.set(attemptId, startByMs);
    },
    hasNeverStarted({ incarnation, startByMs }) {
      if (incarnation !== options.incarnation) return false;
      const nowMs = options.clock.now();
      if (startByMs > nowMs + frames.startWindowMs) return false;
      // The attempt can't have started before this time, and the record of a
      // start is retained for `retentionMs` at least.
      const earliestStartMs = startByMs - frames.startWindowMs;
      return nowMs < earliestStartMs + options.retentionMs;
    },
    expire() {
      const nowMs = options.clock.now();
      for (const [attemptId, startByMs] of forbiddenStartByMs) {
        if (startByMs < nowMs) forbiddenStartByMs.delete(attemptId);
      }
    },
    count: () => forbiddenStartByMs.size,
  };
}
