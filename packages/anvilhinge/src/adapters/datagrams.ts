/** Messages between processes as JSON in datagrams; any may be lost. */
import * as dgram from "node:dgram";
import * as hostPort from "./address.ts";

export interface DatagramOptions {
  /** Own address as `host:port`. */
  readonly address: string;
  /** Closes the socket. */
  readonly signal: AbortSignal;
  /** Called with each message and the address of its sender. */
  readonly onMessage: (message: unknown, from: string) => void;
  /** Called with the reason when a datagram can't be sent or read. */
  readonly onFailure: (reason: string) => void;
}

export interface Datagrams {
  /** Sends a message; nothing tells whether it arrives. */
  send(message: unknown, address: string): void;
}

/** Opens the socket; resolves when it can receive. */
export function openDatagrams(options: DatagramOptions): Promise<Datagrams> {
  const { signal, onFailure } = options;
  const socket = dgram.createSocket("udp4");
  const own = hostPort.parseAddress(options.address);
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
      return onFailure("A datagram holds no JSON");
    }
    options.onMessage(message, `${sender.address}:${sender.port}`);
  });
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(own.port, own.host, () => {
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
