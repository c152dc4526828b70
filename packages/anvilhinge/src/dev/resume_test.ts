import * as undici from "undici";
import * as answer from "../stand_ins/answer.ts";
import type * as system from "./system.ts";
import * as playgroundSystem from "../testing/playground_system.ts";

const body = {
  model: "drafting",
  stream: true,
  messages: [{ role: "user", content: "a summary of the agenda, please" }],
};
const abort = new AbortController();
let running: system.RunningSystem;

beforeAll(async () => {
  running = await playgroundSystem.startPlaygroundSystem({
    half: "association",
    signal: abort.signal,
    stepMs: 10,
  });
});

afterAll(() => abort.abort());

interface StreamPart {
  readonly status: number;
  readonly requestId: string;
  readonly text: string;
}

/** Sends the chat and reads until the stream ends or is interrupted. */
async function readChat(
  entry: number,
  options: {
    readonly headers?: Readonly<Record<string, string>>;
    readonly onText?: (text: string) => void;
  } = {},
): Promise<StreamPart> {
  const response = await undici.request(
    `http://${running.entries[entry]!.address}/v1/chat/completions`,
    {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-workspace": "drafting/milan",
        ...options.headers,
      },
      body: JSON.stringify(body),
    },
  );
  const status = response.statusCode;
  const requestId = String(response.headers["x-request-id"]);
  let text = "";
  try {
    for await (const chunk of response.body) {
      text += String(chunk);
      options.onText?.(text);
    }
  } catch {
    // The entry was killed; the text read so far is returned.
  }
  // Drops an incomplete event at the end of an interrupted stream.
  text = text.slice(0, text.lastIndexOf("\n\n") + 2);
  return { status, requestId, text };
}

function listIds(text: string): readonly string[] {
  return [...text.matchAll(/^id: (.*)$/gm)].map((match) => match[1]!);
}

function readTokens(text: string): readonly string[] {
  return [...text.matchAll(/^data: (\{.*)$/gm)]
    .map((match) => JSON.parse(match[1]!).choices?.[0]?.delta?.content ?? "")
    .filter((token) => token !== "");
}

async function waitForAnswer(): Promise<void> {
  for (let count = 0; count < 100; count += 1) {
    if ((await readChat(0)).status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

test("a stream resumes at another entry after the first entry is killed, but not for another workspace", async () => {
  await waitForAnswer();
  const first = await readChat(0, {
    onText(text) {
      if (listIds(text).length >= 4) running.entries[0]!.kill();
    },
  });
  const ids = listIds(first.text);
  expect(first.text).not.toContain("[DONE]");

  const second = await readChat(1, {
    headers: { "last-event-id": ids.at(-1)! },
  });
  expect(second.requestId).toBe(first.requestId);
  expect(second.text).toContain("[DONE]");
  const joined = first.text + second.text;
  expect(readTokens(joined)).toEqual(answer.generateTokens(body));

  // The agent still keeps the generated answer: a resume after the first event
  // delivers the same remaining stream, byte for byte.
  const again = await readChat(2, { headers: { "last-event-id": ids[0]! } });
  const firstEvent = first.text.slice(0, first.text.indexOf("\n\n") + 2);
  expect(firstEvent + again.text).toBe(joined);

  const foreign = await readChat(2, {
    headers: {
      "last-event-id": ids[0]!,
      "x-workspace": "drafting/padua",
    },
  });
  expect(foreign.text).not.toContain("[DONE]");
  expect(readTokens(foreign.text)).toEqual([]);
});
