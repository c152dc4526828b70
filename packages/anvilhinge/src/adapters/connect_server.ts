/** Serves connect-es routes over HTTP/2 without TLS. */
import * as http2 from "node:http2";
import type * as net from "node:net";
import type * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";

export interface ConnectServerOptions {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  readonly routes: (router: connect.ConnectRouter) => void;
  /** Ends the server and its connections at once. */
  readonly signal: AbortSignal;
}

/** Starts the server; resolves to its address as `host:port`. */
export function startConnectServer(
  options: ConnectServerOptions,
): Promise<string> {
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer(
    connectNode.connectNodeAdapter({
      routes: options.routes,
      shutdownSignal: options.signal,
    }),
  );
  server.on("session", (session) => {
    sessions.add(session);
    session.on("close", () => sessions.delete(session));
    session.on("error", () => session.destroy());
  });
  options.signal.addEventListener("abort", () => {
    server.close();
    // Handlers end on the same signal; their streams must outlive that moment.
    setImmediate(() => {
      for (const session of sessions) session.destroy();
    });
  }, { once: true });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, () => {
      const address = server.address() as net.AddressInfo;
      resolve(`${options.host}:${address.port}`);
    });
  });
}
