/**
 * Calls from the leader to the agents of the ranks, over datagrams: a call is
 * sent again until it is answered, and carried out once however often it
 * arrives.
 */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import * as orderRunner from "./order_runner.ts";

/** What the leader asks of an agent. */
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
  /** Distinguishes the calls of this process from all others. */
  readonly incarnation: string;
}

export interface RankRpc {
  /** Calls an agent; resolves to undefined when it does not answer in time. */
  call(
    address: string,
    call: RankCall,
    options: { readonly timeoutMs: number },
  ): Promise<RankAnswer | undefined>;
  /** Carries a call out at the own engine. */
  execute(call: RankCall): Promise<RankAnswer>;
  handleCall(message: CallMessage, from: string): void;
  handleAnswer(message: AnswerMessage): void;
}

/** Time after which an unanswered call is sent again. */
const resendMs = 40;
/** Longest time that an agent spends on one order. */
const orderTimeoutMs = 2_500;
const maxRemembered = 256;

/** Carries a call out at an engine. */
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

/** Creates the calls of one agent. */
export function createRankRpc(options: RankRpcOptions): RankRpc {
  const { engine, scheduler } = options;
  const open = new Map<string, (answer: RankAnswer | undefined) => void>();
  /** Calls that arrived, so that a repetition is not carried out again. */
  const received = new Map<string, Promise<RankAnswer>>();
  let sent = 0;

  const execute = (call: RankCall): Promise<RankAnswer> =>
    executeCall(call, { engine, scheduler });

  function keepAnswer(id: string, answer: Promise<RankAnswer>): void {
    received.set(id, answer);
    if (received.size <= maxRemembered) return;
    const oldest = received.keys().next().value;
    if (oldest !== undefined) received.delete(oldest);
  }

  return {
    execute,
    call(address, call, { timeoutMs }) {
      sent += 1;
      const id = `${options.incarnation}/${sent}`;
      const message: CallMessage = { kind: "call", id, call };
      const abort = new AbortController();
      const { signal } = abort;
      return new Promise((resolve) => {
        function finish(answer: RankAnswer | undefined): void {
          abort.abort();
          open.delete(id);
          resolve(answer);
        }
        function send(): void {
          options.sockets.send(message, address);
          scheduler.schedule(send, { delayMs: resendMs, signal });
        }
        open.set(id, finish);
        scheduler.schedule(() => finish(undefined), {
          delayMs: timeoutMs,
          signal,
        });
        send();
      });
    },
    handleCall({ id, call }, from) {
      const known = received.get(id);
      const answer = known ?? execute(call);
      if (known === undefined) keepAnswer(id, answer);
      void answer.then((ready) => {
        const message: AnswerMessage = { kind: "answer", id, answer: ready };
        options.sockets.send(message, from);
      });
    },
    handleAnswer({ id, answer }) {
      open.get(id)?.(answer);
    },
  };
}
