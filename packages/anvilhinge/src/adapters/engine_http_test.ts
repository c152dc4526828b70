import * as net from "node:net";
import * as random from "@anvilhinge/coordination/random";
import type * as ports from "../ports/engine.ts";
import * as answer from "../stand_ins/answer.ts";
import * as chatFormat from "../stand_ins/chat_format.ts";
import * as faults from "../stand_ins/faults.ts";
import * as modelEngine from "../stand_ins/model_engine.ts";
import * as modelEngineHttp from "../stand_ins/model_engine_http.ts";
import * as plainService from "../stand_ins/plain_service.ts";
import * as plainServiceHttp from "../stand_ins/plain_service_http.ts";
import * as engineHttp from "./engine_http.ts";
import * as systemScheduler from "./system_scheduler.ts";

const scheduler = systemScheduler.createSystemScheduler();
const localAddress = { host: "127.0.0.1", port: 0 };
let controller: AbortController;

beforeEach(() => {
  controller = new AbortController();
});
afterEach(() => controller.abort());

function connect(baseUrl: string): ports.Engine {
  const { signal } = controller;
  const loadIntervalMs = 60_000;
  return engineHttp.createHttpEngine({
    baseUrl,
    loadIntervalMs,
    scheduler,
    signal,
  });
}

interface SendResult {
  readonly head: ports.AnswerHead | undefined;
  readonly text: string;
  readonly last: ports.EngineEvent;
}

interface SendOptions {
  readonly method: string;
  readonly path: string;
  readonly value?: unknown;
  readonly signal?: AbortSignal;
  readonly onData?: () => void;
}

function send(engine: ports.Engine, options: SendOptions): Promise<SendResult> {
  let head: ports.AnswerHead | undefined;
  const chunks: Uint8Array[] = [];
  const text = options.value === undefined ? "" : JSON.stringify(options.value);
  return new Promise((resolve) =>
    engine.start({
      requestId: "r",
      attemptId: "a",
      method: options.method,
      path: options.path,
      headers: [["content-type", "application/json"]],
      body: Buffer.from(text),
      priority: 0,
      deadlineMs: 60_000,
      signal: options.signal ?? controller.signal,
      onEvent(event) {
        if (event.kind === "head") head = event.head;
        else if (event.kind === "data") {
          chunks.push(event.data);
          options.onData?.();
        } else {
          resolve({
            head,
            text: Buffer.concat(chunks).toString(),
            last: event,
          });
        }
      },
    })
  );
}

async function startRank() {
  const engine = modelEngine.createModelEngine({
    scheduler,
    random: random.createRandomSource(1),
    rankCount: 1,
    stepMs: 1,
    reportLagMs: 0,
  });
  const faultSwitch = faults.createFaultSwitch();
  const server = modelEngineHttp.createModelEngineHttp({
    engine,
    rank: 0,
    faults: faultSwitch,
    scheduler,
  });
  const { signal } = controller;
  const { baseUrl } = await server.listen({ ...localAddress, signal });
  return { engine, baseUrl, client: connect(baseUrl) };
}

async function startService() {
  const service = plainService.createPlainService({ clock: scheduler });
  const faultSwitch = faults.createFaultSwitch();
  const server = plainServiceHttp.createPlainServiceHttp({
    service,
    faults: faultSwitch,
    scheduler,
  });
  const { signal } = controller;
  const { baseUrl } = await server.listen({ ...localAddress, signal });
  return { service, faultSwitch, baseUrl, client: connect(baseUrl) };
}

const body: answer.ChatBody = {
  model: "m",
  messages: [{ role: "user", content: "Which valve is open" }],
};

const filing = {
  method: "POST",
  path: "/filings",
  value: { businessId: "f-1", recordId: "r-1", text: "t" },
};

describe("engine over HTTP", () => {
  test("forwards a streamed and a whole answer unchanged", async () => {
    const { client } = await startRank();
    const path = "/v1/chat/completions";
    const value = { ...body, stream: true };
    const streamed = await send(client, { method: "POST", path, value });
    expect(streamed.text).toBe(chatFormat.renderStream(body));
    expect(streamed.last).toEqual({ kind: "end" });
    expect(streamed.head?.status).toBe(200);
    expect(streamed.head?.headers)
      .toContainEqual(["content-type", "text/event-stream"]);
    const whole = await send(client, { method: "POST", path, value: body });
    expect(whole.text).toBe(chatFormat.renderCompletion(body));
    const content = JSON.parse(whole.text).choices[0].message.content;
    expect(content).toBe(answer.generateTokens(body).join(""));
  });

  test("cancels the work when the signal is aborted", async () => {
    const { engine, client } = await startRank();
    const cancel = new AbortController();
    const sent = await send(client, {
      method: "POST",
      path: "/v1/chat/completions",
      value: { ...body, stream: true },
      signal: cancel.signal,
      onData: () => cancel.abort(),
    });
    expect(sent.last).toMatchObject({ kind: "failed", started: true });
    while (engine.readLoad(0).running > 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  });

  test("fails the stream if the rank crashes; reads its load and orders", async () => {
    const { engine, baseUrl, client } = await startRank();
    const sent = await send(client, {
      method: "POST",
      path: "/v1/chat/completions",
      value: { ...body, stream: true },
      onData: () => engine.crash(0),
    });
    expect(sent.last).toMatchObject({ kind: "failed", started: true });
    const load = await send(client, { method: "GET", path: "/load" });
    expect(JSON.parse(load.text)).toEqual(engine.readLoad(0));
    const order = { kind: "set_role", fencingNumber: 2, role: "prefill" };
    engine.restart(0);
    const outdatedOrder = { ...order, fencingNumber: 1 };
    const post = (value: unknown) =>
      send(connect(baseUrl), { method: "POST", path: "/orders", value });
    expect((await post(order)).head?.status).toBe(200);
    expect((await post(outdatedOrder)).head?.status).toBe(409);
    expect(engine.readOrderState(0).role).toBe("prefill");
    const events = await send(client, {
      method: "GET",
      path: "/events?since=0",
    });
    expect(JSON.parse(events.text)).toEqual({ events: [] });
    const orders = await send(client, { method: "GET", path: "/orders" });
    expect(JSON.parse(orders.text)).toMatchObject({ highestFencingNumber: 2 });
  });

  test("reports that nothing started only if the connection is refused", async () => {
    const { service, faultSwitch, client } = await startService();
    faultSwitch.set({ kind: "answer_lost" }, { callCount: 1 });
    const lost = await send(client, filing);
    expect(lost.last).toMatchObject({ kind: "failed", started: true });
    expect(service.countExecutions("f-1")).toBe(1);
    controller.abort();
    controller = new AbortController();
    const closedUrl = await startClosedPort();
    const refused = await send(connect(closedUrl), filing);
    expect(refused.last).toMatchObject({ kind: "failed", started: false });
  });
});

async function startClosedPort(): Promise<string> {
  const serverAbort = new AbortController();
  const server = plainServiceHttp.createPlainServiceHttp({
    service: plainService.createPlainService({ clock: scheduler }),
    faults: faults.createFaultSwitch(),
    scheduler,
  });
  const { signal } = serverAbort;
  const { baseUrl } = await server.listen({ ...localAddress, signal });
  serverAbort.abort();
  return baseUrl;
}

describe("plain service over HTTP", () => {
  test("executes each call and records duplicates in the ledger", async () => {
    const { service, faultSwitch, client } = await startService();
    const first = await send(client, filing);
    expect(first.head?.status).toBe(201);
    faultSwitch.set({ kind: "duplicated" }, { callCount: 1 });
    await send(client, filing);
    await send(client, { method: "GET", path: "/records/r-1" });
    expect(service.getLedger().map((entry) => entry.filing.businessId))
      .toEqual(["f-1", "f-1", "f-1"]);
    const record = await send(client, { method: "GET", path: "/records/r-1" });
    expect(JSON.parse(record.text).filingNumbers).toEqual([1, 2, 3]);
  });

  test("PUT /faults sets the fault, even during a crash fault", async () => {
    const { baseUrl, client } = await startService();
    const setFault = (value: unknown) =>
      send(connect(baseUrl), { method: "PUT", path: "/faults", value });
    const read = { method: "GET", path: "/records/1" };
    expect((await setFault({ fault: { kind: "odd" } })).head?.status).toBe(400);
    await setFault({ fault: { kind: "crash" } });
    expect((await send(client, read)).last).toMatchObject({ kind: "failed" });
    await setFault({ fault: { kind: "down" } });
    expect((await send(client, read)).head?.status).toBe(503);
    await setFault({ fault: { kind: "none" } });
    expect((await send(client, read)).head?.status).toBe(200);
  });
});

describe("an answer without a length or chunks", () => {
  const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  /** Runs one request whose connection `answer` serves. */
  async function sendRaw(
    answer: (socket: net.Socket) => void,
  ): Promise<SendResult> {
    const server = net.createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", (data) => {
        // Reads of the load are not answered.
        if (data.toString().startsWith("POST")) answer(socket);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const engine = connect(`http://127.0.0.1:${port}`);
    const result = await send(engine, { method: "POST", path: "/", value: 1 });
    server.close();
    return result;
  }

  // Guards against a part of an answer that passes for the whole.
  it.each([
    ["with its last bytes", 0],
    ["after its last bytes", 20],
  ])("has failed after a reset %s", async (_, delayMs) => {
    for (let iteration = 0; iteration < 30; iteration += 1) {
      const { last } = await sendRaw((socket) => {
        socket.write(`${head}part`, () => {
          if (delayMs === 0) socket.resetAndDestroy();
          else setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
      });
      expect(last).toMatchObject({ kind: "failed", started: true });
    }
  });

  it.each([
    ["half-closed", (socket: net.Socket) => void socket.end(`${head}whole`)],
    [
      "closed at once",
      (socket: net.Socket) =>
        void socket.write(`${head}whole`, () => socket.destroy()),
    ],
  ])("is whole if the connection is %s", async (_, answer) => {
    for (let iteration = 0; iteration < 30; iteration += 1) {
      const { last, text } = await sendRaw(answer);
      expect({ last, text }).toEqual({ last: { kind: "end" }, text: "whole" });
    }
  });
});
