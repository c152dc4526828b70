/** Finds the entry in charge of a duty of either half by the duty's lease. */
import * as leaseRecord from "@anvilhinge/coordination/lease_record";
import * as leaseKey from "../../adapters/lease_key.ts";
import type * as objectStore from "../../ports/object_store.ts";

/** A duty of one half. */
export interface Duty {
  readonly half: string;
  readonly key: string;
}

export interface DutyDirectory {
  /** Control address of the holder; undefined when it can't be learnt. */
  findHolder(duty: Duty): Promise<string | undefined>;
  /** Has the next search ask the store again. */
  invalidate(duty: Duty): void;
}

/** Creates a directory that reads each lease once until it is forgotten. */
export function createDutyDirectory(
  store: objectStore.ObjectStore,
): DutyDirectory {
  const known = new Map<string, Promise<string | undefined>>();

  async function readHolder(key: string): Promise<string | undefined> {
    const outcome = await store.read(key);
    const record = outcome.kind === "found"
      ? leaseRecord.parseLeaseRecord(outcome.object.value)
      : undefined;
    if (record === undefined || record.released) known.delete(key);
    return record?.released ? undefined : record?.address;
  }

  return {
    findHolder(duty) {
      const key = leaseKey.formatDutyLeaseKey(duty.half, duty.key);
      const address = known.get(key) ?? readHolder(key);
      known.set(key, address);
      return address;
    },
    invalidate: (duty) =>
      void known.delete(leaseKey.formatDutyLeaseKey(duty.half, duty.key)),
  };
}
