/**
 * Remote calls over datagrams from the leader to the agents of the ranks. A
 * call is executed once however often it arrives. It is retransmitted until the
 * agent has received it; afterwards, the leader polls for the answer, because a
 * call may contain a whole expert map and take as long as its experts are
 * copied.
 */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as callStats from "./call_stats.ts";
import * as orderRunner from "./order_runner.ts";

/** A call from the leader to an agent. */
export type RankCall =
  | { readonly kind: "report" }
  | { readonly kind: "experts" }
  | {
    readonly kind: "order";
    readonly order: rankOrders.RankOrder;
    readonly epoch: number;
  };

interface ReportAnswer {
  readonly kind: "report";
  readonly report: rankEngine.RankReport;
  /** Pass whose hold a round of the rank's agent uses; set by the agent. */
  readonly roundStep?: number;
}

interface ExpertsAnswer extends Omit<ReportAnswer, "kind"> {
  readonly kind: "experts";
  readonly experts: rankEngine.HeldExperts;
}

export type RankAnswer =
  | ReportAnswer
  | ExpertsAnswer
  | { readonly kind: "order"; readonly outcome: rankOrders.OrderOutcome }
  /** The engine did not answer. */
  | { readonly kind: "silent" };

export interface CallMessage {
  readonly kind: "call";
  readonly id: string;
  readonly call: RankCall;
}

/** An agent has received a call, whose answer takes longer. */
export interface ReceivedMessage {
  readonly kind: "received";
  readonly id: string;
}

/** Requests the answer to a call again, in case it was lost. */
export interface PollMessage {
  readonly kind: "poll";
  readonly id: string;
}

export interface AnswerMessage {
  readonly kind: "answer";
  readonly id: string;
  readonly answer: RankAnswer;
}

export interface RankRpcOptions {
  readonly engine: rankEngine.RankEngine;
  readonly scheduler: scheduler.Scheduler;
  readonly sockets: datagrams.Datagrams;
  /** Makes the ids of this process's calls unique. */
  readonly incarnation: string;
  /** Returns the pass whose hold a round of this agent uses. */
  readonly getRoundStep: () => number | undefined;
  /** Called at the end of each call to another agent. */
  readonly onCallEnd: (call: callStats.EndedCall) => void;
}

export interface RankRpc {
  /** Calls an agent; resolves to undefined when the call times out. */
  call(
    address: string,
    call: RankCall,
    options: { readonly timeoutMs: number },
  ): Promise<RankAnswer | undefined>;
  /** Executes a call at the local engine. */
  execute(call: RankCall): Promise<RankAnswer>;
  handleCall(message: CallMessage, from: string): void;
  handlePoll(message: PollMessage, from: string): void;
  handleReceived(message: ReceivedMessage): void;
  handleAnswer(message: AnswerMessage): void;
}

/** Interval until the first retransmission; it doubles with each. */
const resendIntervalMs = 40;
/** The same for a call with an expert map, which takes long to send to all. */
const mapResendIntervalMs = 160;
const maxResendDoublings = 2;
/** Interval between polls for an answer. */
const pollIntervalMs = 40;
/** Time after which an agent confirms a call that has no answer yet. */
const confirmDelayMs = 10;
/** Maximum time for one order at an engine, over all sends. */
const orderTimeoutMs = 2_500;
/** Answers kept to recognize retransmitted calls. */
const maxKeptAnswers = 256;

/** Executes a call at the local engine, or at a remote one for the leader. */
export async function executeCall(
  call: RankCall,
  { engine, scheduler }: Pick<RankRpcOptions, "engine" | "scheduler">,
): Promise<RankAnswer> {
  switch (call.kind) {
    case "report": {
      const report = await engine.readReport();
      return report === undefined
        ? { kind: "silent" }
        : { kind: "report", report };
    }
    case "experts": {
      const [report, experts] = await Promise.all([
        engine.readReport(),
        engine.readExperts(),
      ]);
      return report === undefined || experts === undefined
        ? { kind: "silent" }
        : { kind: "experts", report, experts };
    }
    case "order": {
      const { order, epoch } = call;
      const outcome = await orderRunner.runOrder({
        engine,
        scheduler,
        order,
        epoch,
        timeoutMs: orderTimeoutMs,
      });
      return { kind: "order", outcome };
    }
  }
}

interface PendingCall {
  readonly finish: (answer: RankAnswer | undefined) => void;
  isReceived: boolean;
}

interface ExecutedCall {
  /** Undefined until the call has been executed. */
  answer: RankAnswer | undefined;
}

function getResendIntervalMs(call: RankCall): number {
  return call.kind === "order" && call.order.kind === "prepare"
    ? mapResendIntervalMs
    : resendIntervalMs;
}

/** Creates the client and server side of the calls of one agent. */
export function createRankRpc(options: RankRpcOptions): RankRpc {
  const { engine, scheduler, sockets } = options;
  const pendingCalls = new Map<string, PendingCall>();
  /** Calls of other agents by id, so that a repeated call does not run again. */
  const executedCalls = new Map<string, ExecutedCall>();
  let callCount = 0;

  async function execute(call: RankCall): Promise<RankAnswer> {
    const answer = await executeCall(call, { engine, scheduler });
    return answer.kind === "report" || answer.kind === "experts"
      ? { ...answer, roundStep: options.getRoundStep() }
      : answer;
  }

  function keepCall(id: string): ExecutedCall {
    const executed: ExecutedCall = { answer: undefined };
    executedCalls.set(id, executed);
    if (executedCalls.size > maxKeptAnswers) {
      const oldest = executedCalls.keys().next().value;
      if (oldest !== undefined) executedCalls.delete(oldest);
    }
    return executed;
  }

  /** Sends the answer; confirms a call whose answer takes longer. */
  function reply(id: string, { answer }: ExecutedCall, to: string): void {
    const message: AnswerMessage | ReceivedMessage = answer === undefined
      ? { kind: "received", id }
      : { kind: "answer", id, answer };
    sockets.send(message, to);
  }

  async function runCall({ id, call }: CallMessage, from: string) {
    const executed = keepCall(id);
    const abort = new AbortController();
    scheduler.schedule(() => reply(id, executed, from), {
      delayMs: confirmDelayMs,
      signal: abort.signal,
    });
    executed.answer = await execute(call);
    abort.abort();
    reply(id, executed, from);
  }

  return {
    execute,
    call(address, call, { timeoutMs }) {
      callCount += 1;
      const id = `${options.incarnation}/${callCount}`;
      const message: CallMessage = { kind: "call", id, call };
      const poll: PollMessage = { kind: "poll", id };
      const abort = new AbortController();
      const { signal } = abort;
      let resendMs = getResendIntervalMs(call);
      const maxResendMs = resendMs * 2 ** maxResendDoublings;
      const startedAtMs = scheduler.now();
      let sends = 0;
      return new Promise((resolve) => {
        const pending: PendingCall = {
          isReceived: false,
          finish(answer) {
            abort.abort();
            pendingCalls.delete(id);
            const tookMs = scheduler.now() - startedAtMs;
            const isAnswered = answer !== undefined;
            options.onCallEnd({ sends, tookMs, isAnswered });
            resolve(answer);
          },
        };
        function send(): void {
          sends += pending.isReceived ? 0 : 1;
          sockets.send(pending.isReceived ? poll : message, address);
          const delayMs = pending.isReceived ? pollIntervalMs : resendMs;
          resendMs = Math.min(maxResendMs, 2 * resendMs);
          scheduler.schedule(send, { delayMs, signal });
        }
        pendingCalls.set(id, pending);
        scheduler.schedule(() => pending.finish(undefined), {
          delayMs: timeoutMs,
          signal,
        });
        send();
      });
    },
    handleCall(message, from) {
      const executed = executedCalls.get(message.id);
      if (executed === undefined) void runCall(message, from);
      else reply(message.id, executed, from);
    },
    handlePoll({ id }, from) {
      const executed = executedCalls.get(id);
      // An answer that is not ready is sent once it is.
      if (executed?.answer !== undefined) reply(id, executed, from);
    },
    handleReceived({ id }) {
      const pending = pendingCalls.get(id);
      if (pending !== undefined) pending.isReceived = true;
    },
    handleAnswer({ id, answer }) {
      pendingCalls.get(id)?.finish(answer);
    },
  };
}
