/** Client for calls to other entries, with connect-es. */
import type * as handover from "@anvilhinge/coordination/handover";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as entryPb from "../../gen/anvilhinge/v1/entry_pb.ts";

/** A rank's report that no work admitted under an older epoch is running. */
export interface DrainedReport extends handover.DrainedReport {
  readonly group: string;
  readonly incarnation: string;
}

/** Progress of a move, as recorded by the entry in charge. */
export interface MoveProgress {
  readonly epoch: number;
  /** Ranks that have not reported yet. */
  readonly waitingFor: readonly number[];
}

export interface EntryClient {
  /** Resolves to whether the entry accepted the report. */
  forwardReport(address: string, report: DrainedReport): Promise<boolean>;
  /** Resolves to undefined if the entry is not in charge or the call failed. */
  getMove(address: string, group: string): Promise<MoveProgress | undefined>;
}

const callTimeoutMs = 1_000;
const idleConnectionTimeoutMs = 10_000;

/** Creates a client; idle connections are closed. */
export function createEntryClient(
  options: { readonly signal: AbortSignal },
): EntryClient {
  type Client = connect.Client<typeof entryPb.EntryService>;
  const clients = new Map<string, Client>();

  function getClient(address: string): Client {
    const existing = clients.get(address);
    if (existing !== undefined) return existing;
    const baseUrl = `http://${address}`;
    const sessionManager = new connectNode.Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs,
    });
    options.signal.addEventListener("abort", () => sessionManager.abort(), {
      once: true,
    });
    const client = connect.createClient(
      entryPb.EntryService,
      connectNode.createConnectTransport({
        baseUrl,
        httpVersion: "2",
        sessionManager,
      }),
    );
    clients.set(address, client);
    return client;
  }

  const callOptions = { timeoutMs: callTimeoutMs, signal: options.signal };
  return {
    async forwardReport(address, report) {
      try {
        const request = { ...report, forwarded: true };
        const client = getClient(address);
        return (await client.reportDrained(request, callOptions)).accepted;
      } catch {
        return false;
      }
    },
    async getMove(address, group) {
      try {
        const answer = await getClient(address).getMove({ group }, callOptions);
        return answer.inCharge ? answer : undefined;
      } catch {
        return undefined;
      }
    },
  };
}
