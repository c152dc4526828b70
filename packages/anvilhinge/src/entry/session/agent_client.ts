/** Calls agents with connect-es over one HTTP/2 connection per agent. */
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as frameCodec from "../../adapters/frame_codec.ts";
import * as agentPb from "../../gen/anvilhinge/v1/agent_pb.ts";
import type * as frames from "../../ports/frames.ts";

/** How a stream of frames ended, as observed by the entry. */
export type StreamEnd =
  /** The agent or upstream closed the stream without an error. */
  | { readonly kind: "closed" }
  /** The stream failed; `sent` is false if the request never left this node. */
  | {
    readonly kind: "broken";
    readonly sent: boolean;
    readonly message: string;
  };

/** Whether the caller takes an answer as fast as it arrives. */
export interface AnswerFlow {
  /** Whether the caller has yet to take data that it was sent. */
  isBehind(): boolean;
  /** Calls the listener once, when the caller has taken all data. */
  onceCaughtUp(listener: () => void): void;
}

export interface StreamOptions {
  /** Id of the upstream to which the attempt is addressed. */
  readonly upstreamId: string;
  readonly address: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
  /** Where the direct client learns when to pause the stream. */
  readonly flow?: AnswerFlow;
  readonly onFrame: (frame: frames.Frame) => void;
  readonly onEnd: (end: StreamEnd) => void;
}

/** Requests the frames of an attempt from a sequence number on. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly fromSequence: number;
}

/** Identifies one attempt. */
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
   * Timeout of the `describe`, `seal` and `cancel` calls, in milliseconds.
   * @default 1000
   */
  readonly callTimeoutMs?: number;
  /** Closes all connections. */
  readonly signal: AbortSignal;
}

type Client = connect.Client<typeof agentPb.AgentService>;

const defaultCallTimeoutMs = 1_000;
const idleConnectionTimeoutMs = 60_000;
const connectionFailureCodes: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
];

/** Creates a client that connects to each agent on first use. */
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
    const existing = clients.get(address);
    if (existing !== undefined) return existing;
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
      for await (const encoded of open(getClient(stream.address))) {
        const frame = frameCodec.decodeFrame(encoded);
        if (frame !== undefined) stream.onFrame(frame);
      }
      stream.onEnd({ kind: "closed" });
    } catch (error) {
      if (stream.signal.aborted) return;
      const message = error instanceof Error ? error.message : String(error);
      stream.onEnd({
        kind: "broken",
        sent: !isConnectionFailure(error),
        message,
      });
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
      // A lost cancel wastes only the work done until the agent detects that no
      // entry follows the attempt.
      getClient(address).cancel(name, { timeoutMs }).catch(() => {});
    },
  };
}

/** True when no connection was opened, so that no request left this node. */
function isConnectionFailure(error: unknown): boolean {
  let cause = error;
  while (cause instanceof Error) {
    const code = (cause as NodeJS.ErrnoException).code;
    if (connectionFailureCodes.includes(String(code))) return true;
    cause = cause.cause;
  }
  return false;
}
