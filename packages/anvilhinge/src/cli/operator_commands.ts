/** Commands that read from an entry or request an operation from it. */
import * as names from "../settings/names.ts";
import * as objectPath from "../settings/object_path.ts";
import * as apply from "./apply.ts";
import * as client from "./client.ts";
import type * as outcome from "./outcome.ts";

type ConvertResponse = (
  response: client.EntryResponse,
) => outcome.CommandOutcome;

function formatData(data: unknown): string {
  return JSON.stringify(data, null, 2);
}

function convertJson({ text }: client.EntryResponse): outcome.CommandOutcome {
  const data = client.parseBody(text);
  if (data !== undefined) {
    return { kind: "done", text: formatData(data), data };
  }
  return { kind: "unreachable", message: "The entry's response is not JSON" };
}

async function requestOutcome(
  entry: client.Client,
  { path, convert = convertJson, ...options }: client.RequestOptions & {
    readonly path: string;
    readonly convert?: ConvertResponse;
  },
): Promise<outcome.CommandOutcome> {
  const reply = await entry.request(path, options);
  return reply.kind === "answered" ? convert(reply) : reply;
}

/** Sends an order as JSON; the response is shown unchanged. */
function sendOrder(
  entry: client.Client,
  { path, order }: { readonly path: string; readonly order: object },
): Promise<outcome.CommandOutcome> {
  return requestOutcome(entry, {
    path,
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(order),
  });
}

function checkPath(path: string): outcome.CommandOutcome | undefined {
  const parsed = objectPath.parseSettingsPath(path);
  if (parsed.kind === "parsed") return undefined;
  return { kind: "usage", message: parsed.message };
}

function isPrefix(path: string): boolean {
  if (!path.startsWith("/") || !path.endsWith("/")) return false;
  return path.slice(1, -1).split("/").every(names.isName);
}

/** Gets one object, or lists the objects of a prefix that ends in a slash. */
export async function getSettings(
  entry: client.Client,
  path: string,
): Promise<outcome.CommandOutcome> {
  if (isPrefix(path)) {
    return await requestOutcome(entry, { path: `/settings${path}` });
  }
  const usageError = checkPath(path);
  if (usageError !== undefined) return usageError;
  return await requestOutcome(entry, {
    path: `/settings${path}`,
    convert({ etag, text }) {
      const version = apply.parseVersion(etag);
      return { kind: "done", text, data: { path, version, text } };
    },
  });
}

/** Lists the changes of one object. */
export async function listHistory(
  entry: client.Client,
  path: string,
): Promise<outcome.CommandOutcome> {
  const usageError = checkPath(path);
  if (usageError !== undefined) return usageError;
  return await requestOutcome(entry, { path: `/settings${path}?history` });
}

/** Requests the handover of a group to the other half. */
export function moveGroup(
  entry: client.Client,
  order: { readonly group: string; readonly to: string },
): Promise<outcome.CommandOutcome> {
  return sendOrder(entry, { path: "/moves", order });
}

/** Requests the graceful shutdown of an instance. */
export function drainInstance(
  entry: client.Client,
  instance: string,
): Promise<outcome.CommandOutcome> {
  return sendOrder(entry, { path: "/drains", order: { instance } });
}

/** Shows the status of the system as seen by the entry. */
export function showStatus(
  entry: client.Client,
  { maps }: { readonly maps: boolean },
): Promise<outcome.CommandOutcome> {
  return requestOutcome(entry, { path: maps ? "/status?maps" : "/status" });
}
