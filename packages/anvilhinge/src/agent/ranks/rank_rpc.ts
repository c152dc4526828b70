/**
 * Remote calls over datagrams from the leader to the agents of the ranks. A
 * call is executed once however often it arrives. It is retransmitted until the
 * agent has received it; afterwards, the leader polls for the answer, because a
 * call may contain an expert map and take as long as its experts are copied.
 *
 * The unconfirmed bytes are limited, so that calls to a large group do not
 * exceed what the link of the leader can queue. As a confirmation lets the next
 * call go, calls are sent as fast as the link allows.
 */
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import type * as datagrams from "../../adapters/datagrams.ts";
import type * as rankEngine from "../../ports/rank_engine.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as callStats from "./call_stats.ts";
import * as mapCalls from "./map_calls.ts";
import * as orderRunner from "./order_runner.ts";
import * as outgoingCall from "./outgoing_call.ts";
import * as sendWindow from "./send_window.ts";

/** A call from the leader to an agent. */
export type RankCall =
  | {
    readonly kind: "report";
    /** See `ReadOptions` of the engine. */
    readonly isDecisive?: boolean;
  }
  | { readonly kind: "experts" }
  | OrderCall;

export interface OrderCall {
  readonly kind: "order";
  readonly order: rankOrders.RankOrder;
  readonly epoch: number;
}

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
  | {
    readonly kind: "order";
    readonly outcome: rankOrders.OrderOutcome;
    /** Whether the order was sent from a machine that has no rank. */
    readonly isSentElsewhere?: boolean;
  }
  /** The engine did not answer. */
  | { readonly kind: "silent" };

export interface CallMessage {
  readonly kind: "call";
  readonly id: string;
  readonly call: mapCalls.SentCall;
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
  readonly answer: RankAnswer | UnexecutedAnswer;
}

/**
 * The call was not executed, because the agent doesn't know the call or the map
 * to which it refers; the whole call must be sent.
 */
export interface UnexecutedAnswer {
  readonly kind: "unexecuted";
}

export interface RankRpcOptions {
  readonly engine: rankEngine.RankEngine;
  readonly scheduler: scheduler.Scheduler;
  readonly sockets: datagrams.Datagrams;
  /** Returns the length of a message as a datagram, in bytes. */
  readonly measureMessage: (message: object) => number;
  /** Makes the ids of this process's calls unique. */
  readonly incarnation: string;
  /** Returns the pass whose hold a round of this agent uses. */
  readonly getRoundStep: () => number | undefined;
  /** Called at the end of each call to another agent. */
  readonly onCallEnd: (call: callStats.EndedCall) => void;
}

export interface SendOptions {
  readonly timeoutMs: number;
  /** Map in use, which the agent may have received. */
  readonly baseMap?: mapCalls.BaseMap;
}

export interface RankRpc {
  /**
   * Calls an agent; resolves to undefined when the call times out. A call that
   * is the same object for several agents is encoded once.
   */
  call(
    address: string,
    call: RankCall,
    options: SendOptions,
  ): Promise<RankAnswer | undefined>;
  /** Executes a call at the local engine. */
  execute(call: RankCall): Promise<RankAnswer>;
  handleCall(message: CallMessage, from: string): void;
  handlePoll(message: PollMessage, from: string): void;
  handleReceived(message: ReceivedMessage, from: string): void;
  handleAnswer(message: AnswerMessage, from: string): void;
}

/** Interval until the first retransmission; it doubles with each. */
const resendIntervalMs = 40;
/** The same for a call with an expert map, which the agent confirms later. */
const mapResendIntervalMs = 80;
/**
 * Limit on the bytes of calls that no agent has confirmed. Links of agents carry
 * 600 bytes in a millisecond and more, and an agent confirms within 15 ms.
 */
const maxUnconfirmedBytes = 24 * 1024;
/** Time after which an agent confirms a call that has no answer yet. */
const confirmDelayMs = 10;
/** Maximum time for one order at an engine, over all sends. */
const orderTimeoutMs = 2_500;
/** Answers kept to recognize retransmitted calls. */
const maxKeptAnswers = 256;

/** Executes a call at the local engine or at a remote one. */
export async function executeCall(
  call: RankCall,
  { engine, scheduler }: Pick<RankRpcOptions, "engine" | "scheduler">,
): Promise<RankAnswer> {
  switch (call.kind) {
    case "report": {
      const { isDecisive } = call;
      const report = await engine.readReport({ isDecisive });
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
    case "order":
      return await executeOrder(call, { engine, scheduler });
  }
}

/** Sends an order to an engine until its outcome is known. */
export async function executeOrder(
  { order, epoch }: OrderCall,
  { engine, scheduler }:
    & Pick<RankRpcOptions, "scheduler">
    & Pick<orderRunner.RunOrderOptions, "engine">,
): Promise<Extract<RankAnswer, { readonly kind: "order" }>> {
  const outcome = await orderRunner.runOrder({
    engine,
    scheduler,
    order,
    epoch,
    timeoutMs: orderTimeoutMs,
  });
  return { kind: "order", outcome };
}

function composeUnexecuted(id: string): AnswerMessage {
  return { kind: "answer", id, answer: { kind: "unexecuted" } };
}

/** The messages of a call are the same for all agents. */
function composeKey(id: string, address: string): string {
  return `${id}@${address}`;
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
  /** Calls without an answer, by id and address. */
  const outgoingCalls = new Map<string, () => outgoingCall.OutgoingCall>();
  /** Calls of other agents by id, so that a repeated call does not run again. */
  const executedCalls = new Map<string, ExecutedCall>();
  const maps = mapCalls.createMapCalls();
  /** Messages of the calls that were sent, shortened or whole. */
  const shortMessages = new WeakMap<RankCall, CallMessage>();
  const wholeMessages = new WeakMap<RankCall, CallMessage>();
  const window = sendWindow.createSendWindow({ maxBytes: maxUnconfirmedBytes });
  let callCount = 0;

  async function execute(call: RankCall): Promise<RankAnswer> {
    const answer = await executeCall(call, { engine, scheduler });
    return answer.kind === "report" || answer.kind === "experts"
      ? { ...answer, roundStep: options.getRoundStep() }
      : answer;
  }

  function getMessage(
    call: RankCall,
    baseMap: mapCalls.BaseMap | undefined,
  ): CallMessage {
    const messages = baseMap === undefined ? wholeMessages : shortMessages;
    const existing = messages.get(call);
    if (existing !== undefined) return existing;
    callCount += 1;
    const message: CallMessage = {
      kind: "call",
      id: `${options.incarnation}/${callCount}`,
      call: baseMap === undefined ? call : maps.shorten(call, baseMap),
    };
    messages.set(call, message);
    return message;
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
    const restored = maps.restore(call);
    if (restored === undefined) {
      return sockets.send(composeUnexecuted(id), from);
    }
    const executed = keepCall(id);
    const abort = new AbortController();
    scheduler.schedule(() => reply(id, executed, from), {
      delayMs: confirmDelayMs,
      signal: abort.signal,
    });
    executed.answer = await execute(restored);
    abort.abort();
    reply(id, executed, from);
  }

  return {
    execute: (call) => execute(maps.restore(call) ?? call),
    call: (address, call, { timeoutMs, baseMap }) =>
      new Promise((resolve) => {
        let key: string | undefined;
        function removeCall(): void {
          if (key !== undefined) outgoingCalls.delete(key);
        }
        const outgoing = outgoingCall.startOutgoingCall({
          scheduler,
          window,
          message: getMessage(call, baseMap),
          getWholeMessage: () => getMessage(call, undefined),
          resendIntervalMs: getResendIntervalMs(call),
          timeoutMs,
          measureMessage: options.measureMessage,
          send: (message) => sockets.send(message, address),
          onMessage({ id }) {
            removeCall();
            key = composeKey(id, address);
            outgoingCalls.set(key, () => outgoing);
          },
          onEnd({ answer, ...ended }) {
            removeCall();
            options.onCallEnd(ended);
            resolve(answer);
          },
        });
      }),
    handleCall(message, from) {
      const executed = executedCalls.get(message.id);
      if (executed === undefined) void runCall(message, from);
      else reply(message.id, executed, from);
    },
    handlePoll({ id }, from) {
      const executed = executedCalls.get(id);
      if (executed === undefined) sockets.send(composeUnexecuted(id), from);
      // An answer that is not ready is sent once it is.
      else if (executed.answer !== undefined) reply(id, executed, from);
    },
    handleReceived({ id }, from) {
      outgoingCalls.get(composeKey(id, from))?.().acknowledge();
    },
    handleAnswer({ id, answer }, from) {
      outgoingCalls.get(composeKey(id, from))?.().handleAnswer(answer);
    },
  };
}
