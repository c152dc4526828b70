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
   * Skew of the choice of experts; 1 is uniform, a larger skew sends more
   * tokens to low-numbered experts.
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
   * Maximum number of requests in the batch of one rank.
   * @default 16
   */
  readonly batchLimit?: number;
  /**
   * Uncached prompt tokens of a request that one step processes.
   * @default 256
   */
  readonly prefillTokensPerStep?: number;
  /**
   * Capacity of the prefix cache of a rank, in blocks of 16 tokens.
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
   * Share of cache events that are never published, 0 to 1.
   * @default 0.05
   */
  readonly eventLossRatio?: number;
  /**
   * Whether a rank refuses fencing numbers below the highest one seen.
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

/** Fills in the defaults, also for options that are set to undefined. */
export function resolveOptions(
  options: ModelEngineOptions,
): Required<ModelEngineOptions> {
  const definedEntries = Object.entries(options)
    .filter(([_name, value]) => value !== undefined);
  const definedOptions = Object.fromEntries(
    definedEntries,
  ) as unknown as ModelEngineOptions;
  return { ...defaults, ...definedOptions };
}
