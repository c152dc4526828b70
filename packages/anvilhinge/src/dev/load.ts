/**
 * Sends a fixed number of requests of mixed kinds over HTTP: streamed chats,
 * reads and filings. Compares the tokens of each chat with the deterministic
 * answer of the engine stand-in, and the filings with the services' ledgers.
 */
import type * as random from "@anvilhinge/coordination/random";
import * as histogram from "hdr-histogram-js";
import * as undici from "undici";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as names from "../settings/names.ts";
import * as answer from "../stand_ins/answer.ts";
import * as caller from "./caller.ts";
import type * as system from "./system.ts";

/** Model, service and workspaces that the callers of one half use. */
export interface Workload {
  readonly half: names.Half;
  readonly model: string;
  readonly service: string;
  /** Workspaces as `<team>/<name>`. */
  readonly workspaces: readonly string[];
}

export interface LoadOptions {
  readonly system: system.RunningSystem;
  readonly workloads: readonly Workload[];
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  readonly requestCount: number;
  /** Maximum number of requests in flight. */
  readonly concurrency: number;
  /** Called after each request with the number of finished requests. */
  readonly onProgress: (finishedCount: number) => void;
}

/** Counts of requests by result, and distributions of token times. */
export interface LoadReport {
  readonly requests: number;
  /** Complete answers; chats only with the tokens of their own request. */
  readonly whole: number;
  /** Chats refused as not run, and service calls answered with 503. */
  readonly notRun: number;
  /** Requests that ended with another error or an interrupted stream. */
  readonly failed: number;
  /** Chats that ended as complete with wrong or missing tokens. */
  readonly wrong: number;
  /** Accepted filings. */
  readonly filings: number;
  /** Filings executed more than once, and accepted filings not executed. */
  readonly filingErrors: number;
  /** Time to the first token in milliseconds. */
  readonly firstToken: histogram.Histogram;
  /** Time between tokens in milliseconds. */
  readonly betweenTokens: histogram.Histogram;
}

type RequestKind = "chat" | "read" | "filing";

interface Counts {
  whole: number;
  notRun: number;
  failed: number;
  wrong: number;
}

const filingShare = 0.1;
const readShare = 0.1;
const acceptedStatus = 201;
const okStatus = 200;
const unavailableStatus = 503;

/** Sends all requests and waits for their answers. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const counts: Counts = { whole: 0, notRun: 0, failed: 0, wrong: 0 };
  const firstToken = histogram.build();
  const betweenTokens = histogram.build();
  const acceptedFilings: string[] = [];
  let startedCount = 0;
  let finishedCount = 0;

  function pick<T>(values: readonly T[]): T {
    return values[Math.floor(options.random() * values.length)] as T;
  }

  function chooseKind(): RequestKind {
    const draw = options.random();
    if (draw < filingShare) return "filing";
    return draw < filingShare + readShare ? "read" : "chat";
  }

  function listEntries(half: names.Half): readonly system.SystemEntry[] {
    return options.system.entries.filter((entry) => entry.half === half);
  }

  async function sendChat(workload: Workload, index: number): Promise<void> {
    const body = {
      model: workload.model,
      messages: [{ role: "user", content: `Request ${index}` }],
    };
    const startMs = options.clock.now();
    let previousMs: number | undefined;
    const outcome = await caller.sendChat({
      address: pick(listEntries(workload.half)).address,
      workspace: pick(workload.workspaces),
      body,
      onToken() {
        const nowMs = options.clock.now();
        if (previousMs === undefined) firstToken.recordValue(nowMs - startMs);
        else betweenTokens.recordValue(nowMs - previousMs);
        previousMs = nowMs;
      },
    });
    const expected = answer.generateTokens(body).join();
    if (outcome.kind === "complete") {
      counts[outcome.tokens.join() === expected ? "whole" : "wrong"] += 1;
    } else if (outcome.kind === "refused" && outcome.code === "not_run") {
      counts.notRun += 1;
    } else {
      counts.failed += 1;
    }
  }

  async function sendCall(
    workload: Workload,
    call: {
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body?: string;
      readonly expected: number;
    },
  ): Promise<boolean> {
    const { address } = pick(listEntries(workload.half));
    const response = await undici.request(
      `http://${address}/services/${workload.service}${call.path}`,
      {
        method: call.method,
        headers: {
          "content-type": "application/json",
          "x-workspace": pick(workload.workspaces),
        },
        body: call.body,
      },
    );
    await response.body.dump();
    const isExpected = response.statusCode === call.expected;
    if (isExpected) counts.whole += 1;
    else if (response.statusCode === unavailableStatus) counts.notRun += 1;
    else counts.failed += 1;
    return isExpected;
  }

  async function sendFiling(workload: Workload, index: number): Promise<void> {
    const businessId = `${workload.half}-${index}`;
    const body = JSON.stringify({
      businessId,
      recordId: `record-${index}`,
      text: `Filing ${index}`,
    });
    const isAccepted = await sendCall(workload, {
      method: "POST",
      path: "/filings",
      body,
      expected: acceptedStatus,
    });
    if (isAccepted) acceptedFilings.push(businessId);
  }

  async function sendRandomRequest(index: number): Promise<void> {
    const workload = pick(options.workloads);
    switch (chooseKind()) {
      case "chat":
        return sendChat(workload, index);
      case "filing":
        return sendFiling(workload, index);
      case "read":
        await sendCall(workload, {
          method: "GET",
          path: `/records/record-${index}`,
          expected: okStatus,
        });
    }
  }

  async function sendUntilDone(): Promise<void> {
    while (startedCount < options.requestCount) {
      const index = startedCount;
      startedCount += 1;
      await sendRandomRequest(index);
      finishedCount += 1;
      options.onProgress(finishedCount);
    }
  }

  await Promise.all(
    Array.from({ length: options.concurrency }, () => sendUntilDone()),
  );
  return {
    ...counts,
    requests: finishedCount,
    filings: acceptedFilings.length,
    filingErrors: countFilingErrors(options.system, acceptedFilings),
    firstToken,
    betweenTokens,
  };
}

/** Counts filings executed repeatedly, and accepted filings not executed. */
function countFilingErrors(
  running: system.RunningSystem,
  accepted: readonly string[],
): number {
  const executions = new Map<string, number>();
  for (const group of running.groups) {
    for (const { filing } of group.service?.getLedger() ?? []) {
      const count = executions.get(filing.businessId) ?? 0;
      executions.set(filing.businessId, count + 1);
    }
  }
  const duplicated = [...executions.values()].filter((count) => count > 1);
  const lost = accepted.filter((businessId) => !executions.has(businessId));
  return duplicated.length + lost.length;
}
