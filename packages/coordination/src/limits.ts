/**
 * Limits of one workspace at one entry: requests per second, tokens per second
 * and requests in flight, each scaled by the share that the entry holds. In any
 * window, all entries together admit at most `limit x seconds`, plus one burst
 * of `limit x burstMs`, plus one request per entry. Tokens are counted only
 * after they have been generated, so running requests may put the token bucket
 * into debt. Further requests are refused until the debt is repaid.
 */
import type * as clock from "./clock.ts";

export interface Limits {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Maximum number of requests in flight. */
  readonly concurrency: number;
}

export type LimitName = keyof Limits;

export type AdmitOutcome =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    readonly limit: LimitName;
    /** Time until capacity is free at the current share, in milliseconds. */
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
   * Time for which unused requests and tokens accumulate, in milliseconds.
   * @default 1000
   */
  readonly burstMs?: number;
  /**
   * Initial fill level of the buckets, from 0 to 1. Use 0 if another entry may
   * just have used the shares.
   * @default 0
   */
  readonly initialFill?: number;
}

export interface Limiter {
  /** Admits a request, or refuses it at once with a retry delay. */
  admit(): AdmitOutcome;
  /** Must be called once per admitted request, when it ends. */
  release(): void;
  /**
   * Fills the buckets at the current shares. Must be called just before the
   * shares rise; otherwise the time since the last call is credited at the
   * higher rate. The shares may fall at any time.
   */
  update(): void;
  /** Counts tokens that were generated. */
  recordTokens(count: number): void;
  setLimits(limits: Limits): void;
  /** Returns the shares that callers demanded since the last call. */
  takeDemand(): Shares;
  countInFlight(): number;
}

interface Bucket {
  /** Returns the time until one unit is available, in milliseconds. */
  check(): number;
  add(amount: number): void;
}

const defaultBurstMs = 1_000;
const millisecondsPerSecond = 1_000;
const maxRetryMs = 30_000;
const concurrencyRetryMs = 1_000;
/** Tolerance, so that shares whose sum is 1 except for rounding count as 1. */
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
  let storedUnits: number | undefined;

  function computeCapacity(): number {
    const rate = readRate();
    return rate === 0 ? 0 : Math.max(1, rate * burstMs / millisecondsPerSecond);
  }

  function fill(): number {
    const nowMs = clock.now();
    const added = readRate() * (nowMs - filledAtMs) / millisecondsPerSecond;
    const current = storedUnits ?? computeCapacity() * options.initialFill;
    storedUnits = Math.min(computeCapacity(), current + added);
    filledAtMs = nowMs;
    return storedUnits;
  }

  return {
    check() {
      const missingUnits = 1 - fill();
      if (missingUnits <= roundingSlack) return 0;
      const rate = readRate();
      if (rate === 0) return maxRetryMs;
      return Math.min(maxRetryMs, missingUnits / rate * millisecondsPerSecond);
    },
    add(amount) {
      storedUnits = fill() + amount;
    },
  };
}

/** Creates a limiter without requests in flight. */
export function createLimiter(options: LimiterOptions): Limiter {
  const { clock, readShares } = options;
  const burstMs = options.burstMs ?? defaultBurstMs;
  const initialFill = options.initialFill ?? 0;
  let limits = options.limits;
  let inFlight = 0;
  let admitCalls = 0;
  let tokens = 0;
  let demandSinceMs = clock.now();
  const bucketOptions = { clock, burstMs, initialFill };
  const requestBucket = createBucket({
    ...bucketOptions,
    readRate: () => limits.requestsPerSecond * readShares().rates,
  });
  const tokenBucket = createBucket({
    ...bucketOptions,
    readRate: () => limits.tokensPerSecond * readShares().rates,
  });

  function refuse(limit: LimitName, retryAfterMs: number): AdmitOutcome {
    return { kind: "refused", limit, retryAfterMs: Math.ceil(retryAfterMs) };
  }

  return {
    admit() {
      admitCalls += 1;
      const maxInFlight = limits.concurrency * readShares().concurrency;
      if (inFlight + 1 > maxInFlight + roundingSlack) {
        return refuse("concurrency", concurrencyRetryMs);
      }
      const tokenWaitMs = tokenBucket.check();
      if (tokenWaitMs > 0) return refuse("tokensPerSecond", tokenWaitMs);
      const requestWaitMs = requestBucket.check();
      if (requestWaitMs > 0) return refuse("requestsPerSecond", requestWaitMs);
      requestBucket.add(-1);
      inFlight += 1;
      return { kind: "admitted" };
    },
    release() {
      inFlight = Math.max(0, inFlight - 1);
    },
    update() {
      requestBucket.add(0);
      tokenBucket.add(0);
    },
    recordTokens(count) {
      tokens += count;
      tokenBucket.add(-count);
    },
    setLimits(newLimits) {
      limits = newLimits;
    },
    takeDemand() {
      const elapsedMs = Math.max(1, clock.now() - demandSinceMs);
      const perSecond = millisecondsPerSecond / elapsedMs;
      const rates = Math.max(
        admitCalls * perSecond / limits.requestsPerSecond,
        tokens * perSecond / limits.tokensPerSecond,
      );
      const concurrency = (inFlight + admitCalls) / limits.concurrency;
      admitCalls = 0;
      tokens = 0;
      demandSinceMs = clock.now();
      return { rates, concurrency };
    },
    countInFlight: () => inFlight,
  };
}
