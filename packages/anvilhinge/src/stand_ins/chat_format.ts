/** Chat completion answers in the OpenAI form, as text of the wire. */
import * as answer from "./answer.ts";

/** Last line of an event stream. */
export const doneEvent = "data: [DONE]\n\n";

/** Returns the event of one token. */
export function renderToken(body: answer.ChatBody, text: string): string {
  return renderChunk(body, { delta: { content: text }, finish_reason: null });
}

/** Returns the event that ends the answer, without `doneEvent`. */
export function renderFinish(body: answer.ChatBody): string {
  return renderChunk(body, { delta: {}, finish_reason: "stop" });
}

/** Returns the whole event stream of a request, byte for byte. */
export function renderStream(body: answer.ChatBody): string {
  const tokens = answer.generateTokens(body)
    .map((text) => renderToken(body, text));
  return [...tokens, renderFinish(body), doneEvent].join("");
}

/** Returns the whole answer of a request without `stream`, byte for byte. */
export function renderCompletion(body: answer.ChatBody): string {
  const tokens = answer.generateTokens(body);
  const promptTokens = answer.extractPromptTokens(body).length;
  const message = { role: "assistant", content: tokens.join("") };
  return JSON.stringify({
    ...describeHead(body, "chat.completion"),
    choices: [{ index: 0, message, finish_reason: "stop" }],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: tokens.length,
      total_tokens: promptTokens + tokens.length,
    },
  });
}

interface Choice {
  readonly delta: { readonly content?: string };
  readonly finish_reason: "stop" | null;
}

function renderChunk(body: answer.ChatBody, choice: Choice): string {
  const chunk = {
    ...describeHead(body, "chat.completion.chunk"),
    choices: [{ index: 0, ...choice }],
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

function describeHead(body: answer.ChatBody, object: string) {
  const seed = answer.computeSeed(body) >>> 0;
  const id = `chatcmpl-${seed.toString(16).padStart(8, "0")}`;
  return { id, object, created: 0, model: body.model };
}
