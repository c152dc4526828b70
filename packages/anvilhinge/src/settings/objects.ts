/** Settings objects, which operators store under paths, and their schemas. */
import * as zod from "zod";
import * as document from "./document.ts";
import * as names from "./names.ts";
import * as objectPath from "./object_path.ts";

export type { PathOutcome, SettingsPath } from "./object_path.ts";
export { formatSettingsPath, parseSettingsPath } from "./object_path.ts";

/** Maximum number of ranks of a group. */
const maxRanks = 128;
const defaultTimeoutMs = 30_000;
const leastUrgentPriority = 9;
const defaultPriority = 4;

/**
 * Default weight of step-time skew against rebalancing cost. The association
 * weighs rebalancing cost more heavily, the water board step-time skew.
 */
export const defaultSkewWeights: Readonly<Record<names.Half, number>> = {
  association: 0.25,
  water_board: 0.75,
};

const methods = [
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
  "POST",
  "PATCH",
] as const;

const limits = zod.strictObject({
  requestsPerSecond: zod.number().positive().describe(
    "Maximum number of requests admitted per second",
  ),
  tokensPerSecond: zod.number().positive().describe(
    "Maximum number of tokens generated per second",
  ),
  concurrency: zod.int().positive().describe(
    "Maximum number of requests in progress at a time",
  ),
}).readonly();

const workspace = zod.strictObject({
  models: zod.array(names.name).readonly().default([]).describe(
    "Models that callers may use. Default: none",
  ),
  services: zod.array(names.name).readonly().default([]).describe(
    "Services that callers may use. Default: none",
  ),
  limits: limits.describe("Limits on the workspace's total over all entries"),
  priority: zod.int().min(0).max(leastUrgentPriority).default(defaultPriority)
    .describe("0 is the most urgent, 9 the least. Default: 4"),
  weight: zod.number().positive().default(1).describe(
    "Relative share under overload among workspaces of equal priority. Default: 1",
  ),
}).readonly();

const service = zod.strictObject({
  repeatableMethods: zod.array(zod.enum(methods)).readonly()
    .default(["GET", "HEAD", "OPTIONS"]).describe(
      "Methods whose calls are idempotent. Default: GET, HEAD, OPTIONS",
    ),
  notRepeatable: zod.array(
    zod.strictObject({
      method: zod.enum(methods),
      pathPrefix: zod.string().startsWith("/", "Expected a leading slash"),
    }).readonly(),
  ).readonly().default([]).describe(
    "Calls that are not idempotent although their method is. Default: none",
  ),
  timeoutMs: zod.int().positive().default(defaultTimeoutMs).describe(
    "Deadline of a call in milliseconds. Default: 30000",
  ),
}).readonly();

const ranks = zod.array(
  zod.strictObject({
    agent: names.hostPort.describe("Address of the rank's agent"),
    failureDomain: names.name.describe("Failure domain of the rank"),
    region: names.name.describe("Region of the failure domain"),
  }).readonly(),
).min(1).max(maxRanks).readonly().describe("Upstreams, ordered by rank");

const modelGroup = zod.strictObject({
  kind: zod.literal("model"),
  model: names.name.describe("Model that the group serves"),
  ranks,
  expertSlotsPerRank: zod.int().positive().describe(
    "Number of experts that one rank holds in each layer",
  ),
  layers: zod.int().positive().describe("Number of layers with experts"),
  experts: zod.int().positive().describe("Number of experts in each layer"),
}).refine(
  (group) => group.ranks.length * group.expertSlotsPerRank >= group.experts,
  {
    path: ["expertSlotsPerRank"],
    message:
      "The ranks together have fewer expert slots than a layer has experts",
  },
);

const serviceGroup = zod.strictObject({
  kind: zod.literal("service"),
  service: names.name.describe("Service that the group serves"),
  ranks: ranks.refine(
    (list) => list.length === 1,
    'A group of kind "service" must have exactly one rank',
  ),
});

const group = zod.discriminatedUnion("kind", [modelGroup, serviceGroup])
  .readonly();

const model = zod.strictObject({
  maxTokens: zod.int().positive().describe(
    "Maximum number of tokens of one answer",
  ),
  contextTokens: zod.int().positive().optional().describe(
    "Maximum number of tokens of prompt and answer together. Default: unlimited",
  ),
  timeoutMs: zod.int().positive().default(defaultTimeoutMs).describe(
    "Deadline of a request that does not set one, in milliseconds. Default: 30000",
  ),
}).readonly();

function createWeightsSchema(half: names.Half) {
  return zod.strictObject({
    skewWeight: zod.number().min(0).max(1).default(defaultSkewWeights[half])
      .describe(
        "Weight of step-time skew against rebalancing cost: 0 considers only rebalancing cost, 1 only step-time skew. " +
          "Default: 0.25 for association, 0.75 for water_board",
      ),
  }).readonly();
}

const weights = {
  association: createWeightsSchema("association"),
  water_board: createWeightsSchema("water_board"),
} as const;

/**
 * Schemas of settings objects by kind. The schemas of weights differ between
 * the halves only in a default; this is the association's.
 */
export const objectSchemas: Readonly<
  Record<objectPath.ObjectKind, zod.ZodType>
> = {
  workspaces: workspace,
  services: service,
  groups: group,
  models: model,
  weights: weights.association,
};

export type Workspace = zod.output<typeof workspace>;
export type Service = zod.output<typeof service>;
export type Group = zod.output<typeof group>;
export type Model = zod.output<typeof model>;
export type Weights = zod.output<ReturnType<typeof createWeightsSchema>>;

/** Content of a settings object, by its kind. */
export type ObjectContent =
  | { readonly kind: "workspaces"; readonly value: Workspace }
  | { readonly kind: "services"; readonly value: Service }
  | { readonly kind: "groups"; readonly value: Group }
  | { readonly kind: "models"; readonly value: Model }
  | { readonly kind: "weights"; readonly value: Weights };

/** Valid settings object with the document that it was parsed from. */
export interface SettingsObject {
  readonly path: objectPath.SettingsPath;
  readonly content: ObjectContent;
  readonly file: string;
  readonly document: document.Document;
}

export type ObjectOutcome = document.CheckOutcome<SettingsObject>;

/** Source of a settings object. */
export interface ObjectSource {
  /** `/<half>/<team>/<kind>/<name>`. */
  readonly path: string;
  readonly text: string;
  /** File name shown in problems; by default the path. */
  readonly file?: string;
}

function selectSchema(path: objectPath.SettingsPath): zod.ZodType {
  return path.kind === "weights"
    ? weights[path.half]
    : objectSchemas[path.kind];
}

/** Checks one settings object; `checkSubtree` checks its references. */
export function checkObject(
  path: string,
  text: string,
  { file = path }: Partial<document.DocumentOptions> = {},
): ObjectOutcome {
  const parsedPath = objectPath.parseSettingsPath(path);
  if (parsedPath.kind === "refused") {
    const { message } = parsedPath;
    const problem = { file, line: 1, column: 1, path: "", message, hint: "" };
    return { kind: "invalid", problems: [problem] };
  }
  const parsed = document.parseDocument(text, { file });
  if (parsed.kind === "invalid") return parsed;
  const schema = selectSchema(parsedPath.path);
  const checked = document.checkDocument(parsed.document, { file, schema });
  if (checked.kind === "invalid") return checked;
  const content = {
    kind: parsedPath.path.kind,
    value: checked.settings,
  } as ObjectContent;
  const settings = {
    path: parsedPath.path,
    content,
    file,
    document: parsed.document,
  };
  return { kind: "valid", settings };
}
