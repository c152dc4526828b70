/**
 * Limits of one workspace at one entry: requests a second, tokens a second and
 * requests in progress, each scaled by the share that the entry holds. In any
 * window all entries together admit at most `limit x seconds`, one burst of
 * `limit x burstMs`, and one request for each entry. Tokens are known only when
 * they have been generated: running requests may put the token bucket into
 * debt, which is paid before another request is admitted.
 */
import type * as clock from "./clock.ts";

export interface Limits {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Requests in progress at once. */
  readonly concurrency: number;
}

export type LimitName = keyof Limits;

export type AdmitOutcome =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    readonly limit: LimitName;
    /** When there is room again at the present share, in milliseconds. */
    readonly retryAfterMs: number;
  };

/** Shares of the limits that this entry holds, from 0 to 1. */
export interface Shares {
  readonly rates: number;
  readonly concurrency: number;
}

export interface LimiterOptions {
  readonly clock: clock.Clock;
  readonly limits: Limits;
  readonly readShares: () => Shares;
  /**
   * Time for which unused requests and tokens are saved, in milliseconds.
   * @default 1000
   */
  readonly burstMs?: number;
  /**
   * Saved share at the start, from 0 (for shares that another entry may have
   * used just now) to 1.
   * @default 0
   */
  readonly initialFill?: number;
}

export interface Limiter {
  /** Admits a request or says at once when to come back. */
  admit(): AdmitOutcome;
  /** Must be called once for each admitted request, when it ends. */
  release(): void;
  /** Must be called just before the shares rise; they may fall at any time. */
  update(): void;
  /** Counts tokens that were generated. */
  recordTokens(count: number): void;
  setLimits(limits: Limits): void;
  /** Share of each kind that callers asked for since the last call. */
  takeDemand(): Shares;
  countInFlight(): number;
}

interface Bucket {
  /** Returns the time until one unit is there, in milliseconds. */
  check(): number;
  add(amount: number): void;
}

const defaultBurstMs = 1_000;
const millisecondsPerSecond = 1_000;
const longestRetryMs = 30_000;
const concurrencyRetryMs = 1_000;
/** Lets a sum of shares that is 1 up to rounding count as 1. */
const roundingSlack = 1e-9;

interface BucketOptions {
  readonly clock: clock.Clock;
  readonly burstMs: number;
  readonly initialFill: number;
  readonly readRate: () => number;
}

function createBucket(options: BucketOptions): Bucket {
  const { clock, burstMs, readRate } = options;
  let filledAtMs = clock.now();
  let level: number | undefined;

  function computeCapacity(): number {
    const rate = readRate();
    return rate === 0 ? 0 : Math.max(1, rate * burstMs / millisecondsPerSecond);
  }

  function fill(): number {
    const nowMs = clock.now();
    const added = readRate() * (nowMs - filledAtMs) / millisecondsPerSecond;
    const present = level ?? computeCapacity() * options.initialFill;
    level = Math.min(computeCapacity(), present + added);
    filledAtMs = nowMs;
    return level;
  }

  return {
    check() {
      const missing = 1 - fill();
      if (missing <= roundingSlack) return 0;
      const rate = readRate();
      if (rate === 0) return longestRetryMs;
      return Math.min(longestRetryMs, missing / rate * millisecondsPerSecond);
    },
    add(amount) {
      level = fill() + amount;
    },
  };
}

/** Creates a limiter with nothing in progress. */
export function createLimiter(options: LimiterOptions): Limiter {
  const { clock, readShares } = options;
  const burstMs = options.burstMs ?? defaultBurstMs;
  const initialFill = options.initialFill ?? 0;
  let limits = options.limits;
  let open = 0;
  let asked = 0;
  let tokens = 0;
  let demandSinceMs = clock.now();
  const common = { clock, burstMs, initialFill };
  const requestBucket = createBucket({
    ...common,
    readRate: () => limits.requestsPerSecond * readShares().rates,
  });
  const tokenBucket = createBucket({
    ...common,
    readRate: () => limits.tokensPerSecond * readShares().rates,
  });

  function refuse(limit: LimitName, retryAfterMs: number): AdmitOutcome {
    return { kind: "refused", limit, retryAfterMs: Math.ceil(retryAfterMs) };
  }

  return {
    admit() {
      asked += 1;
      const places = limits.concurrency * readShares().concurrency;
      if (open + 1 > places + roundingSlack) {
        return refuse("concurrency", concurrencyRetryMs);
      }
      const tokenWaitMs = tokenBucket.check();
      if (tokenWaitMs > 0) return refuse("tokensPerSecond", tokenWaitMs);
      const requestWaitMs = requestBucket.check();
      if (requestWaitMs > 0) return refuse("requestsPerSecond", requestWaitMs);
      requestBucket.add(-1);
      open += 1;
      return { kind: "admitted" };
    },
    release() {
      open = Math.max(0, open - 1);
    },
    update() {
      requestBucket.add(0);
      tokenBucket.add(0);
    },
    recordTokens(count) {
      tokens += count;
      tokenBucket.add(-count);
    },
    setLimits(next) {
      limits = next;
    },
    takeDemand() {
      const elapsedMs = Math.max(1, clock.now() - demandSinceMs);
      const perSecond = millisecondsPerSecond / elapsedMs;
      const rates = Math.max(
        asked * perSecond / limits.requestsPerSecond,
        tokens * perSecond / limits.tokensPerSecond,
      );
      const concurrency = (open + asked) / limits.concurrency;
      asked = 0;
      tokens = 0;
      demandSinceMs = clock.now();
      return { rates, concurrency };
    },
    countInFlight: () => open,
  };
}
