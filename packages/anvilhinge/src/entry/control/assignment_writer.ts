/** Writes assignment records; finds out the outcome if the answer is lost. */
import * as conditionalWrite from "@anvilhinge/coordination/conditional_write";
import type * as handover from "@anvilhinge/coordination/handover";
import * as assignmentCodec from "../../adapters/assignment_codec.ts";
import type * as context from "../context.ts";

export type WriterContext = Pick<context.EntryContext, "store" | "scheduler">;

/** Writes the record if the stored version is `next.version`; 0 = none. */
export function writeRecord(
  entry: WriterContext,
  next: handover.StoredRecord,
): Promise<conditionalWrite.SettledOutcome> {
  const { record, version } = next;
  const changeId = record.changeIds[0] ?? "";
  return conditionalWrite.writeUntilSettled({
    store: entry.store,
    schedule: entry.scheduler.schedule,
    key: assignmentCodec.formatKey(record.group),
    value: record,
    ifVersion: version,
    isOwn: (value) =>
      assignmentCodec.parseRecord(value)?.changeIds.includes(changeId) ?? false,
  });
}
