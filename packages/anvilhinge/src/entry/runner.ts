/** Carries out the effects of a session: calls to agents, timers, the answer. */
import type * as engine from "../ports/engine.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as agentClient from "./agent_client.ts";
import type * as session from "./session.ts";

/** Where the answer of one request goes. */
export interface AnswerSink {
  head(
    head: engine.AnswerHead,
    source: {
      readonly upstream: session.Upstream;
      readonly attemptId: string;
    },
  ): void;
  data(data: Uint8Array, sequence: number): void;
  end(): void;
  answer(final: session.FinalAnswer): void;
}

export interface RunOptions {
  readonly request: session.Request;
  readonly session: session.Session;
  readonly client: agentClient.AgentClient;
  readonly scheduler: scheduler.Scheduler;
  readonly sink: AnswerSink;
  /** Aborts when the caller has gone. */
  readonly callerSignal: AbortSignal;
  /** Headers of each call to an agent, for example the trace context. */
  readonly headers: Readonly<Record<string, string>>;
  readonly onDispatch: (upstream: session.Upstream) => void;
  readonly onObserve: (
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ) => void;
  readonly onDrop?: () => void;
}

/** Runs the session until it is done; resolves then. */
export function runSession(options: RunOptions): Promise<void> {
  const { request, client } = options;
  const timers = new Map<session.TimerName, AbortController>();
  /** Streams by attempt id; a resumed stream replaces the one before it. */
  const streams = new Map<string, AbortController>();

  return new Promise((resolve) => {
    function feed(event: session.SessionEvent): void {
      for (const effect of options.session.handle(event)) execute(effect);
      if (options.session.isDone()) finish();
    }

    function finish(): void {
      for (const timer of timers.values()) timer.abort();
      for (const stream of streams.values()) stream.abort();
      timers.clear();
      streams.clear();
      resolve();
    }

    function openStream(
      attemptId: string,
      upstream: session.Upstream,
    ): agentClient.StreamOptions {
      streams.get(attemptId)?.abort();
      const abort = new AbortController();
      streams.set(attemptId, abort);
      return {
        address: upstream.address,
        headers: options.headers,
        signal: abort.signal,
        onFrame(frame) {
          if (!abort.signal.aborted) feed({ kind: "frame", frame });
        },
        onEnd(end) {
          if (abort.signal.aborted) return;
          feed({
            kind: "lost",
            attemptId,
            sent: end.kind === "closed" || end.sent,
            message: end.kind === "closed"
              ? "The agent closed the stream early"
              : `Contact with the agent broke: ${end.message}`,
          });
        },
      };
    }

    function setTimer(name: session.TimerName, delayMs: number): void {
      timers.get(name)?.abort();
      const abort = new AbortController();
      timers.set(name, abort);
      options.scheduler.schedule(() => feed({ kind: "timer", name }), {
        delayMs,
        signal: abort.signal,
      });
    }

    async function seal(
      upstream: session.Upstream,
      attemptId: string,
    ): Promise<void> {
      const name = { requestId: request.requestId, attemptId };
      const outcome = await client.seal(name, upstream.address);
      feed({ kind: "seal_answered", attemptId, outcome });
    }

    function execute(effect: session.SessionEffect): void {
      switch (effect.kind) {
        case "dispatch":
          options.onDispatch(effect.upstream);
          client.run(
            effect.attempt,
            openStream(effect.attempt.attemptId, effect.upstream),
          );
          return;
        case "resume":
          client.resume({
            requestId: request.requestId,
            attemptId: effect.attemptId,
            workspace: request.workspace,
            fromSequence: effect.fromSequence,
          }, openStream(effect.attemptId, effect.upstream));
          return;
        case "seal":
          void seal(effect.upstream, effect.attemptId);
          return;
        case "cancel":
          streams.get(effect.attemptId)?.abort();
          client.cancel({
            requestId: request.requestId,
            attemptId: effect.attemptId,
          }, effect.upstream.address);
          return;
        case "head":
          options.sink.head(effect.head, effect);
          return;
        case "data":
          options.sink.data(effect.data, effect.sequence);
          return;
        case "end":
          options.sink.end();
          return;
        case "answer":
          options.sink.answer(effect.answer);
          return;
        case "set_timer":
          setTimer(effect.name, effect.delayMs);
          return;
        case "observe":
          options.onObserve(effect);
          return;
        case "drop":
          options.onDrop?.();
          return;
      }
    }

    options.callerSignal.addEventListener(
      "abort",
      () => feed({ kind: "caller_gone" }),
      { once: true },
    );
    feed({ kind: "arrived" });
  });
}
