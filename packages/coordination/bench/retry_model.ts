/** Simulates the load that retries add when a share of the upstreams fails. */
import * as choice from "../src/choice.ts";
import * as health from "../src/health.ts";
import * as random from "../src/random.ts";
import * as retryBudget from "../src/retry_budget.ts";
import * as eventQueue from "./event_queue.ts";

export interface RetryResult {
  /** Attempts divided by requests after the failure. */
  readonly amplification: number;
  readonly completedRequestShare: number;
  /** Longest time from the failure to the ejection of a failed upstream. */
  readonly slowestEjectionMs: number;
  /** Failed upstreams that were ejected. */
  readonly ejectedCount: number;
  /** Ejections of upstreams that had not failed. */
  readonly falseEjectionCount: number;
}

export interface RetryOptions {
  readonly seed: number;
  readonly usesBudget: boolean;
  readonly usesHealth: boolean;
  /** Share of the attempts that fail at a healthy upstream. */
  readonly baseFailureShare: number;
  /** Share of the upstreams that fail; 1 simulates a failure common to all. */
  readonly failedShare: number;
}

const upstreamCount = 48;
const requestIntervalMs = 2;
const attemptMs = 200;
/** Duration of an attempt that fails. */
const failedAttemptMs = 10;
/** Time at which upstreams fail; requests and attempts count from then on. */
const failAtMs = 10_000;
const durationMs = 60_000;
const maxAttempts = 4;

/** Runs the simulation once. */
export function measureRetries(options: RetryOptions): RetryResult {
  const events = eventQueue.createEventQueue();
  const source = random.createRandomSource(options.seed);
  const budget = retryBudget.createRetryBudget({ clock: events });
  const failedIds = new Set<string>();
  const ejectedAtMs = new Map<string, number>();
  let falseEjectionCount = 0;
  const upstreamHealth = health.createHealth({
    clock: events,
    random: source,
    onChange({ kind, upstreamId }) {
      if (kind !== "ejected") return;
      if (!failedIds.has(upstreamId)) falseEjectionCount += 1;
      else if (!ejectedAtMs.has(upstreamId)) {
        ejectedAtMs.set(upstreamId, events.now());
      }
    },
  });
  const members = Array.from({ length: upstreamCount }, (_, index) => ({
    id: `u${index}`,
    group: `g${index}`,
    failureDomain: "d0",
    region: "r0",
  }));
  const chooser = choice.createChooser<choice.Upstream>({
    clock: events,
    random: source,
    nodeId: "n0",
    location: { failureDomain: "d0", region: "r0" },
    minSubsetSize: upstreamCount,
    ...(options.usesHealth
      ? {
        isAvailable: upstreamHealth.isAvailable,
        computePenalty: upstreamHealth.computePenalty,
      }
      : {}),
  });
  chooser.setPool("pool", members);
  upstreamHealth.setPool("pool", {
    members: members.map((member) => member.id),
    maxEjectedShare: 0.5,
  });
  const counts = { requests: 0, attempts: 0, completed: 0 };

  function startAttempt(tried: Set<string>, isCounted: boolean): void {
    const outcome = chooser.choose("pool", { attemptedIds: tried });
    if (outcome.kind !== "chosen") return;
    const { id } = outcome.upstream;
    tried.add(id);
    if (isCounted) counts.attempts += 1;
    const sentAtMs = events.now();
    chooser.recordSent(id);
    upstreamHealth.recordSent(id);
    const isFailing = failedIds.has(id) || source() < options.baseFailureShare;
    events.schedule(() => {
      chooser.recordEnded(id, { sentAtMs, isCompleted: !isFailing });
      upstreamHealth.recordOutcome(id, isFailing ? "failed" : "completed");
      if (!isFailing) {
        if (isCounted) counts.completed += 1;
        return;
      }
      if (tried.size >= maxAttempts) return;
      if (!options.usesBudget || budget.take()) startAttempt(tried, isCounted);
    }, isFailing ? failedAttemptMs : attemptMs);
  }

  function handleArrival(): void {
    events.schedule(handleArrival, requestIntervalMs);
    budget.recordRequest();
    const isCounted = events.now() >= failAtMs;
    if (isCounted) counts.requests += 1;
    startAttempt(new Set(), isCounted);
  }

  handleArrival();
  events.schedule(() => {
    const count = Math.round(upstreamCount * options.failedShare);
    for (const member of members.slice(0, count)) failedIds.add(member.id);
  }, failAtMs);
  events.run(durationMs);
  const ejectionTimesMs = [...ejectedAtMs.values()].map((atMs) =>
    atMs - failAtMs
  );
  return {
    amplification: counts.attempts / counts.requests,
    completedRequestShare: counts.completed / counts.requests,
    slowestEjectionMs: Math.max(0, ...ejectionTimesMs),
    ejectedCount: ejectedAtMs.size,
    falseEjectionCount,
  };
}
