/**
 * Remote calls over datagrams from the leader to the agents of the ranks. A
 * call is retransmitted until it is answered, and executed once however often
 * it arrives.
 */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
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

export type RankAnswer =
  | { readonly kind: "report"; readonly report: rankEngine.RankReport }
  | {
    readonly kind: "experts";
    readonly report: rankEngine.RankReport;
    readonly experts: rankEngine.HeldExperts;
  }
  | { readonly kind: "order"; readonly outcome: rankOrders.OrderOutcome }
  /** The engine did not answer. */
  | { readonly kind: "silent" };

export interface CallMessage {
  readonly kind: "call";
  readonly id: string;
  readonly call: RankCall;
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
  handleAnswer(message: AnswerMessage): void;
}

/** Interval between retransmissions of an unanswered call. */
const resendIntervalMs = 40;
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

/** Creates the client and server side of the calls of one agent. */
export function createRankRpc(options: RankRpcOptions): RankRpc {
  const { engine, scheduler } = options;
  const pendingCalls = new Map<
    string,
    (answer: RankAnswer | undefined) => void
  >();
  /** Answers by call id, so that a retransmitted call does not run again. */
  const answers = new Map<string, Promise<RankAnswer>>();
  let callCount = 0;

  const execute = (call: RankCall): Promise<RankAnswer> =>
    executeCall(call, { engine, scheduler });

  function keepAnswer(id: string, answer: Promise<RankAnswer>): void {
    answers.set(id, answer);
    if (answers.size <= maxKeptAnswers) return;
    const oldest = answers.keys().next().value;
    if (oldest !== undefined) answers.delete(oldest);
  }

  return {
    execute,
    call(address, call, { timeoutMs }) {
      callCount += 1;
      const id = `${options.incarnation}/${callCount}`;
      const message: CallMessage = { kind: "call", id, call };
      const abort = new AbortController();
      const { signal } = abort;
      return new Promise((resolve) => {
        function finish(answer: RankAnswer | undefined): void {
          abort.abort();
          pendingCalls.delete(id);
          resolve(answer);
        }
        function send(): void {
          options.sockets.send(message, address);
          scheduler.schedule(send, { delayMs: resendIntervalMs, signal });
        }
        pendingCalls.set(id, finish);
        scheduler.schedule(() => finish(undefined), {
          delayMs: timeoutMs,
          signal,
        });
        send();
      });
    },
    handleCall({ id, call }, from) {
      const earlierAnswer = answers.get(id);
      const answer = earlierAnswer ?? execute(call);
      if (earlierAnswer === undefined) keepAnswer(id, answer);
      void answer.then((result) => {
        const message: AnswerMessage = { kind: "answer", id, answer: result };
        options.sockets.send(message, from);
      });
    },
    handleAnswer({ id, answer }) {
      pendingCalls.get(id)?.(answer);
    },
  };
}
