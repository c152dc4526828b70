/** Parsing of JSON texts, and of streams with one value per line. */
import type * as zod from "zod";

/** Parses JSON; undefined if it is invalid or does not match the schema. */
export function parseJson<Value>(
  text: string,
  schema: zod.ZodType<Value>,
): { readonly value: Value } | undefined {
  try {
    const result = schema.safeParse(JSON.parse(text));
    return result.success ? { value: result.data } : undefined;
  } catch {
    return undefined;
  }
}

/** Yields the complete lines of a UTF-8 stream without their line feeds. */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let tail = "";
  for await (const chunk of chunks) {
    const lines = (tail + decoder.decode(chunk, { stream: true })).split("\n");
    tail = lines.pop() ?? "";
    yield* lines;
  }
}
