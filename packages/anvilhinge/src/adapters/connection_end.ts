/** Tells how the peer of a connection ended its side. */
import type * as net from "node:net";

export type ConnectionEnd = "orderly" | "reset";

/**
 * Checks the reported end of a socket with `allowHalfOpen`. The runtime reports a
 * reset that arrives with the last bytes as an end without an error; the error
 * stays pending at the socket. An empty write returns it and sends nothing.
 */
export function checkEnd(
  socket: net.Socket,
  onChecked: (connectionEnd: ConnectionEnd) => void,
): void {
  socket.write("", (error) => onChecked(error ? "reset" : "orderly"));
}
