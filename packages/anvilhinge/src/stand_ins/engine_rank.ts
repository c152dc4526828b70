/** One rank of the model engine stand-in: its queue, batch and prefix cache. */
import * as random from "@anvilhinge/coordination/random";
import type * as scheduler from "../ports/scheduler.ts";
import * as answer from "./answer.ts";
import * as prefixCache from "./prefix_cache.ts";

export type RankEvent =
  | { readonly kind: "token"; readonly text: string }
  | { readonly kind: "end" }
  /** `started` is false when the request never left the queue. */
  | {
    readonly kind: "failed";
    readonly message: string;
    readonly started: boolean;
  };

export interface RankRequest {
  readonly body: answer.ChatBody;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left in milliseconds. */
  readonly deadlineMs: number;
  /** Cancels the work; no event follows. */
  readonly signal: AbortSignal;
  readonly onEvent: (event: RankEvent) => void;
}

export interface RankOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly batchLimit: number;
  readonly prefillTokensPerStep: number;
  readonly cache: prefixCache.PrefixCacheOptions;
}

export interface RequestCounts {
  readonly running: number;
  readonly queued: number;
}

export interface Rank {
  /** Calls `onGone` when the request leaves other than by its last token. */
  enqueue(request: RankRequest, onGone: () => void): void;
  /**
   * Fills the batch from the queue; returns the random source of each request
   * that takes part in the step.
   */
  startStep(): readonly random.RandomSource[];
  /** Delivers one token for each request that took part in the step. */
  finishStep(): void;
  /** Fails all requests and empties the cache. */
  fail(message: string): void;
  countRequests(): RequestCounts;
  isIdle(): boolean;
  listCacheEvents(since: number): readonly prefixCache.CacheEvent[];
}

interface Job {
  readonly request: RankRequest;
  readonly tokens: readonly string[];
  readonly prompt: readonly string[];
  readonly draw: random.RandomSource;
  /** Ends the deadline timer and the cancel listener. */
  readonly settled: AbortController;
  prefillSteps: number;
  position: number;
}

/** Creates a rank without work. */
export function createRank(options: RankOptions): Rank {
  const cache = prefixCache.createPrefixCache(options.cache);
  let queue: Job[] = [];
  let running: Job[] = [];

  function remove(job: Job): void {
    job.settled.abort();
    queue = queue.filter((other) => other !== job);
    running = running.filter((other) => other !== job);
  }

  function failJob(job: Job, message: string): void {
    const started = running.includes(job);
    remove(job);
    job.request.onEvent({ kind: "failed", message, started });
  }

  function fillBatch(): void {
    const free = options.batchLimit - running.length;
    for (const job of queue.slice(0, free)) admit(job);
    queue = queue.slice(free);
  }

  function admit(job: Job): void {
    const uncached = job.prompt.length - cache.countCachedTokens(job.prompt);
    job.prefillSteps = Math.ceil(uncached / options.prefillTokensPerStep);
    cache.store(job.prompt);
    running.push(job);
  }

  /** The first token comes with the last step of the prefill. */
  function advanceJob(job: Job): void {
    job.prefillSteps -= 1;
    if (job.prefillSteps > 0) return;
    const text = job.tokens[job.position];
    job.position += 1;
    const isLast = job.position >= job.tokens.length;
    if (isLast) remove(job);
    if (text !== undefined) job.request.onEvent({ kind: "token", text });
    if (isLast) job.request.onEvent({ kind: "end" });
  }

  return {
    enqueue(request, onGone) {
      if (request.signal.aborted) return;
      const job = createJob(request);
      const { priority } = request;
      const next = queue.findIndex((other) =>
        other.request.priority > priority
      );
      queue.splice(next < 0 ? queue.length : next, 0, job);
      const signal = job.settled.signal;
      request.signal.addEventListener("abort", () => {
        remove(job);
        onGone();
      }, { once: true, signal });
      options.scheduler.schedule(() => {
        failJob(job, "The deadline passed before the answer was complete");
        onGone();
      }, { delayMs: request.deadlineMs, signal });
    },
    startStep() {
      fillBatch();
      return running.map(({ draw }) => draw);
    },
    finishStep() {
      for (const job of running) {
        if (!job.settled.signal.aborted) advanceJob(job);
      }
    },
    fail(message) {
      for (const job of [...running, ...queue]) failJob(job, message);
      cache.clear();
    },
    countRequests: () => ({ running: running.length, queued: queue.length }),
    isIdle: () => queue.length === 0 && running.length === 0,
    listCacheEvents: cache.listEvents,
  };
}

function createJob(request: RankRequest): Job {
  return {
    request,
    tokens: answer.generateTokens(request.body),
    prompt: answer.extractPromptTokens(request.body),
    draw: random.createRandomSource(answer.computeSeed(request.body)),
    settled: new AbortController(),
    prefillSteps: 0,
    position: 0,
  };
}
