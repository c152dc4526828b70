/** Chat completion answers in the OpenAI format, as sent on the wire. */
import * as answer from "./answer.ts";

/** Last event of an event stream. */
export const doneEvent = "data: [DONE]\n\n";

/** Returns the event that carries one token. */
export function renderToken(body: answer.ChatBody, text: string): string {
  return renderChunk(body, { delta: { content: text }, finish_reason: null });
}

/** Returns the event with the finish reason, which precedes `doneEvent`. */
export function renderFinish(body: answer.ChatBody): string {
  return renderChunk(body, { delta: {}, finish_reason: "stop" });
}

/** Returns the complete event stream of a request, byte for byte. */
export function renderStream(body: answer.ChatBody): string {
  const tokens = answer.generateTokens(body)
    .map((text) => renderToken(body, text));
  return [...tokens, renderFinish(body), doneEvent].join("");
}

/** Returns the complete answer to a request without `stream`, byte for byte. */
export function renderCompletion(body: answer.ChatBody): string {
  const tokens = answer.generateTokens(body);
  const promptTokens = answer.extractPromptTokens(body).length;
  const message = { role: "assistant", content: tokens.join("") };
  return JSON.stringify({
    ...composeCommonFields(body, "chat.completion"),
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
    ...composeCommonFields(body, "chat.completion.chunk"),
    choices: [{ index: 0, ...choice }],
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

function composeCommonFields(body: answer.ChatBody, object: string) {
  const seed = answer.computeSeed(body) >>> 0;
  const id = `chatcmpl-${seed.toString(16).padStart(8, "0")}`;
  return { id, object, created: 0, model: body.model };
}
