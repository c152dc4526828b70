/** Selects the end-to-end headers of a message and adds `Content-Length`. */

export type HeaderPair = readonly [name: string, value: string];

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Lists the header names that `Connection` declares as hop-by-hop. */
function listConnectionOptions(raw: readonly string[]): ReadonlySet<string> {
  const declared = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if ((raw[index] as string).toLowerCase() !== "connection") continue;
    for (const name of (raw[index + 1] as string).split(",")) {
      declared.add(name.trim().toLowerCase());
    }
  }
  return declared;
}

/** Lists the end-to-end headers; `raw` alternates names and values. */
export function listEndToEndHeaders(
  raw: readonly string[],
): readonly HeaderPair[] {
  const declared = listConnectionOptions(raw);
  const kept: HeaderPair[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] as string;
    const lower = name.toLowerCase();
    if (hopByHopHeaders.has(lower) || declared.has(lower)) continue;
    kept.push([name, raw[index + 1] as string]);
  }
  return kept;
}

const bodylessMethods: readonly string[] = ["GET", "HEAD", "DELETE"];

/** Returns the `Content-Length` header if the request needs and lacks it. */
export function buildContentLengthHeaders(
  request: {
    readonly method: string;
    readonly headers: readonly HeaderPair[];
    readonly body: Uint8Array;
  },
): readonly HeaderPair[] {
  const { method, headers, body } = request;
  const hasLength = headers.some(([name]) =>
    name.toLowerCase() === "content-length"
  );
  if (hasLength) return [];
  const isBodyless = body.byteLength === 0 && bodylessMethods.includes(method);
  return isBodyless ? [] : [["Content-Length", String(body.byteLength)]];
}
