/** Finds the entry in charge of a duty of any half by the lease of the duty. */
import * as leaseRecord from "@anvilhinge/coordination/lease_record";
import * as leaseKey from "../../adapters/lease_key.ts";
import type * as objectStore from "../../ports/object_store.ts";

/** A duty of one half. */
export interface Duty {
  readonly half: string;
  /** Key of the duty within the half, the name of the group. */
  readonly key: string;
}

export interface DutyDirectory {
  /**
   * Returns the control address of the holder; undefined if the lease is free or
   * can't be read.
   */
  findHolder(duty: Duty): Promise<string | undefined>;
  /** Makes the next `findHolder` read the lease from the store again. */
  invalidate(duty: Duty): void;
}

/** Creates a directory that caches each holder until `invalidate` is called. */
export function createDutyDirectory(
  store: objectStore.ObjectStore,
): DutyDirectory {
  const addresses = new Map<string, Promise<string | undefined>>();

  async function readHolder(key: string): Promise<string | undefined> {
    const outcome = await store.read(key);
    const record = outcome.kind === "found"
      ? leaseRecord.parseLeaseRecord(outcome.object.value)
      : undefined;
    if (record === undefined || record.released) addresses.delete(key);
    return record?.released ? undefined : record?.address;
  }

  return {
    findHolder(duty) {
      const key = leaseKey.formatDutyLeaseKey(duty.half, duty.key);
      const address = addresses.get(key) ?? readHolder(key);
      addresses.set(key, address);
      return address;
    },
    invalidate: (duty) =>
      void addresses.delete(leaseKey.formatDutyLeaseKey(duty.half, duty.key)),
  };
}
