/**
 * One call to another agent, until its answer or its timeout: retransmits the
 * call until the agent has received it, then polls for the answer.
 */
import type * as scheduler from "../../ports/scheduler.ts";
import type * as callStats from "./call_stats.ts";
import type * as rankRpc from "./rank_rpc.ts";
import type * as sendWindow from "./send_window.ts";

export interface OutgoingCallOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly window: sendWindow.SendWindow;
  readonly message: rankRpc.CallMessage;
  /** Returns the message that contains the whole call. */
  readonly getWholeMessage: () => rankRpc.CallMessage;
  /** Interval until the first retransmission; it doubles with each. */
  readonly resendIntervalMs: number;
  readonly timeoutMs: number;
  readonly measureMessage: (message: object) => number;
  readonly send: (message: rankRpc.CallMessage | rankRpc.PollMessage) => void;
  /** Called with each message that is sent from now on instead of the last. */
  readonly onMessage: (message: rankRpc.CallMessage) => void;
  /** Called once; without an answer after the timeout. */
  readonly onEnd: (
    end: callStats.EndedCall & {
      readonly answer: rankRpc.RankAnswer | undefined;
    },
  ) => void;
}

export interface OutgoingCall {
  /** Records that the agent has received the call. */
  acknowledge(): void;
  handleAnswer(answer: rankRpc.AnswerMessage["answer"]): void;
}

const maxResendDoublings = 3;
/** Interval between polls for an answer, which only a loss makes necessary. */
const pollIntervalMs = 100;

/** Starts the call. */
export function startOutgoingCall(options: OutgoingCallOptions): OutgoingCall {
  const { scheduler, window, resendIntervalMs } = options;
  const startedAtMs = scheduler.now();
  const maxResendMs = resendIntervalMs * 2 ** maxResendDoublings;
  const timeout = new AbortController();
  /** Ends the retransmissions of the current message. */
  let resends = new AbortController();
  let { message } = options;
  let resendMs = resendIntervalMs;
  let sends = 0;
  let isReceived = false;
  /** Sent bytes that the window counts. */
  let windowBytes = 0;

  function exitWindow(): void {
    const bytes = windowBytes;
    windowBytes = 0;
    if (bytes > 0) window.acknowledge(bytes);
  }

  function send(): void {
    if (!isReceived) sends += 1;
    options.send(isReceived ? { kind: "poll", id: message.id } : message);
    const delayMs = isReceived ? pollIntervalMs : resendMs;
    resendMs = Math.min(maxResendMs, 2 * resendMs);
    scheduler.schedule(sendAgain, { delayMs, signal: resends.signal });
  }

  function sendAgain(): void {
    // Lost or received, the message is no longer queued on the link.
    exitWindow();
    send();
  }

  function submit(): void {
    options.onMessage(message);
    const bytes = options.measureMessage(message);
    window.submit({
      bytes,
      send() {
        windowBytes = bytes;
        send();
      },
      signal: resends.signal,
    });
  }

  function sendWholeMessage(): void {
    resends.abort();
    exitWindow();
    resends = new AbortController();
    resendMs = resendIntervalMs;
    isReceived = false;
    message = options.getWholeMessage();
    submit();
  }

  function end(answer: rankRpc.RankAnswer | undefined): void {
    timeout.abort();
    resends.abort();
    exitWindow();
    options.onEnd({
      answer,
      sends,
      tookMs: scheduler.now() - startedAtMs,
      isAnswered: answer !== undefined,
    });
  }

  scheduler.schedule(() => end(undefined), {
    delayMs: options.timeoutMs,
    signal: timeout.signal,
  });
  submit();
  return {
    acknowledge() {
      isReceived = true;
      exitWindow();
    },
    handleAnswer(answer) {
      if (answer.kind === "unexecuted") sendWholeMessage();
      else end(answer);
    },
  };
}
