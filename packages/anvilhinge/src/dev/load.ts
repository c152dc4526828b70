/**
 * A bounded mixed load of both workloads over HTTP: streamed chats, reads and
 * filings, each answer checked against what the stand-ins were asked to say.
 */
import type * as random from "@anvilhinge/coordination/random";
import * as histogram from "hdr-histogram-js";
import * as undici from "undici";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as names from "../settings/names.ts";
import * as answer from "../stand_ins/answer.ts";
import * as caller from "./caller.ts";
import type * as system from "./system.ts";

/** What one half's callers ask for. */
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
  /** Requests in progress at once. */
  readonly concurrency: number;
  /** Called after each request. */
  readonly onProgress: (done: number) => void;
}

/** Counts of the load and the distributions of its times. */
export interface LoadReport {
  readonly requests: number;
  /** Answers that are whole and the caller's own. */
  readonly whole: number;
  /** Requests that were told that they did not run. */
  readonly notRun: number;
  /** Answers that ended with an error which says so. */
  readonly failed: number;
  /** Answers with foreign or missing content that claimed to be whole. */
  readonly wrong: number;
  readonly filings: number;
  /** Filings that the ledger holds more than once, or that were lost. */
  readonly filingErrors: number;
  /** Time to the first token in milliseconds. */
  readonly firstToken: histogram.Histogram;
  /** Time between tokens in milliseconds. */
  readonly betweenTokens: histogram.Histogram;
}

type Kind = "chat" | "read" | "filing";

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

/** Runs the load to its end. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const counts: Counts = { whole: 0, notRun: 0, failed: 0, wrong: 0 };
  const firstToken = histogram.build();
  const betweenTokens = histogram.build();
  const accepted: string[] = [];
  let started = 0;
  let done = 0;

  function pick<T>(values: readonly T[]): T {
    return values[Math.floor(options.random() * values.length)] as T;
  }

  function chooseKind(): Kind {
    const draw = options.random();
    if (draw < filingShare) return "filing";
    return draw < filingShare + readShare ? "read" : "chat";
  }

  function listEntries(half: names.Half): readonly system.SystemEntry[] {
    return options.system.entries.filter((entry) => entry.half === half);
  }

  async function sendChat(load: Workload, index: number): Promise<void> {
    const body = {
      model: load.model,
      messages: [{ role: "user", content: `Request ${index}` }],
    };
    const startMs = options.clock.now();
    let previousMs: number | undefined;
    const outcome = await caller.sendChat({
      address: pick(listEntries(load.half)).address,
      workspace: pick(load.workspaces),
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
    load: Workload,
    call: {
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body?: string;
      readonly expected: number;
    },
  ): Promise<boolean> {
    const { address } = pick(listEntries(load.half));
    const response = await undici.request(
      `http://${address}/services/${load.service}${call.path}`,
      {
        method: call.method,
        headers: {
          "content-type": "application/json",
          "x-workspace": pick(load.workspaces),
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

  async function sendFiling(load: Workload, index: number): Promise<void> {
    const businessId = `${load.half}-${index}`;
    const body = JSON.stringify({
      businessId,
      recordId: `record-${index}`,
      text: `Filing ${index}`,
    });
    const isAccepted = await sendCall(load, {
      method: "POST",
      path: "/filings",
      body,
      expected: acceptedStatus,
    });
    if (isAccepted) accepted.push(businessId);
  }

  async function sendOne(index: number): Promise<void> {
    const load = pick(options.workloads);
    switch (chooseKind()) {
      case "chat":
        return sendChat(load, index);
      case "filing":
        return sendFiling(load, index);
      case "read":
        await sendCall(load, {
          method: "GET",
          path: `/records/record-${index}`,
          expected: okStatus,
        });
    }
  }

  async function sendUntilDone(): Promise<void> {
    while (started < options.requestCount) {
      const index = started;
      started += 1;
      await sendOne(index);
      done += 1;
      options.onProgress(done);
    }
  }

  await Promise.all(
    Array.from({ length: options.concurrency }, () => sendUntilDone()),
  );
  return {
    ...counts,
    requests: done,
    filings: accepted.length,
    filingErrors: countMisfiled(options.system, accepted),
    firstToken,
    betweenTokens,
  };
}

/** Counts filings that ran twice, and accepted ones that did not run. */
function countMisfiled(
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
  const doubled = [...executions.values()].filter((count) => count > 1);
  const lost = accepted.filter((businessId) => !executions.has(businessId));
  return doubled.length + lost.length;
}
