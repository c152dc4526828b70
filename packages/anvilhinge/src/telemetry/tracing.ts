/** Traces: a tracer for one process, and trace context in headers. */
import * as api from "@opentelemetry/api";
import * as core from "@opentelemetry/core";
import * as otlp from "@opentelemetry/exporter-trace-otlp-http";
import * as resources from "@opentelemetry/resources";
import * as sdk from "@opentelemetry/sdk-trace-base";
import type * as process from "../settings/process.ts";

/** Headers by lower-case name. */
export type Headers = Readonly<Record<string, string | undefined>>;

export interface Tracing {
  readonly tracer: api.Tracer;
  /** Sends what is still buffered, then stops. */
  stop(): Promise<void>;
}

export interface TracingOptions {
  /** Role of the process, shown as `service.name`. */
  readonly role: string;
  /** Id of the instance, shown as `service.instance.id`. */
  readonly instanceId: string;
  readonly settings: process.TracingSettings;
  /** Further processors; tests pass a recorder's. */
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

/** Creates the tracer that the settings ask for. */
export function createTracing(
  { role, instanceId, settings, spanProcessors = [] }: TracingOptions,
): Tracing {
  const resource = resources.resourceFromAttributes({
    "service.name": `anvilhinge-${role}`,
    "service.instance.id": instanceId,
  });
  const processors = [...createProcessors(settings), ...spanProcessors];
  const name = "anvilhinge";
  // Without a processor nobody would see the spans, so none are made.
  if (processors.length === 0) {
    return { tracer: createIdleTracer(name), stop: () => Promise.resolve() };
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

function createIdleTracer(name: string): api.Tracer {
  return new api.ProxyTracerProvider().getTracer(name);
}

/** Extracts the caller's trace context; the root context if there is none. */
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

/** Keeps finished spans in memory. */
export interface SpanRecorder {
  /** To be passed to `createTracing`. */
  readonly processor: sdk.SpanProcessor;
  list(): readonly sdk.ReadableSpan[];
  clear(): void;
}

/** Creates a recorder of finished spans for tests. */
export function createSpanRecorder(): SpanRecorder {
  const exporter = new sdk.InMemorySpanExporter();
  return {
    processor: new sdk.SimpleSpanProcessor(exporter),
    list: () => exporter.getFinishedSpans(),
    clear: () => exporter.reset(),
  };
}
