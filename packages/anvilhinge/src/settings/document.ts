/** Checks settings documents against a schema. */
import type * as zod from "zod";
import * as documentText from "./document_text.ts";
import * as knownKeys from "./known_keys.ts";

export * from "./document_text.ts";

export interface CheckOptions<Schema extends zod.ZodType>
  extends documentText.DocumentOptions {
  readonly schema: Schema;
}

function listUnknownKeys(
  document: documentText.Document,
  { issue, file, schema }: CheckOptions<zod.ZodType> & {
    readonly issue: zod.core.$ZodIssueUnrecognizedKeys;
  },
): readonly documentText.Problem[] {
  const path = issue.path as documentText.DocumentPath;
  const schemaKeys = knownKeys.listKnownKeys(schema, {
    path,
    value: document.value,
  });
  return issue.keys.map((key) => ({
    file,
    ...document.locateKey(path, key),
    path: documentText.formatPath([...path, key]),
    message: `Unknown key "${key}"`,
    hint: documentText.formatNameHint(key, schemaKeys),
  }));
}

/** Checks a parsed document against a schema. */
export function checkDocument<Schema extends zod.ZodType>(
  document: documentText.Document,
  { file, schema }: CheckOptions<Schema>,
): documentText.CheckOutcome<zod.output<Schema>> {
  const result = schema.safeParse(document.value);
  if (result.success) return { kind: "valid", settings: result.data };
  const problems = result.error.issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      return listUnknownKeys(document, { issue, file, schema });
    }
    const path = issue.path as documentText.DocumentPath;
    const description = documentText.describeIssue(
      issue,
      documentText.getValue(document.value, path),
    );
    return [
      documentText.createProblem(document, { file, path, ...description }),
    ];
  });
  return { kind: "invalid", problems };
}

/** Parses a settings document and checks it against a schema. */
export function checkText<Schema extends zod.ZodType>(
  text: string,
  options: CheckOptions<Schema>,
): documentText.CheckOutcome<zod.output<Schema>> {
  const parsed = documentText.parseDocument(text, options);
  if (parsed.kind === "invalid") return parsed;
  return checkDocument(parsed.document, options);
}
