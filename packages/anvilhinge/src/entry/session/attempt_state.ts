/** State of one attempt of a session. */
import type * as claims from "@anvilhinge/coordination/claims";
import * as frames from "../../ports/frames.ts";
import type * as types from "./session_types.ts";

export type Phase =
  /** Waiting for the agent's description; nothing was dispatched. */
  | "preparing"
  /** Waiting for the claim to be stored; nothing was dispatched. */
  | "claiming"
  | "sent"
  /** Waiting for the agent's answer to a seal. */
  | "sealing";

/** State of one attempt, from its creation to its end. */
export interface AttemptState {
  readonly attemptId: string;
  readonly upstream: types.Upstream;
  phase: Phase;
  incarnation: string;
  startByMs: number;
  nextSequence: number;
  /** Number of resumes after a lost connection or a misplaced frame. */
  resumes: number;
  /** Number of resumes after stalls since the last frame. */
  stallResumes: number;
  /** True when the attempt is known to have started. */
  isStarted: boolean;
  /** True from a stall until the next frame. */
  isStalled: boolean;
  /** HTTP status of the answer; 0 until it arrives. */
  status: number;
  /** True when the end was reported, or when another entry reports it. */
  isObserved: boolean;
}

/**
 * Time within which an attempt must reach its agent, in milliseconds. Less than
 * the start window, as the agent refuses a start limit beyond the window.
 */
export const startAllowanceMs = frames.startWindowMs / 2;

/** Creates the state of an attempt that is not yet dispatched. */
export function createAttemptState(
  attemptId: string,
  upstream: types.Upstream,
): AttemptState {
  return {
    attemptId,
    upstream,
    phase: "preparing",
    incarnation: "",
    startByMs: 0,
    nextSequence: 0,
    resumes: 0,
    stallResumes: 0,
    isStarted: false,
    isStalled: false,
    status: 0,
    isObserved: false,
  };
}

/** Records the agent's description, which the dispatch of the attempt needs. */
export function setDescription(
  state: AttemptState,
  { incarnation, nowMs }: frames.AgentDescription,
): void {
  state.incarnation = incarnation;
  state.startByMs = nowMs + startAllowanceMs;
}

/** Creates the state of an attempt that another entry recorded in a claim. */
export function createClaimedState(claim: claims.Claim): AttemptState {
  return {
    ...createAttemptState(claim.attemptId, claim.upstream),
    phase: "sealing",
    incarnation: claim.incarnation,
    startByMs: claim.startByMs,
    isObserved: true,
  };
}

/** Builds the claim that must be stored before the attempt is dispatched. */
export function buildClaim(
  request: types.Request,
  state: AttemptState,
): claims.NewClaim {
  const { id, group, rank, address, half, epoch } = state.upstream;
  return {
    workspace: request.workspace,
    requestId: request.requestId,
    attemptId: state.attemptId,
    upstream: { id, group, rank, address, half, epoch },
    incarnation: state.incarnation,
    startByMs: state.startByMs,
    digest: request.digest,
  };
}

/** Builds the message that starts the attempt. */
export function buildAttempt(
  request: types.Request,
  state: AttemptState,
  { deadlineMs, resumeAfter }: {
    readonly deadlineMs: number;
    readonly resumeAfter?: string;
  },
): frames.Attempt {
  const { upstream } = state;
  return {
    requestId: request.requestId,
    attemptId: state.attemptId,
    workspace: request.workspace,
    half: upstream.half,
    epoch: upstream.epoch,
    group: upstream.group,
    rank: upstream.rank,
    priority: request.priority,
    deadlineMs,
    incarnation: state.incarnation,
    startByMs: state.startByMs,
    isRepeatable: request.isRepeatable,
    work: request.work,
    resumeAfter,
  };
}

/** Builds the message that prevents the attempt from starting. */
export function buildSeal(
  request: types.Request,
  state: AttemptState,
): frames.SealRequest {
  const { attemptId, incarnation, startByMs } = state;
  return { requestId: request.requestId, attemptId, incarnation, startByMs };
}

/** Whether the kind of a frame is valid at its sequence number. */
export function isValidPosition(frame: frames.Frame): boolean {
  switch (frame.body.kind) {
    case "accepted":
    case "refused":
      return frame.sequence === 0;
    case "chunk":
      return frame.sequence > 0;
    case "end":
      return frame.body.frameCount === frame.sequence + 1;
    case "failed":
    case "not_held":
      return true;
  }
}
