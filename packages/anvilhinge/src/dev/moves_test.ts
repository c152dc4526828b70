import * as nodeCrypto from "node:crypto";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as undici from "undici";
import * as orderCodec from "../adapters/order_codec.ts";
import * as orders from "../agent/orders.ts";
import * as ordersPb from "../gen/anvilhinge/v1/orders_pb.ts";
import * as record from "../settings/record.ts";
import * as answer from "../stand_ins/answer.ts";
import * as caller from "./caller.ts";
import type * as system from "./system.ts";
import * as playgroundSystem from "../testing/playground_system.ts";

const group = "drafting-1";
const token = "token-of-the-association";
const operators = [{
  name: "secretary",
  tokenSha256: nodeCrypto.createHash("sha256").update(token).digest("hex"),
  subtrees: ["/association/drafting"],
}];
const loadSources = [
  { half: "association", workspace: "drafting/milan", model: "drafting" },
  {
    half: "water_board",
    workspace: "drawings/ikeja",
    model: "drawing-assistant",
  },
] as const;

const abort = new AbortController();
let running: system.RunningSystem;
let isLoadStopped = false;

function getAddress(half: string): string {
  return running.entries.find((entry) => entry.half === half)?.address ?? "";
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  for (let poll = 0; poll < 400; poll += 1) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error("Condition was not met within 400 polls");
}

beforeAll(async () => {
  running = await playgroundSystem.startPlaygroundSystem({
    // Starts only the groups of the two models that the test sends load to.
    isWanted: (object) =>
      object.path.kind !== "groups" || object.path.name.startsWith("dra"),
    signal: abort.signal,
    operators,
  });
}, 30_000);

afterAll(async () => {
  isLoadStopped = true;
  await running?.stop();
  abort.abort();
}, 30_000);

async function sendChat(
  { half, workspace, model }: typeof loadSources[number],
  text: string,
): Promise<string> {
  const body = { model, messages: [{ role: "user", content: text }] };
  const address = getAddress(half);
  const outcome = await caller.sendChat({ address, workspace, body });
  if (outcome.kind !== "complete") return JSON.stringify(outcome);
  const expected = answer.generateTokens(body).join("");
  return outcome.tokens.join("") === expected ? "whole" : "another answer";
}

async function getMove(half: string): Promise<Record<string, unknown>> {
  const url = `http://${getAddress(half)}/moves/${group}`;
  const response = await undici.request(url);
  return await response.body.json() as Record<string, unknown>;
}

/** Writes the settings under which the group serves the Water Board. */
async function writeWaterBoardGroup(): Promise<void> {
  const associationPath = `/association/drafting/groups/${group}`;
  const current = await running.store.read(record.formatKey(associationPath));
  if (current.kind !== "found") throw new Error("Group has no settings");
  const stored = record.parseRecord(current.object.value);
  // Places the group near the Water Board's entries, which prefer near
  // upstreams: a group in another region gets requests only when the near
  // upstreams are loaded.
  const text = stored!.text
    .replace('"model": "drafting"', '"model": "drawing-assistant"')
    .replaceAll(/"milan_([abc])"/g, '"lagos_$1"')
    .replaceAll('"lombardy"', '"lagos"');
  const path = `/water_board/drawings/groups/${group}`;
  const value = { ...stored, text };
  const key = record.formatKey(path);
  const written = await running.store.write(key, value, { ifVersion: 0 });
  expect(written.kind).toBe("accepted");
}

test(
  "a group moves to the other half under load without a lost or truncated answer",
  async () => {
    for (const source of loadSources) {
      await waitUntil(async () =>
        await sendChat(source, "warm-up") === "whole"
      );
    }
    await writeWaterBoardGroup();
    const outcomes: string[] = [];
    async function sendRepeatedly(
      source: typeof loadSources[number],
    ): Promise<void> {
      for (let index = 0; !isLoadStopped; index += 1) {
        outcomes.push(await sendChat(source, `${source.half} ${index}`));
      }
    }
    const load = [...loadSources, ...loadSources, ...loadSources].map(
      sendRepeatedly,
    );
    const started = await undici.request(
      `http://${getAddress("association")}/moves`,
      {
        method: "POST",
        headers: { authorization: `Bearer ${token}` },
        body: JSON.stringify({ group, to: "water_board" }),
      },
    );
    expect(started.statusCode).toBe(200);
    expect(await started.body.json()).toMatchObject({ outcome: "accepted" });
    await waitUntil(async () =>
      (await getMove("water_board")).outcome === "done"
    );
    expect(await getMove("association")).toMatchObject({
      half: "water_board",
      epoch: 3,
      state: "serving",
    });
    const engine = running.groups.find((candidate) => candidate.name === group)
      ?.engine;
    const countSteps = () => engine?.readLastStep().stepCount ?? 0;
    const before = countSteps();
    await waitUntil(() => Promise.resolve(countSteps() > before));
    const targetCount = outcomes.length + 30;
    await waitUntil(() => Promise.resolve(outcomes.length > targetCount));
    isLoadStopped = true;
    await Promise.all(load);
    expect(outcomes.length).toBeGreaterThan(10);
    expect(outcomes.filter((outcome) => outcome !== "whole")).toEqual([]);
  },
  60_000,
);

test(
  "an order of the current holder is executed and older orders are fenced",
  async () => {
    await waitUntil(async () =>
      await orders.readFloor(running.store, group) !== undefined
    );
    const floor = await orders.readFloor(running.store, group);
    const target = running.groups.find((candidate) => candidate.name === group);
    const baseUrl = `http://${target?.agents[0]?.address}`;
    const sessionManager = new connectNode.Http2SessionManager(baseUrl);
    const client = connect.createClient(
      ordersPb.OrderService,
      connectNode.createConnectTransport({
        baseUrl,
        httpVersion: "2",
        sessionManager,
      }),
    );
    const send = (role: string, fencingNumber: number, sequence: number) =>
      client.order(orderCodec.encodeOrder({
        id: `order-${role}`,
        term: { epoch: floor!.epoch, fencingNumber, sequence },
        order: { kind: "set_role", role },
      }, { group, rank: 0 }));
    const currentNumber = floor!.fencingNumber;
    const fenced = await send("older", currentNumber - 1, 9);
    expect(fenced.outcome).toBe(ordersPb.OrderOutcome.FENCED);
    const executed = await send("current", currentNumber, 1);
    expect(executed.outcome).toBe(ordersPb.OrderOutcome.DONE);
    const late = await send("late", currentNumber, 0);
    expect(late.outcome).toBe(ordersPb.OrderOutcome.FENCED);
    expect(target?.engine?.readOrderState(0)).toMatchObject({
      role: "current",
    });
    sessionManager.abort();
  },
  30_000,
);
