/**
 * Which attempts must not start at this agent any more. An attempt names the
 * agent's incarnation and the instant by which it must start, so that a
 * record has to be kept only until that instant, however late a copy arrives.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as frames from "../ports/frames.ts";

export interface StartGuardOptions {
  readonly clock: clock.Clock;
  readonly incarnation: string;
  /** How long records of finished attempts are kept, in milliseconds. */
  readonly retentionMs: number;
}

/** The limits within which an attempt may start. */
export interface StartLimits {
  readonly incarnation: string;
  readonly startByMs: number;
}

export interface StartGuard {
  /** Why the limits forbid a start now; undefined when they allow it. */
  findRefusal(
    attemptId: string,
    limits: StartLimits,
  ): "sealed" | "wrong_incarnation" | "expired" | undefined;
  /** Forbids the start of an attempt that has not started. */
  forbid(attemptId: string, startByMs: number): void;
  /** Whether an attempt without a record surely never started. */
  hasNeverStarted(limits: StartLimits): boolean;
  expire(): void;
  count(): number;
}

/** Creates an empty table of records. */
export function createStartGuard(options: StartGuardOptions): StartGuard {
  if (options.retentionMs < 2 * frames.startWindowMs) {
    throw new RangeError(
      `Retention must be at least ${2 * frames.startWindowMs} ms`,
    );
  }
  const startByOfForbidden = new Map<string, number>();

  return {
    findRefusal(attemptId, { incarnation, startByMs }) {
      const nowMs = options.clock.now();
      if (incarnation !== options.incarnation) return "wrong_incarnation";
      if (startByOfForbidden.has(attemptId)) return "sealed";
      const isWithin = startByMs >= nowMs &&
        startByMs <= nowMs + frames.startWindowMs;
      return isWithin ? undefined : "expired";
    },
    forbid(attemptId, startByMs) {
      startByOfForbidden.set(attemptId, startByMs);
    },
    hasNeverStarted({ incarnation, startByMs }) {
      if (incarnation !== options.incarnation) return false;
      const nowMs = options.clock.now();
      if (startByMs > nowMs + frames.startWindowMs) return false;
      // It can't have started before this instant, and a record of a start
      // is kept for the retention at least.
      const earliestStartMs = startByMs - frames.startWindowMs;
      return nowMs < earliestStartMs + options.retentionMs;
    },
    expire() {
      const nowMs = options.clock.now();
      for (const [attemptId, startByMs] of startByOfForbidden) {
        if (startByMs < nowMs) startByOfForbidden.delete(attemptId);
      }
    },
    count: () => startByOfForbidden.size,
  };
}
