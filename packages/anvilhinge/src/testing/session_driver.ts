/** Drives the session of one request in tests and collects its effects. */
import * as clock from "@anvilhinge/coordination/clock";
import type * as frames from "../ports/frames.ts";
import * as session from "../entry/session/session.ts";

export interface DriverOptions {
  readonly request?: Partial<session.Request>;
  readonly options?: Partial<session.SessionOptions>;
  /** Whether the agent answers when an attempt is prepared. Default: always. */
  readonly isReachable?: (attemptId: string) => boolean;
}

export interface Driver {
  readonly clock: clock.ManualClock;
  readonly session: session.Session;
  /** All effects of the session so far. */
  readonly effects: readonly session.SessionEffect[];
  /** Feeds an event; `prepare` and `claim` effects are answered at once. */
  feed(event: session.SessionEvent): void;
  /** Feeds a frame of the n-th attempt, which has the id `a<n>`. */
  feedFrame(
    attempt: number,
    sequence: number,
    options: {
      readonly body: frames.FrameBody;
      readonly requestId?: string;
    },
  ): void;
  /** Returns the effects of one kind. */
  listEffects<Kind extends session.SessionEffect["kind"]>(
    kind: Kind,
  ): readonly Extract<session.SessionEffect, { readonly kind: Kind }>[];
  /** Returns the data delivered so far, as text. */
  getText(): string;
}

/** Load of an idle engine. */
export const noLoad = { running: 0, queued: 0, stepUs: 0 };

/** Creates the upstream for a rank of group `g`. */
export function createUpstream(rank: number): session.Upstream {
  const id = `g/${rank}`;
  const address = `10.0.0.1:${rank}`;
  return { id, group: "g", rank, address, half: "h", epoch: 1 };
}

/** Creates a session that has dispatched its first attempt. */
export function createDriver(
  { request, options, isReachable = () => true }: DriverOptions = {},
): Driver {
  const manual = clock.createManualClock();
  const effects: session.SessionEffect[] = [];
  let attempts = 0;
  const machine = session.createSession({
    requestId: "r1",
    workspace: "w",
    work: { kind: "model", model: "m", body: new Uint8Array() },
    isRepeatable: true,
    isNamed: false,
    digest: "d",
    priority: 1,
    deadlineAtMs: 30_000,
    delivery: "streamed",
    ...request,
  }, {
    clock: manual,
    readWallMs: () => manual.now(),
    createAttemptId: () => `a${++attempts}`,
    chooseUpstream: (triedIds) => ({
      kind: "chosen",
      upstream: createUpstream(triedIds.size),
    }),
    takeRetry: () => true,
    ...options,
  });

  function feed(event: session.SessionEvent): void {
    for (const effect of machine.handle(event)) {
      effects.push(effect);
      if (effect.kind === "prepare") {
        const { attemptId } = effect;
        const outcome: session.PrepareOutcome = isReachable(attemptId)
          ? { kind: "described", incarnation: "i", nowMs: 0 }
          : { kind: "unreachable" };
        feed({ kind: "prepared", attemptId, outcome });
      }
      if (effect.kind === "claim") {
        const { attemptId } = effect.claim;
        const result = { kind: "claimed" } as const;
        feed({ kind: "claim_answered", attemptId, result });
      }
    }
  }

  feed({ kind: "arrived" });
  return {
    clock: manual,
    session: machine,
    effects,
    feed,
    feedFrame(attempt, sequence, { body, requestId = "r1" }) {
      const attemptId = `a${attempt}`;
      feed({ kind: "frame", frame: { requestId, attemptId, sequence, body } });
    },
    listEffects: (kind) =>
      effects.filter((effect) => effect.kind === kind) as never,
    getText: () =>
      effects.map((effect) =>
        effect.kind === "data" ? Buffer.from(effect.data).toString() : ""
      ).join(""),
  };
}

/** Body of the first frame of an answer. */
export const accepted: frames.FrameBody = {
  kind: "accepted",
  incarnation: "i",
  head: { status: 200, headers: [] },
};

/** Creates the body of a chunk frame. */
export function createChunk(text: string): frames.FrameBody {
  return { kind: "chunk", data: Buffer.from(text) };
}

/** Creates the body of an end frame. */
export function createEnd(frameCount: number): frames.FrameBody {
  return { kind: "end", frameCount, load: noLoad };
}

/** Creates the body of a refusal frame. */
export function createRefusal(reason: frames.RefusalReason): frames.FrameBody {
  return { kind: "refused", reason, retryAfterMs: 0, load: noLoad };
}
