/** Lists the keys that a schema defines at a path, for hints on unknown keys. */
import * as zod from "zod";

type Key = string | number;

function selectOption(
  schema: zod.ZodDiscriminatedUnion,
  value: unknown,
): zod.core.$ZodType | undefined {
  const { discriminator } = schema.def;
  const tag = (value as Record<string, unknown> | undefined)?.[discriminator];
  return schema.options.find((option) =>
    option instanceof zod.ZodObject &&
    option.shape[discriminator]?.safeParse(tag).success
  );
}

function resolveSchema(
  schema: zod.core.$ZodType | undefined,
  value: unknown,
): zod.core.$ZodType | undefined {
  if (
    schema instanceof zod.ZodOptional || schema instanceof zod.ZodDefault ||
    schema instanceof zod.ZodPrefault || schema instanceof zod.ZodReadonly
  ) {
    return resolveSchema(schema.def.innerType, value);
  }
  if (schema instanceof zod.ZodDiscriminatedUnion) {
    return selectOption(schema, value);
  }
  return schema;
}

/** Returns the keys of the object schema at `path`; empty if there is none. */
export function listKnownKeys(
  schema: zod.core.$ZodType | undefined,
  { path, value }: { readonly path: readonly Key[]; readonly value: unknown },
): readonly string[] {
  const resolved = resolveSchema(schema, value);
  const [key, ...remainingPath] = path;
  if (key === undefined) {
    return resolved instanceof zod.ZodObject ? Object.keys(resolved.shape) : [];
  }
  const child = (value as Record<Key, unknown> | undefined)?.[key];
  if (resolved instanceof zod.ZodArray) {
    return listKnownKeys(resolved.element, {
      path: remainingPath,
      value: child,
    });
  }
  if (resolved instanceof zod.ZodObject) {
    return listKnownKeys(resolved.shape[key], {
      path: remainingPath,
      value: child,
    });
  }
  return [];
}
