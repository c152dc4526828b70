/**
 * Core of the plain service stand-in: a registry with records, whose reads are
 * repeatable, and filings, which must not be executed twice. A ledger lists all
 * executions, so that tests can detect a filing that was executed twice.
 */
import type * as clock from "@anvilhinge/coordination/clock";
import * as zod from "zod";

const filingSchema = zod.object({
  /** Identifier chosen by the author; a repeated filing carries it again. */
  businessId: zod.string().min(1),
  recordId: zod.string().min(1),
  text: zod.string(),
});

export type Filing = Readonly<zod.infer<typeof filingSchema>>;

/** One execution of a filing. */
export interface LedgerEntry {
  /** Sequence number of the execution, from 1. */
  readonly filingNumber: number;
  readonly atMs: number;
  readonly filing: Filing;
}

export interface ServiceRecord {
  readonly id: string;
  readonly title: string;
  /** Numbers of the filings for this record. */
  readonly filingNumbers: readonly number[];
}

export type ParseOutcome =
  | { readonly kind: "parsed"; readonly filing: Filing }
  | { readonly kind: "invalid"; readonly message: string };

export interface PlainServiceOptions {
  readonly clock: clock.Clock;
}

export interface PlainService {
  /** Returns the record with an identifier; every identifier has a record. */
  readRecord(id: string): ServiceRecord;
  /** Executes a filing, without deduplication by the business identifier. */
  submitFiling(filing: Filing): LedgerEntry;
  getLedger(): readonly LedgerEntry[];
  /** Returns how often filings with a business identifier were executed. */
  countExecutions(businessId: string): number;
}

/** Validates the JSON value of a filing. */
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
