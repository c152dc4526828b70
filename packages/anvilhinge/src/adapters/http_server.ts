/** HTTP server for a koa application. */
import * as http from "node:http";
import type * as net from "node:net";
import type Koa from "koa";

export interface HttpServerOptions {
  readonly app: Koa;
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
  /** Stops the server and closes its connections immediately. */
  readonly signal: AbortSignal;
}

/** Starts the server; resolves to its address as `host:port`. */
export function startHttpServer(options: HttpServerOptions): Promise<string> {
  const server = http.createServer(options.app.callback());
  options.signal.addEventListener("abort", () => {
    server.close();
    server.closeAllConnections();
  }, { once: true });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, () => {
      const address = server.address() as net.AddressInfo;
      resolve(`${options.host}:${address.port}`);
    });
  });
}
