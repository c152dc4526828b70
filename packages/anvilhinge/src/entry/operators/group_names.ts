/**
 * Keeps group names unique across all subtrees, because assignments are stored
 * by group name alone. A name is reserved in the object store before the group
 * is first written, so that two teams can't take it at the same time.
 */
import * as zod from "zod";
import type * as objectStore from "../../ports/object_store.ts";

/** Prefix of the keys of reserved group names in the object store. */
export const groupNamePrefix = "group_names/";

export type ReservationOutcome =
  | { readonly kind: "reserved" }
  | { readonly kind: "taken"; readonly path: string }
  | objectStore.Unavailable;

const reservationSchema = zod.object({ path: zod.string() });

function convertHolder(
  object: objectStore.StoredObject | undefined,
  path: string,
): ReservationOutcome {
  const parsed = reservationSchema.safeParse(object?.value);
  if (!parsed.success) {
    return { kind: "taken", path: "an unknown settings path" };
  }
  if (parsed.data.path === path) return { kind: "reserved" };
  return { kind: "taken", path: parsed.data.path };
}

/** Reserves the group name for a settings path; idempotent. */
export async function reserveGroupName(
  store: objectStore.ObjectStore,
  group: { readonly name: string; readonly path: string },
): Promise<ReservationOutcome> {
  const key = `${groupNamePrefix}${group.name}`;
  const value = { path: group.path };
  const outcome = await store.write(key, value, { ifVersion: 0 });
  switch (outcome.kind) {
    case "accepted":
      return { kind: "reserved" };
    case "conflict":
      return convertHolder(outcome.current, group.path);
    case "unavailable":
      return outcome;
    case "unknown": {
      // A path that is found there holds the name for good: a delayed write
      // that arrives later fails on its version condition.
      const read = await store.read(key);
      if (read.kind === "found") return convertHolder(read.object, group.path);
      const { message } = read.kind === "missing" ? outcome : read;
      return { kind: "unavailable", message };
    }
  }
}
