/** The command `explain`: reports what happened to one request, from logs. */
import * as streamConsumers from "node:stream/consumers";
import * as requestReport from "../explain/request_report.ts";
import * as commandContext from "./command_context.ts";
import type * as outcome from "./outcome.ts";

export interface ExplainOptions {
  /** Files with log lines; empty = standard input. */
  readonly files: readonly string[];
  readonly input: NodeJS.ReadableStream;
}

/** Reports what the logs of one or more processes contain about a request. */
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
  const trace = requestReport.describeRequest(lines, requestId);
  if (trace.found > 0) return { kind: "done", text: trace.text, data: trace };
  const sources = files.length === 0 ? "Standard input" : files.join(", ");
  return {
    kind: "refused",
    message: `${sources}: no log line of request ${requestId}. Lines of ` +
      "served requests are dropped under load; pass the logs of all entries",
  };
}
