/** Renders the settings reference from the schemas. */
import * as zod from "zod";
import * as objects from "../packages/anvilhinge/src/settings/objects.ts";
import * as process from "../packages/anvilhinge/src/settings/process.ts";

/** The subset of JSON Schema that zod generates for the schemas. */
interface Schema {
  readonly type?: string;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly description?: string;
  readonly properties?: Readonly<Record<string, Schema>>;
  readonly required?: readonly string[];
  readonly items?: Schema;
  readonly anyOf?: readonly Schema[];
  readonly oneOf?: readonly Schema[];
  readonly allOf?: readonly Schema[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
}

/** Bound that zod adds to each integer; not a bound of the schema. */
const largestInteger = Number.MAX_SAFE_INTEGER;

function describeBounds(schema: Schema): string {
  const { minimum, maximum, exclusiveMinimum, minItems, maxItems } = schema;
  const bounds = [
    exclusiveMinimum !== undefined && `above ${exclusiveMinimum}`,
    minimum !== undefined && minimum > -largestInteger && `from ${minimum}`,
    maximum !== undefined && maximum < largestInteger && `up to ${maximum}`,
    minItems !== undefined && `at least ${minItems}`,
    maxItems !== undefined && `at most ${maxItems}`,
  ].filter((bound) => bound !== false);
  return bounds.length === 0 ? "" : ` ${bounds.join(", ")}`;
}

function describeType(schema: Schema): string {
  if (schema.const !== undefined) return JSON.stringify(schema.const);
  if (schema.enum !== undefined) {
    return schema.enum.map((value) => JSON.stringify(value)).join(" or ");
  }
  if (schema.type === "array") {
    const item = schema.items === undefined ? "" : describeType(schema.items);
    return `list of ${item}${describeBounds(schema)}`;
  }
  const options = schema.anyOf ?? schema.oneOf;
  if (options !== undefined) {
    return [...new Set(options.map(describeType))].join(" or ");
  }
  return `${schema.type ?? "value"}${describeBounds(schema)}`;
}

/** Renders a line for each setting of the schema, including nested ones. */
function renderFields(schema: Schema, prefix: string): readonly string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    const isRequired = schema.required?.includes(name) ?? false;
    const presence = isRequired ? "required" : "optional";
    const text = field.description === undefined
      ? ""
      : `: ${field.description}.`;
    const line = `- \`${path}\` (${describeType(field)}; ${presence})${text}`;
    const nested = field.type === "array" ? field.items : field;
    const nextPrefix = field.type === "array" ? `${path}[].` : `${path}.`;
    return [line, ...nested ? renderFields(nested, nextPrefix) : []];
  });
}

function renderSchema(schema: zod.ZodType): string {
  const converted = zod.toJSONSchema(schema, { io: "input" }) as Schema;
  const variants = converted.oneOf ?? converted.anyOf;
  if (variants === undefined) return renderFields(converted, "").join("\n");
  return variants.map((variant) => {
    const kind = variant.properties?.kind?.const;
    return `With \`kind\` ${JSON.stringify(kind)}:\n\n${
      renderFields(variant, "").join("\n")
    }`;
  }).join("\n\n");
}

/** Renders the page as Markdown. */
export function renderReference(): string {
  const kinds = Object.entries(objects.objectSchemas).map(([kind, schema]) =>
    `## \`/<half>/<team>/${kind}/<name>\`\n\n${renderSchema(schema)}`
  );
  return [
    "# Settings",
    "Made from the schemas by `npm run reference`; changes go there.",
    ...kinds,
    `## Settings file of an entry\n\n${renderSchema(process.entrySchema)}`,
    `## Settings file of an agent\n\n${renderSchema(process.agentSchema)}`,
  ].join("\n\n") + "\n";
}
