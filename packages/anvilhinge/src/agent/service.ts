/** Serves the agent's messages with connect-es; a thin layer over `attempts`. */
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

/** The routes of an agent and the means to cancel its engine work. */
export interface AgentService {
  readonly routes: (router: connect.ConnectRouter) => void;
  cancelEngine(attemptId: string): void;
  /** Streams of frames that entries still read. */
  countStreams(): number;
}

interface Spans {
  /** Trace context to be passed on to the engine. */
  readonly headers: Readonly<Record<string, string>>;
  end(event: engine.EngineEvent): void;
}

/** Data that a slow reader may leave waiting before its stream is closed. */
const waitingLimitBytes = 1024 * 1024;
const chatPath = "/v1/chat/completions";

/** Creates the agent's connect-es service. */
export function createAgentService(options: AgentServiceOptions): AgentService {
  const running = new Map<string, AbortController>();
  let streamCount = 0;

  function startEngine(attempt: frames.Attempt, headers: Headers): void {
    const abort = new AbortController();
    running.set(attempt.attemptId, abort);
    const work = attempt.work;
    const spans = startSpans(attempt, headers);
    const deliver = createDelivery((event) =>
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

  /** Starts the spans of this hop and of the call to the engine. */
  function startSpans(attempt: frames.Attempt, headers: Headers): Spans {
    const { tracer } = options.tracing;
    const attributes = {
      "request.id": attempt.requestId,
      "attempt.id": attempt.attemptId,
      "upstream": `${attempt.group}/${attempt.rank}`,
    };
    const parent = tracing.extractContext(Object.fromEntries(headers));
    const kind = api.SpanKind.SERVER;
    const agent = tracer.startSpan("agent", { kind, attributes }, parent);
    const engine = tracer.startSpan(
      "engine",
      { kind: api.SpanKind.CLIENT, attributes },
      api.trace.setSpan(parent, agent),
    );
    const carried = tracing.injectContext(api.trace.setSpan(parent, engine));
    return {
      headers: carried as Readonly<Record<string, string>>,
      end(event) {
        if (event.kind === "failed") {
          const code = api.SpanStatusCode.ERROR;
          engine.setStatus({ code, message: event.message });
        }
        engine.end();
        agent.end();
      },
    };
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
    let waitingBytes = 0;
    const sink: attempts.FrameSink = (frame) => {
      waitingBytes += measureData(frame);
      queue.push(frame);
      // A reader that falls behind resumes from the frames that are held.
      if (isLast(frame) || waitingBytes > waitingLimitBytes) queue.close();
    };
    streamCount += 1;
    try {
      subscribe(sink);
      for await (const frame of queue) {
        waitingBytes -= measureData(frame);
        yield frameCodec.encodeFrame(frame);
        if (isLast(frame)) options.attempts.markDelivered(attemptId);
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
          throw new TypeError(`Attempt "${request.attemptId}" names no work`);
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

/** Passes events on; the data of event streams is cut at the ends of events. */
function createDelivery(
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
