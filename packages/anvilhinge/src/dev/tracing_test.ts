import * as tracing from "../telemetry/tracing.ts";
import * as playgroundSystem from "../testing/playground_system.ts";
import * as caller from "./caller.ts";

const traceId = "0af7651916cd43dd8448eb211c80319c";
const callerSpanId = "b7ad6b7169203331";

test("the span of each hop is a child of the span of the previous hop", async () => {
  const abort = new AbortController();
  const recorder = tracing.createSpanRecorder();
  const running = await playgroundSystem.startPlaygroundSystem({
    half: "association",
    signal: abort.signal,
    entriesPerHalf: 1,
    spanProcessors: [recorder.processor],
  });
  const [entry] = running.entries;

  function sendChat(headers: Readonly<Record<string, string>>) {
    return caller.sendChat({
      address: entry!.address,
      workspace: "drafting/milan",
      headers,
      body: {
        model: "drafting",
        messages: [{ role: "user", content: "agenda" }],
      },
    });
  }

  for (let poll = 0; (await sendChat({})).kind !== "complete"; poll += 1) {
    if (poll > 100) throw new Error("No chat was answered within 100 polls");
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  const outcome = await sendChat({
    traceparent: `00-${traceId}-${callerSpanId}-01`,
  });
  expect(outcome.kind).toBe("complete");
  const listSpans = () =>
    recorder.list().filter((span) => span.spanContext().traceId === traceId);
  for (let poll = 0; poll < 100 && listSpans().length < 3; poll += 1) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  // Read before the stop, which clears the recorder.
  const spans = listSpans();
  await running.stop();
  abort.abort();
  const byName = new Map(spans.map((span) => [span.name, span]));
  expect([...byName.keys()].sort()).toEqual(["agent", "engine", "entry"]);
  expect(spans).toHaveLength(3);
  const getParent = (name: string) =>
    byName.get(name)?.parentSpanContext?.spanId;
  const getId = (name: string) => byName.get(name)?.spanContext().spanId;
  expect(getParent("entry")).toBe(callerSpanId);
  expect(getParent("agent")).toBe(getId("entry"));
  expect(getParent("engine")).toBe(getId("agent"));
});
