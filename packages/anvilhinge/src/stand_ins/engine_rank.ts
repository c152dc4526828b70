/** One rank of the model engine stand-in: its queue, batch and prefix cache. */
import * as random from "@anvilhinge/coordination/random";
import type * as scheduler from "../ports/scheduler.ts";
import * as answer from "./answer.ts";
import * as prefixCache from "./prefix_cache.ts";

export type RankEvent =
  | { readonly kind: "token"; readonly text: string }
  | { readonly kind: "end" }
  /** `started` is false when the request never entered the batch. */
  | {
    readonly kind: "failed";
    readonly message: string;
    readonly started: boolean;
  };

export interface RankRequest {
  readonly body: answer.ChatBody;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the request fails, in milliseconds. */
  readonly deadlineMs: number;
  /** Cancels the request; no event follows. */
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
  /** Calls `onRemoved` when a cancel or the deadline removes the request. */
  enqueue(request: RankRequest, onRemoved: () => void): void;
  /**
   * Starts a step, which is one forward pass of the whole group: fills the
   * batch from the queue and returns the random source of each request in it.
   */
  startStep(): readonly random.RandomSource[];
  /** Advances each request in the batch by a step of its prefill or a token. */
  finishStep(): void;
  /** Fails all requests with the message and empties the cache. */
  fail(message: string): void;
  countRequests(): RequestCounts;
  isIdle(): boolean;
  listCacheEvents(since: number): readonly prefixCache.CacheEvent[];
}

interface Job {
  readonly request: RankRequest;
  readonly tokens: readonly string[];
  readonly prompt: readonly string[];
  readonly randomSource: random.RandomSource;
  /** Aborted on removal; ends the deadline timer and the cancel listener. */
  readonly ended: AbortController;
  remainingPrefillSteps: number;
  nextTokenIndex: number;
}

/** Creates a rank without requests. */
export function createRank(options: RankOptions): Rank {
  const cache = prefixCache.createPrefixCache(options.cache);
  let queue: Job[] = [];
  let running: Job[] = [];

  function remove(job: Job): void {
    job.ended.abort();
    queue = queue.filter((other) => other !== job);
    running = running.filter((other) => other !== job);
  }

  function failJob(job: Job, message: string): void {
    const started = running.includes(job);
    remove(job);
    job.request.onEvent({ kind: "failed", message, started });
  }

  function fillBatch(): void {
    const freeSlots = options.batchLimit - running.length;
    for (const job of queue.slice(0, freeSlots)) admit(job);
    queue = queue.slice(freeSlots);
  }

  function admit(job: Job): void {
    const uncached = job.prompt.length - cache.countCachedTokens(job.prompt);
    job.remainingPrefillSteps = Math.ceil(
      uncached / options.prefillTokensPerStep,
    );
    cache.store(job.prompt);
    running.push(job);
  }

  /** The last step of the prefill yields the first token. */
  function advanceJob(job: Job): void {
    job.remainingPrefillSteps -= 1;
    if (job.remainingPrefillSteps > 0) return;
    const text = job.tokens[job.nextTokenIndex];
    job.nextTokenIndex += 1;
    const isLast = job.nextTokenIndex >= job.tokens.length;
    if (isLast) remove(job);
    if (text !== undefined) job.request.onEvent({ kind: "token", text });
    if (isLast) job.request.onEvent({ kind: "end" });
  }

  return {
    enqueue(request, onRemoved) {
      if (request.signal.aborted) return;
      const job = createJob(request);
      const { priority } = request;
      const insertIndex = queue.findIndex((other) =>
        other.request.priority > priority
      );
      queue.splice(insertIndex < 0 ? queue.length : insertIndex, 0, job);
      const signal = job.ended.signal;
      request.signal.addEventListener("abort", () => {
        remove(job);
        onRemoved();
      }, { once: true, signal });
      options.scheduler.schedule(() => {
        failJob(job, "The deadline passed before the answer was complete");
        onRemoved();
      }, { delayMs: request.deadlineMs, signal });
    },
    startStep() {
      fillBatch();
      return running.map(({ randomSource }) => randomSource);
    },
    finishStep() {
      for (const job of running) {
        if (!job.ended.signal.aborted) advanceJob(job);
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
    randomSource: random.createRandomSource(answer.computeSeed(request.body)),
    ended: new AbortController(),
    remainingPrefillSteps: 0,
    nextTokenIndex: 0,
  };
}
