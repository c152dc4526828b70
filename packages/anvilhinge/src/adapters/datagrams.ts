/**
 * JSON messages between processes over UDP, which may lose any of them. Long
 * messages, such as expert maps, are compressed, as the links are narrow.
 */
import * as dgram from "node:dgram";
import * as zlib from "node:zlib";
import * as hostPort from "./address.ts";

export interface DatagramOptions {
  /** Local address as `host:port`. */
  readonly address: string;
  /** Closes the socket. */
  readonly signal: AbortSignal;
  /** Called with each message and the address of its sender. */
  readonly onMessage: (message: unknown, from: string) => void;
  /** Called with the reason when a datagram can't be sent or read. */
  readonly onFailure: (reason: string) => void;
}

export interface Datagrams {
  /** Sends a message without confirmation of its delivery. */
  send(message: object, address: string): void;
}

/** Length from which a message is compressed, in bytes. */
const minCompressedBytes = 1_000;
/** First byte of a compressed message; JSON text does not begin with it. */
const compressedMarker = 0;
/** Limit on the length of a message after decompression, in bytes. */
const maxMessageBytes = 4 * 1024 * 1024;

/** Datagrams of the messages that are still referenced. */
const encodedMessages = new WeakMap<object, Buffer>();

/**
 * Encodes a message as one datagram. A message that is sent to several receivers
 * is encoded once; it must not be changed afterwards.
 */
export function encodeMessage(message: object): Buffer {
  const existing = encodedMessages.get(message);
  if (existing !== undefined) return existing;
  const text = Buffer.from(JSON.stringify(message));
  const encoded = text.byteLength < minCompressedBytes ? text : pack(text);
  encodedMessages.set(message, encoded);
  return encoded;
}

function pack(text: Buffer): Buffer {
  const { Z_BEST_SPEED: level } = zlib.constants;
  return Buffer.concat([
    Buffer.of(compressedMarker),
    zlib.deflateRawSync(text, { level }),
  ]);
}

/** Decodes a datagram; throws if it contains no message. */
function decodeMessage(data: Buffer): unknown {
  const text = data[0] === compressedMarker
    ? zlib.inflateRawSync(data.subarray(1), {
      maxOutputLength: maxMessageBytes,
    })
    : data;
  return JSON.parse(text.toString());
}

/** Opens the socket; resolves when the socket can receive. */
export function openDatagrams(options: DatagramOptions): Promise<Datagrams> {
  const { signal, onFailure } = options;
  const socket = dgram.createSocket("udp4");
  const local = hostPort.parseAddress(options.address);
  let isOpen = true;

  signal.addEventListener("abort", () => {
    isOpen = false;
    socket.close();
  }, { once: true });
  socket.on("message", (data, sender) => {
    let message: unknown;
    try {
      message = decodeMessage(data);
    } catch {
      return onFailure("Received a datagram that is not a message");
    }
    options.onMessage(message, `${sender.address}:${sender.port}`);
  });
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(local.port, local.host, () => {
      socket.removeListener("error", reject);
      socket.on("error", (error) => onFailure(error.message));
      resolve({
        send(message, address) {
          if (!isOpen) return;
          const { host, port } = hostPort.parseAddress(address);
          socket.send(encodeMessage(message), port, host, (error) => {
            if (error !== null) onFailure(error.message);
          });
        },
      });
    });
  });
}
