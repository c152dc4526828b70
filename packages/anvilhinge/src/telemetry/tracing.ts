/** Tracer of one process, and trace context propagation in headers. */
import * as api from "@opentelemetry/api";
import * as core from "@opentelemetry/core";
import * as otlp from "@opentelemetry/exporter-trace-otlp-http";
import * as resources from "@opentelemetry/resources";
import * as sdk from "@opentelemetry/sdk-trace-base";
import type * as process from "../settings/process.ts";

/** Headers, keyed by lower-case name. */
export type Headers = Readonly<Record<string, string | undefined>>;

export interface Tracing {
  readonly tracer: api.Tracer;
  /** Flushes buffered spans, then stops. */
  stop(): Promise<void>;
}

export interface TracingOptions {
  /** Role of the process, exported in `service.name`. */
  readonly role: string;
  /** Id of the instance, exported as `service.instance.id`. */
  readonly instanceId: string;
  readonly settings: process.TracingSettings;
  /** Additional span processors; tests pass that of a recorder. */
  readonly spanProcessors?: readonly sdk.SpanProcessor[];
}

const propagator = new core.W3CTraceContextPropagator();

function createProcessors(
  settings: process.TracingSettings,
): readonly sdk.SpanProcessor[] {
  switch (settings.exporter) {
    case "none":
      return [];
    case "console":
      return [new sdk.SimpleSpanProcessor(new sdk.ConsoleSpanExporter())];
    case "otlp": {
      const exporter = new otlp.OTLPTraceExporter({ url: settings.endpoint });
      return [new sdk.BatchSpanProcessor(exporter)];
    }
  }
}

/** Creates a tracer with the configured exporter. */
export function createTracing(
  { role, instanceId, settings, spanProcessors = [] }: TracingOptions,
): Tracing {
  const resource = resources.resourceFromAttributes({
    "service.name": `anvilhinge-${role}`,
    "service.instance.id": instanceId,
  });
  const processors = [...createProcessors(settings), ...spanProcessors];
  const name = "anvilhinge";
  // Without a processor no span would be exported, so none are recorded.
  if (processors.length === 0) {
    return { tracer: createNoopTracer(name), stop: () => Promise.resolve() };
  }
  const provider = new sdk.BasicTracerProvider({
    resource,
    spanProcessors: processors,
  });
  return {
    tracer: provider.getTracer(name),
    stop: () => provider.shutdown(),
  };
}

function createNoopTracer(name: string): api.Tracer {
  return new api.ProxyTracerProvider().getTracer(name);
}

/** Extracts the caller's trace context; root context if there is none. */
export function extractContext(headers: Headers): api.Context {
  return propagator.extract(
    api.ROOT_CONTEXT,
    headers,
    api.defaultTextMapGetter,
  );
}

/** Returns the headers with the trace context added. */
export function injectContext(
  context: api.Context,
  headers: Headers = {},
): Headers {
  const carrier = { ...headers };
  propagator.inject(context, carrier, api.defaultTextMapSetter);
  return carrier;
}

/** Recorder that keeps finished spans in memory. */
export interface SpanRecorder {
  /** Span processor to pass to `createTracing`. */
  readonly processor: sdk.SpanProcessor;
  list(): readonly sdk.ReadableSpan[];
  clear(): void;
}

/** Creates a span recorder for tests. */
export function createSpanRecorder(): SpanRecorder {
  const exporter = new sdk.InMemorySpanExporter();
  return {
    processor: new sdk.SimpleSpanProcessor(exporter),
    list: () => exporter.getFinishedSpans(),
    clear: () => exporter.reset(),
  };
}
