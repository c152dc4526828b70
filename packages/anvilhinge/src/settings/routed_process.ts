/**
 * Settings of one entry or agent of services that requests reach by routes. The
 * process reads them from its settings file at startup, and again when it is
 * notified of a change. Uses `zod/mini` and none of the schemas in `names.ts`,
 * which load all of zod, to save memory.
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
    error: 'Expected an IP address and a port such as "127.0.0.1:7000"',
  }),
);
const milliseconds = zod.number().check(
  zod.gte(0, { error: "Expected milliseconds, 0 or more" }),
);

const bounds = zod.object({
  /** Time for which callers may cache an address answer. */
  addressAnswerTtlMs: milliseconds,
  /** Time from the stop request to the forced end of the process. */
  stopMs: milliseconds,
  /** Time within which all entries must stop accepting a revoked key. */
  revocationMs: milliseconds,
  /** Retries allowed per request to a service, over all instances. */
  retryShare: zod.number(),
  retryWindowMs: milliseconds,
  /** Retries allowed per window beyond `retryShare`, over all instances. */
  retryExtra: zod.number(),
});

const commonFields = {
  id: zod.string(),
  failureDomain: zod.string(),
  region: zod.string(),
  /** Address for datagrams from the other processes. */
  peers: hostPort,
  /** Addresses of up to three entries; their ports are not used. */
  seeds: zod.array(hostPort),
  /** Address of the platform's object store. */
  store: hostPort,
  /** True when the whole system starts for the first time. */
  isFirstStart: zod.boolean(),
  log: zod.object({
    level: zod.enum(["trace", "debug", "info", "warn", "error"]),
  }),
};

const entrySchema = zod.object({
  ...commonFields,
  /** Address that callers connect to. */
  callers: hostPort,
  /** Address of the readiness endpoint, which the platform polls. */
  readiness: hostPort,
  /** Address of the directory, where callers look up addresses of entries. */
  directory: hostPort,
  /** Address of the metrics endpoint. */
  metrics: hostPort,
  /** Processor time that the process may use; the largest entry is the hub. */
  processor: zod.optional(zod.object({
    /** Share of the time, from 0 to 1. */
    share: zod.number().check(zod.gte(0)),
    cores: zod.number().check(zod.gte(0)),
  })),
  bounds,
});

const agentSchema = zod.object({
  ...commonFields,
  /** Address of the upstream that the agent runs next to. */
  upstream: hostPort,
  /** Name of the service that the upstream belongs to. */
  service: zod.string(),
});

export type RoutedEntrySettings = zod.output<typeof entrySchema>;
export type RoutedAgentSettings = zod.output<typeof agentSchema>;

type Schema<Settings> = zod.ZodMiniType<Settings>;

/** Parses and checks a text; keys that are not in the schema are dropped. */
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
    const value = documentText.getValue(document.value, path);
    const description = documentText.describeIssue(issue, value);
    return documentText.createProblem(document, { file, path, ...description });
  });
  return { kind: "invalid", problems };
}

/** Parses and checks the text of an entry's settings file. */
export function resolveEntrySettings(
  text: string,
  options: documentText.DocumentOptions,
): documentText.CheckOutcome<RoutedEntrySettings> {
  return resolve(text, { ...options, schema: entrySchema });
}

/** Parses and checks the text of an agent's settings file. */
export function resolveAgentSettings(
  text: string,
  options: documentText.DocumentOptions,
): documentText.CheckOutcome<RoutedAgentSettings> {
  return resolve(text, { ...options, schema: agentSchema });
}
