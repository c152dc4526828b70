/** HTTP client of the object store. */
import type * as undici from "undici";
import * as zod from "zod";
import type * as objectStore from "../ports/object_store.ts";
import * as httpClient from "./http_client.ts";
import * as jsonLines from "./json_lines.ts";

export interface HttpObjectStoreOptions {
  readonly baseUrl: string;
  /** Timeout of a call; for a watch, the timeout until it is open. */
  readonly timeoutMs: number;
  /** @default a new connection pool */
  readonly dispatcher?: undici.Dispatcher;
}

const objectSchema = zod.object({
  key: zod.string(),
  value: zod.unknown(),
  version: zod.number(),
});

const listSchema = zod.object({
  objects: zod.array(objectSchema),
  version: zod.number(),
});

const acceptedSchema = zod.object({ version: zod.number() });
const conflictSchema = zod.object({ current: objectSchema.optional() });

const eventSchema = zod.discriminatedUnion("kind", [
  zod.object({ kind: zod.literal("changed"), object: objectSchema }),
  zod.object({
    kind: zod.literal("removed"),
    key: zod.string(),
    version: zod.number(),
  }),
  zod.object({ kind: zod.literal("closed"), message: zod.string() }),
]);

interface Call {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

type Answer =
  | {
    readonly kind: "answered";
    readonly status: number;
    /** Value of the `ETag` header; empty if it is missing. */
    readonly tag: string;
    readonly text: string;
  }
  /** The connection was refused, so nothing was sent. */
  | { readonly kind: "refused"; readonly message: string }
  /** The call was sent at least in part, but no complete answer arrived. */
  | { readonly kind: "lost"; readonly message: string };

type Send = (call: Call) => Promise<Answer>;

/** Creates a client; writes that time out or are interrupted are `unknown`. */
export function createHttpObjectStore(
  options: HttpObjectStoreOptions,
): objectStore.ObjectStore {
  const dispatcher = options.dispatcher ?? httpClient.createDispatcher();
  const target = httpClient.parseTarget(options.baseUrl);
  const connection = { dispatcher, target, timeoutMs: options.timeoutMs };
  const send: Send = (call) => sendCall(call, connection);
  return {
    read: (key) => read(key, send),
    list: (prefix) => list(prefix, send),
    async write(key, value, { ifVersion }) {
      const condition: Readonly<Record<string, string>> = ifVersion === 0
        ? { "if-none-match": "*" }
        : { "if-match": `"${ifVersion}"` };
      const headers = { "content-type": "application/json", ...condition };
      const body = JSON.stringify(value);
      const path = composePath(key);
      return convertWrite(await send({ method: "PUT", path, headers, body }));
    },
    async remove(key, { ifVersion }) {
      const headers = { "if-match": `"${ifVersion}"` };
      const path = composePath(key);
      return convertWrite(await send({ method: "DELETE", path, headers }));
    },
    watch: (prefix, watchOptions) =>
      void followWatch(prefix, { ...watchOptions, ...connection }),
  };
}

interface Connection {
  readonly dispatcher: undici.Dispatcher;
  readonly target: httpClient.Target;
  readonly timeoutMs: number;
}

function composePath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

async function sendCall(
  { method, path, headers = {}, body }: Call,
  { dispatcher, target, timeoutMs }: Connection,
): Promise<Answer> {
  try {
    const response = await dispatcher.request({
      origin: target.origin,
      path: target.basePath + path,
      method,
      headers: { ...headers },
      body: body ?? null,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await response.body.text();
    const tag = String(response.headers.etag ?? "");
    return { kind: "answered", status: response.statusCode, tag, text };
  } catch (error) {
    const kind = httpClient.isConnectionRefused(error) ? "refused" : "lost";
    const reason = httpClient.describeError(error);
    return { kind, message: `${method} ${path} failed: ${reason}` };
  }
}

async function read(
  key: string,
  send: Send,
): Promise<objectStore.ReadOutcome> {
  const answer = await send({ method: "GET", path: composePath(key) });
  if (answer.kind !== "answered") return buildUnavailable(answer.message);
  if (answer.status === 404) return { kind: "missing" };
  const version = Number(/^"(\d+)"$/.exec(answer.tag)?.[1] ?? 0);
  const parsed = jsonLines.parseJson(answer.text, zod.unknown());
  if (answer.status !== 200 || version === 0 || parsed === undefined) {
    return buildUnavailable(describeAnswer(answer));
  }
  return { kind: "found", object: { key, value: parsed.value, version } };
}

async function list(
  prefix: string,
  send: Send,
): Promise<objectStore.ListOutcome> {
  const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
  const answer = await send({ method: "GET", path });
  if (answer.kind !== "answered") return buildUnavailable(answer.message);
  const parsed = jsonLines.parseJson(answer.text, listSchema);
  if (answer.status !== 200 || parsed === undefined) {
    return buildUnavailable(describeAnswer(answer));
  }
  return { kind: "listed", ...parsed.value };
}

/**
 * A client error or 503 means that the API refused the write before any effect.
 * After any other server error it is unknown whether the write took effect.
 */
function convertWrite(answer: Answer): objectStore.WriteOutcome {
  if (answer.kind === "refused") return buildUnavailable(answer.message);
  if (answer.kind === "lost") {
    return { kind: "unknown", message: answer.message };
  }
  const message = describeAnswer(answer);
  if (answer.status === 200) {
    const accepted = jsonLines.parseJson(answer.text, acceptedSchema);
    if (accepted === undefined) return { kind: "unknown", message };
    return { kind: "accepted", version: accepted.value.version };
  }
  if (answer.status === 412) {
    const conflict = jsonLines.parseJson(answer.text, conflictSchema);
    return { kind: "conflict", current: conflict?.value.current };
  }
  const isRefusal = answer.status === 503 ||
    (answer.status >= 400 && answer.status < 500);
  return isRefusal ? buildUnavailable(message) : { kind: "unknown", message };
}

function buildUnavailable(message: string): objectStore.Unavailable {
  return { kind: "unavailable", message };
}

function describeAnswer(
  { status, text }: Extract<Answer, { readonly kind: "answered" }>,
): string {
  return `Object API answered ${status}: ${text.slice(0, 200)}`;
}

async function followWatch(
  prefix: string,
  watch: objectStore.WatchOptions & Connection,
): Promise<void> {
  const { dispatcher, target, signal, sinceVersion, onEvent } = watch;
  const query = `prefix=${encodeURIComponent(prefix)}&since=${sinceVersion}`;
  const close = (message: string) => {
    if (!signal.aborted) onEvent({ kind: "closed", message });
  };
  try {
    const response = await dispatcher.request({
      origin: target.origin,
      path: `${target.basePath}/watch?${query}`,
      method: "GET",
      headersTimeout: watch.timeoutMs,
      bodyTimeout: 0,
      signal,
    });
    if (response.statusCode !== 200) {
      const text = await response.body.text();
      return close(
        describeAnswer({
          kind: "answered",
          status: response.statusCode,
          tag: "",
          text,
        }),
      );
    }
    for await (const line of jsonLines.readLines(response.body)) {
      if (signal.aborted) return;
      const parsed = jsonLines.parseJson(line, eventSchema);
      if (parsed === undefined) return close(`Invalid watch event: ${line}`);
      if (parsed.value.kind === "closed") return close(parsed.value.message);
      onEvent(parsed.value);
    }
    close("The object API ended the watch");
  } catch (error) {
    close(`Watch failed: ${httpClient.describeError(error)}`);
  }
}
