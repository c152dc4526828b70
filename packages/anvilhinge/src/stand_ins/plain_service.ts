/**
 * Core of the plain service stand-in: a registry whose records may be read
 * again at will, and a desk for filings that must not be repeated.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as zod from "zod";

const filingSchema = zod.object({
  /** Identifies the filing for its author; equal for repeated calls. */
  businessId: zod.string().min(1),
  recordId: zod.string().min(1),
  text: zod.string(),
});

export type Filing = Readonly<zod.infer<typeof filingSchema>>;

/** One execution of a filing. */
export interface LedgerEntry {
  /** Counts from 1. */
  readonly filingNumber: number;
  readonly atMs: number;
  readonly filing: Filing;
}

export interface ServiceRecord {
  readonly id: string;
  readonly title: string;
  /** Numbers of the filings about this record. */
  readonly filingNumbers: readonly number[];
}

export type ParseOutcome =
  | { readonly kind: "parsed"; readonly filing: Filing }
  | { readonly kind: "invalid"; readonly message: string };

export interface PlainServiceOptions {
  readonly clock: clock.Clock;
}

export interface PlainService {
  /** Returns the record of any identifier; records need not be created. */
  readRecord(id: string): ServiceRecord;
  /** Executes a filing, also when its business identifier is known. */
  submitFiling(filing: Filing): LedgerEntry;
  getLedger(): readonly LedgerEntry[];
  /** Returns how often the filing of a business identifier was executed. */
  countExecutions(businessId: string): number;
}

/** Checks the JSON value of a filing. */
export function parseFiling(value: unknown): ParseOutcome {
  const result = filingSchema.safeParse(value);
  if (result.success) return { kind: "parsed", filing: result.data };
  return { kind: "invalid", message: zod.prettifyError(result.error) };
}

/** Creates a service with an empty ledger. */
export function createPlainService(options: PlainServiceOptions): PlainService {
  const ledger: LedgerEntry[] = [];
  return {
    readRecord(id) {
      const filingNumbers = ledger
        .filter(({ filing }) => filing.recordId === id)
        .map(({ filingNumber }) => filingNumber);
      return { id, title: `Record ${id}`, filingNumbers };
    },
    submitFiling(filing) {
      const filingNumber = ledger.length + 1;
      const entry = { filingNumber, atMs: options.clock.now(), filing };
      ledger.push(entry);
      return entry;
    },
    getLedger: () => [...ledger],
    countExecutions: (businessId) =>
      ledger.filter(({ filing }) => filing.businessId === businessId).length,
  };
}
