/** Measures the request path: selection, retained frames and streams. */
import * as choice from "@anvilhinge/coordination/choice";
import * as clock from "@anvilhinge/coordination/clock";
import * as random from "@anvilhinge/coordination/random";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as connectServer from "../../packages/anvilhinge/src/adapters/connect_server.ts";
import * as frameCodec from "../../packages/anvilhinge/src/adapters/frame_codec.ts";
import * as attempts from "../../packages/anvilhinge/src/agent/attempts.ts";
import * as eventId from "../../packages/anvilhinge/src/entry/session/event_id.ts";
import * as agentPb from "../../packages/anvilhinge/src/gen/anvilhinge/v1/agent_pb.ts";
import type * as frames from "../../packages/anvilhinge/src/ports/frames.ts";
import type * as fit from "./fit.ts";
import * as measure from "./measure.ts";
import type * as table from "./table.ts";

const seed = 1;
const upstreamCounts = [1_000, 5_500, 11_000];
const batchSizes = [1, 4, 16, 64];
const answerCounts = [32, 128, 512];
const tokensPerAnswer = 300;
const modelCount = 26;
const rankCount = 128;
/** One token as a server-sent event. */
const tokenEvent = Buffer.from(
  `data: ${
    JSON.stringify({
      id: "chatcmpl-1",
      object: "chat.completion.chunk",
      choices: [{ index: 0, delta: { content: " valve" } }],
    })
  }\n\n`,
);

function createChooser(count: number): choice.Chooser<choice.Upstream> {
  const chooser = choice.createChooser<choice.Upstream>({
    clock: clock.createManualClock(),
    random: random.createRandomSource(seed),
    nodeId: "entry-0",
    location: { failureDomain: "domain-0", region: "region-0" },
  });
  const upstreamsPerModel = Math.floor(count / modelCount);
  for (let model = 0; model < modelCount; model += 1) {
    chooser.setPool(
      `model-${model}`,
      Array.from({ length: upstreamsPerModel }, (_, index) => ({
        id: `group-${model}-${Math.floor(index / rankCount)}/${index}`,
        group: `group-${model}-${Math.floor(index / rankCount)}`,
        failureDomain: `domain-${index % 10}`,
        region: `region-${index % 4}`,
      })),
    );
  }
  return chooser;
}

async function measureChoice(count: number) {
  const bytes = measure.measureRetainedBytes(() => createChooser(count));
  const chooser = createChooser(count);
  const attemptedIds = new Set<string>();
  const rounds = 50_000;

  function choose(choiceCount: number): void {
    for (let round = 0; round < choiceCount; round += 1) {
      const outcome = chooser.choose(`model-${round % modelCount}`, {
        attemptedIds,
      });
      if (outcome.kind !== "chosen") throw new Error(outcome.kind);
      chooser.recordSent(outcome.upstream.id);
      chooser.recordEnded(outcome.upstream.id, { isCompleted: true });
    }
  }

  choose(rounds);
  const cpuUs = await measure.measureCpuUs(() => choose(rounds));
  return { bytes, cpuUs: cpuUs / rounds };
}

/** Creates the attempts of an agent that retains `count` complete answers. */
function createRetainedAttempts(count: number): attempts.Attempts {
  const agentAttempts = attempts.createAttempts({
    clock: clock.createManualClock(),
    group: "group",
    rank: 0,
    incarnation: "incarnation",
    maxRunning: count,
    readLoad: () => ({ running: 0, queued: 0, stepUs: 0 }),
  });
  agentAttempts.setAssignment({
    group: "group",
    half: "association",
    epoch: 1,
    state: "serving",
  });
  for (let index = 0; index < count; index += 1) {
    const attemptId = `attempt-${index}`;
    const outcome = agentAttempts.offer({
      requestId: `request-${index}`,
      attemptId,
      workspace: "drafting/milan",
      half: "association",
      epoch: 1,
      group: "group",
      rank: 0,
      priority: 4,
      deadlineMs: 60_000,
      incarnation: "incarnation",
      startByMs: 1_000,
      isRepeatable: true,
      work: { kind: "model", model: "drafting", body: new Uint8Array() },
    }, () => {});
    if (outcome.kind !== "start") throw new Error(outcome.kind);
    agentAttempts.receiveEvent(attemptId, {
      kind: "head",
      head: { status: 200, headers: [] },
    });
    for (let token = 0; token < tokensPerAnswer; token += 1) {
      const data = Uint8Array.from(tokenEvent);
      agentAttempts.receiveEvent(attemptId, { kind: "data", data });
    }
  }
  return agentAttempts;
}

async function measureRetained(count: number) {
  const buffersBefore = process.memoryUsage().arrayBuffers;
  const bytes = measure.measureRetainedBytes(() =>
    createRetainedAttempts(count)
  );
  const bufferBytes = process.memoryUsage().arrayBuffers - buffersBefore;
  const cpuUs = await measure.measureCpuUs(() => {
    createRetainedAttempts(count);
  });
  return {
    bytes: bytes + Math.max(0, bufferBytes),
    cpuUs: cpuUs / count / tokensPerAnswer,
  };
}

/**
 * Measures the processor time of both ends per token for frames that carry
 * several tokens.
 */
async function measureStream(tokensPerFrame: number): Promise<number> {
  const abort = new AbortController();
  const frameCount = Math.ceil(8_000 / tokensPerFrame);
  const data = Buffer.concat(
    Array.from({ length: tokensPerFrame }, () => tokenEvent),
  );
  const address = await connectServer.startConnectServer({
    host: "127.0.0.1",
    port: 0,
    signal: abort.signal,
    routes(router) {
      router.service(agentPb.AgentService, {
        async *run(request) {
          for (let sequence = 0; sequence < frameCount; sequence += 1) {
            yield frameCodec.encodeFrame({
              requestId: request.requestId,
              attemptId: request.attemptId,
              sequence,
              body: { kind: "chunk", data },
            });
            // Yields to the event loop between frames, as in a stream whose
            // tokens arrive one after another.
            await new Promise(setImmediate);
          }
        },
      });
    },
  });
  const sessionManager = new connectNode.Http2SessionManager(
    `http://${address}`,
  );
  const client = connect.createClient(
    agentPb.AgentService,
    connectNode.createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: "2",
      sessionManager,
    }),
  );

  async function consume(): Promise<void> {
    const point = { requestId: "r", attemptId: "a", group: "g", rank: 0 };
    for await (
      const message of client.run({ requestId: "r", attemptId: "a" })
    ) {
      const frame: frames.Frame | undefined = frameCodec.decodeFrame(message);
      if (frame?.body.kind !== "chunk") continue;
      const { sequence } = frame;
      eventId.insertEventIds(frame.body.data, {
        point: { ...point, sequence },
      });
    }
  }

  await consume();
  const cpuUs = await measure.measureCpuUs(consume);
  sessionManager.abort();
  abort.abort();
  return cpuUs / (frameCount * tokensPerFrame);
}

function buildSamples(
  sizes: readonly number[],
  values: readonly number[],
): readonly fit.Sample[] {
  return sizes.map((size, index) => ({ size, value: values[index] ?? 0 }));
}

/** Measures the request path; takes about half a minute. */
export async function measureWork(): Promise<readonly table.CostRow[]> {
  const choices = [];
  for (const count of upstreamCounts) choices.push(await measureChoice(count));
  const retained = [];
  for (const count of answerCounts) retained.push(await measureRetained(count));
  const streamCostsUs: number[] = [];
  for (const size of batchSizes) streamCostsUs.push(await measureStream(size));
  return [
    {
      mechanism: "choice of upstream",
      cost: "state of an entry",
      unit: "bytes",
      sizeUnit: "upstreams",
      samples: buildSamples(upstreamCounts, choices.map(({ bytes }) => bytes)),
      targetSize: 11_000,
    },
    {
      mechanism: "choice of upstream",
      cost: "choose, sent, ended",
      unit: "us",
      sizeUnit: "upstreams",
      samples: buildSamples(upstreamCounts, choices.map(({ cpuUs }) => cpuUs)),
      targetSize: 11_000,
    },
    {
      mechanism: "frames held for resume",
      cost: "state of an agent",
      unit: "bytes",
      sizeUnit: "answers of 300 tokens",
      samples: buildSamples(
        answerCounts,
        retained.map(({ bytes }) => bytes),
      ),
      targetSize: 128,
    },
    {
      mechanism: "frames held for resume",
      cost: "one token",
      unit: "us",
      sizeUnit: "answers of 300 tokens",
      samples: buildSamples(
        answerCounts,
        retained.map(({ cpuUs }) => cpuUs),
      ),
      targetSize: 128,
    },
    {
      mechanism: "stream from agent to entry",
      cost: "one token, both ends",
      unit: "us",
      sizeUnit: "tokens a frame",
      samples: buildSamples(batchSizes, streamCostsUs),
      targetSize: 16,
    },
  ];
}
