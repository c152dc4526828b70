/** The stored object that represents a lease. */

/** Value of a lease object. */
export interface LeaseRecord {
  /** Id of the holder, new at each start of its process; "" if none. */
  readonly holder: string;
  /** Address at which the holder can be reached. */
  readonly address: string;
  /** Id of the write that produced this value. */
  readonly changeId: string;
  /**
   * Version of the object at the acquisition by the holder; 0 in the acquiring
   * write itself, whose version is unknown until the write is accepted.
   */
  readonly fencingNumber: number;
  /** True when the holder released the lease before its expiry. */
  readonly released: boolean;
}

/** Parses a stored value; undefined when the value is not a lease. */
export function parseLeaseRecord(value: unknown): LeaseRecord | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const fields = value as Partial<Record<keyof LeaseRecord, unknown>>;
  const { holder, address, changeId, fencingNumber, released } = fields;
  const isValid = typeof holder === "string" && typeof address === "string" &&
    typeof changeId === "string" && Number.isSafeInteger(fencingNumber) &&
    typeof released === "boolean";
  return isValid ? value as LeaseRecord : undefined;
}

/** Returns the fencing number of the lease object at `version`. */
export function getFencingNumber(
  record: LeaseRecord,
  version: number,
): number {
  return record.fencingNumber === 0 ? version : record.fencingNumber;
}
