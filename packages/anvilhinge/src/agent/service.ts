/** Serves the agent's messages with connect-es; a thin layer over `attempts`. */
import type * as connect from "@connectrpc/connect";
import * as frameCodec from "../adapters/frame_codec.ts";
import * as streamQueue from "../adapters/stream_queue.ts";
import * as agentPb from "../gen/anvilhinge/v1/agent_pb.ts";
import type * as engine from "../ports/engine.ts";
import type * as frames from "../ports/frames.ts";
import type * as attempts from "./attempts.ts";

export interface AgentServiceOptions {
  readonly attempts: attempts.Attempts;
  readonly engine: engine.Engine;
  readonly incarnation: string;
}

/** The routes of an agent and the means to cancel its engine work. */
export interface AgentService {
  readonly routes: (router: connect.ConnectRouter) => void;
  cancelEngine(attemptId: string): void;
}

const chatPath = "/v1/chat/completions";

/** Creates the agent's connect-es service. */
export function createAgentService(options: AgentServiceOptions): AgentService {
  const running = new Map<string, AbortController>();

  function startEngine(attempt: frames.Attempt): void {
    const abort = new AbortController();
    running.set(attempt.attemptId, abort);
    const work = attempt.work;
    options.engine.start({
      requestId: attempt.requestId,
      attemptId: attempt.attemptId,
      method: work.kind === "model" ? "POST" : work.method,
      path: work.kind === "model" ? chatPath : work.path,
      headers: work.kind === "model"
        ? [["content-type", "application/json"]]
        : work.headers,
      body: work.body,
      priority: attempt.priority,
      deadlineMs: attempt.deadlineMs,
      signal: abort.signal,
      onEvent(event) {
        if (event.kind === "end" || event.kind === "failed") {
          running.delete(attempt.attemptId);
        }
        options.attempts.receiveEvent(attempt.attemptId, event);
      },
    });
  }

  function cancelEngine(attemptId: string): void {
    const hadWork = options.attempts.cancel(attemptId);
    if (hadWork) running.get(attemptId)?.abort();
    running.delete(attemptId);
  }

  /** Streams the frames that `subscribe` delivers until the last one. */
  async function* streamFrames(
    attemptId: string,
    subscribe: (sink: attempts.FrameSink) => void,
    signal: AbortSignal,
  ): AsyncGenerator<agentPb.Frame> {
    const queue = streamQueue.createStreamQueue<frames.Frame>(signal);
    const sink: attempts.FrameSink = (frame) => {
      queue.push(frame);
      if (isLast(frame)) queue.close();
    };
    try {
      subscribe(sink);
      for await (const frame of queue) yield frameCodec.encodeFrame(frame);
    } finally {
      options.attempts.detach(attemptId, sink);
    }
  }

  function routes(router: connect.ConnectRouter): void {
    router.service(agentPb.AgentService, {
      run(request, context) {
        const attempt = frameCodec.decodeAttempt(request);
        if (attempt === undefined) {
          throw new TypeError(`Attempt "${request.attemptId}" names no work`);
        }
        return streamFrames(attempt.attemptId, (sink) => {
          const outcome = options.attempts.offer(attempt, sink);
          if (outcome.kind === "start") startEngine(attempt);
        }, context.signal);
      },
      resume(request, context) {
        return streamFrames(
          request.attemptId,
          (sink) => options.attempts.resume(request, sink),
          context.signal,
        );
      },
      cancel(request) {
        cancelEngine(request.attemptId);
        return {};
      },
      seal(request) {
        const outcome = options.attempts.seal(
          request.requestId,
          request.attemptId,
        );
        return {
          outcome: frameCodec.encodeSealOutcome(outcome),
          incarnation: options.incarnation,
        };
      },
    });
  }

  return { routes, cancelEngine };
}

function isLast(frame: frames.Frame): boolean {
  switch (frame.body.kind) {
    case "end":
    case "refused":
    case "failed":
    case "not_held":
      return true;
    case "accepted":
    case "chunk":
      return false;
  }
}
