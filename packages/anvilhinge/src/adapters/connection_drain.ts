/**
 * Stops an HTTP server without cutting answers. `http.Server.close` also closes
 * connections whose answer has been written by the program but not yet been sent.
 */
import type * as http from "node:http";
import * as net from "node:net";

export interface ConnectionDrain {
  /** Stops listening and closes the connections that are idle. */
  closeIdle(): void;
}

/** Begins to track the connections of a server. */
export function createConnectionDrain(server: http.Server): ConnectionDrain {
  /** Bytes read from each open connection up to the end of its last answer. */
  const readBytes = new Map<net.Socket, number>();
  /** Number of answers of each connection that were not sent completely. */
  const openAnswers = new Map<net.Socket, number>();

  server.on("connection", (socket) => {
    readBytes.set(socket, 0);
    socket.once("close", () => {
      readBytes.delete(socket);
      openAnswers.delete(socket);
    });
  });
  server.on("request", ({ socket }, response) => {
    openAnswers.set(socket, (openAnswers.get(socket) ?? 0) + 1);
    response.once("close", () => {
      if (!readBytes.has(socket)) return;
      openAnswers.set(socket, (openAnswers.get(socket) ?? 1) - 1);
      readBytes.set(socket, socket.bytesRead);
    });
  });
  return {
    closeIdle() {
      net.Server.prototype.close.call(server);
      for (const [socket, bytes] of readBytes) {
        // Further bytes belong to a request that has not arrived completely.
        const isIdle = !openAnswers.get(socket) && socket.bytesRead === bytes;
        if (isIdle) socket.destroy();
      }
    },
  };
}
