/**
 * Limits the bytes that were sent and not acknowledged, so that messages to many
 * receivers do not exceed what the sender's link can queue. As each
 * acknowledgement lets the next message go, messages are sent as fast as the
 * link allows.
 */

/** A message that waits until it may be sent. */
export interface WaitingMessage {
  readonly bytes: number;
  /** Called once, when the message counts as sent. */
  readonly send: () => void;
  /** Drops the message when it aborts. */
  readonly signal: AbortSignal;
}

export interface SendWindow {
  /** Sends at once or as soon as earlier messages are acknowledged. */
  submit(message: WaitingMessage): void;
  /** Records that sent bytes have left the link. */
  acknowledge(bytes: number): void;
}

/** Creates a window in which nothing is sent. */
export function createSendWindow(
  { maxBytes }: { readonly maxBytes: number },
): SendWindow {
  const waiting: WaitingMessage[] = [];
  let sentBytes = 0;

  function hasRoom({ bytes }: WaitingMessage): boolean {
    return sentBytes === 0 || sentBytes + bytes <= maxBytes;
  }

  function sendWaiting(): void {
    while (waiting.length > 0) {
      const message = waiting[0]!;
      if (!message.signal.aborted && !hasRoom(message)) return;
      waiting.shift();
      if (message.signal.aborted) continue;
      sentBytes += message.bytes;
      message.send();
    }
  }

  return {
    submit(message) {
      waiting.push(message);
      sendWaiting();
    },
    acknowledge(bytes) {
      sentBytes -= bytes;
      sendWaiting();
    },
  };
}
