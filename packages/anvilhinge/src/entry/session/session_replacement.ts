/**
 * Session handlers that replace a stalled attempt. The stalled attempt goes on
 * until its replacement delivers data, because a slot may be refused, and the
 * other upstream may refuse the attempt or stall as well.
 */
import type * as frames from "../../ports/frames.ts";
import * as attemptState from "./attempt_state.ts";
import type * as sessionCore from "./session_core.ts";
import type * as types from "./session_types.ts";

type Effects = sessionCore.Effects;
type Observation = Parameters<sessionCore.SessionCore["observe"]>;

/** Result of a frame of the replacement. */
export type ReplacementOutcome =
  /** The frame was handled; the current attempt is still the current one. */
  | { readonly kind: "handled"; readonly effects: Effects }
  /** The replacement is now the current attempt, to which the frame belongs. */
  | { readonly kind: "replaced"; readonly effects: Effects };

export interface ReplacementHandlers {
  /** Requests a replacement of the stalled attempt. */
  request(): Effects;
  /** Dispatches the replacement to the given upstream. */
  start(upstream: types.Upstream): Effects;
  /** Lets the stalled attempt go on after its replacement got no slot. */
  handleDenied(): Effects;
  handleFrame(frame: frames.Frame): ReplacementOutcome;
  handleLost(): Effects;
  /** Ends the replacement, or the request for one, if the attempt goes on. */
  withdraw(cause: types.AttemptEndCause): Effects;
}

/** Creates the handlers that operate on the given session core. */
export function createReplacementHandlers(
  core: sessionCore.SessionCore,
): ReplacementHandlers {
  const { options, shared, observe, resetStallTimer, cancel } = core;

  function request(): Effects {
    if (shared.isWaiting || !core.isRetryPermitted()) return [];
    const choice = options.chooseUpstream(core.attemptedIds);
    switch (choice.kind) {
      case "none":
        return [resetStallTimer()];
      case "wait":
        shared.isWaiting = true;
        return [];
      case "chosen":
        return start(choice.upstream);
    }
  }

  function start(upstream: types.Upstream): Effects {
    if (!options.takeRetry()) {
      core.withdrawSlotRequest();
      return [resetStallTimer()];
    }
    shared.isWaiting = false;
    const ended = endReplacement("lost", { cause: "stalled" });
    const state = core.createAttempt(upstream);
    shared.replacement = { state };
    return [...ended, ...core.dispatch(state)];
  }

  /** Ends the replacement, if there is one, and cancels its attempt. */
  function endReplacement(
    outcome: Observation[1],
    report?: Observation[2],
  ): Effects {
    const { replacement } = shared;
    if (replacement === undefined) return [];
    shared.replacement = undefined;
    const { state } = replacement;
    return [...observe(state, outcome, report), cancel(state)];
  }

  function failReplacement(
    outcome: Observation[1],
    report?: Observation[2],
  ): ReplacementOutcome {
    const effects = [...endReplacement(outcome, report), resetStallTimer()];
    return { kind: "handled", effects };
  }

  function replace(): ReplacementOutcome {
    const { current } = shared;
    if (current === undefined) throw new Error("No attempt to replace");
    core.raiseRunStatus(current.isStarted ? "yes" : "unknown");
    return {
      kind: "replaced",
      effects: [
        ...observe(current, "lost", { cause: "stalled" }),
        cancel(current),
        ...(core.switchToReplacement() ?? []),
      ],
    };
  }

  function handleFrame(frame: frames.Frame): ReplacementOutcome {
    const { replacement } = shared;
    if (replacement === undefined) throw new Error("There is no replacement");
    const { state } = replacement;
    const { body } = frame;
    if (frame.sequence < state.nextSequence) {
      return { kind: "handled", effects: [{ kind: "drop", frame }] };
    }
    if (
      frame.sequence > state.nextSequence ||
      !attemptState.isValidPosition(frame)
    ) {
      return failReplacement("lost", { cause: "misplaced" });
    }
    switch (body.kind) {
      case "accepted":
        if (attemptState.isFailureStatus(body.head.status)) {
          return failReplacement("failed");
        }
        state.nextSequence += 1;
        state.isStarted = true;
        replacement.head = body.head;
        return { kind: "handled", effects: [] };
      case "chunk":
      case "end":
        return replace();
      case "refused":
        return failReplacement("refused", body);
      case "failed":
        return failReplacement("failed", body);
      case "not_held":
        return failReplacement("lost");
    }
  }

  return {
    request,
    start,
    handleDenied() {
      shared.isWaiting = false;
      return [resetStallTimer()];
    },
    handleFrame,
    handleLost: () => [...failReplacement("lost", { cause: "broken" }).effects],
    withdraw(cause) {
      core.withdrawSlotRequest();
      const outcome = cause === "deadline" ? "lost" : "abandoned";
      return endReplacement(outcome, { cause });
    },
  };
}
