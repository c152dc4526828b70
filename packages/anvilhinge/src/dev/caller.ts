/** HTTP client of the system, used by demos and tests. */
import * as eventsourceParser from "eventsource-parser";
import * as undici from "undici";

/** Outcome of a streamed chat completion. */
export type ChatOutcome =
  | {
    readonly kind: "complete";
    readonly tokens: readonly string[];
    readonly lastEventId: string;
  }
  /** Interrupted after the listed tokens; resumable from `lastEventId`. */
  | {
    readonly kind: "broken";
    readonly tokens: readonly string[];
    readonly lastEventId: string;
    readonly message: string;
  }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly code: string;
    /** Whether the request had any effect: `no`, `yes` or `unknown`. */
    readonly ran: string;
    readonly message: string;
  };

export interface ChatRequest {
  /** Address of the entry as `host:port`. */
  readonly address: string;
  readonly workspace: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly headers?: Readonly<Record<string, string>>;
  readonly dispatcher?: undici.Dispatcher;
  readonly signal?: AbortSignal;
  /** Called for each token. */
  readonly onToken?: (token: string) => void;
}

interface ErrorBody {
  readonly error?: {
    readonly code?: string;
    readonly ran?: string;
    readonly message?: string;
  };
}

/** Data of the last event of a complete stream. */
const endMarker = "[DONE]";

/** Sends a streamed chat completion and reads its answer to the end. */
export async function sendChat(request: ChatRequest): Promise<ChatOutcome> {
  const tokens: string[] = [];
  let lastEventId = "";
  let isComplete = false;
  let failure = "Stream ended without its end marker";
  const parser = eventsourceParser.createParser({
    onEvent(event) {
      if (event.event === "error") {
        failure = event.data;
        return;
      }
      lastEventId = event.id ?? lastEventId;
      if (event.data === endMarker) {
        isComplete = true;
        return;
      }
      const token = readToken(event.data);
      if (token === "") return;
      tokens.push(token);
      request.onToken?.(token);
    },
  });
  try {
    const response = await undici.request(
      `http://${request.address}/v1/chat/completions`,
      {
        method: "POST",
        headers: {
          "content-type": "application/json",
          "x-workspace": request.workspace,
          ...request.headers,
        },
        body: JSON.stringify({ ...request.body, stream: true }),
        dispatcher: request.dispatcher,
        signal: request.signal,
      },
    );
    if (response.statusCode !== 200) {
      const body = await response.body.json() as ErrorBody;
      return {
        kind: "refused",
        status: response.statusCode,
        code: body.error?.code ?? "",
        ran: body.error?.ran ?? "",
        message: body.error?.message ?? "",
      };
    }
    response.body.setEncoding("utf8");
    for await (const text of response.body) parser.feed(String(text));
  } catch (error) {
    failure = error instanceof Error ? error.message : String(error);
  }
  return isComplete
    ? { kind: "complete", tokens, lastEventId }
    : { kind: "broken", tokens, lastEventId, message: failure };
}

function readToken(data: string): string {
  const chunk = JSON.parse(data) as {
    readonly choices?: readonly {
      readonly delta?: { readonly content?: string };
    }[];
  };
  return chunk.choices?.[0]?.delta?.content ?? "";
}

/** Fetches the addresses of the entries that a workspace should use. */
export async function fetchAddresses(
  address: string,
  workspace: string,
): Promise<readonly string[]> {
  const query = new URLSearchParams({ workspace });
  const response = await undici.request(
    `http://${address}/v1/addresses?${query}`,
  );
  const body = await response.body.json() as {
    readonly addresses: readonly string[];
  };
  return body.addresses;
}
