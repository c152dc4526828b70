/** Server for connect-es routes over HTTP/2 without TLS. */
import * as http2 from "node:http2";
import type * as net from "node:net";
import * as connect from "@connectrpc/connect";
import * as protocol from "@connectrpc/connect/protocol";
import * as connectNode from "@connectrpc/connect-node";

export interface ConnectServerOptions {
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
  readonly routes: (router: connect.ConnectRouter) => void;
  /** Stops the server and closes its connections immediately. */
  readonly signal: AbortSignal;
  /** Called when a call fails, unless its peer has closed the stream. */
  readonly onFailure?: (call: string, message: string) => void;
}

type RequestHandler = (
  request: http2.Http2ServerRequest,
  response: http2.Http2ServerResponse,
) => void;

const notFoundStatus = 404;

/**
 * Creates the handler of all routes. Unlike the library's handler, it reports
 * no failure if the peer has closed the stream, because peers cancel calls that
 * way.
 */
function createHandler(options: ConnectServerOptions): RequestHandler {
  const router = connect.createConnectRouter({
    shutdownSignal: options.signal,
    acceptCompression: [],
  });
  options.routes(router);
  const handlers = new Map<string, protocol.UniversalHandler>(
    router.handlers.map((handler) => [handler.requestPath, handler]),
  );

  async function handle(
    handler: protocol.UniversalHandler,
    request: http2.Http2ServerRequest,
    response: http2.Http2ServerResponse,
  ): Promise<void> {
    try {
      const universal = connectNode.universalRequestFromNodeRequest(
        request,
        response,
        undefined,
        undefined,
      );
      const answer = await handler(universal);
      await connectNode.universalResponseToNodeResponse(answer, response);
    } catch (error) {
      if (response.stream?.destroyed ?? true) return;
      const failure = connect.ConnectError.from(error);
      options.onFailure?.(handler.requestPath, failure.message);
      response.stream.close(http2.constants.NGHTTP2_INTERNAL_ERROR);
    }
  }

  return (request, response) => {
    const handler = handlers.get(request.url);
    if (handler !== undefined) {
      void handle(handler, request, response);
      return;
    }
    response.writeHead(notFoundStatus);
    response.end();
  };
}

/** Starts the server; resolves to its address as `host:port`. */
export function startConnectServer(
  options: ConnectServerOptions,
): Promise<string> {
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer(createHandler(options));
  server.on("session", (session) => {
    sessions.add(session);
    session.on("close", () => sessions.delete(session));
    session.on("error", () => session.destroy());
  });
  options.signal.addEventListener("abort", () => {
    server.close();
    // Deferred, because handlers end on this signal and still use the streams.
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
