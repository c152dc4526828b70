/** JSON that arrives as text: whole, or one value a line. */
import type * as zod from "zod";

/** Returns nothing when the text is not JSON or does not fit the schema. */
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

/** Yields the complete lines of a stream of UTF-8 without their line ends. */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of chunks) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
    rest = lines.pop() ?? "";
    yield* lines;
  }
}
