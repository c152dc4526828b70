/** Client of the entries' connect-es service. */
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as entryPb from "../gen/anvilhinge/v1/entry_pb.ts";
import type * as drainedReporter from "./drained_reporter.ts";

const callTimeoutMs = 2_000;
const idleConnectionTimeoutMs = 5_000;

/** Creates the function that sends drained reports to an entry. */
export function createReportSender(
  options: { readonly signal: AbortSignal },
): drainedReporter.ReporterOptions["send"] {
  return async (address, report) => {
    const baseUrl = `http://${address}`;
    const sessionManager = new connectNode.Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs,
    });
    const client = connect.createClient(
      entryPb.EntryService,
      connectNode.createConnectTransport({
        baseUrl,
        httpVersion: "2",
        sessionManager,
      }),
    );
    try {
      const { signal } = options;
      const callOptions = { timeoutMs: callTimeoutMs, signal };
      return (await client.reportDrained(report, callOptions)).accepted;
    } catch {
      return false;
    } finally {
      // Reports are rare; connections that stay open would link every rank to
      // several entries.
      sessionManager.abort();
    }
  };
}
