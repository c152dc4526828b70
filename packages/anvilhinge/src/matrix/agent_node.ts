/** Agent of the fault matrix: the real attempt table with a simulated engine. */
import type * as assignment from "@anvilhinge/coordination/assignment";
import * as attempts from "../agent/attempts.ts";
import type * as agentClient from "../entry/session/agent_client.ts";
import type * as session from "../entry/session/session.ts";
import type * as frames from "../ports/frames.ts";
import type * as scheduler from "../ports/scheduler.ts";
import * as network from "./network.ts";

/**
 * Record of an attempt that started at an engine. The golden files contain the
 * property names.
 */
export interface AttemptStart {
  readonly upstreamId: string;
  readonly requestId: string;
  readonly attemptId: string;
  readonly half: string;
  readonly atMs: number;
}

export interface AgentNodeOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly upstream: session.Upstream;
  readonly send: network.SendMessage;
  readonly onStart: (start: AttemptStart) => void;
  /** Called when a service call takes effect. */
  readonly onEffect: (start: AttemptStart) => void;
}

/** Receiver of a stream of frames at an entry. */
export type FrameReceiver = Pick<
  agentClient.StreamOptions,
  "onFrame" | "onEnd" | "signal"
>;

/** An agent process that can die and restart. */
export interface AgentNode {
  readonly upstream: session.Upstream;
  isUp(): boolean;
  describe(): frames.AgentDescription;
  run(attempt: frames.Attempt, receiver: FrameReceiver): void;
  resume(request: agentClient.ResumeRequest, receiver: FrameReceiver): void;
  seal(request: frames.SealRequest): frames.SealOutcome;
  cancel(attemptId: string): void;
  setAssignment(received: assignment.Assignment): void;
  getAssignment(): assignment.Assignment | undefined;
  countRunning(): number;
  /** Kills the process; a new process starts later unless `isPermanent`. */
  kill(options: { readonly isPermanent: boolean }): void;
  /** Stops the engine for a time; the agent keeps running. */
  stall(durationMs: number): void;
}

/** Number of chunks in each answer of a model. */
export const chunkCount = 5;
const firstChunkDelayMs = 30;
const chunkIntervalMs = 20;
/** Time from the start of a service call to its effect. */
const effectDelayMs = 20;
/** Time from the effect of a service call to its answer. */
const answerDelayMs = 10;
const restartDelayMs = 500;
const expiryIntervalMs = 1_000;

/**
 * Returns the text of a chunk. It differs between attempts, as the output of a
 * model that samples does.
 */
export function formatChunk(attemptId: string, index: number): string {
  return `<${attemptId}.${index}>`;
}

/** Returns the answer to a service call. */
export function formatServiceAnswer(requestId: string): string {
  return `done ${requestId}`;
}

interface Process {
  readonly incarnation: string;
  readonly table: attempts.Attempts;
  readonly receivers: Set<FrameReceiver>;
}

/** Creates an agent that is up. */
export function createAgentNode(options: AgentNodeOptions): AgentNode {
  const { upstream, scheduler: timers } = options;
  let starts = 0;
  let stalledUntilMs = 0;
  let lastAssignment: assignment.Assignment | undefined;
  let active: Process | undefined = startProcess();

  function startProcess(): Process {
    starts += 1;
    const incarnation = `${upstream.id}.${starts}`;
    const table = attempts.createAttempts({
      clock: timers,
      group: upstream.group,
      rank: upstream.rank,
      incarnation,
      readLoad: () => ({ running: 0, queued: 0, stepUs: 0 }),
    });
    if (lastAssignment !== undefined) table.setAssignment(lastAssignment);
    const started = { incarnation, table, receivers: new Set<FrameReceiver>() };
    scheduleExpiry(started);
    return started;
  }

  function scheduleExpiry(process: Process): void {
    timers.schedule(() => {
      if (process !== active) return;
      for (const id of process.table.expire()) process.table.cancel(id);
      scheduleExpiry(process);
    }, { delayMs: expiryIntervalMs });
  }

  /** Schedules an engine callback; a stall delays it. */
  function scheduleEngine(callback: () => void, delayMs: number): void {
    timers.schedule(() => {
      const remainingMs = stalledUntilMs - timers.now();
      if (remainingMs > 0) scheduleEngine(callback, remainingMs);
      else callback();
    }, { delayMs });
  }

  function startEngine(process: Process, attempt: frames.Attempt): void {
    const { requestId, attemptId, half } = attempt;
    const upstreamId = upstream.id;
    const start = {
      upstreamId,
      requestId,
      attemptId,
      half,
      atMs: timers.now(),
    };
    options.onStart(start);
    const emit = (event: Parameters<attempts.Attempts["receiveEvent"]>[1]) =>
      process.table.receiveEvent(attemptId, event);
    if (attempt.work.kind === "service") {
      scheduleEngine(() => {
        options.onEffect(start);
        scheduleEngine(() => {
          emit({ kind: "head", head: { status: 201, headers: [] } });
          const data = Buffer.from(formatServiceAnswer(requestId));
          emit({ kind: "data", data });
          emit({ kind: "end" });
        }, answerDelayMs);
      }, effectDelayMs);
      return;
    }
    scheduleEngine(() => {
      emit({ kind: "head", head: { status: 200, headers: [] } });
      emitChunk(0);
    }, firstChunkDelayMs);

    function emitChunk(index: number): void {
      if (index === chunkCount) return emit({ kind: "end" });
      const data = Buffer.from(formatChunk(attemptId, index));
      emit({ kind: "data", data });
      scheduleEngine(() => emitChunk(index + 1), chunkIntervalMs);
    }
  }

  /** Sends the frames of an attempt to an entry, then the end of the stream. */
  function follow(
    { process, attemptId, receiver }: {
      readonly process: Process;
      readonly attemptId: string;
      readonly receiver: FrameReceiver;
    },
    subscribe: (sink: attempts.FrameSink) => void,
  ): void {
    process.receivers.add(receiver);
    const sink: attempts.FrameSink = (frame) => {
      options.send(`frame_${frame.body.kind}`, () => receiver.onFrame(frame));
      const isOpen = frame.body.kind === "accepted" ||
        frame.body.kind === "chunk";
      if (isOpen) return;
      process.receivers.delete(receiver);
      timers.schedule(() => receiver.onEnd({ kind: "closed" }), {
        delayMs: 2 * network.latencyMs,
      });
    };
    receiver.signal.addEventListener("abort", () => {
      process.receivers.delete(receiver);
      process.table.detach(attemptId, sink);
    }, { once: true });
    subscribe(sink);
  }

  function breakStreams(process: Process): void {
    for (const receiver of process.receivers) {
      timers.schedule(
        () => receiver.onEnd({ kind: "broken", sent: true, message: "reset" }),
        { delayMs: network.latencyMs },
      );
    }
  }

  function getProcess(): Process {
    if (active === undefined) throw new Error(`Agent ${upstream.id} is down`);
    return active;
  }

  return {
    upstream,
    isUp: () => active !== undefined,
    describe: () => ({
      incarnation: getProcess().incarnation,
      nowMs: timers.now(),
    }),
    run(attempt, receiver) {
      const process = getProcess();
      const { attemptId } = attempt;
      follow({ process, attemptId, receiver }, (sink) => {
        const outcome = process.table.offer(attempt, sink);
        if (outcome.kind === "start") startEngine(process, attempt);
      });
    },
    resume(request, receiver) {
      const process = getProcess();
      const { attemptId } = request;
      follow({ process, attemptId, receiver }, (sink) => {
        process.table.resume(request, sink);
      });
    },
    seal: (request) => getProcess().table.seal(request),
    cancel: (attemptId) => void getProcess().table.cancel(attemptId),
    setAssignment(received) {
      lastAssignment = received;
      active?.table.setAssignment(received);
    },
    getAssignment: () => active?.table.getAssignment(),
    countRunning: () => active?.table.countRunning() ?? 0,
    kill({ isPermanent }) {
      if (active === undefined) return;
      breakStreams(active);
      active = undefined;
      if (isPermanent) return;
      timers.schedule(() => {
        active = startProcess();
      }, { delayMs: restartDelayMs });
    },
    stall(durationMs) {
      stalledUntilMs = timers.now() + durationMs;
    },
  };
}
