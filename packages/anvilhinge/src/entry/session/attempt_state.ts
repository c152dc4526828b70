/** The present attempt of a session. */
import type * as claims from "@anvilhinge/coordination/claims";
import * as frames from "../../ports/frames.ts";
import type * as types from "./session_types.ts";

export type Phase =
  /** Waits for the agent's description; nothing was sent. */
  | "preparing"
  /** Waits for the claim; nothing was sent. */
  | "claiming"
  | "sent"
  /** Waits for what the agent says to a seal. */
  | "sealing";

/** An attempt that is on its way. */
export interface AttemptState {
  readonly attemptId: string;
  readonly upstream: types.Upstream;
  phase: Phase;
  incarnation: string;
  startByMs: number;
  nextSequence: number;
  resumes: number;
  /** True when the agent is known to have started it. */
  isStarted: boolean;
  /** Status of its answer; 0 before. */
  status: number;
  /** True when its end was reported, or another entry reports it. */
  isObserved: boolean;
}

/** Time that an attempt has to reach its agent, in milliseconds. */
export const startAllowanceMs = frames.startWindowMs / 2;

/** Creates the state of an attempt that is yet to be sent. */
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
    isStarted: false,
    status: 0,
    isObserved: false,
  };
}

/** Creates the state of an attempt that an entry recorded in a claim. */
export function createClaimedState(claim: claims.Claim): AttemptState {
  return {
    ...createAttemptState(claim.attemptId, claim.upstream),
    phase: "sealing",
    incarnation: claim.incarnation,
    startByMs: claim.startByMs,
    isObserved: true,
  };
}

/** Builds the claim that allows the attempt to be sent. */
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

/** Builds the call that starts the attempt at its agent. */
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

/** Builds the order that keeps the attempt from starting. */
export function buildSeal(
  request: types.Request,
  state: AttemptState,
): frames.SealRequest {
  const { attemptId, incarnation, startByMs } = state;
  return { requestId: request.requestId, attemptId, incarnation, startByMs };
}

/** Whether a frame of this kind may stand at this place of an answer. */
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
