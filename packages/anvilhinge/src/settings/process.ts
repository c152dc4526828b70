/**
 * Settings of one process: what an entry or an agent reads from its file at
 * the start. All addresses are IP numbers.
 */
import * as zod from "zod";
import * as document from "./document.ts";
import * as names from "./names.ts";
import * as objectPath from "./object_path.ts";

const defaultAddressAnswerTtlMs = 5_000;
const maxAddressAnswerTtlMs = 60_000;
const defaultRequestBodyLimitBytes = 4 * 1024 * 1024;
const maxRequestBodyLimitBytes = 64 * 1024 * 1024;
const maxRanks = 128;

const address = zod.strictObject({
  host: names.host.describe("IP number to listen on and to be reached at"),
  port: names.port.describe("TCP port"),
}).readonly();

const platform = zod.strictObject({
  objectStore: names.httpUrl.describe("Base URL of the object API"),
  instanceList: names.httpUrl.describe("Base URL of the instance list"),
}).readonly();

const tracing = zod.strictObject({
  exporter: zod.enum(["none", "console", "otlp"]).default("none").describe(
    'Where spans go. Default: "none"',
  ),
  endpoint: names.httpUrl.optional().describe(
    "URL of the OTLP collector; required by the exporter otlp",
  ),
}).refine(
  (value) => value.exporter !== "otlp" || value.endpoint !== undefined,
  { path: ["endpoint"], message: "The exporter otlp needs an endpoint" },
).readonly();

const log = zod.strictObject({
  level: zod.enum(["trace", "debug", "info", "warn", "error"]).default("info")
    .describe('Least level that is written. Default: "info"'),
}).readonly();

const operator = zod.strictObject({
  name: names.name.describe("Name that the history of changes shows"),
  tokenSha256: zod.string().regex(
    /^[0-9a-f]{64}$/,
    "Expected a SHA-256 digest of 64 lower-case hexadecimal digits",
  ).describe("SHA-256 digest of the bearer token"),
  subtrees: zod.array(
    zod.string().refine(
      objectPath.isSubtree,
      'Expected a subtree such as "/association/drafting"',
    ),
  ).min(1).readonly().describe("Subtrees that the operator may change"),
}).readonly();

/** Schema of an entry's settings file. */
export const entrySchema = zod.strictObject({
  id: names.name.describe("Id of the instance, unique in the system"),
  half: names.half.describe("Half that runs the instance"),
  address: address.describe("Address for callers and operators"),
  controlAddress: address.describe("Address for agents and other entries"),
  failureDomain: names.name.describe("Failure domain of the instance"),
  region: names.name.describe("Region of the failure domain"),
  platform: platform.describe("Services of the platform"),
  addressAnswerTtlMs: zod.int().min(100).max(maxAddressAnswerTtlMs)
    .default(defaultAddressAnswerTtlMs).describe(
      "How long callers keep an address answer, in milliseconds. Default: 5000",
    ),
  requestBodyLimitBytes: zod.int().min(1).max(maxRequestBodyLimitBytes)
    .default(defaultRequestBodyLimitBytes).describe(
      "Largest request body in bytes. Default: 4194304",
    ),
  tracing: tracing.prefault({}).describe("Traces. Default: none"),
  log: log.prefault({}).describe("Logs"),
  operators: zod.array(operator).readonly().default([]).describe(
    "Who may change settings. Default: nobody",
  ),
}).readonly();

/** Schema of an agent's settings file. */
export const agentSchema = zod.strictObject({
  id: names.name.describe("Id of the instance, unique in the system"),
  group: names.name.describe("Group that the upstream belongs to"),
  rank: zod.int().min(0).max(maxRanks - 1).describe("Rank inside the group"),
  address: address.describe("Address for entries"),
  failureDomain: names.name.describe("Failure domain of the instance"),
  region: names.name.describe("Region of the failure domain"),
  entries: zod.array(names.hostPort).min(1).readonly().describe(
    "Control addresses of entries to connect to first",
  ),
  platform: platform.describe("Services of the platform"),
  engine: zod.strictObject({
    url: names.httpUrl.describe("Base URL of the engine or plain service"),
    kind: zod.enum(["model", "service"]).describe("What stands behind the URL"),
    checksFencing: zod.boolean().default(false).describe(
      "Whether the engine refuses lower fencing numbers. Default: false",
    ),
  }).readonly().describe("Process that the agent stands beside"),
  tracing: tracing.prefault({}).describe("Traces. Default: none"),
  log: log.prefault({}).describe("Logs"),
}).readonly();

export type EntrySettings = zod.output<typeof entrySchema>;
export type AgentSettings = zod.output<typeof agentSchema>;
export type TracingSettings = EntrySettings["tracing"];
export type LogLevel = EntrySettings["log"]["level"];

/** Resolves the text of an entry's settings file, with defaults filled in. */
export function resolveEntrySettings(
  text: string,
  options: document.DocumentOptions,
): document.CheckOutcome<EntrySettings> {
  return document.checkText(text, { ...options, schema: entrySchema });
}

/** Resolves the text of an agent's settings file, with defaults filled in. */
export function resolveAgentSettings(
  text: string,
  options: document.DocumentOptions,
): document.CheckOutcome<AgentSettings> {
  return document.checkText(text, { ...options, schema: agentSchema });
}
