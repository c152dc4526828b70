import * as undici from "undici";
import type * as system from "./system.ts";
import * as playgroundSystem from "../testing/playground_system.ts";

const abort = new AbortController();
let running: system.RunningSystem;

beforeAll(async () => {
  running = await playgroundSystem.startPlaygroundSystem({
    half: "association",
    signal: abort.signal,
  });
  await waitForService();
});

afterAll(() => abort.abort());

async function waitForService(): Promise<void> {
  for (let count = 0; count < 100; count += 1) {
    const response = await undici.request(
      `http://${running.entries[0]!.address}/services/registry/records/1`,
      { headers: { "x-workspace": "drafting/milan" } },
    );
    await response.body.dump();
    if (response.statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

async function send(
  entry: number,
  path: string,
  options: {
    readonly key?: string;
    readonly businessId?: string;
  } = {},
) {
  const { key, businessId } = options;
  const response = await undici.request(
    `http://${running.entries[entry]!.address}${path}`,
    {
      method: businessId === undefined ? "GET" : "POST",
      headers: {
        "x-workspace": "drafting/milan",
        "content-type": "application/json",
        ...(key === undefined ? {} : { "idempotency-key": key }),
      },
      body: businessId === undefined ? null : JSON.stringify({
        businessId,
        recordId: "minutes-1",
        text: "resolution",
      }),
    },
  );
  const text = await response.body.text();
  return {
    status: response.statusCode,
    requestId: String(response.headers["x-request-id"]),
    text,
    body: JSON.parse(text),
  };
}

function countExecutions(businessId: string): number {
  return running.groups.reduce(
    (sum, group) => sum + (group.service?.countExecutions(businessId) ?? 0),
    0,
  );
}

const filingsPath = "/services/registry/filings";

test("a repeated filing is answered from the recorded outcome", async () => {
  const options = { key: "key-1", businessId: "filing-1" };
  const first = await send(0, filingsPath, options);
  expect(first.status).toBe(201);
  // The outcome is recorded shortly after the answer; until then, a repeat is
  // refused with an unknown outcome.
  let again = await send(1, filingsPath, options);
  for (let count = 0; count < 100 && again.status !== 201; count += 1) {
    expect(again.body.error).toMatchObject({ ran: "unknown" });
    await new Promise((resolve) => setTimeout(resolve, 50));
    again = await send(1, filingsPath, options);
  }
  expect(again).toEqual(first);
  expect(countExecutions("filing-1")).toBe(1);

  const outcome = await send(2, `/v1/requests/${first.requestId}`);
  expect(outcome.body).toMatchObject({
    request_id: first.requestId,
    state: "finished",
    answer: { status: 201, body: first.text },
  });
});

test("a different body under a used idempotency key is refused", async () => {
  const key = "key-2";
  await send(0, filingsPath, { key, businessId: "filing-2" });
  const other = await send(1, filingsPath, { key, businessId: "filing-3" });
  expect(other.status).toBe(422);
  expect(other.body.error).toMatchObject({ code: "other_body", ran: "no" });
  expect(countExecutions("filing-3")).toBe(0);
});

test("filings are refused and reads are served during an object store outage", async () => {
  running.storeFaults.set({ kind: "down" });
  const filing = await send(0, filingsPath, { businessId: "filing-4" });
  expect(filing.status).toBe(503);
  expect(filing.body.error).toMatchObject({ code: "not_run", ran: "no" });
  const keyed = await send(0, filingsPath, {
    key: "key-4",
    businessId: "filing-4",
  });
  expect(keyed.body.error).toMatchObject({
    code: "outcome_unknown",
    ran: "unknown",
  });
  const read = await send(0, "/services/registry/records/1");
  expect(read.status).toBe(200);
  running.storeFaults.set({ kind: "none" });
  expect(countExecutions("filing-4")).toBe(0);
});

test("a lookup of an unrecorded request id reports that the outcome is unknown", async () => {
  const outcome = await send(0, "/v1/requests/never-sent");
  expect(outcome.status).toBe(404);
  expect(outcome.body.error).toMatchObject({ ran: "unknown" });
});
