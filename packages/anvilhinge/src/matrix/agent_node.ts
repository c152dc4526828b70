/** An agent of the matrix: the real attempt table beside a small engine. */
import type * as assignment from "@anvilhinge/coordination/assignment";
import * as attempts from "../agent/attempts.ts";
import type * as agentClient from "../entry/session/agent_client.ts";
import type * as session from "../entry/session/session.ts";
import type * as frames from "../ports/frames.ts";
import type * as scheduler from "../ports/scheduler.ts";
import * as network from "./network.ts";

/** One start of work at an engine. */
export interface WorkStart {
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
  readonly onStart: (start: WorkStart) => void;
  /** Called when a service call takes effect. */
  readonly onEffect: (start: WorkStart) => void;
}

/** Streams of frames as an entry receives them. */
export type FrameReceiver = Pick<
  agentClient.StreamOptions,
  "onFrame" | "onEnd" | "signal"
>;

/** An agent process that can die and start again. */
export interface AgentNode {
  readonly upstream: session.Upstream;
  isUp(): boolean;
  describe(): frames.AgentDescription;
  run(attempt: frames.Attempt, target: FrameReceiver): void;
  resume(request: agentClient.ResumeRequest, target: FrameReceiver): void;
  seal(request: frames.SealRequest): frames.SealOutcome;
  cancel(attemptId: string): void;
  setAssignment(received: assignment.Assignment): void;
  getAssignment(): assignment.Assignment | undefined;
  countRunning(): number;
  /** Ends the process; a new one starts later unless it is gone for good. */
  kill(options: { readonly isPermanent: boolean }): void;
  stall(durationMs: number): void;
}

/** Pieces of each answer of a model. */
export const chunkCount = 5;
const firstPieceMs = 30;
const pieceMs = 20;
const effectMs = 20;
const answerMs = 10;
const restartMs = 500;
const expireMs = 1_000;

/** Text of one piece; differs between attempts, as sampled answers do. */
export function formatChunk(attemptId: string, index: number): string {
  return `<${attemptId}.${index}>`;
}

/** The answer to a service call. */
export function formatServiceAnswer(requestId: string): string {
  return `done ${requestId}`;
}

interface Process {
  readonly incarnation: string;
  readonly table: attempts.Attempts;
  readonly targets: Set<FrameReceiver>;
}

/** Creates an agent that is up. */
export function createAgentNode(options: AgentNodeOptions): AgentNode {
  const { upstream, scheduler: timers } = options;
  let starts = 0;
  let stalledUntilMs = 0;
  let known: assignment.Assignment | undefined;
  let running: Process | undefined = startProcess();

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
    if (known !== undefined) table.setAssignment(known);
    const started = { incarnation, table, targets: new Set<FrameReceiver>() };
    expireRegularly(started);
    return started;
  }

  function expireRegularly(own: Process): void {
    timers.schedule(() => {
      if (own !== running) return;
      for (const attemptId of own.table.expire()) own.table.cancel(attemptId);
      expireRegularly(own);
    }, { delayMs: expireMs });
  }

  /** Runs a step of the engine; a stall holds it back. */
  function scheduleEngine(callback: () => void, delayMs: number): void {
    timers.schedule(() => {
      const leftMs = stalledUntilMs - timers.now();
      if (leftMs > 0) scheduleEngine(callback, leftMs);
      else callback();
    }, { delayMs });
  }

  function startEngine(own: Process, attempt: frames.Attempt): void {
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
      own.table.receiveEvent(attemptId, event);
    if (attempt.work.kind === "service") {
      scheduleEngine(() => {
        options.onEffect(start);
        scheduleEngine(() => {
          emit({ kind: "head", head: { status: 201, headers: [] } });
          const data = Buffer.from(formatServiceAnswer(requestId));
          emit({ kind: "data", data });
          emit({ kind: "end" });
        }, answerMs);
      }, effectMs);
      return;
    }
    scheduleEngine(() => {
      emit({ kind: "head", head: { status: 200, headers: [] } });
      emitPiece(0);
    }, firstPieceMs);

    function emitPiece(index: number): void {
      if (index === chunkCount) return emit({ kind: "end" });
      const data = Buffer.from(formatChunk(attemptId, index));
      emit({ kind: "data", data });
      scheduleEngine(() => emitPiece(index + 1), pieceMs);
    }
  }

  /** Sends frames to an entry, and the end of the stream after the last. */
  function follow(
    { own, attemptId, target }: {
      readonly own: Process;
      readonly attemptId: string;
      readonly target: FrameReceiver;
    },
    subscribe: (sink: attempts.FrameSink) => void,
  ): void {
    own.targets.add(target);
    const sink: attempts.FrameSink = (frame) => {
      options.send(`frame_${frame.body.kind}`, () => target.onFrame(frame));
      const isOpen = frame.body.kind === "accepted" ||
        frame.body.kind === "chunk";
      if (isOpen) return;
      own.targets.delete(target);
      timers.schedule(() => target.onEnd({ kind: "closed" }), {
        delayMs: 2 * network.latencyMs,
      });
    };
    target.signal.addEventListener("abort", () => {
      own.targets.delete(target);
      own.table.detach(attemptId, sink);
    }, { once: true });
    subscribe(sink);
  }

  function closeTargets(own: Process): void {
    for (const target of own.targets) {
      timers.schedule(
        () => target.onEnd({ kind: "broken", sent: true, message: "reset" }),
        { delayMs: network.latencyMs },
      );
    }
  }

  function getProcess(): Process {
    if (running === undefined) throw new Error(`${upstream.id} is down`);
    return running;
  }

  return {
    upstream,
    isUp: () => running !== undefined,
    describe: () => ({
      incarnation: getProcess().incarnation,
      nowMs: timers.now(),
    }),
    run(attempt, target) {
      const own = getProcess();
      const { attemptId } = attempt;
      follow({ own, attemptId, target }, (sink) => {
        const outcome = own.table.offer(attempt, sink);
        if (outcome.kind === "start") startEngine(own, attempt);
      });
    },
    resume(request, target) {
      const own = getProcess();
      const { attemptId } = request;
      follow({ own, attemptId, target }, (sink) => {
        own.table.resume(request, sink);
      });
    },
    seal: (request) => getProcess().table.seal(request),
    cancel: (attemptId) => void getProcess().table.cancel(attemptId),
    setAssignment(received) {
      known = received;
      running?.table.setAssignment(received);
    },
    getAssignment: () => running?.table.getAssignment(),
    countRunning: () => running?.table.countRunning() ?? 0,
    kill({ isPermanent: isGone }) {
      if (running === undefined) return;
      closeTargets(running);
      running = undefined;
      if (isGone) return;
      timers.schedule(() => {
        running = startProcess();
      }, { delayMs: restartMs });
    },
    stall(durationMs) {
      stalledUntilMs = timers.now() + durationMs;
    },
  };
}
