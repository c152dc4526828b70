/**
 * Settings of one process before routed services: what an entry reads from its
 * file at the start and again when it is told that the file changed.
 */
import * as zod from "zod/mini";
import * as documentText from "./document_text.ts";

const maxPort = 65535;

function isHostPort(text: string): boolean {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(
    text,
  );
  if (match === null) return false;
  const numbers = match.slice(1).map(Number);
  return numbers.slice(0, 4).every((part) => part <= 255) &&
    (numbers[4] as number) <= maxPort;
}

const hostPort = zod.string().check(
  zod.refine(isHostPort, {
    error: 'Expected an IP number and a port such as "127.0.0.1:7000"',
  }),
);
const milliseconds = zod.number().check(
  zod.gte(0, { error: "Expected milliseconds, 0 or more" }),
);

const bounds = zod.object({
  /** Longest time that callers keep an address answer. */
  addressAnswerTtlMs: milliseconds,
  /** Time from the request to stop to the forced end. */
  stopMs: milliseconds,
  /** Time within which a key that was taken away must stop everywhere. */
  revocationMs: milliseconds,
  /** Retries for each request to a service, over all instances. */
  retryShare: zod.number(),
  retryWindowMs: milliseconds,
  /** Retries in a window besides the share, over all instances. */
  retryExtra: zod.number(),
});

const shared = {
  id: zod.string(),
  failureDomain: zod.string(),
  region: zod.string(),
  /** Address for datagrams of the other processes. */
  peers: hostPort,
  /** Addresses of up to three entries; the port is not used. */
  seeds: zod.array(hostPort),
  /** Address of the platform's store. */
  store: hostPort,
  /** True when the whole system starts for the first time. */
  isFirstStart: zod.boolean(),
  log: zod.object({
    level: zod.enum(["trace", "debug", "info", "warn", "error"]),
  }),
};

const entrySchema = zod.object({
  ...shared,
  /** Address for callers. */
  callers: hostPort,
  /** Address at which the platform asks whether the entry is ready. */
  readiness: hostPort,
  /** Address for callers that ask where to connect. */
  directory: hostPort,
  /** Address at which the process shows its metrics. */
  metrics: hostPort,
  bounds,
});

const agentSchema = zod.object({
  ...shared,
  /** Address of the upstream beside which the agent runs. */
  upstream: hostPort,
  /** Name of the service that the upstream belongs to. */
  service: zod.string(),
});

export type RoutedEntrySettings = zod.output<typeof entrySchema>;
export type RoutedAgentSettings = zod.output<typeof agentSchema>;

type Schema<Settings> = zod.ZodMiniType<Settings>;

/** Resolves a text; keys that the schema doesn't know are left out. */
function resolve<Settings>(
  text: string,
  { file, schema }: documentText.DocumentOptions & {
    readonly schema: Schema<Settings>;
  },
): documentText.CheckOutcome<Settings> {
  const parsed = documentText.parseDocument(text, { file });
  if (parsed.kind === "invalid") return parsed;
  const { document } = parsed;
  const checked = schema.safeParse(document.value);
  if (checked.success) return { kind: "valid", settings: checked.data };
  const problems = checked.error.issues.map((issue) => {
    const path = issue.path as documentText.DocumentPath;
    const found = documentText.getValue(document.value, path);
    const description = documentText.describeIssue(issue, found);
    return documentText.createProblem(document, { file, path, ...description });
  });
  return { kind: "invalid", problems };
}

/** Resolves the text of an entry's settings file. */
export function resolveEntrySettings(
  text: string,
  options: documentText.DocumentOptions,
): documentText.CheckOutcome<RoutedEntrySettings> {
  return resolve(text, { ...options, schema: entrySchema });
}

/** Resolves the text of an agent's settings file. */
export function resolveAgentSettings(
  text: string,
  options: documentText.DocumentOptions,
): documentText.CheckOutcome<RoutedAgentSettings> {
  return resolve(text, { ...options, schema: agentSchema });
}
