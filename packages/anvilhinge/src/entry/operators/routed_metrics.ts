/** Metrics of an entry for routed services, and the HTTP server for them. */
import * as http from "node:http";
import type * as workHub from "@anvilhinge/coordination/dispatch/work_hub";
import type * as routing from "../../settings/routing.ts";
import type * as metrics from "../../telemetry/metrics.ts";

/** Result of a request, for the metrics. */
export interface RequestEnd {
  readonly kind: routing.RouteKind;
  /** Priority of the workspace, or of the route if there is no workspace. */
  readonly priority: number;
  /**
   * `cut` = the entry broke the answer off after its first part; `gone` = the
   * caller disconnected before the end of the answer.
   */
  readonly outcome: "answered" | "cut" | "failed" | "refused" | "gone";
  readonly tookMs: number;
  /** Time to the first part; undefined for a whole answer or without a part. */
  readonly firstMs: number | undefined;
  /** Time for which the request waited for slots. */
  readonly waitedMs: number;
}

/** Values that are read when the metrics are rendered. */
export interface MetricsSources {
  readonly countOpenRequests: () => number;
  readonly getViewVersion: () => number;
  readonly getViewAgeMs: () => number;
  readonly countLiveEntries: () => number;
  readonly isHub: () => boolean;
  readonly countRetriesLeft: () => number;
  readonly describePools: () => readonly workHub.PoolLoad[];
  readonly countLimitedUpstreams: () => number;
  readonly countDroppedLines: () => number;
  readonly getEventLoopDelayMs: () => number;
}

export interface RoutedMetrics {
  recordRequest(end: RequestEnd): void;
  /** Records that the entry refused a request before a session began. */
  recordRefusal(reason: string): void;
  recordRetry(isTaken: boolean): void;
  /** Records a dispatch to an upstream that names a rate limit. */
  recordLimitedDispatch(): void;
  recordStoreCall(call: string, outcome: "answered" | "failed"): void;
  recordDecision(by: string, kind: "granted" | "denied"): void;
}

/** Registers the metrics of one entry. */
export function createRoutedMetrics(
  registry: metrics.Metrics,
  sources: MetricsSources,
): RoutedMetrics {
  const countRequest = registry.createCounter({
    name: "anvilhinge_requests_total",
    help: "Requests by route kind, priority and outcome",
    labelNames: ["kind", "priority", "outcome"],
  });
  const countRefusal = registry.createCounter({
    name: "anvilhinge_refusals_total",
    help: "Requests refused before a session began, by reason",
    labelNames: ["reason"],
  });
  const countRetry = registry.createCounter({
    name: "anvilhinge_retries_total",
    help: "Retries asked of the budget by outcome",
    labelNames: ["outcome"],
  });
  const countLimitedDispatch = registry.createCounter({
    name: "anvilhinge_limited_dispatches_total",
    help: "Attempts sent to upstreams that name a rate limit",
  });
  const countStoreCall = registry.createCounter({
    name: "anvilhinge_store_calls_total",
    help: "Calls to the platform's store by kind and outcome",
    labelNames: ["call", "outcome"],
  });
  const countDecision = registry.createCounter({
    name: "anvilhinge_place_decisions_total",
    help: "Decisions on places by who made them: the hub or the own share",
    labelNames: ["by", "kind"],
  });
  const recordDuration = registry.createDistribution({
    name: "anvilhinge_request_duration_ms",
    help: "Time from the arrival of a request to its end, in milliseconds",
  });
  const recordFirstPart = registry.createDistribution({
    name: "anvilhinge_first_part_ms",
    help: "Time to the first part of an answer, in milliseconds",
  });
  const recordSlotWait = registry.createDistribution({
    name: "anvilhinge_place_wait_ms",
    help: "Time that requests waited for places, in milliseconds",
  });

  function registerValueGauge(
    name: string,
    help: string,
    read: () => number,
  ): void {
    registry.registerGauge({ name, help, read: () => [{ value: read() }] });
  }

  registerValueGauge(
    "anvilhinge_open_requests",
    "Requests in progress",
    sources.countOpenRequests,
  );
  registerValueGauge(
    "anvilhinge_view_version",
    "Version of the routing settings in force",
    sources.getViewVersion,
  );
  registerValueGauge(
    "anvilhinge_view_age_ms",
    "Time since the store confirmed the routing settings, in milliseconds",
    () => Math.min(sources.getViewAgeMs(), Number.MAX_SAFE_INTEGER),
  );
  registerValueGauge(
    "anvilhinge_live_entries",
    "Entries believed to be alive, this one included",
    sources.countLiveEntries,
  );
  registerValueGauge(
    "anvilhinge_is_hub",
    "1 when this entry is the hub",
    () => sources.isHub() ? 1 : 0,
  );
  registerValueGauge(
    "anvilhinge_retries_left",
    "Retries that this entry may take now",
    sources.countRetriesLeft,
  );
  registerValueGauge(
    "anvilhinge_limited_upstreams",
    "Upstreams that name a rate limit, as this entry knows",
    sources.countLimitedUpstreams,
  );
  registerValueGauge(
    "anvilhinge_dropped_log_lines",
    "Log lines that their reader did not take in time",
    sources.countDroppedLines,
  );
  registerValueGauge(
    "anvilhinge_loop_delay_ms",
    "Largest delay of the loop in the last seconds, in milliseconds",
    sources.getEventLoopDelayMs,
  );
  registerValueGauge(
    "anvilhinge_memory_bytes",
    "Resident memory of the process, in bytes",
    () => process.memoryUsage.rss(),
  );
  for (const field of ["waiting", "taken", "limit"] as const) {
    registry.registerGauge({
      name: `anvilhinge_pool_${field}`,
      help: `Requests of a pool as the hub knows it: ${field}`,
      labelNames: ["pool"],
      read: () =>
        sources.isHub()
          ? sources.describePools().map((load) => ({
            value: load[field],
            labels: { pool: load.pool },
          }))
          : [],
    });
  }

  return {
    recordRequest(end) {
      const { kind, priority, outcome } = end;
      countRequest({
        labels: { kind, priority: String(priority), outcome },
      });
      recordDuration(Math.round(end.tookMs));
      recordSlotWait(Math.round(end.waitedMs));
      if (end.firstMs !== undefined) recordFirstPart(Math.round(end.firstMs));
    },
    recordRefusal: (reason) => countRefusal({ labels: { reason } }),
    recordRetry: (isTaken) =>
      countRetry({ labels: { outcome: isTaken ? "taken" : "refused" } }),
    recordLimitedDispatch: () => countLimitedDispatch({}),
    recordStoreCall: (call, outcome) =>
      countStoreCall({ labels: { call, outcome } }),
    recordDecision: (by, kind) => countDecision({ labels: { by, kind } }),
  };
}

/** Creates the server that answers requests for any path with the metrics. */
export function createMetricsServer(registry: metrics.Metrics): http.Server {
  return http.createServer((_request, response) => {
    registry.render().then((text) => {
      response.writeHead(200, { "Content-Type": registry.contentType });
      response.end(text);
    }, (error: Error) => {
      response.writeHead(500, { "Content-Type": "text/plain" });
      response.end(`The metrics can't be shown: ${error.message}\n`);
    });
  });
}

/**
 * Measures the delay of a periodic timer on the event loop; the returned function
 * returns the last measured delay in milliseconds.
 */
export function createEventLoopMonitor(
  options: { readonly signal: AbortSignal },
): () => number {
  let largestMs = 0;
  let lastDelayMs = 0;
  let expectedAtMs = performance.now() + loopSampleIntervalMs;
  const timer = setInterval(() => {
    const nowMs = performance.now();
    lastDelayMs = Math.max(largestMs, nowMs - expectedAtMs);
    largestMs = 0;
    expectedAtMs = nowMs + loopSampleIntervalMs;
  }, loopSampleIntervalMs);
  timer.unref();
  options.signal.addEventListener("abort", () => clearInterval(timer), {
    once: true,
  });
  return () => lastDelayMs;
}

const loopSampleIntervalMs = 1_000;
