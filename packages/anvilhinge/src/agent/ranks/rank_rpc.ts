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
  readonly answer: RankAnswer | UnknownBaseAnswer;
}

/** The call was not executed, because the map that it refers to is unknown. */
export interface UnknownBaseAnswer {
  readonly kind: "unknown_base";
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
const maxResendDoublings = 3;
/** Interval between polls for an answer, which only a loss makes necessary. */
const pollIntervalMs = 100;
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
  /** Called when the agent confirms the call. */
  readonly confirm: () => void;
  /** Sends the whole call instead of the shortened one. */
  readonly sendWhole: () => void;
}

/** A call that waits until enough bytes are confirmed. */
interface DelayedSend {
  readonly bytes: number;
  readonly send: () => void;
  /** Drops the call when it aborts. */
  readonly signal: AbortSignal;
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
  /** By id and address. */
  const pendingCalls = new Map<string, PendingCall>();
  /** Calls of other agents by id, so that a repeated call does not run again. */
  const executedCalls = new Map<string, ExecutedCall>();
  const maps = mapCalls.createMapCalls();
  /** Messages of the calls that were sent, shortened or whole. */
  const shortMessages = new WeakMap<RankCall, CallMessage>();
  const wholeMessages = new WeakMap<RankCall, CallMessage>();
  const delayedSends: DelayedSend[] = [];
  let unconfirmedBytes = 0;
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

  /** Sends at once or as soon as earlier calls have been confirmed. */
  function sendWithinLimit(delayed: DelayedSend): void {
    delayedSends.push(delayed);
    sendDelayed();
  }

  function sendDelayed(): void {
    while (delayedSends.length > 0) {
      const { bytes, send, signal } = delayedSends[0]!;
      const hasRoom = unconfirmedBytes === 0 ||
        unconfirmedBytes + bytes <= maxUnconfirmedBytes;
      if (!signal.aborted && !hasRoom) return;
      delayedSends.shift();
      if (signal.aborted) continue;
      unconfirmedBytes += bytes;
      send();
    }
  }

  function confirmBytes(bytes: number): void {
    unconfirmedBytes -= bytes;
    sendDelayed();
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
      const answer = { kind: "unknown_base" } as const;
      return sockets.send({ kind: "answer", id, answer }, from);
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
    call: (address, call, sendOptions) =>
      new Promise((resolve) => {
        const startedAtMs = scheduler.now();
        const abort = new AbortController();
        const maxResendMs = getResendIntervalMs(call) * 2 ** maxResendDoublings;
        let message = getMessage(call, sendOptions.baseMap);
        /** Ends the retransmissions of the message. */
        let resends = new AbortController();
        let resendMs = 0;
        let sends = 0;
        let isReceived = false;
        /** Sent bytes that count as unconfirmed. */
        let bytes = 0;

        function confirm(): void {
          const confirmedBytes = bytes;
          bytes = 0;
          if (confirmedBytes > 0) confirmBytes(confirmedBytes);
        }

        function send(): void {
          sends += isReceived ? 0 : 1;
          const poll: PollMessage = { kind: "poll", id: message.id };
          sockets.send(isReceived ? poll : message, address);
          const delayMs = isReceived ? pollIntervalMs : resendMs;
          resendMs = Math.min(maxResendMs, 2 * resendMs);
          scheduler.schedule(sendAgain, { delayMs, signal: resends.signal });
        }

        function sendAgain(): void {
          // Lost or confirmed: either way the bytes have left the link.
          confirm();
          send();
        }

        function start(): void {
          const { signal } = resends;
          resendMs = getResendIntervalMs(call);
          pendingCalls.set(`${message.id}@${address}`, pending);
          const messageBytes = options.measureMessage(message);
          sendWithinLimit({
            bytes: messageBytes,
            send() {
              bytes = messageBytes;
              send();
            },
            signal,
          });
        }

        function stop(): void {
          resends.abort();
          pendingCalls.delete(`${message.id}@${address}`);
          confirm();
        }

        const pending: PendingCall = {
          finish,
          confirm() {
            isReceived = true;
            confirm();
          },
          sendWhole() {
            stop();
            resends = new AbortController();
            message = getMessage(call, undefined);
            start();
          },
        };

        function finish(answer: RankAnswer | undefined): void {
          abort.abort();
          stop();
          const tookMs = scheduler.now() - startedAtMs;
          const isAnswered = answer !== undefined;
          options.onCallEnd({ sends, tookMs, isAnswered });
          resolve(answer);
        }

        scheduler.schedule(() => finish(undefined), {
          delayMs: sendOptions.timeoutMs,
          signal: abort.signal,
        });
        start();
      }),
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
    handleReceived({ id }, from) {
      pendingCalls.get(`${id}@${from}`)?.confirm();
    },
    handleAnswer({ id, answer }, from) {
      const pending = pendingCalls.get(`${id}@${from}`);
      if (answer.kind === "unknown_base") pending?.sendWhole();
      else pending?.finish(answer);
    },
  };
}
