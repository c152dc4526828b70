/** Options of the model engine stand-in and their defaults. */
import type * as random from "@anvilhinge/coordination/random";
import type * as scheduler from "../ports/scheduler.ts";

export interface ModelEngineOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly rankCount: number;
  /** @default 32 */
  readonly expertCount?: number;
  /** @default 2 */
  readonly expertsPerToken?: number;
  /**
   * Unevenness of the experts; 1 is even.
   * @default 1
   */
  readonly expertSkew?: number;
  /**
   * Duration of a step without tokens, in milliseconds.
   * @default 20
   */
  readonly stepMs?: number;
  /**
   * Added duration for one token at one expert, in milliseconds.
   * @default 0.1
   */
  readonly tokenMs?: number;
  /**
   * Largest number of requests that run on one rank.
   * @default 16
   */
  readonly batchLimit?: number;
  /**
   * Prompt tokens outside the cache that one step takes in.
   * @default 256
   */
  readonly prefillTokensPerStep?: number;
  /**
   * Blocks of 16 tokens in the prefix cache of a rank.
   * @default 1024
   */
  readonly cacheBlocks?: number;
  /**
   * Lag of load and step reports, in milliseconds.
   * @default 100
   */
  readonly reportLagMs?: number;
  /**
   * Lag of cache events, in milliseconds.
   * @default 200
   */
  readonly eventLagMs?: number;
  /**
   * Share of cache events that are lost.
   * @default 0.05
   */
  readonly eventLossRatio?: number;
  /**
   * Refuses orders with an old fencing number.
   * @default true
   */
  readonly checksFencing?: boolean;
}

const defaults = {
  expertCount: 32,
  expertsPerToken: 2,
  expertSkew: 1,
  stepMs: 20,
  tokenMs: 0.1,
  batchLimit: 16,
  prefillTokensPerStep: 256,
  cacheBlocks: 1_024,
  reportLagMs: 100,
  eventLagMs: 200,
  eventLossRatio: 0.05,
  checksFencing: true,
} as const;

/** Fills in the defaults, also for options that are given as undefined. */
export function resolveOptions(
  options: ModelEngineOptions,
): Required<ModelEngineOptions> {
  const given = Object.entries(options)
    .filter(([_name, value]) => value !== undefined);
  const named = Object.fromEntries(given) as unknown as ModelEngineOptions;
  return { ...defaults, ...named };
}
