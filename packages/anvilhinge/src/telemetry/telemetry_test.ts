import * as stream from "node:stream";
import * as api from "@opentelemetry/api";
import * as logger from "./logger.ts";
import * as metrics from "./metrics.ts";
import * as tracing from "./tracing.ts";

function createRecordingLogger(level: "info" | "warn") {
  const sink = new stream.PassThrough();
  const log = logger.createLogger({ component: "entry", level, stream: sink });
  function readMessages(): readonly string[] {
    const text = String(sink.read() ?? "");
    return text.split("\n").filter(Boolean).map((line) => JSON.parse(line).msg);
  }
  return { log, readMessages };
}

test("prefixes each message with its component", () => {
  const { log, readMessages } = createRecordingLogger("info");
  log.debug("Not shown");
  log.info("Started", { port: 1 });
  log.error("Failed");
  expect(readMessages()).toEqual(["[entry] Started", "[entry] Failed"]);
});

test("warns only once about a repeated cause", () => {
  const { log, readMessages } = createRecordingLogger("warn");
  log.warnOnce("a", "First");
  log.warnOnce("a", "Second");
  log.warnOnce("b", "Third");
  expect(readMessages()).toEqual(["[entry] First", "[entry] Third"]);
});

test("renders metrics as text and removes omitted label sets", async () => {
  const registry = metrics.createMetrics();
  const count = registry.createCounter({
    name: "requests_total",
    help: "Requests",
    labelNames: ["outcome"],
  });
  count({ labels: { outcome: "done" } });
  count({ labels: { outcome: "done" }, amount: 2 });
  registry.createGauge({ name: "running", help: "Running" })(4);
  let readings = [{ value: 1, labels: { rank: "0" } }];
  registry.registerGauge({
    name: "load",
    help: "Load",
    labelNames: ["rank"],
    read: () => readings,
  });
  const record = registry.createDistribution({
    name: "step_us",
    help: "Step time in microseconds",
  });
  for (let value = 1; value <= 100; value += 1) record(value);
  const text = await registry.render();
  expect(text).toContain('requests_total{outcome="done"} 3');
  expect(text).toContain("running 4");
  expect(text).toContain('load{rank="0"} 1');
  expect(text).toContain('step_us{quantile="0.95"} 95');
  readings = [];
  expect(await registry.render()).not.toContain("load{");
});

test("a span continues the trace from the caller's headers", () => {
  const recorder = tracing.createSpanRecorder();
  const { tracer } = tracing.createTracing({
    role: "entry",
    instanceId: "entry-1",
    settings: { exporter: "none" },
    spanProcessors: [recorder.processor],
  });
  const traceId = "0af7651916cd43dd8448eb211c80319c";
  const parentId = "b7ad6b7169203331";
  const parent = tracing.extractContext({
    traceparent: `00-${traceId}-${parentId}-01`,
  });
  const span = tracer.startSpan("hop", {}, parent);
  const context = api.trace.setSpan(parent, span);
  const headers = tracing.injectContext(context, { accept: "text/plain" });
  span.end();
  expect(headers).toEqual({
    accept: "text/plain",
    traceparent: `00-${traceId}-${span.spanContext().spanId}-01`,
  });
  expect(recorder.list().map((item) => item.parentSpanContext?.spanId))
    .toEqual([parentId]);
});

test("propagates the caller's trace context without an exporter", () => {
  const { tracer } = tracing.createTracing({
    role: "agent",
    instanceId: "agent-1",
    settings: { exporter: "none" },
  });
  const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const parent = tracing.extractContext({ traceparent });
  const span = tracer.startSpan("hop", {}, parent);
  const context = api.trace.setSpan(parent, span);
  expect(tracing.injectContext(context)).toEqual({ traceparent });
});
