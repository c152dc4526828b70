/** Calls agents with connect-es; one HTTP/2 connection for each agent in use. */
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as frameCodec from "../../adapters/frame_codec.ts";
import * as agentPb from "../../gen/anvilhinge/v1/agent_pb.ts";
import type * as frames from "../../ports/frames.ts";

/** How a stream of frames ended on the side of the entry. */
export type StreamEnd =
  /** The agent closed it after its last frame. */
  | { readonly kind: "closed" }
  /** It broke; `sent` is false when the request never left this node. */
  | {
    readonly kind: "broken";
    readonly sent: boolean;
    readonly message: string;
  };

export interface StreamOptions {
  /** Id of the upstream that is meant. */
  readonly upstreamId?: string;
  readonly address: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
  readonly onFrame: (frame: frames.Frame) => void;
  readonly onEnd: (end: StreamEnd) => void;
}

/** Part of an attempt that is asked for again. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly fromSequence: number;
}

/** Names one attempt. */
export interface AttemptName {
  readonly requestId: string;
  readonly attemptId: string;
}

export interface AgentClient {
  /** Resolves to `unreachable` when the agent did not answer in time. */
  describe(
    address: string,
  ): Promise<frames.AgentDescription | "unreachable">;
  run(attempt: frames.Attempt, options: StreamOptions): void;
  resume(request: ResumeRequest, options: StreamOptions): void;
  /** Resolves to `unreachable` when the agent did not answer in time. */
  seal(
    request: frames.SealRequest,
    address: string,
  ): Promise<frames.SealOutcome | "unreachable">;
  cancel(name: AttemptName, address: string): void;
}

export interface AgentClientOptions {
  /**
   * Longest wait for the answer to a seal or a cancel, in milliseconds.
   * @default 1000
   */
  readonly callTimeoutMs?: number;
  /** Closes all connections. */
  readonly signal: AbortSignal;
}

type Client = connect.Client<typeof agentPb.AgentService>;

const defaultCallTimeoutMs = 1_000;
const idleConnectionTimeoutMs = 60_000;
const refusedConnectionCodes: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
];

/** Creates a client that connects to agents when they are first used. */
export function createAgentClient(options: AgentClientOptions): AgentClient {
  const timeoutMs = options.callTimeoutMs ?? defaultCallTimeoutMs;
  const clients = new Map<string, Client>();
  const managers = new Map<string, connectNode.Http2SessionManager>();

  options.signal.addEventListener("abort", () => {
    for (const manager of managers.values()) manager.abort();
    managers.clear();
    clients.clear();
  }, { once: true });

  function getClient(address: string): Client {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const baseUrl = `http://${address}`;
    const sessionManager = new connectNode.Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs,
    });
    const transport = connectNode.createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager,
    });
    const client = connect.createClient(agentPb.AgentService, transport);
    managers.set(address, sessionManager);
    clients.set(address, client);
    return client;
  }

  async function consume(
    open: (client: Client) => AsyncIterable<agentPb.Frame>,
    stream: StreamOptions,
  ): Promise<void> {
    try {
      for await (const wire of open(getClient(stream.address))) {
        const frame = frameCodec.decodeFrame(wire);
        if (frame !== undefined) stream.onFrame(frame);
      }
      stream.onEnd({ kind: "closed" });
    } catch (error) {
      if (stream.signal.aborted) return;
      const message = error instanceof Error ? error.message : String(error);
      stream.onEnd({ kind: "broken", sent: !isConnectRefused(error), message });
    }
  }

  return {
    async describe(address) {
      try {
        const response = await getClient(address).describe({}, { timeoutMs });
        return { incarnation: response.incarnation, nowMs: response.nowMs };
      } catch {
        return "unreachable";
      }
    },
    run(attempt, stream) {
      const request = frameCodec.encodeAttempt(attempt);
      const { signal, headers } = stream;
      void consume(
        (client) => client.run(request, { signal, headers }),
        stream,
      );
    },
    resume(request, stream) {
      const { signal, headers } = stream;
      void consume(
        (client) => client.resume(request, { signal, headers }),
        stream,
      );
    },
    async seal(request, address) {
      try {
        const response = await getClient(address).seal(request, { timeoutMs });
        return frameCodec.decodeSealOutcome(response.outcome) ?? "unreachable";
      } catch {
        return "unreachable";
      }
    },
    cancel(name, address) {
      // A cancel that is lost costs only the work until the agent notices that
      // nobody follows the attempt.
      getClient(address).cancel(name, { timeoutMs }).catch(() => {});
    },
  };
}

/** True when the connection was refused, so that no request left this node. */
function isConnectRefused(error: unknown): boolean {
  let cause = error;
  while (cause instanceof Error) {
    const code = (cause as NodeJS.ErrnoException).code;
    if (refusedConnectionCodes.includes(String(code))) return true;
    cause = cause.cause;
  }
  return false;
}
