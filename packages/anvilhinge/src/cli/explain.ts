/** The command `explain`: the story of one request from logs. */
import * as streamConsumers from "node:stream/consumers";
import * as requestReport from "../explain/request_report.ts";
import * as commandContext from "./command_context.ts";
import type * as outcome from "./outcome.ts";

export interface ExplainOptions {
  /** Files with log lines; none = standard input. */
  readonly files: readonly string[];
  readonly input: NodeJS.ReadableStream;
}

/** Tells what the logs of one or more processes say of a request. */
export async function describeRequestFromLogs(
  requestId: string,
  { files, input }: ExplainOptions,
): Promise<outcome.CommandOutcome> {
  const texts: string[] = [];
  for (const file of files) {
    const read = await commandContext.readText(file);
    if (read.kind !== "read") return read;
    texts.push(read.text);
  }
  if (files.length === 0) texts.push(await streamConsumers.text(input));
  const lines = texts.flatMap((text) => text.split("\n"));
  const told = requestReport.describeRequest(lines, requestId);
  if (told.found > 0) return { kind: "done", text: told.text, data: told };
  const where = files.length === 0 ? "Standard input" : files.join(", ");
  return {
    kind: "refused",
    message: `${where}: no line of request ${requestId}. Lines of requests ` +
      "that were served are left out under load; give the logs of all entries",
  };
}
