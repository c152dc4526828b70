/** The command `apply`: shows the difference, then writes under a condition. */
import * as objects from "../settings/objects.ts";
import * as client from "./client.ts";
import * as diff from "./diff.ts";
import * as outcome from "./outcome.ts";

export interface ApplyOptions {
  readonly client: client.Client;
  /** `/<half>/<team>/<kind>/<name>`. */
  readonly path: string;
  readonly file: string;
  readonly text: string;
  /** Version that the object must have; 0 = it must not exist. */
  readonly ifVersion?: number;
  readonly dryRun: boolean;
  /** Id by which the outcome of the change is looked up after a lost answer. */
  readonly changeId: string;
  readonly showDiff: (text: string) => void;
}

/** Stored object; version 0 and an empty text stand for an absent object. */
interface CurrentObject {
  readonly kind: "present";
  readonly version: number;
  readonly text: string;
}

type Failure = Exclude<client.RequestOutcome, client.EntryResponse>;

const absentObject: CurrentObject = { kind: "present", version: 0, text: "" };

/** Parses an entity tag such as `"12"`; undefined when it is not a version. */
export function parseVersion(etag: string | null): number | undefined {
  const digits = /^"([1-9]\d*)"$/.exec(etag ?? "")?.[1];
  return digits === undefined ? undefined : Number(digits);
}

/** Reads the current version and text of an object. */
async function readCurrentObject(
  { client, path }: ApplyOptions,
): Promise<CurrentObject | Failure> {
  const reply = await client.request(`/settings${path}`);
  if (reply.kind === "refused" && reply.status === 404) return absentObject;
  if (reply.kind !== "answered") return reply;
  const version = parseVersion(reply.etag);
  if (version === undefined) {
    const message = `The entry returned no version of ${path}`;
    return { kind: "unreachable", message };
  }
  return { kind: "present", version, text: reply.text };
}

function createCondition(version: number): Readonly<Record<string, string>> {
  return version === 0
    ? { "if-none-match": "*" }
    : { "if-match": `"${version}"` };
}

/** Looks up, once, the outcome of a change whose answer was lost. */
async function resolveLostAnswer(
  { client: entry, path, changeId }: ApplyOptions,
  lost: Failure & { readonly kind: "unknown" },
): Promise<outcome.CommandOutcome> {
  const query = new URLSearchParams({ path });
  const reply = await entry.request(`/changes/${changeId}?${query}`);
  const body = reply.kind === "answered" ? client.parseBody(reply.text) : {};
  const { outcome: result, version } = (body ?? {}) as {
    readonly outcome?: string;
    readonly version?: number;
  };
  if (result === "accepted") return createSuccess({ path, version, changeId });
  if (result === "not_accepted") {
    const message = `The change ${changeId} was not accepted. Apply it again`;
    return { kind: "refused", message };
  }
  const advice = `Look for the change ${changeId} in the history of ${path}`;
  return {
    kind: "unknown",
    message: `${lost.message}. ${advice}`,
    changeId: lost.changeId ?? changeId,
  };
}

function createSuccess(
  data: {
    readonly path: string;
    readonly version?: number;
    readonly changeId: string;
  },
): outcome.CommandOutcome {
  const text = `Accepted ${data.path} as version ${data.version ?? "unknown"}`;
  return { kind: "done", text, data };
}

async function writeObject(
  options: ApplyOptions,
  version: number,
): Promise<outcome.CommandOutcome> {
  const { client: entry, path, text, changeId } = options;
  const reply = await entry.request(`/settings${path}`, {
    method: "PUT",
    headers: { ...createCondition(version), "change-id": changeId },
    body: text,
  });
  if (reply.kind === "unknown") return resolveLostAnswer(options, reply);
  if (reply.kind !== "answered") return reply;
  const body = client.parseBody(reply.text) as { version?: number } | undefined;
  return createSuccess({ path, version: body?.version, changeId });
}

/** Applies one object; an invalid object is rejected before any request. */
export async function applyObject(
  options: ApplyOptions,
): Promise<outcome.CommandOutcome> {
  const { path, text, file, ifVersion, dryRun, showDiff } = options;
  const checked = objects.checkObject(path, text, { file });
  if (checked.kind === "invalid") {
    return outcome.createProblemOutcome(checked.problems);
  }
  const current = await readCurrentObject(options);
  if (current.kind !== "present") return current;
  const difference = diff.formatDiff(current.text, text);
  showDiff(difference === "" ? "No line differs" : difference);
  // The entry's copy may be older than the stored object, but never newer: only
  // a version above `ifVersion` proves a conflict.
  if (ifVersion !== undefined && current.version > ifVersion) {
    return {
      kind: "conflict",
      message: `${path} has version ${current.version}, not ${ifVersion}`,
      currentVersion: current.version,
    };
  }
  if (dryRun) {
    const data = { path, version: current.version, diff: difference };
    return { kind: "done", text: "Nothing was written", data };
  }
  return writeObject(options, ifVersion ?? current.version);
}
