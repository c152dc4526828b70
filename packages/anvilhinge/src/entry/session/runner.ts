/**
 * Executes the effects of a session: calls to agents or upstreams, timers, the
 * answer.
 */
import type * as engine from "../../ports/engine.ts";
import type * as frames from "../../ports/frames.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as agentClient from "./agent_client.ts";
import type * as descriptionCache from "./description_cache.ts";
import type * as claimStore from "./claim_store.ts";
import type * as session from "./session.ts";
import * as sessionTimers from "./session_timers.ts";

/** Receives the answer to one request. */
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
  /** Undefined if the sink queues all data. */
  readonly flow?: agentClient.AnswerFlow;
  /** Receives the final result when the answer can't be completed. */
  answer(final: session.FinalAnswer): void;
}

/** Client for the agents, or for the upstreams if there are no agents. */
export type SessionClient = Omit<agentClient.AgentClient, "describe">;

/** Dependencies of sessions whose upstreams have agents. */
export interface AgentDependencies {
  readonly descriptions: descriptionCache.DescriptionCache;
  readonly claims: claimStore.ClaimStore;
}

export interface RunOptions {
  readonly request: session.Request;
  readonly session: session.Session;
  readonly client: SessionClient;
  /** Undefined when attempts go to the upstreams without agents. */
  readonly agents?: AgentDependencies;
  readonly scheduler: scheduler.Scheduler;
  readonly sink: AnswerSink;
  /** Aborts when the caller disconnects. */
  readonly callerSignal: AbortSignal;
  /** Headers added to each call, for example the trace context. */
  readonly headers?: Readonly<Record<string, string>>;
  /**
   * Called when an attempt starts: at its preparation if there are agents, at
   * its dispatch otherwise. `onObserve` follows when the attempt ends.
   */
  readonly onDispatch: (upstream: session.Upstream) => void;
  readonly onObserve: (
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ) => void;
  readonly onDrop?: () => void;
  /**
   * Called with the function that feeds events to the session, for the
   * `granted` and `denied` events of a waiting request.
   */
  readonly onFeedReady?: (feed: (event: session.SessionEvent) => void) => void;
}

type Effect<Kind extends session.SessionEffect["kind"]> = Extract<
  session.SessionEffect,
  { readonly kind: Kind }
>;

/** Runs the session; resolves when it is done. */
export function runSession(options: RunOptions): Promise<void> {
  const { request, client } = options;
  const peerKind = options.agents === undefined ? "upstream" : "agent";
  /** Streams by attempt id; a resumed stream replaces the earlier stream. */
  const streams = new Map<string, AbortController>();
  const events: session.SessionEvent[] = [];
  const { flow: sinkFlow } = options.sink;
  let isFeeding = false;
  let stallMs = 0;

  function requireAgents(): AgentDependencies {
    if (options.agents !== undefined) return options.agents;
    throw new Error(
      "The session requires an agent, but no agents are configured",
    );
  }

  return new Promise((resolve) => {
    const timers = sessionTimers.createSessionTimers({
      scheduler: options.scheduler,
      onDue(name) {
        const isCallerBehind = sinkFlow?.isBehind();
        // A paused upstream is not silent; the timer is set again afterwards.
        if (name === "stall" && isCallerBehind) return;
        feed({ kind: "timer", name, isCallerBehind });
      },
    });
    const flow: agentClient.AnswerFlow | undefined = sinkFlow && {
      isBehind: sinkFlow.isBehind,
      onceCaughtUp: (listener) =>
        sinkFlow.onceCaughtUp(() => {
          if (!options.session.isDone()) timers.set("stall", stallMs);
          listener();
        }),
    };

    /**
     * Queues the event and handles queued events in order. Events that effects
     * cause in the meantime are handled by the running loop.
     */
    function feed(event: session.SessionEvent): void {
      events.push(event);
      if (isFeeding) return;
      isFeeding = true;
      let next = events.shift();
      while (next !== undefined) {
        for (const effect of options.session.handle(next)) execute(effect);
        next = events.shift();
      }
      isFeeding = false;
      if (options.session.isDone()) finish();
    }

    function finish(): void {
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
        upstreamId: upstream.id,
        address: upstream.address,
        headers: options.headers,
        signal: abort.signal,
        flow,
        onFrame(frame) {
          if (abort.signal.aborted) return;
          if (isStaleDescription(frame)) {
            options.agents?.descriptions.invalidate(upstream.address);
          }
          feed({ kind: "frame", frame });
        },
        onEnd(end) {
          if (abort.signal.aborted) return;
          // Also called after the last frame; the attempt is then no longer the
          // current attempt, so the session ignores the event.
          feed({
            kind: "lost",
            attemptId,
            sent: end.kind === "closed" || end.sent,
            message: end.kind === "closed"
              ? `The ${peerKind} closed the stream early`
              : `Contact with the ${peerKind} broke: ${end.message}`,
          });
        },
      };
    }

    async function prepare(
      { attemptId, upstream }: Effect<"prepare">,
    ): Promise<void> {
      const { descriptions } = requireAgents();
      // A request that must not run twice needs a fresh description, so that
      // its claim names the agent's current incarnation.
      const cached = request.isRepeatable
        ? descriptions.find(upstream.address)
        : undefined;
      const outcome = cached === undefined
        ? await descriptions.fetch(upstream.address)
        : { kind: "described" as const, ...cached };
      feed({ kind: "prepared", attemptId, outcome });
    }

    async function claim(
      { claim, replaces }: Effect<"claim">,
    ): Promise<void> {
      const { claims } = requireAgents();
      const result = await claims.submit({ kind: "claim", claim, replaces });
      const { attemptId } = claim;
      feed({ kind: "claim_answered", attemptId, result });
    }

    async function seal({ upstream, seal }: Effect<"seal">): Promise<void> {
      const outcome = await client.seal(seal, upstream.address);
      const { attemptId } = seal;
      feed({ kind: "seal_answered", attemptId, outcome });
    }

    async function find(): Promise<void> {
      const { workspace, requestId } = request;
      const name = { workspace, requestId };
      const { claims } = requireAgents();
      const result = await claims.submit({ kind: "find", name });
      feed({ kind: "found", result });
    }

    function settle({ attemptId, state, claim }: Effect<"settle">): void {
      const { workspace, requestId } = request;
      const name = { workspace, requestId };
      const { claims } = requireAgents();
      void claims.submit({ kind: "settle", name, attemptId, state, claim });
    }

    function cancel({ attemptId, upstream }: Effect<"cancel">): void {
      streams.get(attemptId)?.abort();
      const { requestId } = request;
      client.cancel({ requestId, attemptId }, upstream.address);
    }

    function execute(effect: session.SessionEffect): void {
      switch (effect.kind) {
        case "prepare":
          options.onDispatch(effect.upstream);
          return void prepare(effect);
        case "claim":
          return void claim(effect);
        case "find":
          return void find();
        case "settle":
          return settle(effect);
        case "dispatch":
          // With an agent, `prepare` has already reported the attempt.
          if (options.agents === undefined) options.onDispatch(effect.upstream);
          return client.run(
            effect.attempt,
            openStream(effect.attempt.attemptId, effect.upstream),
          );
        case "resume":
          return client.resume({
            requestId: request.requestId,
            attemptId: effect.attemptId,
            workspace: request.workspace,
            fromSequence: effect.fromSequence,
          }, openStream(effect.attemptId, effect.upstream));
        case "seal":
          return void seal(effect);
        case "cancel":
          return cancel(effect);
        case "head":
          return options.sink.head(effect.head, effect);
        case "data":
          return options.sink.data(effect.data, effect.sequence);
        case "end":
          return options.sink.end();
        case "answer":
          return options.sink.answer(effect.answer);
        case "set_timer":
          if (effect.name === "stall") stallMs = effect.delayMs;
          return timers.set(effect.name, effect.delayMs);
        case "observe":
          return options.onObserve(effect);
        case "drop":
          return options.onDrop?.();
      }
    }

    options.callerSignal.addEventListener(
      "abort",
      () => feed({ kind: "caller_gone" }),
      { once: true },
    );
    options.onFeedReady?.(feed);
    feed({ kind: "arrived" });
  });
}

/** Whether a refusal shows that the cached agent description is out of date. */
function isStaleDescription({ body }: frames.Frame): boolean {
  return body.kind === "refused" &&
    (body.reason === "wrong_incarnation" || body.reason === "expired");
}
