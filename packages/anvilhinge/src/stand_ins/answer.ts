/** Answers of the model engine stand-in: a pure function of the request. */
import * as crypto from "node:crypto";
import * as random from "@anvilhinge/coordination/random";
import * as zod from "zod";

const minAnswerTokens = 8;
const maxAnswerTokens = 64;

const vocabulary = [
  "valve",
  "sheet",
  "layer",
  "pipe",
  "depth",
  "revision",
  "outlet",
  "chamber",
  "slope",
  "diameter",
  "level",
  "note",
  "north",
  "main",
  "joint",
  "scale",
] as const;

const bodySchema = zod.object({
  model: zod.string(),
  messages: zod.array(zod.object({
    role: zod.string(),
    content: zod.string(),
  })),
  stream: zod.boolean().optional(),
  max_tokens: zod.int().positive().optional(),
});

/** Fields of a chat completion request that the stand-in reads. */
export type ChatBody = Readonly<zod.infer<typeof bodySchema>>;

export type ParseOutcome =
  | { readonly kind: "parsed"; readonly body: ChatBody }
  | { readonly kind: "invalid"; readonly message: string };

/** Validates the JSON value of a request body. */
export function parseBody(value: unknown): ParseOutcome {
  const result = bodySchema.safeParse(value);
  if (result.success) return { kind: "parsed", body: result.data };
  return { kind: "invalid", message: zod.prettifyError(result.error) };
}

/** Returns a seed that depends only on the model and the messages. */
export function computeSeed(body: ChatBody): number {
  const messages = body.messages.map(({ role, content }) => [role, content]);
  const text = JSON.stringify([body.model, messages]);
  return crypto.createHash("sha256").update(text).digest().readInt32LE(0);
}

/**
 * Returns the tokens of the complete answer: 8 to 64 tokens that depend only
 * on the model and the messages, truncated to `max_tokens` when it is set.
 */
export function generateTokens(body: ChatBody): string[] {
  const drawRandom = random.createRandomSource(computeSeed(body));
  const lengthRange = maxAnswerTokens - minAnswerTokens + 1;
  const drawnLength = minAnswerTokens + Math.floor(drawRandom() * lengthRange);
  const count = Math.min(drawnLength, body.max_tokens ?? drawnLength);
  return Array.from({ length: count }, (_value, index) => {
    const word = vocabulary[Math.floor(drawRandom() * vocabulary.length)];
    return index === 0 ? `${word}` : ` ${word}`;
  });
}

/** Splits each message into prompt tokens: its role, then its words. */
export function extractPromptTokens(body: ChatBody): string[] {
  return body.messages.flatMap(({ role, content }) => [
    `<${role}>`,
    ...content.split(/\s+/).filter((word) => word !== ""),
  ]);
}
