/** Connect-es service of the agent; a thin layer over `attempts`. */
import type * as connect from "@connectrpc/connect";
import * as api from "@opentelemetry/api";
import * as frameCodec from "../adapters/frame_codec.ts";
import * as streamQueue from "../adapters/stream_queue.ts";
import * as agentPb from "../gen/anvilhinge/v1/agent_pb.ts";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../ports/engine.ts";
import type * as frames from "../ports/frames.ts";
import * as tracing from "../telemetry/tracing.ts";
import type * as attempts from "./attempts.ts";
import * as eventSplitter from "../events/event_splitter.ts";

export interface AgentServiceOptions {
  readonly attempts: attempts.Attempts;
  readonly engine: engine.Engine;
  readonly incarnation: string;
  readonly clock: clock.Clock;
  readonly tracing: tracing.Tracing;
}

/** Routes of an agent and cancellation of its engine work. */
export interface AgentService {
  readonly routes: (router: connect.ConnectRouter) => void;
  /** Cancels the engine work of a repeatable attempt. */
  cancelEngine(attemptId: string): void;
  /** Counts the frame streams that entries still read. */
  countStreams(): number;
}

interface Spans {
  /** Headers that propagate the trace context to the engine. */
  readonly headers: Readonly<Record<string, string>>;
  end(event: engine.EngineEvent): void;
}

/** Maximum data queued for a slow follower before its stream is closed. */
const queueLimitBytes = 1024 * 1024;
const chatPath = "/v1/chat/completions";

/** Creates the agent's connect-es service. */
export function createAgentService(options: AgentServiceOptions): AgentService {
  /** Abort controllers of the running engine work, by attempt id. */
  const running = new Map<string, AbortController>();
  let streamCount = 0;

  function startEngine(attempt: frames.Attempt, headers: Headers): void {
    const abort = new AbortController();
    running.set(attempt.attemptId, abort);
    const work = attempt.work;
    const spans = startSpans(attempt, headers);
    const deliver = createEventForwarder((event) =>
      options.attempts.receiveEvent(attempt.attemptId, event)
    );
    options.engine.start({
      requestId: attempt.requestId,
      attemptId: attempt.attemptId,
      method: work.kind === "model" ? "POST" : work.method,
      path: work.kind === "model" ? chatPath : work.path,
      headers: [...getWorkHeaders(work), ...Object.entries(spans.headers)],
      body: work.body,
      priority: attempt.priority,
      deadlineMs: attempt.deadlineMs,
      signal: abort.signal,
      onEvent(event) {
        if (event.kind === "end" || event.kind === "failed") {
          running.delete(attempt.attemptId);
          spans.end(event);
        }
        deliver(event);
      },
    });
  }

  /** Starts the spans of the agent and of its call to the engine. */
  function startSpans(attempt: frames.Attempt, headers: Headers): Spans {
    const { tracer } = options.tracing;
    const attributes = {
      "request.id": attempt.requestId,
      "attempt.id": attempt.attemptId,
      "upstream": `${attempt.group}/${attempt.rank}`,
    };
    const parent = tracing.extractContext(Object.fromEntries(headers));
    const kind = api.SpanKind.SERVER;
    const agentSpan = tracer.startSpan("agent", { kind, attributes }, parent);
    const engineSpan = tracer.startSpan(
      "engine",
      { kind: api.SpanKind.CLIENT, attributes },
      api.trace.setSpan(parent, agentSpan),
    );
    const traceHeaders = tracing.injectContext(
      api.trace.setSpan(parent, engineSpan),
    );
    return {
      headers: traceHeaders as Readonly<Record<string, string>>,
      end(event) {
        if (event.kind === "failed") {
          const code = api.SpanStatusCode.ERROR;
          engineSpan.setStatus({ code, message: event.message });
        }
        engineSpan.end();
        agentSpan.end();
      },
    };
  }

  function cancelEngine(attemptId: string): void {
    const mustAbort = options.attempts.cancel(attemptId);
    if (mustAbort) running.get(attemptId)?.abort();
    running.delete(attemptId);
  }

  /** Streams the frames that `subscribe` delivers, up to the last frame. */
  async function* streamFrames(
    attemptId: string,
    subscribe: (sink: attempts.FrameSink) => void,
    signal: AbortSignal,
  ): AsyncGenerator<agentPb.Frame> {
    const queue = streamQueue.createStreamQueue<frames.Frame>(signal);
    let queuedBytes = 0;
    const sink: attempts.FrameSink = (frame) => {
      queuedBytes += measureData(frame);
      queue.push(frame);
      // A follower that falls behind can resume from the retained frames.
      if (isLastFrame(frame) || queuedBytes > queueLimitBytes) queue.close();
    };
    streamCount += 1;
    try {
      subscribe(sink);
      for await (const frame of queue) {
        queuedBytes -= measureData(frame);
        yield frameCodec.encodeFrame(frame);
        if (isLastFrame(frame)) options.attempts.markDelivered(attemptId);
      }
    } finally {
      streamCount -= 1;
      options.attempts.detach(attemptId, sink);
    }
  }

  function registerRoutes(router: connect.ConnectRouter): void {
    router.service(agentPb.AgentService, {
      describe: () => ({
        incarnation: options.incarnation,
        nowMs: options.clock.now(),
      }),
      run(request, context) {
        const attempt = frameCodec.decodeAttempt(request);
        if (attempt === undefined) {
          throw new TypeError(
            `Attempt "${request.attemptId}" contains no work`,
          );
        }
        return streamFrames(attempt.attemptId, (sink) => {
          const outcome = options.attempts.offer(attempt, sink);
          if (outcome.kind === "start") {
            startEngine(attempt, context.requestHeader);
          }
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
        const outcome = options.attempts.seal(request);
        return {
          outcome: frameCodec.encodeSealOutcome(outcome),
          incarnation: options.incarnation,
        };
      },
    });
  }

  return {
    routes: registerRoutes,
    cancelEngine,
    countStreams: () => streamCount,
  };
}

function getWorkHeaders(
  work: frames.Work,
): readonly (readonly [name: string, value: string])[] {
  return work.kind === "model"
    ? [["content-type", "application/json"]]
    : work.headers;
}

/** Forwards events; splits the data of event streams at event boundaries. */
function createEventForwarder(
  deliver: (event: engine.EngineEvent) => void,
): (event: engine.EngineEvent) => void {
  let splitter: eventSplitter.EventSplitter | undefined;

  function deliverData(data: Uint8Array | undefined): void {
    if (data !== undefined) deliver({ kind: "data", data });
  }

  return (event) => {
    switch (event.kind) {
      case "head":
        if (isEventStream(event.head)) {
          splitter = eventSplitter.createEventSplitter();
        }
        deliver(event);
        return;
      case "data":
        deliverData(
          splitter === undefined ? event.data : splitter.push(event.data),
        );
        return;
      case "end":
        deliverData(splitter?.flush());
        deliver(event);
        return;
      case "failed":
        deliver(event);
        return;
    }
  };
}

function isEventStream(head: engine.AnswerHead): boolean {
  return head.headers.some(([name, value]) =>
    name.toLowerCase() === "content-type" &&
    value.startsWith("text/event-stream")
  );
}

function measureData(frame: frames.Frame): number {
  return frame.body.kind === "chunk" ? frame.body.data.byteLength : 0;
}

function isLastFrame(frame: frames.Frame): boolean {
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
