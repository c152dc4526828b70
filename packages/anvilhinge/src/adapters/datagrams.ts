/** JSON messages between processes over UDP, which may lose any of them. */
import * as dgram from "node:dgram";
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
  send(message: unknown, address: string): void;
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
      message = JSON.parse(data.toString());
    } catch {
      return onFailure("Received a datagram that is not valid JSON");
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
          socket.send(JSON.stringify(message), port, host, (error) => {
            if (error !== null) onFailure(error.message);
          });
        },
      });
    });
  });
}
