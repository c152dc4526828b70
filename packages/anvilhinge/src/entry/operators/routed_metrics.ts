/** Metrics of an entry before routed services, and the server that shows them. */
import * as http from "node:http";
import type * as workHub from "@anvilhinge/coordination/dispatch/work_hub";
import type * as routing from "../../settings/routing.ts";
import type * as metrics from "../../telemetry/metrics.ts";

/** How a request ended, for the counters. */
export interface RequestEnd {
  readonly kind: routing.RouteKind;
  /** Priority of the workspace, or of the route without one. */
  readonly priority: number;
  readonly outcome: "answered" | "failed" | "refused" | "gone";
  readonly tookMs: number;
  /** Time to the first part of the answer; undefined without one. */
  readonly firstMs: number | undefined;
  /** Time that it waited for places. */
  readonly waitedMs: number;
}

/** What is read when the metrics are shown. */
export interface MetricsSources {
  readonly countOpenRequests: () => number;
  readonly getViewVersion: () => number;
  readonly getViewAgeMs: () => number;
  readonly countLiveEntries: () => number;
  readonly isHub: () => boolean;
  readonly countRetriesLeft: () => number;
  readonly describePools: () => readonly workHub.PoolLoad[];
  readonly countDroppedLines: () => number;
  readonly getEventLoopDelayMs: () => number;
}

export interface RoutedMetrics {
  recordRequest(end: RequestEnd): void;
  /** Records a refusal of the entry's own, before any session. */
  recordRefusal(reason: string): void;
  recordRetry(isTaken: boolean): void;
  recordStoreCall(call: string, outcome: "answered" | "failed"): void;
  recordDecision(by: string, kind: "granted" | "denied"): void;
}

/** Creates the metrics of one entry. */
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
  const recordTook = registry.createDistribution({
    name: "anvilhinge_request_duration_ms",
    help: "Time from the arrival of a request to its end, in milliseconds",
  });
  const recordFirst = registry.createDistribution({
    name: "anvilhinge_first_part_ms",
    help: "Time to the first part of an answer, in milliseconds",
  });
  const recordWaited = registry.createDistribution({
    name: "anvilhinge_place_wait_ms",
    help: "Time that requests waited for places, in milliseconds",
  });

  function registerValue(
    name: string,
    help: string,
    read: () => number,
  ): void {
    registry.registerGauge({ name, help, read: () => [{ value: read() }] });
  }

  registerValue(
    "anvilhinge_open_requests",
    "Requests in progress",
    sources.countOpenRequests,
  );
  registerValue(
    "anvilhinge_view_version",
    "Version of the routing settings in force",
    sources.getViewVersion,
  );
  registerValue(
    "anvilhinge_view_age_ms",
    "Time since the store confirmed the routing settings, in milliseconds",
    () => Math.min(sources.getViewAgeMs(), Number.MAX_SAFE_INTEGER),
  );
  registerValue(
    "anvilhinge_live_entries",
    "Entries believed to be alive, this one included",
    sources.countLiveEntries,
  );
  registerValue(
    "anvilhinge_is_hub",
    "1 when this entry is the hub",
    () => sources.isHub() ? 1 : 0,
  );
  registerValue(
    "anvilhinge_retries_left",
    "Retries that this entry may take now",
    sources.countRetriesLeft,
  );
  registerValue(
    "anvilhinge_dropped_log_lines",
    "Log lines that their reader did not take in time",
    sources.countDroppedLines,
  );
  registerValue(
    "anvilhinge_loop_delay_ms",
    "Largest delay of the loop in the last seconds, in milliseconds",
    sources.getEventLoopDelayMs,
  );
  registerValue(
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
      recordTook(Math.round(end.tookMs));
      recordWaited(Math.round(end.waitedMs));
      if (end.firstMs !== undefined) recordFirst(Math.round(end.firstMs));
    },
    recordRefusal: (reason) => countRefusal({ labels: { reason } }),
    recordRetry: (isTaken) =>
      countRetry({ labels: { outcome: isTaken ? "taken" : "refused" } }),
    recordStoreCall: (call, outcome) =>
      countStoreCall({ labels: { call, outcome } }),
    recordDecision: (by, kind) => countDecision({ labels: { by, kind } }),
  };
}

/** Creates the server that shows metrics at any path. */
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

/** Measures by how much timers of the loop come late. */
export function createEventLoopMonitor(
  options: { readonly signal: AbortSignal },
): () => number {
  let largestMs = 0;
  let before = 0;
  let dueAtMs = performance.now() + loopIntervalMs;
  const timer = setInterval(() => {
    const nowMs = performance.now();
    before = Math.max(largestMs, nowMs - dueAtMs);
    largestMs = 0;
    dueAtMs = nowMs + loopIntervalMs;
  }, loopIntervalMs);
  timer.unref();
  options.signal.addEventListener("abort", () => clearInterval(timer), {
    once: true,
  });
  return () => before;
}

const loopIntervalMs = 1_000;
